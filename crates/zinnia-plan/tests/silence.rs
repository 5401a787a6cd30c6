//! Which leases a new leader awaits after earlier leaders stopped to renew some.

mod common;

use common::Simulation;
use common::incarnation;
use common::job;
use common::run_key;
use common::simulation_with_run;
use common::step;
use zinnia_plan::Batch;
use zinnia_plan::Incarnation;
use zinnia_plan::LeaseChanges;
use zinnia_plan::ReceivedRun;
use zinnia_plan::Record;
use zinnia_plan::ResumedRenewal;
use zinnia_plan::Settings;
use zinnia_plan::StartOrder;
use zinnia_plan::StartOutcome;
use zinnia_plan::StoppedRenewal;

/// Time from the entry that stopped the renewal until the leader is replaced.
const SILENT_MS: u64 = 3_000;

fn changes(term: u64, stopped: &[&str], resumed: &[&str]) -> LeaseChanges {
    let stop = |&name: &&str| StoppedRenewal {
        worker: name.to_owned(),
        born: 1,
        // The run of the simulation was started there.
        permits: 1,
        wait_ms: Settings::default().lease_ms * 103 / 100,
        received_ms: 0,
    };
    let resume = |&name: &&str| ResumedRenewal {
        worker: name.to_owned(),
        born: 1,
    };
    LeaseChanges {
        term,
        stopped: stopped.iter().map(stop).collect(),
        resumed: resumed.iter().map(resume).collect(),
        ..LeaseChanges::default()
    }
}

/// Guards against a new leader that counts a silence which is over, or which it does not know for
/// certain, so that a task runs twice.
#[test]
fn only_a_lasting_silence_shortens_the_wait() {
    struct Case {
        name: &'static str,
        /// What happens between the entry that stops the renewal and the change of the leader.
        event: fn(&mut Simulation),
        /// Whether the wait counts from the entry.
        counts: bool,
    }
    let cases = [
        Case {
            name: "silent until the change",
            event: |_| {},
            counts: true,
        },
        Case {
            name: "listed again",
            event: |sim| {
                sim.now += 1_000;
                sim.apply_batch(Vec::new(), changes(1, &["w"], &[]));
            },
            counts: true,
        },
        Case {
            name: "renewal resumed",
            event: |sim| {
                sim.apply_batch(Vec::new(), changes(1, &[], &["w"]));
            },
            counts: false,
        },
        Case {
            name: "a further run was started",
            event: |sim| {
                sim.submit_to("quick", 2, job(vec![step(1, 1_000)]));
                let order = sim.start_tasks().pop().expect("a task is started");
                sim.start_answered(&order, &StartOutcome::Unknown);
            },
            counts: false,
        },
        Case {
            name: "an entry of an earlier build",
            event: |sim| {
                let batch = Batch {
                    at_ms: 1_000,
                    lease_bound: Some(Settings::default().lease_ms),
                    ..Batch::default()
                };
                sim.state.apply(&batch);
            },
            counts: false,
        },
        Case {
            name: "state from a snapshot",
            event: |sim| sim.lease_times.clear(),
            counts: false,
        },
        Case {
            name: "a new incarnation",
            event: |sim| {
                let reborn = Incarnation {
                    born: 2,
                    ..incarnation("w", 4_000)
                };
                sim.apply(Record::AddIncarnation {
                    incarnation: reborn,
                    sequence: 1,
                });
            },
            counts: false,
        },
    ];
    for case in cases {
        let (mut sim, _) = simulation_with_run();
        let stopped_ms = sim.now;
        sim.apply_batch(Vec::new(), changes(1, &["w"], &[]));
        (case.event)(&mut sim);
        sim.now = stopped_ms + SILENT_MS;
        sim.change_leader(2);
        sim.wait_for_release().expect("the runs are released");
        let after = sim.now - stopped_ms;
        let lease_ms = Settings::default().lease_ms * 100 / 98;
        assert!(
            after > lease_ms,
            "{}: released after {after} ms, within the lease",
            case.name
        );
        assert_eq!(
            after <= lease_ms + SILENT_MS,
            case.counts,
            "{}: released after {after} ms",
            case.name
        );
    }
}

/// Guards against a lease that is renewed while the log says that none is.
#[test]
fn leases_are_renewed_only_while_the_log_allows_it() {
    let (mut sim, order) = simulation_with_run();
    let poll = sim.plan_after(100).polls.remove(0);
    assert!(poll.deadline_ms.is_some());
    sim.poll_failed(&poll);
    // The entry that stops the renewal is proposed, and the worker answers before it is applied.
    let mut plan = sim.plan_after(500);
    let stopped: Vec<_> = plan
        .lease_changes
        .stopped
        .iter()
        .map(|s| &s.worker)
        .collect();
    assert_eq!(stopped, ["w"]);
    let stop = plan.lease_changes;
    sim.report(&plan.polls.remove(0), &[run_key(&order)], Vec::new());
    let plan = sim.plan_after(10);
    assert_eq!(plan.polls, [], "the renewal is not in the log yet");
    let resumed: Vec<_> = plan
        .lease_changes
        .resumed
        .iter()
        .map(|r| &r.worker)
        .collect();
    assert_eq!(resumed, ["w"]);
    sim.apply_batch(Vec::new(), stop);
    assert_eq!(sim.plan_after(10).polls, [], "the log forbids it");
    sim.apply_batch(Vec::new(), plan.lease_changes);
    let poll = sim.plan_after(10).polls.remove(0);
    assert!(poll.deadline_ms.is_some(), "the lease is renewed at once");
}

