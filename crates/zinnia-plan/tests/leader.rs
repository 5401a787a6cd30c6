//! The leader's decisions about workers that answer late or not at all, and after a change of the
//! leader.

#![expect(clippy::expect_used, reason = "a test must stop if its setup fails")]

mod common;

use common::Simulation;
use common::WORKER_CLOCK_LEAD_MS;
use common::document;
use common::incarnation;
use common::job;
use common::step;
use common::task;
use zinnia_plan::Incarnation;
use zinnia_plan::Record;
use zinnia_plan::Settings;
use zinnia_plan::StartOutcome;
use zinnia_plan::lease_bound_ms;
use zinnia_types::Time;

fn run_key(order: &zinnia_plan::StartOrder) -> (zinnia_plan::TaskId, u32) {
    (order.common.task, order.common.run)
}

/// A world with one worker, on which one task is running.
fn simulation_with_run() -> (Simulation, zinnia_plan::StartOrder) {
    let mut sim = Simulation::new(document(None));
    sim.add_worker(&incarnation("w", 4_000));
    sim.submit(job(vec![step(1, 1_000)]));
    let order = sim.start_tasks().pop().expect("the task is started");
    let clock_ms = sim.now + WORKER_CLOCK_LEAD_MS;
    sim.start_answered(&order, &StartOutcome::Accepted { clock_ms });
    (sim, order)
}

/// Guards against a new leader that releases the runs of a worker right after the worker's first
/// answer. The first poll renews no lease, since the leader does not know the worker's clock yet,
/// so the lease of the earlier leader must count.
#[test]
fn new_leader_keeps_runs() {
    let (mut sim, order) = simulation_with_run();
    sim.now += 500;
    sim.change_leader(2);
    let poll = sim.plan().polls.remove(0);
    sim.now += 10;
    sim.report(&poll, &[run_key(&order)], Vec::new());
    let plan = sim.plan();
    assert_eq!(plan.records, [], "no lease has expired");
    assert!(sim.state.task(task(0)).unwrap().worker.is_some());
}

/// Guards against tasks of a dead worker that never start elsewhere because each unanswered poll
/// counted as a renewal of the lease. Also guards against starting them before the lease has
/// expired.
#[test]
fn runs_of_silent_worker_are_released() {
    let (mut sim, _) = simulation_with_run();
    let settings = Settings::default();
    let start_ms = sim.now;
    let mut released_after = None;
    while released_after.is_none() && sim.now < start_ms + 60_000 {
        sim.now += 100;
        let plan = sim.plan();
        for poll in &plan.polls {
            sim.poll_failed(poll);
        }
        for record in plan.records {
            sim.apply(record);
            released_after = Some(sim.now - start_ms);
        }
    }
    let after = released_after.expect("the runs of a silent worker are released");
    assert!(
        after > settings.lease_ms,
        "released after {after} ms, before the lease has expired"
    );
    assert!(
        after < settings.lease_ms * 5 / 4 + settings.poll_wait_ms * 2,
        "released after {after} ms, long after the lease has expired"
    );
    assert!(sim.state.task(task(0)).unwrap().worker.is_none());
}

/// Guards against tasks of a lost worker that start elsewhere too late after a change of the leader.
#[test]
fn runs_of_lost_worker_restart_in_time_after_leader_change() {
    /// A task that is to last runs again within this time of the loss of the leader.
    const RESTART_MS: u64 = 10_000;
    /// What the election of the new leader and the start of the task take of it.
    const ELECTION_AND_START_MS: u64 = 2_000;
    struct Case {
        name: &'static str,
        /// How long before the change of the leader the worker is lost.
        lost_before_ms: u64,
    }
    let cases = [
        Case {
            name: "worker lost before the leader",
            lost_before_ms: 6_200,
        },
        Case {
            name: "worker lost together with the leader",
            lost_before_ms: 0,
        },
    ];
    for case in cases {
        let (mut sim, _) = simulation_with_run();
        sim.now += case.lost_before_ms;
        sim.change_leader(2);
        let after = sim.wait_for_release().expect("the runs are released");
        assert!(
            after <= RESTART_MS - ELECTION_AND_START_MS,
            "{}: released {after} ms after the change of the leader",
            case.name
        );
        let since_grant = after + case.lost_before_ms;
        assert!(
            since_grant > Settings::default().lease_ms * 100 / 98,
            "{}: released {since_grant} ms after the last lease was granted",
            case.name
        );
    }
}

