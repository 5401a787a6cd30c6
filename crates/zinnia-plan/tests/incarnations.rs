//! Leases of workers that crash and return as a new incarnation.

mod common;

use common::Simulation;
use common::WORKER_CLOCK_LEAD_MS;
use common::document;
use common::incarnation;
use common::job;
use common::simulation_with_run;
use common::step;
use common::task;
use zinnia_plan::Incarnation;
use zinnia_plan::LeaseChanges;
use zinnia_plan::ReceivedRun;
use zinnia_plan::Record;
use zinnia_plan::ResumedRenewal;
use zinnia_plan::Settings;
use zinnia_plan::StartOrder;
use zinnia_plan::StartOutcome;
use zinnia_plan::Step;
use zinnia_plan::StoppedRenewal;

/// A task that is to last runs again within 10 s of the last loss. The election of a new leader and the
/// start of the task take 2 s of it.
const RELEASE_MS: u64 = 8_000;

/// The next incarnation of the worker `w`.
fn reborn() -> Incarnation {
    Incarnation {
        born: 2,
        ..incarnation("w", 4_000)
    }
}

/// Entry about the run of an order, which the incarnation `born` has received.
fn received(order: &StartOrder, born: i64) -> ReceivedRun {
    ReceivedRun {
        task: order.common.task,
        run: order.common.run,
        born,
    }
}

/// Guards against a new leader that forgets that delayed orders may have reached a new incarnation.
#[test]
fn new_leader_awaits_delayed_orders_to_new_incarnation() {
    struct Case {
        name: &'static str,
        /// Time between the new incarnation and the change of the leader.
        replaced_before_ms: u64,
        /// Longest time after the change in which an order to the earlier incarnation may arrive.
        delay_ms: u64,
        lease_ms: u64,
    }
    let cases = [
        Case {
            name: "new incarnation",
            replaced_before_ms: 500,
            delay_ms: 12_000,
            lease_ms: 10_000,
        },
        Case {
            name: "orders to the earlier incarnation cannot arrive any more",
            replaced_before_ms: 25_000,
            delay_ms: 0,
            lease_ms: 7_000,
        },
    ];
    for case in cases {
        let (mut sim, _) = simulation_with_run();
        sim.heartbeat(&reborn(), 1, false);
        sim.now += case.replaced_before_ms;
        sim.apply(Record::Release(Vec::new()));
        sim.change_leader(2);
        let after = sim.wait_for_release().expect("the runs are released");
        assert!(
            after > case.delay_ms + case.lease_ms * 100 / 98,
            "{}: released after {after} ms",
            case.name
        );
        assert!(
            after < case.delay_ms + case.lease_ms * 11 / 10,
            "{}: released after {after} ms",
            case.name
        );
    }
}

/// Guards against tasks of a crashed worker that wait for delayed orders, which only matter for runs that
/// the crashed incarnation did not receive, if the next incarnation is lost before its first answer.
#[test]
fn received_runs_do_not_wait_for_delayed_orders() {
    struct Case {
        name: &'static str,
        /// Whether the start order of the run was answered before the crash.
        received: bool,
        /// Whether the log tells so.
        told: bool,
        /// Time between the start of the run and the next incarnation.
        age_ms: u64,
        /// Whether the leader is lost with the next incarnation.
        leader_lost: bool,
        in_time: bool,
    }
    let cases = [
        Case {
            name: "received",
            received: true,
            told: false,
            age_ms: 1_000,
            leader_lost: false,
            in_time: true,
        },
        Case {
            name: "not answered",
            received: false,
            told: false,
            age_ms: 1_000,
            leader_lost: false,
            in_time: false,
        },
        Case {
            name: "a new leader does not know that it was received",
            received: true,
            told: false,
            age_ms: 1_000,
            leader_lost: true,
            in_time: false,
        },
        Case {
            name: "a new leader, received as the log tells",
            received: true,
            told: true,
            age_ms: 1_000,
            leader_lost: true,
            in_time: true,
        },
        Case {
            name: "a new leader, started too long ago for a delayed order",
            received: false,
            told: false,
            age_ms: 18_000,
            leader_lost: true,
            in_time: true,
        },
    ];
    for case in cases {
        let (mut sim, order) = simulation_with_run();
        if !case.received {
            sim.start_answered(&order, &StartOutcome::Unknown);
        }
        if case.told {
            let received = LeaseChanges {
                received: vec![received(&order, 1)],
                ..LeaseChanges::default()
            };
            sim.apply_batch(Vec::new(), received);
        }
        sim.now += case.age_ms;
        sim.heartbeat(&reborn(), 1, false);
        let lost_ms = sim.now;
        if case.leader_lost {
            sim.change_leader(2);
        }
        sim.wait_for_release().expect("the runs are released");
        let after = sim.now - lost_ms;
        assert_eq!(
            after <= RELEASE_MS,
            case.in_time,
            "{}: released after {after} ms",
            case.name
        );
    }
}

