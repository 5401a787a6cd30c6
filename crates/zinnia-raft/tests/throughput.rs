//! Syncs, messages and bytes per entry, and the throughput in the simulation.

use std::time::Instant;

use zinnia_raft::Settings;
use zinnia_raft::sim::SimOptions;
use zinnia_raft::sim::Simulation;
use zinnia_types::VmId;

struct Case {
    name: &'static str,
    voters: u64,
    /// Number of proposals submitted at once.
    burst: u64,
    /// Number of bursts.
    rounds: u64,
    /// Maximum number of syncs per entry on each VM.
    max_syncs: f64,
}

fn elected_cell(voters: u64) -> (Simulation, VmId) {
    let mut sim = Simulation::new(SimOptions {
        voters,
        delay_ms: 1,
        compact_entries: 5_000,
        settings: Settings::default(),
        ..SimOptions::default()
    });
    assert!(sim.converge(20_000));
    let leader = sim.leader();
    sim.run(1_000);
    (sim, leader.unwrap_or_default())
}

/// Guards against one sync per entry. A burst needs four syncs: for its first entry, for the remaining
/// entries, for the first commit and for the last commit.
#[test]
fn batches_share_syncs() {
    let case = |name, voters, burst, rounds, max_syncs| Case {
        name,
        voters,
        burst,
        rounds,
        max_syncs,
    };
    let cases = [
        case("one at a time", 3, 1, 2_000, 2.0),
        case("bursts of 100", 3, 100, 200, 0.04),
        case("bursts of 1,000", 3, 1_000, 30, 0.004),
        case("bursts of 1,000, five voters", 5, 1_000, 30, 0.004),
    ];
    for case in cases {
        let (mut sim, leader) = elected_cell(case.voters);
        let syncs = |sim: &Simulation| sim.vms.values().map(|vm| vm.disk.syncs).collect::<Vec<_>>();
        let before = syncs(&sim);
        let sent = sim.sent_totals[&leader];
        let start = Instant::now();
        let mut last = 0;
        for _ in 0..case.rounds {
            for _ in 0..case.burst {
                last = sim.propose(leader);
            }
            // Wait until the commit index reaches the followers.
            sim.run(100);
        }
        let elapsed = start.elapsed().as_secs_f64();
        assert_eq!(sim.result(), Ok(()));
        assert!(sim.checker.committed_index(last).is_some(), "{}", case.name);
        let total = (case.burst * case.rounds) as f64;
        let after = syncs(&sim);
        let differences = after.iter().zip(&before).map(|(a, b)| a - b);
        let worst = differences.max().unwrap_or(0) as f64 / total;
        let (messages, bytes) = sim.sent_totals[&leader];
        println!(
            "{}: {:.0} entries/s, {worst:.4} syncs per entry, {:.3} messages and {:.0} bytes per entry from the leader",
            case.name,
            total / elapsed,
            (messages - sent.0) as f64 / total,
            (bytes - sent.1) as f64 / total,
        );
        assert!(worst <= case.max_syncs, "{}", case.name);
    }
}

/// Guards against excessive idle traffic. docs/design.md allows a daemon 26 KB/s, and an idle leader of
/// seven VMs may use a tenth of it.
#[test]
fn idle_traffic() {
    const SECONDS: u64 = 10;
    let (mut sim, leader) = elected_cell(7);
    let (_, before) = sim.sent_totals[&leader];
    sim.run(SECONDS * 1_000);
    let rate = (sim.sent_totals[&leader].1 - before) / SECONDS;
    println!("idle leader of seven VMs sends {rate} bytes/s");
    assert!(rate <= 2_600);
}