/// Guards against a new leader that starts tasks elsewhere while longer leases of earlier leaders last.
#[test]
fn longer_leases_of_earlier_leaders_are_awaited() {
    struct Case {
        name: &'static str,
        /// What the earlier leaders stored about their leases.
        stored_ms: Option<u64>,
        /// Number of changes of the leader, 1 s apart.
        changes: u64,
        /// Time after the last grant before which nothing may be released.
        lease_ms: u64,
    }
    let cases = [
        Case {
            name: "longer lease",
            stored_ms: Some(9_500),
            changes: 1,
            lease_ms: 9_500,
        },
        Case {
            name: "earlier build",
            stored_ms: None,
            changes: 1,
            lease_ms: 10_000,
        },
        Case {
            name: "two changes of the leader",
            stored_ms: Some(9_500),
            changes: 2,
            lease_ms: 9_500,
        },
    ];
    for case in cases {
        let (mut sim, _) = simulation_with_run();
        sim.state.lease_bound = case.stored_ms;
        for change in 0..case.changes {
            sim.now += 1_000 * change;
            sim.change_leader(2 + change);
            // An entry of the new leader replaces the stored length.
            sim.apply(Record::Release(Vec::new()));
        }
        let since_grant = sim.wait_for_release().expect("the runs are released");
        let since_grant = since_grant + 1_000 * (case.changes - 1);
        assert!(
            since_grant > case.lease_ms * 100 / 98,
            "{}: released after {since_grant} ms",
            case.name
        );
    }
}

/// Guards against a lease that counts from a clock reading newer than the start of the pass.
#[test]
fn deadline_counts_from_the_start_of_the_pass() {
    let (mut sim, _) = simulation_with_run();
    let pass_start = sim.now;
    sim.now += 500;
    sim.heartbeat(&incarnation("w", 4_000), 3, false);
    sim.now = pass_start;
    let poll = sim.plan().polls.remove(0);
    let expected_ms = pass_start + WORKER_CLOCK_LEAD_MS + Settings::default().lease_ms;
    assert_eq!(poll.deadline_ms, Some(expected_ms));
}

/// Guards against a run that stays assigned to a lost worker whose earlier leases expired before the
/// start was committed.
#[test]
fn start_committed_after_expired_lease_is_released() {
    let (mut sim, _) = simulation_with_run();
    sim.submit_to("quick", 2, job(vec![step(1, 1_000)]));
    let starts = sim.plan().starts;
    sim.wait_for_release().expect("the first run is released");
    let order = sim.start(starts).pop().expect("the start is committed");
    sim.start_answered(&order, &StartOutcome::Unknown);
    sim.wait_for_release().expect("the second run is released");
    assert!(sim.state.task(order.common.task).unwrap().worker.is_none());
}

/// Guards against a new leader that forgets that delayed orders may have reached a new incarnation.
#[test]
fn new_leader_awaits_delayed_orders_to_new_incarnation() {
    struct Case {
        name: &'static str,
        /// Time between the new incarnation and the change of the leader.
        replaced_before_ms: u64,
        min_wait_ms: u64,
    }
    let cases = [
        Case {
            name: "new incarnation",
            replaced_before_ms: 500,
            min_wait_ms: 10_000,
        },
        Case {
            name: "orders to the earlier incarnation cannot arrive any more",
            replaced_before_ms: 25_000,
            min_wait_ms: 7_000,
        },
    ];
    for case in cases {
        let (mut sim, _) = simulation_with_run();
        let reborn = Incarnation {
            born: 2,
            ..incarnation("w", 4_000)
        };
        sim.heartbeat(&reborn, 1, false);
        sim.now += case.replaced_before_ms;
        sim.apply(Record::Release(Vec::new()));
        sim.change_leader(2);
        let after = sim.wait_for_release().expect("the runs are released");
        assert!(
            after > case.min_wait_ms * 100 / 98,
            "{}: released after {after} ms",
            case.name
        );
        assert!(
            after < case.min_wait_ms * 11 / 10,
            "{}: released after {after} ms",
            case.name
        );
    }
}

/// Guards against an entry before the first pass of a term that erases the bound of earlier leases.
#[test]
fn entry_before_first_pass_keeps_lease_bound() {
    struct Case {
        name: &'static str,
        stored_ms: Option<u64>,
        expected_ms: u64,
    }
    let cases = [
        Case {
            name: "known bound",
            stored_ms: Some(7_200),
            expected_ms: 7_200,
        },
        Case {
            name: "entry of an earlier build",
            stored_ms: None,
            expected_ms: 10_000,
        },
    ];
    for case in cases {
        let (mut sim, _) = simulation_with_run();
        sim.state.lease_bound = case.stored_ms;
        let settings = Settings::default();
        let bound = lease_bound_ms(&sim.state, None, &settings, Time(sim.now));
        assert_eq!(bound, case.expected_ms, "{}", case.name);
    }
}