/// Guards against a new leader that waits anew for the leases of a silent worker because the worker had
/// crashed and returned shortly before.
#[test]
fn silence_of_a_replaced_worker_counts() {
    let (mut sim, _) = simulation_with_run();
    sim.heartbeat(&reborn(), 1, false);
    sim.now += 100;
    let poll = sim.plan_and_tell().polls.remove(0);
    sim.report(&poll, &[], Vec::new());
    sim.now += 4_000;
    sim.heartbeat(&reborn(), 2, false);
    let starts = sim.plan_and_tell().starts;
    let order = sim.start(starts).pop().expect("the task runs again");
    let clock_ms = sim.now + WORKER_CLOCK_LEAD_MS;
    sim.start_answered(&order, &StartOutcome::Accepted { clock_ms });
    let lost_ms = sim.now;
    sim.now += 2_000;
    let poll = sim.plan_and_tell().polls.remove(0);
    sim.poll_failed(&poll);
    sim.now += 100;
    sim.plan_and_tell();
    sim.now += 3_000;
    sim.change_leader(2);
    sim.wait_for_release().expect("the runs are released");
    let after = sim.now - lost_ms;
    assert!(
        after > Settings::default().lease_ms * 100 / 98,
        "{after} ms"
    );
    assert!(after <= RELEASE_MS, "released {after} ms after the loss");
}

