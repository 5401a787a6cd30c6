//! A new leader of a cell with thousands of workers.

mod common;

use std::collections::BTreeSet;

use common::Simulation;
use common::document;
use common::incarnation;
use common::job;
use common::step;
use zinnia_plan::Leader;
use zinnia_plan::Settings;
use zinnia_types::Time;

const WORKERS: u32 = 3_000;
/// Workers that run a task at the change of the leader.
const BUSY_WORKERS: u32 = 300;
/// Time until a worker answers a poll.
const ANSWER_MS: u64 = 5;

/// Guards against a new leader that polls all workers of a large cell at the same time. The polls take
/// all its descriptors, so that orders and the renewal of leases fail.
///
/// Load: 3,000 workers, a tenth of which run tasks. Each worker answers after 5 ms.
#[test]
fn new_leader_polls_idle_workers_in_turn() {
    let mut sim = Simulation::new(document(None));
    for n in 0..WORKERS {
        sim.heartbeat(&incarnation(&format!("w{n:04}"), 1_000), 1, false);
    }
    confirm_workers(&mut sim);
    sim.submit(job(vec![step(BUSY_WORKERS, 1_000)]));
    let busy: BTreeSet<String> = sim
        .start_tasks()
        .into_iter()
        .map(|order| order.common.worker)
        .collect();
    assert_eq!(busy.len(), BUSY_WORKERS as usize);

    let settings = Settings::default();
    let max_idle_polls = settings.max_idle_polls;
    sim.leader = Leader::new(settings, 2, &sim.state, &sim.lease_times, Time(sim.now));
    let took_over_at = sim.now;
    let mut polled = BTreeSet::new();
    while polled.len() < WORKERS as usize {
        let polls = sim.plan().polls;
        let (of_busy, of_idle): (Vec<_>, Vec<_>) =
            polls.into_iter().partition(|p| busy.contains(&p.worker));
        if sim.now == took_over_at {
            assert_eq!(of_busy.len(), busy.len(), "leases are renewed at once");
        }
        assert!(of_idle.len() <= max_idle_polls, "{} at once", of_idle.len());
        sim.now += ANSWER_MS;
        for poll in of_idle {
            sim.report(&poll, &[], Vec::new());
            polled.insert(poll.worker);
        }
        polled.extend(of_busy.into_iter().map(|p| p.worker));
        assert!(sim.now < took_over_at + 1_000, "{} polled", polled.len());
    }
}

/// Lets all workers answer the first poll.
fn confirm_workers(sim: &mut Simulation) {
    loop {
        let polls = sim.plan().polls;
        if polls.is_empty() {
            return;
        }
        for poll in polls {
            sim.report(&poll, &[], Vec::new());
        }
        sim.now += ANSWER_MS;
    }
}
