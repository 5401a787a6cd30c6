//! Workers whose address another one takes, or says that it has.

mod common;

use common::Simulation;
use common::incarnation;
use common::simulation_with_run;
use zinnia_plan::Incarnation;
use zinnia_plan::Record;
use zinnia_types::Time;

/// A heartbeat of another writer, or of the worker that has the address of the worker `w` now.
fn other(born: i64) -> Incarnation {
    Incarnation {
        addr: "w:80".to_owned(),
        pool: "ledger".to_owned(),
        born,
        ..incarnation("x", 1_000)
    }
}

fn assigned(sim: &Simulation) -> usize {
    sim.state.workers["w"].runs.len()
}

/// Guards against runs that are released, and a worker that is out of use for good, because of a heartbeat
/// that has its address: such a heartbeat may come from another writer.
#[test]
fn heartbeat_with_the_address_of_a_worker_ends_nothing() {
    for born in [0, 1, 9] {
        let (mut sim, _) = simulation_with_run();
        sim.heartbeat(&other(born), 1, false);
        assert_eq!(assigned(&sim), 1, "born {born}");
        assert!(!sim.state.workers["w"].left, "born {born}");
    }
}

/// Guards against the runs of a worker that wait for its leases although another worker has its address, and
/// against runs that are released because of an answer at an address that only a heartbeat of another writer
/// told.
#[test]
fn answer_of_another_worker_ends_the_polled_one() {
    struct Case {
        name: &'static str,
        before: fn(&mut Simulation),
        ended: bool,
    }
    let cases = [
        Case {
            name: "the worker has answered before",
            before: |_| {},
            ended: true,
        },
        Case {
            name: "it has answered an earlier leader",
            before: |sim| sim.change_leader(2),
            ended: true,
        },
        Case {
            name: "it has deregistered",
            before: |sim| {
                sim.apply(Record::Deregister {
                    worker: "w".to_owned(),
                    born: 1,
                });
            },
            ended: true,
        },
        Case {
            name: "a heartbeat told another incarnation, which never answered",
            before: |sim| {
                let next = Incarnation {
                    born: 9,
                    addr: "elsewhere:80".to_owned(),
                    ..incarnation("w", 4_000)
                };
                sim.heartbeat(&next, 1, false);
            },
            ended: false,
        },
    ];
    for case in cases {
        let (mut sim, _) = simulation_with_run();
        (case.before)(&mut sim);
        let poll = loop {
            let plan = sim.plan_after(100);
            if let Some(poll) = plan.polls.into_iter().find(|p| p.worker == "w") {
                break poll;
            }
        };
        let now = Time(sim.now);
        let record = sim.leader.poll_misdirected(&sim.state, &poll, now);
        assert_eq!(record.is_some(), case.ended, "{}", case.name);
        if let Some(record) = record {
            sim.apply(record);
        }
        assert_eq!(assigned(&sim) == 0, case.ended, "{}", case.name);
    }
}