/// Guards against a task that is to last on a worker that has just crashed and returned: if it is lost
/// again, the task waits for a lease of a delayed order.
#[test]
fn lasting_tasks_avoid_workers_with_long_leases() {
    struct Case {
        name: &'static str,
        long_running: bool,
        worker: &'static str,
    }
    let cases = [
        Case {
            name: "task that ends",
            long_running: false,
            worker: "returned",
        },
        Case {
            name: "task that is to last",
            long_running: true,
            worker: "steady",
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(document(None));
        let returned = incarnation("returned", 2_000);
        sim.add_worker(&returned);
        sim.add_worker(&incarnation("steady", 4_000));
        let reborn = Incarnation {
            born: 2,
            ..returned
        };
        sim.now += 1_000;
        sim.add_worker(&reborn);
        sim.heartbeat(&incarnation("steady", 4_000), 2, false);
        sim.submit(job(vec![Step {
            long_running: case.long_running,
            ..step(1, 1_000)
        }]));
        let order = sim.start_tasks().pop().expect("the task is started");
        assert_eq!(order.common.worker, case.worker, "{}", case.name);
    }
}

/// Guards against entries about an incarnation that count for the next one, which may run what a delayed
/// order starts.
#[test]
fn entries_about_an_earlier_incarnation_are_void() {
    struct Case {
        name: &'static str,
        changes: fn(&StartOrder) -> LeaseChanges,
    }
    let cases = [
        Case {
            name: "renewal stopped",
            changes: |order| LeaseChanges {
                stopped: vec![StoppedRenewal {
                    worker: order.common.worker.clone(),
                    born: 1,
                    wait_ms: 1_000,
                    ..StoppedRenewal::default()
                }],
                ..LeaseChanges::default()
            },
        },
        Case {
            name: "renewal resumed",
            changes: |order| LeaseChanges {
                resumed: vec![ResumedRenewal {
                    worker: order.common.worker.clone(),
                    born: 1,
                }],
                ..LeaseChanges::default()
            },
        },
        Case {
            name: "received by the current incarnation",
            changes: |order| LeaseChanges {
                received: vec![received(order, 2)],
                ..LeaseChanges::default()
            },
        },
    ];
    for case in cases {
        let (mut sim, order) = simulation_with_run();
        sim.start_answered(&order, &StartOutcome::Unknown);
        sim.now += 500;
        sim.heartbeat(&reborn(), 1, false);
        let reborn_ms = sim.now;
        sim.apply_batch(Vec::new(), (case.changes)(&order));
        sim.now += 600;
        sim.change_leader(2);
        sim.wait_for_release().expect("the runs are released");
        let after = sim.now - reborn_ms;
        assert!(
            after > 12_000 + 10_000 * 100 / 98,
            "{}: released {after} ms after the new incarnation",
            case.name
        );
    }
}

/// Guards against a wait for the leases of the incarnation before that starts anew with each leader.
#[test]
fn received_runs_do_not_wait_anew_with_each_leader() {
    let (mut sim, order) = simulation_with_run();
    let received = LeaseChanges {
        received: vec![received(&order, 1)],
        ..LeaseChanges::default()
    };
    sim.apply_batch(Vec::new(), received);
    sim.now += 1_000;
    sim.heartbeat(&reborn(), 1, false);
    let lost_ms = sim.now;
    let mut changes_ms = [3_000, 6_000, 9_000].into_iter().peekable();
    while sim.state.task(task(0)).unwrap().worker.is_some() {
        sim.now += 100;
        if let Some(at) = changes_ms.next_if(|at| lost_ms + at <= sim.now) {
            sim.change_leader(at);
        }
        let plan = sim.plan_and_tell();
        for poll in &plan.polls {
            sim.poll_failed(poll);
        }
        for record in plan.records {
            sim.apply(record);
        }
        assert!(sim.now < lost_ms + 60_000, "never released");
    }
    let after = sim.now - lost_ms;
    assert!(after <= RELEASE_MS, "released after {after} ms");
}

/// Guards against a run that the next incarnation has started, by an order to the one before, and that counts
/// as a run of the one before.
#[test]
fn run_that_the_next_incarnation_accepted_waits_for_its_lease() {
    let mut sim = Simulation::new(document(None));
    sim.add_worker(&incarnation("w", 4_000));
    sim.submit(job(vec![step(1, 1_000)]));
    let order = sim.start_tasks().pop().expect("the task is started");
    sim.now += 150;
    // The clock of the next incarnation has just started.
    sim.start_answered(&order, &StartOutcome::Accepted { clock_ms: 40 });
    let accepted_ms = sim.now;
    sim.heartbeat(&reborn(), 1, false);
    sim.wait_for_release().expect("the runs are released");
    let after = sim.now - accepted_ms;
    assert!(
        after > 10_000 * 100 / 98,
        "released {after} ms after the start"
    );
}

/// Guards against a task that starts elsewhere while its order, which got no answer, may still be carried out
/// by the next incarnation of a lost worker. A task that is to last does not wait for that, since it must
/// run again within a bound.
#[test]
fn unanswered_order_outlasts_the_lease_of_a_lost_worker() {
    /// Longest time until an order without an answer is carried out.
    const ORDER_DELAY_MS: u64 = 12_000;
    for long_running in [false, true] {
        let mut sim = Simulation::new(document(None));
        sim.add_worker(&incarnation("w", 4_000));
        sim.submit(job(vec![Step {
            long_running,
            ..step(1, 1_000)
        }]));
        let order = sim.start_tasks().pop().expect("the task is started");
        let sent_ms = sim.now;
        sim.start_answered(&order, &StartOutcome::Unknown);
        sim.wait_for_release().expect("the run is released");
        let after = sim.now - sent_ms;
        assert_eq!(
            after <= RELEASE_MS,
            long_running,
            "released after {after} ms"
        );
        assert_eq!(
            after > ORDER_DELAY_MS,
            !long_running,
            "released after {after} ms"
        );
    }
}
