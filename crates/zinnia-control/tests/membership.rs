//! Replacement of members of the log, in a simulation of the log with virtual time.
//!
//! What must hold: a machine that is gone counts for nothing once its successor has had the time to catch up,
//! whether it has announced its shutdown or not, whatever the time between two such machines, and if it leads. As
//! many machines as the cell tolerates may then be lost at any moment.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use zinnia_control::Membership;
use zinnia_control::Settings;
use zinnia_raft::Member;
use zinnia_raft::Members;
use zinnia_raft::MembershipChange;
use zinnia_raft::PeerStatus;
use zinnia_raft::sim::SimOptions;
use zinnia_raft::sim::Simulation;
use zinnia_raft::sim::member;
use zinnia_types::VmId;

/// Time that a successor has to catch up before a machine is removed.
const CATCH_UP_MS: u64 = 4_000;
/// Time in which a machine that has announced its shutdown must be gone.
const GRACE_MS: u64 = 5_000;
/// Interval between two checks of the membership.
const CHECK_MS: u64 = 500;
/// Time without changes after which the cell must commit entries.
const RECOVERY_MS: u64 = 12_000;
/// Time after which a machine that is gone without notice counts for nothing: an election, its silence, and two
/// changes.
const NOTICE_MS: u64 = 4_000;
const SEEDS: u64 = 300;

fn settings(voters: usize) -> Settings {
    Settings {
        voters,
        ..Settings::default()
    }
}

/// A cell whose leader manages its members as in production.
struct Cell {
    sim: Simulation,
    settings: Settings,
    /// Machines that have announced their shutdown, and until when they run at the longest.
    leaving: BTreeMap<VmId, u64>,
}

impl Cell {
    fn new(voters: usize, seed: u64) -> Self {
        let settings = settings(voters);
        let options = SimOptions {
            seed,
            voters: voters as u64,
            settings: zinnia_raft::Settings {
                heartbeat_ms: settings.heartbeat_ms,
                election_min_ms: settings.election_ms.0,
                election_max_ms: settings.election_ms.1,
                lease_ms: settings.election_ms.0 * 3 / 4,
                durable_commit: false,
                ..SimOptions::default().settings
            },
            ..SimOptions::default()
        };
        Self {
            sim: Simulation::new(options),
            settings,
            leaving: BTreeMap::new(),
        }
    }

    fn run(&mut self, ms: u64) {
        let end = self.sim.now + ms;
        while self.sim.now < end {
            let step = CHECK_MS.min(end - self.sim.now);
            if let Some(leader) = self.sim.leader() {
                self.sim.propose(leader);
            }
            self.sim.run(step);
            self.manage();
        }
    }

    /// Adds machines, makes the changes that are needed, and ends machines whose vote was handed over.
    fn manage(&mut self) {
        // One change may require the next one at once.
        for _ in 0..4 {
            let Some((leader, change)) = self.next_change() else {
                break;
            };
            self.sim.change(leader, change);
            self.sim.run(60);
            self.end_leaving();
        }
        self.end_leaving();
    }

    fn next_change(&self) -> Option<(VmId, MembershipChange)> {
        let leader = self.sim.leader()?;
        let node = self.sim.node(leader)?;
        if node.has_pending_change() || !node.is_ready() {
            return None;
        }
        let leaving: BTreeSet<VmId> = self.leaving.keys().copied().collect();
        let membership = Membership {
            members: node.members(),
            peers: &node.peers(),
            own: leader,
            leaving: &leaving,
        };
        let unknown = |id: &VmId| node.members().get(*id).is_none() && !leaving.contains(id);
        let newcomer = self.sim.running_vms().into_iter().find(unknown);
        let add = newcomer.map(|id| MembershipChange::Add(member(id, false)));
        let change = add.or_else(|| membership.next_change(&self.settings))?;
        Some((leader, change))
    }

    fn end_leaving(&mut self) {
        let is_done = |id: &VmId, until: &u64| {
            let leader = self.sim.leader().and_then(|l| self.sim.node(l));
            let votes = leader.is_none_or(|n| n.members().is_voter(*id));
            !votes || self.sim.now >= *until
        };
        let done: Vec<VmId> = self
            .leaving
            .iter()
            .filter(|(id, until)| is_done(id, until))
            .map(|(id, _)| *id)
            .collect();
        for id in done {
            self.leaving.remove(&id);
            self.sim.crash(id, 0, 0);
        }
    }