/// Guards against an entry of an earlier term that stops renewals which its proposer, elected again,
/// has resumed since.
#[test]
fn stop_of_an_earlier_term_is_dropped() {
    struct Case {
        name: &'static str,
        entry_term: u64,
        stopped: usize,
    }
    let cases = [
        Case {
            name: "same term",
            entry_term: 4,
            stopped: 1,
        },
        Case {
            name: "later term",
            entry_term: 6,
            stopped: 0,
        },
    ];
    for case in cases {
        let mut batch = Batch {
            lease_changes: Some(changes(4, &["w"], &["v"])),
            ..Batch::default()
        };
        batch.drop_outdated(case.entry_term);
        let left = batch.lease_changes.expect("the list stays");
        assert_eq!(left.stopped.len(), case.stopped, "{}", case.name);
        assert_eq!(left.resumed.len(), 1, "{}", case.name);
    }
}

fn received(order: &StartOrder) -> ReceivedRun {
    let (task, run) = run_key(order);
    let born = order.common.born;
    ReceivedRun { task, run, born }
}

/// Guards against a run of a task that is to last which a new leader takes for one that a delayed order may
/// still start, and against an entry for each run of other tasks.
#[test]
fn received_runs_of_lasting_tasks_are_told_once() {
    for long_running in [true, false] {
        let mut sim = Simulation::new(common::document(None));
        sim.add_worker(&incarnation("w", 4_000));
        let lasting = zinnia_plan::Step {
            long_running,
            ..step(1, 1_000)
        };
        sim.submit(job(vec![lasting]));
        let order = sim.start_tasks().pop().expect("the task is started");
        assert_eq!(sim.plan_after(100).lease_changes.received, []);
        let clock_ms = sim.now + common::WORKER_CLOCK_LEAD_MS;
        sim.start_answered(&order, &StartOutcome::Accepted { clock_ms });
        let mut told = Vec::new();
        for _ in 0..3 {
            told.extend(sim.plan_after(100).lease_changes.received);
        }
        let expected = if long_running {
            vec![received(&order)]
        } else {
            Vec::new()
        };
        assert_eq!(told, expected, "long-running: {long_running}");
    }
}

/// Guards against an entry that stops the renewal, was proposed a second time because the first one was
/// slow, and is applied after a start that granted a later lease.
#[test]
fn repeated_stop_does_not_undo_a_start() {
    let (mut sim, order) = simulation_with_run();
    let poll = sim.plan().polls.remove(0);
    sim.now += 2_200;
    sim.poll_failed(&poll);
    let mut plan = sim.plan_after(400);
    let first = plan.lease_changes;
    assert_eq!(first.stopped.len(), 1);
    sim.report(&plan.polls.remove(0), &[run_key(&order)], Vec::new());
    sim.submit_to("quick", 2, job(vec![step(1, 1_000)]));
    let starts = sim.plan_after(50).starts;
    assert_eq!(starts.len(), 1);
    let second = sim.plan_after(400).lease_changes;
    assert_eq!(
        second.stopped.len(),
        1,
        "the first entry is not applied yet"
    );
    sim.apply_batch(Vec::new(), first);
    let later = sim.start(starts).pop().expect("the order is sent");
    sim.apply_batch(Vec::new(), second);
    let deadline = later.deadline_ms - common::WORKER_CLOCK_LEAD_MS;
    sim.start_answered(&later, &StartOutcome::Unknown);
    sim.now += 600;
    sim.change_leader(2);
    sim.wait_for_release().expect("the runs are released");
    assert!(
        sim.now > deadline,
        "released at {} ms, lease until {deadline} ms",
        sim.now
    );
}

/// Guards against a healthy worker whose lease is renewed late after a change of the leader.
#[test]
fn lease_is_renewed_soon_after_a_change_of_the_leader() {
    const COMMIT_MS: u64 = 20;
    const ANSWER_MS: u64 = 5;
    let (mut sim, order) = simulation_with_run();
    sim.now += 1_000;
    sim.change_leader(2);
    let start_ms = sim.now;
    let mut commits: Vec<(u64, LeaseChanges)> = Vec::new();
    loop {
        sim.now += ANSWER_MS;
        while commits.first().is_some_and(|(at, _)| *at <= sim.now) {
            let (_, changes) = commits.remove(0);
            sim.apply_batch(Vec::new(), changes);
        }
        let plan = sim.plan();
        if !plan.lease_changes.is_empty() {
            commits.push((sim.now + COMMIT_MS, plan.lease_changes));
        }
        let Some(poll) = plan.polls.into_iter().next() else {
            continue;
        };
        if poll.deadline_ms.is_some() {
            break;
        }
        sim.now += ANSWER_MS;
        sim.report(&poll, &[run_key(&order)], Vec::new());
    }
    let after = sim.now - start_ms;
    let limit_ms = Settings::default().retry_ms;
    assert!(after < limit_ms, "first renewal after {after} ms");
}
