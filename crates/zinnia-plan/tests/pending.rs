//! Number of jobs that have not begun.

mod common;

use common::Simulation;
use common::WORKER_CLOCK_LEAD_MS;
use common::document;
use common::incarnation;
use common::job;
use common::run_key;
use common::step;
use zinnia_plan::EndReason;
use zinnia_plan::StartOrder;
use zinnia_plan::StartOutcome;

/// Guards against jobs that are not counted although no worker has begun them: they were only assigned, and their
/// orders got no answer; and against jobs that are counted although a worker runs them.
#[test]
fn assigned_jobs_are_pending_until_a_worker_begins() {
    struct Case {
        name: &'static str,
        /// What happens after the start order is sent.
        events: fn(&mut Simulation, &StartOrder),
        pending: usize,
    }
    fn accept(sim: &mut Simulation, order: &StartOrder) {
        let clock_ms = sim.now + WORKER_CLOCK_LEAD_MS;
        sim.start_answered(order, &StartOutcome::Accepted { clock_ms });
    }
    fn report(sim: &mut Simulation, order: &StartOrder) {
        sim.now += 2_000;
        let poll = sim
            .plan()
            .polls
            .pop()
            .expect("a worker with a run is polled");
        sim.report(&poll, &[run_key(order)], Vec::new());
    }
    let cases = [
        Case {
            name: "the order is on its way",
            events: |_, _| {},
            pending: 1,
        },
        Case {
            name: "the order has no answer",
            events: |sim, order| sim.start_answered(order, &StartOutcome::Unknown),
            pending: 1,
        },
        Case {
            name: "the order is accepted",
            events: accept,
            pending: 0,
        },
        Case {
            name: "the worker reports the run",
            events: report,
            pending: 0,
        },
        Case {
            name: "the run has ended",
            events: |sim, order| {
                let (task, run) = run_key(order);
                sim.end("w", 1, task, run, EndReason::Stopped);
            },
            pending: 0,
        },
        Case {
            name: "the run has ended, and the leader changes",
            events: |sim, order| {
                let (task, run) = run_key(order);
                sim.end("w", 1, task, run, EndReason::Failed);
                sim.change_leader(2);
            },
            pending: 0,
        },
        Case {
            name: "the next leader hears of the run",
            events: |sim, order| {
                accept(sim, order);
                sim.change_leader(2);
                report(sim, order);
            },
            pending: 0,
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(document(None));
        sim.add_worker(&incarnation("w", 4_000));
        sim.submit(job(vec![step(1, 1_000)]));
        let pending = |sim: &Simulation| {
            let queue = sim.state.document.queue("quick").expect("the queue exists");
            sim.leader.pending(&sim.state, queue)
        };
        assert_eq!(pending(&sim), 1, "{}: before the start", case.name);
        let order = sim.start_tasks().pop().expect("the task is started");
        (case.events)(&mut sim, &order);
        assert_eq!(pending(&sim), case.pending, "{}", case.name);
    }
}