    /// A machine is removed for good.
    fn remove(&mut self, id: VmId, announced: bool) {
        match announced {
            true => {
                self.leaving.insert(id, self.sim.now + GRACE_MS);
                self.manage();
            }
            false => self.sim.crash(id, 0, 0),
        }
    }

    /// Whether an entry is committed within the recovery time.
    fn commits(&mut self) -> bool {
        let end = self.sim.now + RECOVERY_MS;
        while self.sim.now < end {
            let Some(leader) = self.sim.leader() else {
                self.run(CHECK_MS);
                continue;
            };
            let proposal = self.sim.propose(leader);
            self.run(CHECK_MS);
            if self.sim.checker.committed_index(proposal).is_some() {
                return true;
            }
        }
        false
    }
}

/// How the machines of a schedule are removed.
#[derive(Clone, Copy, Debug)]
enum Removal {
    /// All of them announce their shutdown.
    Announced,
    /// None of them does; all but one may be gone at once.
    Sudden,
}

/// How a machine is lost right after the last one was removed.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// It is down for good.
    Down,
    /// Its disk is lost, and it starts again.
    Disk,
}

/// Removes as many machines as there are successors, and then loses some more. Returns what was done, and whether
/// the cell went on.
fn replace_machines(seed: u64, removal: Removal) -> (String, bool) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let tolerated = rng.random_range(1..3);
    let mut cell = Cell::new(2 * tolerated + 1, seed);
    let mut log = format!("seed {seed}, {tolerated} losses tolerated, {removal:?}:");
    cell.run(3_000);
    let count = rng.random_range(1..=2 * tolerated);
    for _ in 0..count {
        cell.sim.add_blank_vm();
        let pause_ms = rng.random_range(0..2_000);
        cell.run(pause_ms);
    }
    cell.run(CATCH_UP_MS);
    let mut old: Vec<VmId> = (1..=2 * tolerated as u64 + 1).map(VmId).collect();
    for nth in 0..count {
        let leader = cell.sim.leader().filter(|l| old.contains(l));
        let random = old[rng.random_range(0..old.len())];
        let id = leader.filter(|_| rng.random_bool(0.5)).unwrap_or(random);
        old.retain(|o| *o != id);
        let is_leader = leader == Some(id);
        log += &format!(" remove {id} at {} (leads: {is_leader})", cell.sim.now);
        cell.remove(id, matches!(removal, Removal::Announced));
        // Machines that are gone without notice are known by their silence only. Pairs may go at once.
        let at_once = matches!(removal, Removal::Announced) || (nth % 2 == 0 && nth + 1 < count);
        let gap_ms = match at_once {
            true => rng.random_range(0..5_000) * u64::from(rng.random_bool(0.6)),
            false => NOTICE_MS + rng.random_range(0..2_000),
        };
        cell.run(gap_ms);
    }
    let pause_ms = match removal {
        Removal::Announced => rng.random_range(0..GRACE_MS) * u64::from(rng.random_bool(0.7)),
        Removal::Sudden => NOTICE_MS,
    };
    cell.run(pause_ms);
    let mut running = cell.sim.running_vms();
    for _ in 0..rng.random_range(0..=tolerated) {
        let victim = running.swap_remove(rng.random_range(0..running.len()));
        let loss = [Loss::Down, Loss::Disk][rng.random_range(0..2)];
        log += &format!(" then {loss:?} of {victim} at {}", cell.sim.now);
        match loss {
            Loss::Down => cell.sim.crash(victim, 0, 0),
            Loss::Disk => {
                cell.sim.wipe(victim);
            }
        }
    }
    let commits = cell.commits();
    log += &format!("; {:?}\n{}", cell.sim.result(), cell.sim.dump());
    (log, commits && cell.sim.result().is_ok())
}

fn replace_with_all_seeds(removal: Removal) {
    let outcomes = (0..SEEDS).map(|seed| replace_machines(seed, removal));
    let failed: Vec<String> = outcomes.filter(|(_, ok)| !ok).map(|(log, _)| log).collect();
    let shown = failed.first().cloned().unwrap_or_default();
    assert!(failed.is_empty(), "{} failed; {shown}", failed.len());
}

/// Guards against machines that announce their shutdown and count as voters after it, so that the next one, or
/// a loss right after it, takes the quorum for good.
#[test]
fn announced_removals_count_for_nothing() {
    replace_with_all_seeds(Removal::Announced);
}

/// Guards against machines that are gone without notice and still count as voters when the next one goes.
#[test]
fn sudden_removals_count_for_nothing_once_noticed() {
    replace_with_all_seeds(Removal::Sudden);
}

