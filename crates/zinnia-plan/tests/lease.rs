//! Leases of workers that are lost, and changes of the leader while they last.

mod common;

use common::Simulation;
use common::WORKER_CLOCK_LEAD_MS;
use common::incarnation;
use common::job;
use common::run_key;
use common::simulation_with_run;
use common::step;
use common::task;
use zinnia_plan::Poll;
use zinnia_plan::Record;
use zinnia_plan::Settings;
use zinnia_plan::StartOutcome;
use zinnia_plan::Step;
use zinnia_plan::lease_bound_ms;
use zinnia_types::Time;

/// A task that is to last runs again within this time of the last loss.
const RESTART_MS: u64 = 10_000;
/// What the election of a new leader and the start of the task take of it.
const ELECTION_AND_START_MS: u64 = 2_000;

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

/// Guards against a silence that no log line shows, or that each pass reports again.
#[test]
fn silence_is_reported_once() {
    let (mut sim, order) = simulation_with_run();
    let mut poll = sim.plan().polls.remove(0);
    for silence in 1..=2 {
        let mut reported = 0;
        for _ in 0..4 {
            sim.poll_failed(&poll);
            poll = next_poll(&mut sim, &mut reported).expect("a poll is due");
        }
        assert_eq!(reported, 1, "silence {silence}");
        sim.report(&poll, &[run_key(&order)], Vec::new());
        poll = next_poll(&mut sim, &mut reported).expect("a poll is due");
        assert_eq!(reported, 1, "the worker answers");
    }
}

/// Plans until a poll is due, and counts the workers that are reported as silent.
fn next_poll(sim: &mut Simulation, reported: &mut usize) -> Option<Poll> {
    (0..20).find_map(|_| {
        sim.now += 50;
        let mut plan = sim.plan_and_tell();
        *reported += plan.silent.len();
        plan.polls.pop()
    })
}

/// Guards against a start order that extends the lease of a worker which is already lost.
#[test]
fn start_order_to_lost_worker_extends_no_lease() {
    let (mut sim, _) = simulation_with_run();
    let lost_ms = sim.now;
    let poll = sim.plan().polls.remove(0);
    let lasting = Step {
        long_running: true,
        ..step(1, 1_000)
    };
    sim.submit_to("quick", 2, job(vec![lasting]));
    sim.now += 2_000;
    let order = sim.start_tasks().pop().expect("the silence is not noticed");
    sim.poll_failed(&poll);
    sim.start_answered(&order, &StartOutcome::Unknown);
    sim.wait_for_release().expect("the runs are released");
    let lease_ms = Settings::default().lease_ms;
    let after = sim.now - lost_ms;
    assert!(after > lease_ms * 100 / 98, "released after {after} ms");
    assert!(
        after <= RESTART_MS - ELECTION_AND_START_MS,
        "released {after} ms after the worker was lost"
    );
    assert!(sim.state.task(order.common.task).unwrap().worker.is_none());
}

/// Guards against a wait for the leases of a lost worker that starts anew with each leader.
#[test]
fn changes_of_the_leader_do_not_restart_the_wait() {
    struct Case {
        name: &'static str,
        /// Times of the changes after the loss of the worker.
        changes_ms: &'static [u64],
    }
    let cases = [
        Case {
            name: "leader lost long after the worker",
            changes_ms: &[6_200],
        },
        Case {
            name: "leader lost twice",
            changes_ms: &[3_000, 6_500],
        },
        Case {
            name: "leader lost with the worker, and again before a poll failed",
            changes_ms: &[100, 1_500],
        },
        Case {
            name: "a leader for each second",
            changes_ms: &[1_000, 2_000, 3_000, 4_000, 5_000, 6_000, 7_000],
        },
    ];
    for case in cases {
        let (mut sim, _) = simulation_with_run();
        let lost_ms = sim.now;
        let mut changes = case.changes_ms.iter().enumerate().peekable();
        while sim.state.task(task(0)).unwrap().worker.is_some() {
            sim.now += 100;
            if let Some((n, _)) = changes.next_if(|(_, at)| lost_ms + **at <= sim.now) {
                sim.change_leader(2 + n as u64);
            }
            let plan = sim.plan_and_tell();
            for poll in &plan.polls {
                sim.poll_failed(poll);
            }
            for record in plan.records {
                sim.apply(record);
            }
            assert!(sim.now < lost_ms + 60_000, "{}: never released", case.name);
        }
        let after = sim.now - lost_ms;
        assert!(
            after <= RESTART_MS - ELECTION_AND_START_MS,
            "{}: released {after} ms after the loss",
            case.name
        );
        assert!(
            after > Settings::default().lease_ms * 100 / 98,
            "{}: released {after} ms after the last lease was granted",
            case.name
        );
    }
}

/// Guards against a wait that a new leader counts in full from the entry about a silent worker, whose
/// leases had lasted for some time when the leader noticed the silence.
#[test]
fn wait_counts_from_the_last_renewal() {
    let (mut sim, _) = simulation_with_run();
    let lost_ms = sim.now;
    let poll = sim.plan().polls.remove(0);
    sim.now += 2_200;
    sim.poll_failed(&poll);
    sim.plan_and_tell();
    sim.now += 100;
    sim.change_leader(2);
    sim.wait_for_release().expect("the runs are released");
    let after = sim.now - lost_ms;
    assert!(
        after > Settings::default().lease_ms * 100 / 98,
        "{after} ms"
    );
    assert!(
        after <= RESTART_MS - ELECTION_AND_START_MS,
        "released {after} ms after the loss"
    );
}
