//! Where and when a task starts again after a start order without an answer.

#![expect(clippy::panic, reason = "a test must stop if its setup fails")]

mod common;

use common::Simulation;
use common::document;
use common::incarnation;
use common::job;
use common::run_key;
use common::step;
use zinnia_plan::EndReason;
use zinnia_plan::Incarnation;
use zinnia_plan::StartOutcome;
use zinnia_plan::Step;

/// Longest time until an order without an answer is carried out.
const ORDER_DELAY_MS: u64 = 12_000;
/// A task that is to last runs again within 10 s of the last loss. The start of the task takes some of it.
const LASTING_BOUND_MS: u64 = 9_000;
/// Interval between two planning passes of the test.
const PASS_MS: u64 = 100;

/// A simulation in which the order of the first task, to the worker `w`, has got no answer.
struct Unanswered {
    sim: Simulation,
    /// Whether `w` answers.
    up: bool,
    sequence: u64,
    sent_ms: u64,
}

impl Unanswered {
    fn new(step: Step) -> Self {
        let mut sim = Simulation::new(document(None));
        sim.add_worker(&incarnation("w", 4_000));
        sim.submit(job(vec![step]));
        let mut orders = sim.start_tasks();
        let order = orders.remove(0);
        let sent_ms = sim.now;
        sim.add_worker(&incarnation("v", 2_000));
        sim.now += 200;
        sim.start_answered(&order, &StartOutcome::Unknown);
        for order in &orders {
            sim.start_answered(order, &StartOutcome::Unknown);
        }
        let mut test = Self {
            sim,
            up: true,
            sequence: 1,
            sent_ms,
        };
        test.settle();
        test
    }

    /// Plans, and lets the worker `w` answer with a higher fencing token that it has not got the order.
    fn settle(&mut self) {
        while !self.sim.state.workers["w"].runs.is_empty() {
            assert!(self.pass().is_empty(), "the order is not settled");
            assert!(self.sim.now < self.sent_ms + 2_000, "it is never settled");
        }
    }

    /// Plans once, and lets the workers answer that are up. Returns the names of the workers to which tasks are
    /// assigned.
    fn pass(&mut self) -> Vec<String> {
        self.sim.now += PASS_MS;
        self.sequence += 1;
        let heartbeat = incarnation("v", 2_000);
        self.sim.heartbeat(&heartbeat, self.sequence, false);
        let plan = self.sim.plan_and_tell();
        for poll in &plan.polls {
            match poll.worker == "v" || self.up {
                true => self.sim.report(poll, &[], Vec::new()),
                false => self.sim.poll_failed(poll),
            }
        }
        for record in plan.records {
            self.sim.apply(record);
        }
        plan.starts.into_iter().map(|s| s.worker).collect()
    }

    /// Time from the order to the next start, and the worker of the first task.
    fn next_start(&mut self) -> (u64, Vec<String>) {
        while self.sim.now < self.sent_ms + 60_000 {
            let workers = self.pass();
            if !workers.is_empty() {
                return (self.sim.now - self.sent_ms, workers);
            }
        }
        panic!("the task never starts again");
    }
}

/// Guards against a task whose order was merely lost and that waits, or starts on another worker although the next
/// incarnation of its worker may still carry out the order.
#[test]
fn task_starts_again_on_the_worker_of_its_unanswered_order() {
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
            name: "task that is to last",
            step: Step {
                long_running: true,
                ..step(1, 1_000)
            },
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
        for new_leader in [false, true] {
            let mut test = Unanswered::new(step.clone());
            if new_leader {
                test.sim.change_leader(2);
            }
            let (after, workers) = test.next_start();
            assert_eq!(workers[0], "w", "{name}, new leader: {new_leader}");
            assert!(after <= 1_000, "{name}: it starts after {after} ms");
        }
    }
}

/// Guards against a task that starts elsewhere while the next incarnation of a lost worker may still carry out its
/// order, which the lost incarnation had settled; and against a task that is to last and waits for that too long.
#[test]
fn settled_order_to_a_lost_worker_binds_its_task() {
    struct Case {
        name: &'static str,
        long_running: bool,
        new_leader: bool,
    }
    let cases = [
        Case {
            name: "task",
            long_running: false,
            new_leader: false,
        },
        Case {
            name: "task, and the leader is lost too",
            long_running: false,
            new_leader: true,
        },
        Case {
            name: "task that is to last",
            long_running: true,
            new_leader: false,
        },
    ];
    for case in cases {
        let mut test = Unanswered::new(Step {
            long_running: case.long_running,
            ..step(1, 1_000)
        });
        test.up = false;
        // The worker gets no task before it has answered, and a poll without an answer shows its silence.
        let reborn = Incarnation {
            born: 2,
            ..incarnation("w", 4_000)
        };
        test.sim.heartbeat(&reborn, 1, false);
        if case.new_leader {
            test.sim.now += 1_000;
            test.sim.change_leader(2);
        }
        let (after, workers) = test.next_start();
        assert_eq!(workers, ["v"], "{}", case.name);
        match case.long_running {
            true => assert!(after <= LASTING_BOUND_MS, "{}: {after} ms", case.name),
            false => assert!(after > ORDER_DELAY_MS, "{}: {after} ms", case.name),
        }
    }
}

/// Guards against a task that stays bound to a worker although its order has been carried out: it waits for a
/// worker on which it has failed.
#[test]
fn order_that_was_carried_out_binds_no_longer() {
    let mut sim = Simulation::new(document(None));
    sim.add_worker(&incarnation("w", 4_000));
    sim.submit(job(vec![step(1, 1_000)]));
    let order = sim.start_tasks().remove(0);
    sim.add_worker(&incarnation("v", 2_000));
    sim.now += 200;
    sim.start_answered(&order, &StartOutcome::Unknown);
    let plan = sim.plan_and_tell();
    let poll = plan.polls.iter().find(|p| p.worker == "w");
    sim.report(poll.expect("it is polled"), &[run_key(&order)], Vec::new());
    let (task, run) = run_key(&order);
    sim.end("w", 1, task, run, EndReason::Failed);
    sim.now += 100;
    let orders = sim.start_tasks();
    let workers: Vec<&str> = orders.iter().map(|o| o.common.worker.as_str()).collect();
    assert_eq!(workers, ["v"]);
}

/// Guards against a task that is tried for ever on a worker that answers polls and leaves orders unanswered.
#[test]
fn worker_that_answers_no_order_keeps_no_task_for_good() {
    let mut test = Unanswered::new(step(1, 1_000));
    let mut last_ms = test.sent_ms;
    loop {
        test.sim.now += PASS_MS;
        let heartbeat = incarnation("v", 2_000);
        test.sequence += 1;
        test.sim.heartbeat(&heartbeat, test.sequence, false);
        let plan = test.sim.plan_and_tell();
        for poll in &plan.polls {
            test.sim.report(poll, &[], Vec::new());
        }
        let orders = test.sim.start(plan.starts);
        if orders.iter().any(|o| o.common.worker == "v") {
            break;
        }
        for order in &orders {
            last_ms = test.sim.now;
            test.sim.start_answered(order, &StartOutcome::Unknown);
        }
        let waited = test.sim.now - test.sent_ms;
        assert!(waited < 20_000, "no start elsewhere for {waited} ms");
    }
    let after = test.sim.now - last_ms;
    assert!(after > ORDER_DELAY_MS, "after {after} ms");
}
