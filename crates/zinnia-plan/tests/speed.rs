//! Learning which workers are slow from run times, and what placement makes of it.

#![expect(clippy::expect_used, reason = "a test must stop if its setup fails")]

mod common;

use common::Simulation;
use common::WORKER_CLOCK_LEAD_MS;
use common::document;
use common::incarnation;
use common::job;
use common::step;
use zinnia_plan::End;
use zinnia_plan::EndReason;
use zinnia_plan::Incarnation;
use zinnia_plan::StartOutcome;
use zinnia_plan::Step;

/// Workers; the last one is slow.
const WORKERS: [&str; 4] = ["w0", "w1", "w2", "w3"];

/// Room of each worker, in thousandths of a core.
const CPU: u64 = 4_000;

/// A cell with an urgent queue and one of low priority.
fn simulation() -> Simulation {
    let mut doc = document(None);
    doc.queues.push(zinnia_plan::Queue {
        name: "later".to_owned(),
        prefix: "/l/".to_owned(),
        priority: 2,
        ..doc.queues[0].clone()
    });
    let mut sim = Simulation::new(doc);
    for name in WORKERS {
        sim.add_worker(&incarnation(name, CPU));
    }
    sim
}

/// Runs a job with one task on each worker; the tasks take `times_ms`.
fn run_job(sim: &mut Simulation, id: u64, times_ms: [u64; 4]) {
    let wide = Step {
        per_worker: 1,
        ..step(4, 1_000)
    };
    sim.submit_to("quick", id, job(vec![wide]));
    let orders = sim.start_tasks();
    assert_eq!(orders.len(), WORKERS.len());
    let started = sim.now;
    for order in &orders {
        let clock_ms = sim.now + WORKER_CLOCK_LEAD_MS;
        sim.start_answered(order, &StartOutcome::Accepted { clock_ms });
    }
    let mut polls = sim.plan().polls;
    polls.sort_by_key(|p| WORKERS.iter().position(|w| *w == p.worker));
    for (poll, ms) in polls.iter().zip(times_ms) {
        sim.now = started + ms;
        let order = orders.iter().find(|o| o.common.worker == poll.worker);
        let run = &order.expect("each worker has a task").common;
        let end = End {
            number: id,
            task: run.task,
            run: run.run,
            reason: EndReason::Done,
            checkpoint: String::new(),
        };
        sim.report(poll, &[], vec![end]);
        sim.leader
            .ends_acked(&poll.worker, zinnia_types::Time(sim.now));
    }
    for name in WORKERS {
        sim.heartbeat(&incarnation(name, CPU), id + 10, false);
    }
}

/// Guards against urgent jobs that end late because some of their tasks are on slow workers while
/// fast ones run tasks that have time.
#[test]
fn urgent_tasks_avoid_slow_workers() {
    struct Case {
        name: &'static str,
        queue: &'static str,
        runs: u64,
        restarted: bool,
        on_slow: bool,
    }
    let cases = [
        Case {
            name: "urgent",
            queue: "quick",
            runs: 5,
            restarted: false,
            on_slow: false,
        },
        Case {
            name: "low priority",
            queue: "later",
            runs: 5,
            restarted: false,
            on_slow: true,
        },
        Case {
            name: "one run time is not enough",
            queue: "later",
            runs: 1,
            restarted: false,
            on_slow: false,
        },
        Case {
            name: "a worker that has restarted is new",
            queue: "later",
            runs: 5,
            restarted: true,
            on_slow: false,
        },
    ];
    for case in cases {
        let mut sim = simulation();
        for id in 1..=case.runs {
            run_job(&mut sim, id, [700, 710, 720, 950]);
        }
        if case.restarted {
            sim.add_worker(&Incarnation {
                born: 2,
                ..incarnation("w3", CPU)
            });
        }
        sim.submit_to(case.queue, 100, job(vec![step(1, 1_000)]));
        let order = sim.start_tasks().pop().expect("the task is started");
        assert_eq!(order.common.worker == "w3", case.on_slow, "{}", case.name);
    }
}
