//! Tests of the planner of the leader.

use std::collections::BTreeSet;

use zinnia_cell::Contact;
use zinnia_cell::Liveness;
use zinnia_cell::Plan;
use zinnia_cell::VoterReplacement;
use zinnia_cell::plan;
use zinnia_types::LeaseSettings;
use zinnia_types::Time;
use zinnia_types::WorkerId;
use zinnia_types::worker::WorkerProfile;

use crate::build::*;

/// Current time in milliseconds, later than the longest silence in the tests.
const NOW_MS: u64 = 10_000_000;
/// VM lease plus margin, in milliseconds.
const LEASE_MS: u64 = 8_000;
/// Isolation period plus task lease plus margin, in milliseconds.
const DOMAIN_STOP_MS: u64 = 632_000;

/// Id and domain of a VM, milliseconds since its contact began and since its last ping.
type VmContact = (u64, &'static str, u64, u64);

/// One hour, longer than any timeout of the planner, in milliseconds.
const LONG_MS: u64 = 3_600_000;

fn liveness(leader_ms: u64, contacts: &[VmContact]) -> Liveness {
    let mut liveness = Liveness::new(VmId(99), Time(NOW_MS - leader_ms), BTreeSet::new());
    for &(id, _, since, last) in contacts {
        let contact = Contact {
            since: Time(NOW_MS - since),
            last: Time(NOW_MS - last),
        };
        liveness.contacts.insert(VmId(id), contact);
    }
    liveness
}

/// A cell with these VMs and these acting owners, which get the terms from 1 in order.
fn cell(contacts: &[VmContact], owners: &[(&str, u64)]) -> Cell {
    let mut cell = Cell::default();
    for &(id, domain_name, ..) in contacts {
        apply(&mut cell, &join_vm(id, domain_name));
    }
    for &(domain_name, vm) in owners {
        apply(&mut cell, &set_owner(domain_name, vm, 0));
    }
    cell
}

fn planned(cell: &Cell, liveness: &Liveness) -> Plan {
    plan(cell, liveness, Time(NOW_MS), &LeaseSettings::default())
}

struct Case {
    name: &'static str,
    /// Milliseconds since the election of the leader.
    leader_ms: u64,
    contacts: Vec<VmContact>,
    owners: Vec<(&'static str, u64)>,
    /// Domain, new owner and current term of each expected change.
    expected: Vec<(&'static str, u64, u64)>,
}

/// Guards against two acting owners of one domain (invariant P2) and against a domain that is left
/// without one.
#[test]
fn acting_owner_changes_only_when_the_old_one_has_stopped() {
    let cases = vec![
        Case {
            name: "a domain that never had an owner gets one of its own VMs at once",
            leader_ms: 0,
            contacts: vec![(1, "a", 0, 0), (2, "b", LONG_MS, LONG_MS)],
            owners: vec![],
            expected: vec![("a", 1, 0)],
        },
        Case {
            name: "a silent owner is replaced in its domain after lease + margin",
            leader_ms: LONG_MS,
            contacts: vec![
                (1, "a", LONG_MS, LEASE_MS),
                (2, "a", LONG_MS, 0),
                (3, "b", LONG_MS, 0),
            ],
            owners: vec![("a", 1), ("b", 3)],
            expected: vec![("a", 2, 1)],
        },
        Case {
            name: "a silent owner is not replaced earlier",
            leader_ms: LONG_MS,
            contacts: vec![(1, "a", LONG_MS, LEASE_MS - 1), (2, "a", LONG_MS, 0)],
            owners: vec![("a", 1)],
            expected: vec![],
        },
        Case {
            name: "a new leader waits, since its predecessor may have renewed the lease",
            leader_ms: LEASE_MS - 1,
            contacts: vec![(1, "a", LONG_MS, LONG_MS), (2, "a", LONG_MS, 0)],
            owners: vec![("a", 1)],
            expected: vec![],
        },
        Case {
            name: "a peer that was cut off until now may have confirmed the owner's isolation",
            leader_ms: LONG_MS,
            contacts: vec![(1, "a", LONG_MS, 100_000), (2, "a", LEASE_MS - 1, 0)],
            owners: vec![("a", 1)],
            expected: vec![],
        },
        Case {
            name: "a confirmation of isolation expires after lease + margin",
            leader_ms: LONG_MS,
            contacts: vec![(1, "a", LONG_MS, 100_000), (2, "a", LEASE_MS, 0)],
            owners: vec![("a", 1)],
            expected: vec![("a", 2, 1)],
        },
        Case {
            name: "a domain with one VM may be isolated",
            leader_ms: LONG_MS,
            contacts: vec![(1, "a", LONG_MS, DOMAIN_STOP_MS - 1), (2, "b", LONG_MS, 0)],
            owners: vec![("a", 1), ("b", 2)],
            expected: vec![],
        },
        Case {
            name: "a whole domain is taken over by the VM that acts for the fewest others",
            leader_ms: LONG_MS,
            contacts: vec![
                (1, "a", LONG_MS, DOMAIN_STOP_MS),
                (2, "b", LONG_MS, 0),
                (3, "c", LONG_MS, 0),
                (4, "c", LONG_MS, 0),
            ],
            owners: vec![("a", 1), ("b", 2), ("c", 3)],
            expected: vec![("a", 4, 1)],
        },
        Case {
            name: "a domain is silent only when all its VMs are",
            leader_ms: LONG_MS,
            contacts: vec![
                (1, "a", LONG_MS, LONG_MS),
                (2, "a", LONG_MS, DOMAIN_STOP_MS - 1),
                (3, "b", LONG_MS, 0),
            ],
            owners: vec![("a", 1), ("b", 3)],
            expected: vec![],
        },
        Case {
            name: "a new leader does not know when a domain was last in contact",
            leader_ms: DOMAIN_STOP_MS - 1,
            contacts: vec![(1, "a", LONG_MS, LONG_MS), (2, "b", LONG_MS, 0)],
            owners: vec![("a", 1), ("b", 2)],
            expected: vec![],
        },
        Case {
            name: "an owner from another domain may be isolated there",
            leader_ms: LONG_MS,
            contacts: vec![
                (1, "a", LONG_MS, 0),
                (2, "b", LONG_MS, DOMAIN_STOP_MS - 1),
                (3, "c", LONG_MS, 0),
            ],
            owners: vec![("a", 2), ("c", 3)],
            expected: vec![],
        },
        Case {
            name: "a VM of the domain takes over from an owner that cannot be isolated",
            leader_ms: LONG_MS,
            contacts: vec![
                (1, "a", LONG_MS, 0),
                (2, "b", LONG_MS, LEASE_MS),
                (3, "b", LONG_MS, 0),
            ],
            owners: vec![("a", 2), ("b", 3)],
            expected: vec![("a", 1, 1)],
        },
        Case {
            name: "a VM of the domain takes over even if it already acts for another domain",
            leader_ms: LONG_MS,
            contacts: vec![
                (5, "a", LONG_MS, 0),
                (2, "b", LONG_MS, LEASE_MS),
                (3, "b", LONG_MS, 0),
            ],
            owners: vec![("a", 2), ("b", 3), ("c", 5)],
            expected: vec![("a", 5, 1)],
        },
        Case {
            name: "two lost domains go to two VMs",
            leader_ms: LONG_MS,
            contacts: vec![
                (1, "a", LONG_MS, DOMAIN_STOP_MS),
                (2, "b", LONG_MS, DOMAIN_STOP_MS),
                (3, "c", LONG_MS, 0),
                (4, "c", LONG_MS, 0),
            ],
            owners: vec![("a", 1), ("b", 2), ("c", 3)],
            expected: vec![("a", 4, 1), ("b", 3, 2)],
        },
        Case {
            name: "no VM has a valid lease",
            leader_ms: LONG_MS,
            contacts: vec![(1, "a", LONG_MS, DOMAIN_STOP_MS), (2, "b", LONG_MS, 6_000)],
            owners: vec![("a", 1), ("b", 2)],
            expected: vec![],
        },
    ];
    for case in cases {
        let cell = cell(&case.contacts, &case.owners);
        let commands = planned(&cell, &liveness(case.leader_ms, &case.contacts)).commands;
        let owner_changes = commands
            .into_iter()
            .filter(|c| matches!(c, Command::SetOwner { .. }));
        let expected: Vec<_> = case
            .expected
            .iter()
            .map(|&(domain_name, vm, term)| set_owner(domain_name, vm, term))
            .collect();
        assert_eq!(owner_changes.collect::<Vec<_>>(), expected, "{}", case.name);
    }
}

/// Guards against a leader that treats itself as lost because it sends itself no pings.
#[test]
fn leader_is_in_contact() {
    let contacts = [(1, "a", LONG_MS, LONG_MS), (2, "a", LONG_MS, 0)];
    let cell = cell(&contacts, &[("a", 1)]);
    let mut liveness = liveness(LONG_MS, &contacts);
    liveness.leader = VmId(1);
    assert_eq!(planned(&cell, &liveness), Plan::default());
}

/// Guards against a domain that stays with a VM of another domain after its own VMs are back.
#[test]
fn domain_is_handed_back() {
    let contacts = [(1, "a", 0, 0), (2, "a", 0, 0), (3, "b", 0, 0)];
    let cell = cell(&contacts, &[("a", 3), ("b", 3), ("c", 3)]);
    let hand_back = |me: u64, present: &[u64]| {
        let present = present.iter().map(|&id| VmId(id)).collect();
        zinnia_cell::hand_back_domains(&cell, VmId(me), &present)
    };
    assert_eq!(hand_back(3, &[2, 3]), [set_owner("a", 2, 1)]);
    assert_eq!(hand_back(3, &[3]), []);
    assert_eq!(hand_back(1, &[1, 2, 3]), []);
}

/// Guards against a contact that counts as uninterrupted across a silence of a VM lease.
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
        let expected = Contact {
            since: Time(since),
            last: Time(at),
        };
        assert_eq!(liveness.contacts[&VmId(1)], expected);
    }
}

fn profile(name: &str, domain_name: &str) -> WorkerProfile {
    WorkerProfile {
        worker: WorkerId::new(name).unwrap(),
        boot: 1,
        addr: "127.0.0.1:3".to_owned(),
        domain: domain(domain_name),
        rack: zinnia_types::RackId::new("r").unwrap(),
        capacity: Resources::ZERO,
    }
}

/// Guards against lost members that are never removed, and against the removal of a VM that may be
/// in isolated mode.
#[test]
fn lost_members_are_removed() {
    let contacts = [
        (1, "a", LONG_MS, 0),
        (2, "a", LONG_MS, DOMAIN_STOP_MS),
        (3, "b", LONG_MS, LONG_MS),
        (4, "c", LONG_MS, LONG_MS),
        (5, "a", LONG_MS, LONG_MS),
        (6, "b", LONG_MS, DOMAIN_STOP_MS - 1),
    ];
    let mut cell = cell(&contacts, &[("a", 1), ("b", 3)]);
    let add = vec![
        profile("w1", "a"),
        profile("w2", "a"),
        profile("w3", "b"),
        profile("w4", "a"),
    ];
    let add_workers = Command::Workers {
        add,
        remove: vec![],
        leases: None,
    };
    apply(&mut cell, &add_workers);
    cell.withdraw_locally(&[key("k")]);
    let mut liveness = liveness(LONG_MS, &contacts);
    liveness.voters = [VmId(4)].into();
    for (name, lost_ms) in [
        ("w1", 300_000),
        ("w2", 299_999),
        ("w3", 300_000),
        ("x", 300_000),
    ] {
        let lost_since = Time(NOW_MS - lost_ms);
        liveness
            .lost_workers
            .insert(WorkerId::new(name).unwrap(), lost_since);
    }
    let expected = vec![
        // The acting owner of w3 is silent, so the report that w3 is lost is not reliable.
        Command::Workers {
            add: vec![],
            remove: vec![WorkerId::new("w1").unwrap()],
            leases: None,
        },
        // VM 3 is an acting owner, VM 4 a voter until it is replaced, and VM 6 may be isolated.
        Command::RemoveVm { id: VmId(2) },
        Command::RemoveVm { id: VmId(5) },
        Command::WithdrawKeys {
            ids: vec![key("k")],
        },
    ];
    let commands = planned(&cell, &liveness).commands;
    let other_commands = commands
        .into_iter()
        .filter(|c| !matches!(c, Command::SetOwner { .. }));
    assert_eq!(other_commands.collect::<Vec<_>>(), expected);
    apply(&mut cell, &expected[0]);
    assert_eq!(cell.workers(domain("a")).count(), 2);
}

/// Guards against a lost voter that is never replaced, or that is replaced by a VM that cannot vote
/// (failure F11 of the design page).
#[test]
fn lost_voter_is_replaced_by_ready_learner() {
    let contacts = |silent_ms: u64| {
        [
            (1, "a", LONG_MS, 0),
            (2, "b", LONG_MS, silent_ms),
            (3, "c", LONG_MS, 0),
            (4, "a", LONG_MS, 0),
            (5, "b", LONG_MS, 0),
            (6, "d", LONG_MS, 0),
            (7, "b", LONG_MS, 300_000),
        ]
    };
    // Silence of voter 2 in milliseconds, ready learners, expected replacement.
    let cases: [(u64, &[u64], Option<u64>); 6] = [
        (299_999, &[4, 5, 6], None),
        (300_000, &[4, 5, 6], Some(5)),
        (300_000, &[4, 6, 7], Some(6)),
        (300_000, &[4], Some(4)),
        (300_000, &[7], None),
        (300_000, &[1, 3], None),
    ];
    for (silent_ms, ready, replacement) in cases {
        let contacts = contacts(silent_ms);
        let mut cell = cell(&contacts, &[]);
        // VM 8 has no disk.
        let mut diskless = vm(8, "b");
        diskless.disk = false;
        apply(&mut cell, &Command::JoinVm { vm: diskless });
        let mut liveness = liveness(LONG_MS, &contacts);
        liveness.record_contact(VmId(8), Time(NOW_MS), &LeaseSettings::default());
        liveness.voters = [VmId(1), VmId(2), VmId(3)].into();
        liveness.ready_learners = ready.iter().chain(&[8]).map(|&id| VmId(id)).collect();
        let expected = replacement.map(|id| VoterReplacement {
            lost: VmId(2),
            replacement: VmId(id),
        });
        assert_eq!(
            planned(&cell, &liveness).voter_replacement,
            expected,
            "{silent_ms} {ready:?}"
        );
    }
}