/// Guards against changes that lower the number of losses that the cell tolerates, and against voters that are
/// replaced without a need.
#[test]
fn next_change_keeps_losses_tolerated() {
    #[derive(Default)]
    struct Case {
        name: &'static str,
        /// Voters other than the leader, each with its silence in milliseconds.
        voters: &'static [(u64, u64)],
        /// Learners, each with whether it is caught up.
        learners: &'static [(u64, bool)],
        leaving: &'static [u64],
        change: Option<MembershipChange>,
    }
    let remove = |id| Some(MembershipChange::Remove(VmId(id)));
    let promote = |id| Some(MembershipChange::Promote(VmId(id)));
    let cases = [
        Case {
            name: "all is well",
            voters: &[(2, 10), (3, 10)],
            ..Case::default()
        },
        Case {
            name: "one learner stays in reserve",
            voters: &[(2, 10), (3, 10)],
            learners: &[(4, true)],
            ..Case::default()
        },
        Case {
            name: "a silent voter without a successor",
            voters: &[(2, 10), (3, 9_000)],
            learners: &[(4, false)],
            ..Case::default()
        },
        Case {
            name: "a silent voter is removed before its successor is promoted",
            voters: &[(2, 10), (3, 1_100)],
            learners: &[(4, true)],
            change: remove(3),
            ..Case::default()
        },
        Case {
            name: "a voter that may only be slow",
            voters: &[(2, 10), (3, 900)],
            learners: &[(4, true)],
            ..Case::default()
        },
        Case {
            name: "a vacancy",
            voters: &[(2, 10)],
            learners: &[(4, false), (5, true)],
            change: promote(5),
            ..Case::default()
        },
        Case {
            name: "the successor of a voter that shuts down is promoted first",
            voters: &[(2, 10), (3, 10)],
            learners: &[(4, true)],
            leaving: &[3],
            change: promote(4),
        },
        Case {
            name: "then the voter is removed",
            voters: &[(2, 10), (3, 10), (4, 10)],
            leaving: &[3],
            change: remove(3),
            ..Case::default()
        },
        Case {
            name: "the leader shuts down last",
            voters: &[(2, 10), (3, 10), (4, 10)],
            leaving: &[1, 3],
            change: remove(3),
            ..Case::default()
        },
        Case {
            name: "the leader removes itself",
            voters: &[(2, 10), (3, 10), (4, 10)],
            leaving: &[1],
            change: remove(1),
            ..Case::default()
        },
        Case {
            name: "a learner that shuts down is no successor",
            voters: &[(2, 10), (3, 10)],
            learners: &[(4, true)],
            leaving: &[3, 4],
            ..Case::default()
        },
        Case {
            name: "two learners become voters",
            voters: &[(2, 10), (3, 10)],
            learners: &[(4, true), (5, true)],
            change: promote(4),
            ..Case::default()
        },
        Case {
            name: "the second of two",
            voters: &[(2, 10), (3, 10), (4, 10)],
            learners: &[(5, true)],
            change: promote(5),
            ..Case::default()
        },
        Case {
            name: "no voters are added while one is silent",
            voters: &[(2, 10), (3, 800)],
            learners: &[(4, true), (5, true)],
            ..Case::default()
        },
        Case {
            name: "no more than the largest number",
            voters: &[(2, 10), (3, 10), (4, 10), (5, 10)],
            learners: &[(6, true), (7, true)],
            ..Case::default()
        },
        Case {
            name: "a surplus voter that is silent needs no successor",
            voters: &[(2, 10), (3, 1_100), (4, 10), (5, 10)],
            change: remove(3),
            ..Case::default()
        },
    ];
    for case in cases {
        let status = |id, voter, silent_ms, caught_up| PeerStatus {
            id: VmId(id),
            voter,
            matched: 0,
            lag: 0,
            silent_ms,
            caught_up,
        };
        let voters = case.voters.iter().map(|v| status(v.0, true, v.1, false));
        let learners = case.learners.iter().map(|l| status(l.0, false, 10, l.1));
        let peers: Vec<PeerStatus> = voters.chain(learners).collect();
        let others = peers.iter().map(|p| member(p.id, p.voter));
        let list: Vec<Member> = others.chain([member(VmId(1), true)]).collect();
        let members = Members::from(list);
        let leaving: BTreeSet<VmId> = case.leaving.iter().map(|id| VmId(*id)).collect();
        let membership = Membership {
            members: &members,
            peers: &peers,
            own: VmId(1),
            leaving: &leaving,
        };
        let change = membership.next_change(&settings(3));
        assert_eq!(change, case.change, "{}", case.name);
    }
}
