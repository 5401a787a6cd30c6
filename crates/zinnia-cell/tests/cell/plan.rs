//! What the leader proposes.

use std::collections::BTreeSet;

use zinnia_cell::Contact;
use zinnia_cell::Liveness;
use zinnia_cell::Plan;
use zinnia_cell::VoterReplacement;
use zinnia_cell::plan;
use zinnia_types::LeaseSettings;
use zinnia_types::Time;
use zinnia_types::WorkerId;
use zinnia_types::worker::Profile;

use crate::build::*;

/// Now, in milliseconds; long after the start, so that every silence fits in.
const NOW: u64 = 10_000_000;
/// VM lease + margin.
const LEASE: u64 = 8_000;
/// Isolation period + task lease + margin.
const DOMAIN: u64 = 632_000;

/// A VM with its domain, the milliseconds since its contact began and since its last ping.
type Seen = (u64, &'static str, u64, u64);

/// An hour: contact that is older than any wait.
const LONG: u64 = 3_600_000;

fn liveness(leader_ms: u64, seen: &[Seen]) -> Liveness {
    let mut liveness = Liveness::new(VmId(99), Time(NOW - leader_ms), BTreeSet::new());
    for &(id, _, since, last) in seen {
        let contact = Contact {
            since: Time(NOW - since),
            last: Time(NOW - last),
        };
        liveness.contacts.insert(VmId(id), contact);
    }
    liveness
}

/// A cell of these VMs with these acting owners, set one after the other from term 1.
fn cell(seen: &[Seen], owners: &[(&str, u64)]) -> Cell {
    let mut cell = Cell::default();
    for &(id, at, ..) in seen {
        apply(&mut cell, &join(id, at));
    }
    for &(at, vm) in owners {
        apply(&mut cell, &own(at, vm, 0));
    }
    cell
}

fn planned(cell: &Cell, liveness: &Liveness) -> Plan {
    plan(cell, liveness, Time(NOW), &LeaseSettings::default())
}

struct Case {
    name: &'static str,
    /// Milliseconds since the leader was elected.
    leader: u64,
    seen: Vec<Seen>,
    owners: Vec<(&'static str, u64)>,
    /// Domain, new owner and current term.
    want: Vec<(&'static str, u64, u64)>,
}

/// Guards against two acting owners of one domain (P2) and against a domain left without one.
#[test]
fn acting_owner_changes_only_when_the_old_one_has_stopped() {
    let cases = vec![
        Case {
            name: "a domain that never had an owner gets one of its own VMs at once",
            leader: 0,
            seen: vec![(1, "a", 0, 0), (2, "b", LONG, LONG)],
            owners: vec![],
            want: vec![("a", 1, 0)],
        },
        Case {
            name: "a silent owner is replaced in its domain after lease + margin",
            leader: LONG,
            seen: vec![(1, "a", LONG, LEASE), (2, "a", LONG, 0), (3, "b", LONG, 0)],
            owners: vec![("a", 1), ("b", 3)],
            want: vec![("a", 2, 1)],
        },
        Case {
            name: "not earlier",
            leader: LONG,
            seen: vec![(1, "a", LONG, LEASE - 1), (2, "a", LONG, 0)],
            owners: vec![("a", 1)],
            want: vec![],
        },
        Case {
            name: "a new leader waits, since its predecessor may have renewed the lease",
            leader: LEASE - 1,
            seen: vec![(1, "a", LONG, LONG), (2, "a", LONG, 0)],
            owners: vec![("a", 1)],
            want: vec![],
        },
        Case {
            name: "a peer that was cut off until now may have confirmed the owner's isolation",
            leader: LONG,
            seen: vec![(1, "a", LONG, 100_000), (2, "a", LEASE - 1, 0)],
            owners: vec![("a", 1)],
            want: vec![],
        },
        Case {
            name: "that confirmation has lapsed",
            leader: LONG,
            seen: vec![(1, "a", LONG, 100_000), (2, "a", LEASE, 0)],
            owners: vec![("a", 1)],
            want: vec![("a", 2, 1)],
        },
        Case {
            name: "a domain with one VM may be isolated",
            leader: LONG,
            seen: vec![(1, "a", LONG, DOMAIN - 1), (2, "b", LONG, 0)],
            owners: vec![("a", 1), ("b", 2)],
            want: vec![],
        },
        Case {
            name: "a whole domain is taken over by the VM that acts for the fewest others",
            leader: LONG,
            seen: vec![
                (1, "a", LONG, DOMAIN),
                (2, "b", LONG, 0),
                (3, "c", LONG, 0),
                (4, "c", LONG, 0),
            ],
            owners: vec![("a", 1), ("b", 2), ("c", 3)],
            want: vec![("a", 4, 1)],
        },
        Case {
            name: "the domain was heard of as long as any of its VMs was",
            leader: LONG,
            seen: vec![
                (1, "a", LONG, LONG),
                (2, "a", LONG, DOMAIN - 1),
                (3, "b", LONG, 0),
            ],
            owners: vec![("a", 1), ("b", 3)],
            want: vec![],
        },
        Case {
            name: "a new leader does not know when a silent domain was last heard of",
            leader: DOMAIN - 1,
            seen: vec![(1, "a", LONG, LONG), (2, "b", LONG, 0)],
            owners: vec![("a", 1), ("b", 2)],
            want: vec![],
        },
        Case {
            name: "an owner from another domain may be isolated there",
            leader: LONG,
            seen: vec![
                (1, "a", LONG, 0),
                (2, "b", LONG, DOMAIN - 1),
                (3, "c", LONG, 0),
            ],
            owners: vec![("a", 2), ("c", 3)],
            want: vec![],
        },
        Case {
            name: "its domain's own VM takes over when that is ruled out",
            leader: LONG,
            seen: vec![(1, "a", LONG, 0), (2, "b", LONG, LEASE), (3, "b", LONG, 0)],
            owners: vec![("a", 2), ("b", 3)],
            want: vec![("a", 1, 1)],
        },
        Case {
            name: "also when that VM acts for another domain already",
            leader: LONG,
            seen: vec![(5, "a", LONG, 0), (2, "b", LONG, LEASE), (3, "b", LONG, 0)],
            owners: vec![("a", 2), ("b", 3), ("c", 5)],
            want: vec![("a", 5, 1)],
        },
        Case {
            name: "two lost domains go to two VMs",
            leader: LONG,
            seen: vec![
                (1, "a", LONG, DOMAIN),
                (2, "b", LONG, DOMAIN),
                (3, "c", LONG, 0),
                (4, "c", LONG, 0),
            ],
            owners: vec![("a", 1), ("b", 2), ("c", 3)],
            want: vec![("a", 4, 1), ("b", 3, 2)],
        },
        Case {
            name: "nobody is left",
            leader: LONG,
            seen: vec![(1, "a", LONG, DOMAIN), (2, "b", LONG, 6_000)],
            owners: vec![("a", 1), ("b", 2)],
            want: vec![],
        },
    ];
    for case in cases {
        let cell = cell(&case.seen, &case.owners);
        let commands = planned(&cell, &liveness(case.leader, &case.seen)).commands;
        let set = commands
            .into_iter()
            .filter(|c| matches!(c, Command::SetOwner { .. }));
        let want: Vec<_> = case
            .want
            .iter()
            .map(|&(d, vm, term)| own(d, vm, term))
            .collect();
        assert_eq!(set.collect::<Vec<_>>(), want, "{}", case.name);
    }
}

/// Guards against a leader that takes itself for lost, since it sends itself no pings.
#[test]
fn leader_is_in_contact() {
    let seen = [(1, "a", LONG, LONG), (2, "a", LONG, 0)];
    let cell = cell(&seen, &[("a", 1)]);
    let mut liveness = liveness(LONG, &seen);
    liveness.leader = VmId(1);
    assert_eq!(planned(&cell, &liveness), Plan::default());
}

/// Guards against a domain that stays with another domain's VM after its own VMs are back.
#[test]
fn domain_is_handed_back() {
    let seen = [(1, "a", 0, 0), (2, "a", 0, 0), (3, "b", 0, 0)];
    let cell = cell(&seen, &[("a", 3), ("b", 3), ("c", 3)]);
    let back = |me: u64, present: &[u64]| {
        let present = present.iter().map(|&id| VmId(id)).collect();
        zinnia_cell::hand_back_domains(&cell, VmId(me), &present)
    };
    assert_eq!(back(3, &[2, 3]), [own("a", 2, 1)]);
    assert_eq!(back(3, &[3]), []);
    assert_eq!(back(1, &[1, 2, 3]), []);
}

/// Guards against a contact that counts as unbroken across a silence.
#[test]
fn contact_breaks_after_a_lease() {
    let leases = LeaseSettings::default();
    let mut liveness = Liveness::new(VmId(99), Time(0), BTreeSet::new());
    for (at, since) in [
        (1_000, 1_000),
        (6_999, 1_000),
        (12_999, 12_999),
        (13_000, 12_999),
    ] {
        liveness.record_contact(VmId(1), Time(at), &leases);
        let want = Contact {
            since: Time(since),
            last: Time(at),
        };
        assert_eq!(liveness.contacts[&VmId(1)], want);
    }
}

fn profile(name: &str, at: &str) -> Profile {
    Profile {
        worker: WorkerId::new(name).unwrap(),
        boot: 1,
        addr: "127.0.0.1:3".to_owned(),
        domain: domain(at),
        rack: zinnia_types::RackId::new("r").unwrap(),
        capacity: Resources::ZERO,
    }
}

/// Guards against members that stay listed for ever, and against the removal of an isolated one.
#[test]
fn lost_members_are_removed() {
    let seen = [
        (1, "a", LONG, 0),
        (2, "a", LONG, DOMAIN),
        (3, "b", LONG, LONG),
        (4, "c", LONG, LONG),
        (5, "a", LONG, LONG),
        (6, "b", LONG, DOMAIN - 1),
    ];
    let mut cell = cell(&seen, &[("a", 1), ("b", 3)]);
    let add = vec![
        profile("w1", "a"),
        profile("w2", "a"),
        profile("w3", "b"),
        profile("w4", "a"),
    ];
    let roster = Command::Workers {
        add,
        remove: vec![],
    };
    apply(&mut cell, &roster);
    cell.withdraw_locally(&[key("k")]);
    let mut liveness = liveness(LONG, &seen);
    liveness.voters = [VmId(4)].into();
    for (name, lost) in [
        ("w1", 300_000),
        ("w2", 299_999),
        ("w3", 300_000),
        ("x", 300_000),
    ] {
        let lost = Time(NOW - lost);
        liveness
            .lost_workers
            .insert(WorkerId::new(name).unwrap(), lost);
    }
    let want = vec![
        // The acting owner of w3 is silent, so nobody can tell that w3 is lost.
        Command::Workers {
            add: vec![],
            remove: vec![WorkerId::new("w1").unwrap()],
        },
        // VM 3 is an acting owner, VM 4 a voter until it is replaced, and VM 6 may be isolated.
        Command::RemoveVm { id: VmId(2) },
        Command::RemoveVm { id: VmId(5) },
        Command::WithdrawKeys {
            ids: vec![key("k")],
        },
    ];
    let commands = planned(&cell, &liveness).commands;
    let rest = commands
        .into_iter()
        .filter(|c| !matches!(c, Command::SetOwner { .. }));
    assert_eq!(rest.collect::<Vec<_>>(), want);
    apply(&mut cell, &want[0]);
    assert_eq!(cell.workers(domain("a")).count(), 2);
}

/// Guards against a lost voter that is never replaced, or by a VM that cannot vote (F11).
#[test]
fn lost_voter_is_replaced_by_one_that_is_ready() {
    let seen = |lost: u64| {
        [
            (1, "a", LONG, 0),
            (2, "b", LONG, lost),
            (3, "c", LONG, 0),
            (4, "a", LONG, 0),
            (5, "b", LONG, 0),
            (6, "d", LONG, 0),
            (7, "b", LONG, 300_000),
        ]
    };
    // Milliseconds of silence of voter 2, VMs that are ready, replacement.
    let cases: [(u64, &[u64], Option<u64>); 6] = [
        (299_999, &[4, 5, 6], None),
        (300_000, &[4, 5, 6], Some(5)),
        (300_000, &[4, 6, 7], Some(6)),
        (300_000, &[4], Some(4)),
        (300_000, &[7], None),
        (300_000, &[1, 3], None),
    ];
    for (lost, ready, with) in cases {
        let seen = seen(lost);
        let mut cell = cell(&seen, &[]);
        // VM 8 has no disk.
        let mut diskless = vm(8, "b");
        diskless.disk = false;
        apply(&mut cell, &Command::JoinVm { vm: diskless });
        let mut liveness = liveness(LONG, &seen);
        liveness.record_contact(VmId(8), Time(NOW), &LeaseSettings::default());
        liveness.voters = [VmId(1), VmId(2), VmId(3)].into();
        liveness.ready_learners = ready.iter().chain(&[8]).map(|&id| VmId(id)).collect();
        let want = with.map(|with| VoterReplacement {
            lost: VmId(2),
            replacement: VmId(with),
        });
        assert_eq!(
            planned(&cell, &liveness).voter_replacement,
            want,
            "{lost} {ready:?}"
        );
    }
}
