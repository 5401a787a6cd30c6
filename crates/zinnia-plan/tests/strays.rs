//! Runs that a worker has without an assignment.

#![expect(clippy::panic, reason = "a test must stop if its setup fails")]

mod common;

use common::Simulation;
use common::document;
use common::incarnation;
use common::job;
use common::run_key;
use common::step;
use zinnia_plan::Incarnation;
use zinnia_plan::Poll;
use zinnia_plan::StartOutcome;
use zinnia_plan::Step;

/// Time after which a poll that failed or a stop is repeated.
const RETRY_MS: u64 = 400;

fn next_poll(sim: &mut Simulation, worker: &str) -> Poll {
    for _ in 0..10 {
        let poll = sim.plan().polls.into_iter().find(|p| p.worker == worker);
        if let Some(poll) = poll {
            return poll;
        }
        sim.now += RETRY_MS;
    }
    panic!("the worker is not polled");
}

/// Guards against a task that runs twice: a delayed order reaches the next incarnation of its worker, which does
/// not know the fencing token that had settled the order, and lists the run; the leader neither stops it nor waits
/// for its end before it starts the task elsewhere.
#[test]
fn task_waits_for_the_end_of_an_unassigned_run() {
    struct Case {
        name: &'static str,
        step: Step,
    }
    let cases = [
        Case {
            name: "task",
            step: step(1, 1_000),
        },
        Case {
            name: "gang",
            step: Step {
                gang: true,
                ..step(2, 1_000)
            },
        },
    ];
    for Case { name, step } in cases {
        let count = step.count as usize;
        let mut sim = Simulation::new(document(None));
        sim.add_worker(&incarnation("w", 4_000));
        sim.submit(job(vec![step]));
        let orders = sim.start_tasks();
        assert_eq!(orders.len(), count, "{name}");
        for order in &orders {
            sim.start_answered(order, &StartOutcome::Unknown);
        }
        // Polls with a higher token settle that the order was not carried out.
        while !sim.state.workers["w"].runs.is_empty() {
            let poll = next_poll(&mut sim, "w");
            sim.report(&poll, &[], Vec::new());
        }
        sim.now += 3_000;
        sim.add_worker(&incarnation("v", 4_000));
        let reborn = Incarnation {
            born: 2,
            ..incarnation("w", 4_000)
        };
        sim.heartbeat(&reborn, 1, false);
        let late = run_key(&orders[0]);
        let poll = next_poll(&mut sim, "w");
        sim.report(&poll, &[late], Vec::new());
        sim.heartbeat(&incarnation("v", 4_000), 2, false);
        sim.now += RETRY_MS;
        let plan = sim.plan();
        assert_eq!(plan.starts, [], "{name}: the late run is still there");
        let stops: Vec<_> = plan.stops.iter().map(|s| (s.task, s.run)).collect();
        assert_eq!(stops, [late], "{name}");
        let poll = plan.polls.into_iter().find(|p| p.worker == "w");
        let poll = poll.unwrap_or_else(|| next_poll(&mut sim, "w"));
        sim.report(&poll, &[], Vec::new());
        assert_eq!(sim.start_tasks().len(), count, "{name}: it starts again");
    }
}
