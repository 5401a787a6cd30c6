//! Heartbeats that another member answers on behalf of the leader.

mod common;

use common::Simulation;
use common::WORKER_CLOCK_LEAD_MS;
use common::document;
use common::incarnation;
use common::job;
use common::step;
use zinnia_plan::Heartbeat;
use zinnia_plan::Incarnation;
use zinnia_plan::Record;
use zinnia_plan::Settings;
use zinnia_types::Time;

fn heartbeat(incarnation: Incarnation, draining: bool) -> Heartbeat {
    Heartbeat {
        incarnation,
        sequence: 2,
        clock_ms: 1,
        draining,
        remaining_ms: None,
    }
}

/// Guards against a heartbeat that is acknowledged without being recorded: the worker's drain would
/// be lost, or a new incarnation would stay unknown.
#[test]
fn only_unchanged_workers_are_answered_by_any_member() {
    struct Case {
        name: &'static str,
        born: i64,
        draining: bool,
        /// Record that is applied before the heartbeat arrives.
        earlier: Option<Record>,
        contained: bool,
    }
    let worker = || "w".to_owned();
    let cases = [
        Case {
            name: "nothing new",
            born: 1,
            draining: false,
            earlier: None,
            contained: true,
        },
        Case {
            name: "starts to drain",
            born: 1,
            draining: true,
            earlier: None,
            contained: false,
        },
        Case {
            name: "drains as recorded",
            born: 1,
            draining: true,
            earlier: Some(Record::Drain {
                worker: worker(),
                born: 1,
            }),
            contained: true,
        },
        Case {
            name: "new incarnation",
            born: 2,
            draining: false,
            earlier: None,
            contained: false,
        },
        Case {
            name: "ended incarnation",
            born: 1,
            draining: false,
            earlier: Some(Record::EndIncarnation {
                worker: worker(),
                born: 1,
            }),
            contained: false,
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(document(None));
        sim.add_worker(&incarnation("w", 4_000));
        if let Some(record) = case.earlier {
            sim.apply(record);
        }
        let sender = Incarnation {
            born: case.born,
            ..incarnation("w", 4_000)
        };
        let contained = sim
            .state
            .contains_heartbeat(&heartbeat(sender, case.draining));
        assert_eq!(contained, case.contained, "{}", case.name);
    }
    let state = Simulation::new(document(None)).state;
    let unknown = heartbeat(incarnation("w", 4_000), false);
    assert!(!state.contains_heartbeat(&unknown), "unknown worker");
}

/// Guards against workers that get no tasks although another member hears them, and against a member
/// that keeps a silent worker in use by passing on its heartbeats late.
#[test]
fn relayed_heartbeats_keep_workers_in_use() {
    struct Case {
        name: &'static str,
        /// Time between the receipt of the heartbeat and its arrival at the leader.
        age_ms: u64,
        in_use: bool,
    }
    let silence_ms = Settings::default().silence_ms;
    let cases = [
        Case {
            name: "passed on at once",
            age_ms: 200,
            in_use: true,
        },
        Case {
            name: "passed on after a pause of the member",
            age_ms: silence_ms,
            in_use: false,
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(document(None));
        sim.add_worker(&incarnation("w", 4_000));
        sim.now += 2 * silence_ms;
        let mut sent = heartbeat(incarnation("w", 4_000), false);
        sent.clock_ms = sim.now - case.age_ms + WORKER_CLOCK_LEAD_MS;
        let relayed = sent.relayed(case.age_ms);
        sim.leader
            .relayed_heartbeat(&sim.state, &relayed, Time(sim.now));
        sim.submit(job(vec![step(1, 1_000)]));
        assert_eq!(sim.start_tasks().len() == 1, case.in_use, "{}", case.name);
    }
}

/// Guards against a lease that is taken for expired too early, because a relayed reading of the
/// worker's clock counts as one of the moment when it arrived or earlier.
#[test]
fn relayed_clock_readings_extend_no_lease_estimate() {
    let mut sim = Simulation::new(document(None));
    sim.add_worker(&incarnation("w", 4_000));
    sim.submit(job(vec![step(1, 1_000)]));
    let order = sim.start_tasks().pop().expect("the task is started");
    let lease_end = order.deadline_ms - WORKER_CLOCK_LEAD_MS;
    sim.now += 1_000;
    let mut sent = heartbeat(incarnation("w", 4_000), false);
    sent.clock_ms = sim.now + WORKER_CLOCK_LEAD_MS;
    // The member claims to have held the heartbeat for longer than it did.
    let relayed = sent.relayed(5_000);
    sim.leader
        .relayed_heartbeat(&sim.state, &relayed, Time(sim.now));
    while sim.now < lease_end {
        let plan = sim.plan_after(100);
        for poll in &plan.polls {
            sim.poll_failed(poll);
        }
        assert_eq!(plan.records, [], "the lease lasts until {lease_end} ms");
    }
}