/// Guards against a new leader that starts tasks on a draining worker whose heartbeat it has not
/// received.
#[test]
fn new_leader_respects_draining_worker() {
    let mut sim = Simulation::new(document(None));
    let w = incarnation("w", 4_000);
    sim.add_worker(&w);
    sim.heartbeat(&w, 2, true);
    sim.change_leader(2);
    let poll = sim.plan().polls.remove(0);
    sim.report(&poll, &[], Vec::new());
    sim.submit(job(vec![step(1, 1_000)]));
    assert!(sim.start_tasks().is_empty());
}

/// Guards against a task that runs twice because an unanswered start order was taken as lost.
#[test]
fn unanswered_start_order_is_not_repeated() {
    struct Case {
        name: &'static str,
        /// Whether the worker reports the run in its answer to a poll with a higher fencing token.
        reported: bool,
        assigned: bool,
    }
    let cases = [
        Case {
            name: "carried out",
            reported: true,
            assigned: true,
        },
        Case {
            name: "not carried out",
            reported: false,
            assigned: false,
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(document(None));
        sim.add_worker(&incarnation("w", 4_000));
        sim.submit(job(vec![step(1, 1_000)]));
        let order = sim.start_tasks().pop().expect("the task is started");
        sim.now += 900;
        sim.start_answered(&order, &StartOutcome::Unknown);
        assert!(
            sim.state.task(task(0)).unwrap().worker.is_some(),
            "{}",
            case.name
        );
        sim.now += 10;
        let mut plan = sim.plan();
        assert!(
            plan.starts.is_empty(),
            "{}: no second start while the order is unresolved",
            case.name
        );
        let poll = plan.polls.pop().expect("the worker is polled at once");
        assert!(
            poll.fence > order.common.fence,
            "{}: the poll has a higher token",
            case.name
        );
        let list = if case.reported {
            vec![run_key(&order)]
        } else {
            Vec::new()
        };
        sim.report(&poll, &list, Vec::new());
        let assigned = sim.state.task(task(0)).unwrap().worker.is_some();
        assert_eq!(assigned, case.assigned, "{}", case.name);
    }
}

/// Guards against a process that was paused between the commit of a start and its order, and sends
/// the order although another process leads and has started the task elsewhere.
#[test]
fn start_order_is_held_back_without_authority() {
    struct Case {
        name: &'static str,
        may_act: bool,
        sent: bool,
    }
    let cases = [
        Case {
            name: "the process leads",
            may_act: true,
            sent: true,
        },
        Case {
            name: "another process may lead",
            may_act: false,
            sent: false,
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(document(None));
        sim.add_worker(&incarnation("w", 4_000));
        sim.submit(job(vec![step(1, 1_000)]));
        let order = sim.start_tasks().pop().expect("the task is started");
        sim.now += 15_000;
        let fence = order.common.fence;
        let now = Time(sim.now);
        let confirmed = sim.leader.confirm_start(order, case.may_act, now);
        assert_eq!(confirmed.is_some(), case.sent, "{}", case.name);
        if case.sent {
            continue;
        }
        sim.heartbeat(&incarnation("w", 4_000), 2, false);
        let plan = sim.plan();
        assert_eq!(plan.starts, [], "the run may still be reported");
        let poll = plan.polls.first().expect("the worker is polled");
        assert!(poll.fence > fence, "the poll voids the order");
        sim.report(poll, &[], Vec::new());
        assert_eq!(sim.start_tasks().len(), 1, "the task is started anew");
    }
}

/// Guards against a job that stalls on a worker that answers but makes no progress, and against
/// stopping runs that wait for a valid reason.
#[test]
fn stalled_run_is_stopped() {
    struct Case {
        name: &'static str,
        step: zinnia_plan::Step,
        percent: fn(u64) -> u64,
        stopped: bool,
    }
    let cases = [
        Case {
            name: "no progress",
            step: step(1, 1_000),
            percent: |_| 10,
            stopped: true,
        },
        Case {
            name: "slow progress",
            step: step(1, 1_000),
            percent: |round| 10 + round,
            stopped: false,
        },
        Case {
            name: "long-running task at 100 percent",
            step: zinnia_plan::Step {
                long_running: true,
                ..step(1, 1_000)
            },
            percent: |_| 100,
            stopped: false,
        },
        Case {
            name: "best-effort task without progress",
            step: zinnia_plan::Step {
                best_effort: true,
                ..step(1, 1_000)
            },
            percent: |_| 10,
            stopped: false,
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(document(None));
        sim.add_worker(&incarnation("w", 4_000));
        sim.submit(job(vec![case.step]));
        let order = sim.start_tasks().pop().expect("the task is started");
        let clock_ms = sim.now + WORKER_CLOCK_LEAD_MS;
        sim.start_answered(&order, &StartOutcome::Accepted { clock_ms });
        let mut stops = 0;
        for round in 0..10 {
            sim.now += 500;
            let plan = sim.plan();
            stops += plan.stops.len();
            for poll in plan.polls {
                sim.report_percent(&poll, &[run_key(&order)], (case.percent)(round));
            }
        }
        assert_eq!(stops > 0, case.stopped, "{}: {stops} stops", case.name);
    }
}

/// Guards against a short task that waits for as long as a long one until it is stopped on a worker
/// that makes no progress, and against stopping a run because its report was late.
#[test]
fn short_task_without_progress_is_stopped_early() {
    struct Case {
        name: &'static str,
        estimate_ms: u64,
        /// For each report, the time since the start at which it arrives and at which the worker
        /// wrote it, and the progress.
        reports: Vec<(u64, u64, u64)>,
        stopped: bool,
    }
    let cases = [
        Case {
            name: "a short task does not begin",
            estimate_ms: 700,
            reports: vec![(1_100, 1_100, 0)],
            stopped: true,
        },
        Case {
            name: "a short task stays where it is",
            estimate_ms: 700,
            reports: vec![(100, 100, 30), (1_200, 1_200, 30)],
            stopped: true,
        },
        Case {
            name: "a short task progresses slowly",
            estimate_ms: 700,
            reports: vec![(100, 100, 30), (1_200, 1_200, 31)],
            stopped: false,
        },
        Case {
            name: "a long task takes longer for a percent",
            estimate_ms: 30_000,
            reports: vec![(100, 100, 30), (1_500, 1_500, 30)],
            stopped: false,
        },
        Case {
            name: "a report from before the delay arrives late",
            estimate_ms: 700,
            reports: vec![(2_000, 50, 0)],
            stopped: false,
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(document(None));
        sim.add_worker(&incarnation("w", 4_000));
        sim.submit(job(vec![zinnia_plan::Step {
            estimate_ms: case.estimate_ms,
            ..step(1, 1_000)
        }]));
        let order = sim.start_tasks().pop().expect("the task is started");
        let started = sim.now;
        let clock_ms = started + WORKER_CLOCK_LEAD_MS;
        sim.start_answered(&order, &StartOutcome::Accepted { clock_ms });
        let mut stops = 0;
        let mut plan = sim.plan();
        for (arrival_ms, written_ms, percent) in case.reports {
            let poll = plan.polls.pop().expect("the worker is polled");
            sim.now = started + written_ms;
            let report = sim.running_report(&poll, &[run_key(&order)], percent);
            sim.now = started + arrival_ms;
            sim.report_arrived(&poll, &report);
            plan = sim.plan_after(50);
            stops += plan.stops.len();
        }
        assert_eq!(stops > 0, case.stopped, "{}", case.name);
    }
}

/// Guards against a task that runs twice because an order to the previous incarnation of a worker
/// was carried out by the new one. Also guards against a poll with a fencing token below one that
/// the worker has seen.
#[test]
fn order_to_previous_incarnation_does_not_duplicate_run() {
    struct Case {
        name: &'static str,
        reported: bool,
    }
    let cases = [
        Case {
            name: "carried out by the new incarnation",
            reported: true,
        },
        Case {
            name: "not carried out by the new incarnation",
            reported: false,
        },
    ];
    for case in cases {
        let (mut sim, order) = simulation_with_run();
        sim.start_answered(&order, &StartOutcome::Unknown);
        sim.add_worker(&incarnation("v", 4_000));
        let successor = zinnia_plan::Incarnation {
            born: 2,
            ..incarnation("w", 4_000)
        };
        sim.heartbeat(&successor, 1, false);
        let mut plan = sim.plan();
        assert_eq!(
            plan.starts,
            [],
            "{}: no second run before the worker has answered",
            case.name
        );
        let at = plan.polls.iter().position(|p| p.worker == "w");
        let poll = plan
            .polls
            .remove(at.expect("the new incarnation is polled"));
        assert_eq!(poll.born, 2, "{}", case.name);
        assert!(poll.fence > order.common.fence + 1, "{}", case.name);
        assert_eq!(poll.acked_end, 0, "{}", case.name);
        let list = if case.reported {
            vec![run_key(&order)]
        } else {
            Vec::new()
        };
        sim.report(&poll, &list, Vec::new());
        assert_eq!(sim.start_tasks().is_empty(), case.reported, "{}", case.name);
    }
}
