//! Takeovers by a new owner, workers that return, and outdated messages.

#[cfg(test)]
mod common;

use common::Simulation;
use common::job;
use common::profile;
use common::resources;
use common::team;
use common::worker;
use zinnia_sched::Action;
use zinnia_sched::Event;
use zinnia_sched::Policy;
use zinnia_sched::Scheduler;
use zinnia_sched::Settings;
use zinnia_types::AttemptId;
use zinnia_types::Epoch;
use zinnia_types::Job;
use zinnia_types::Outcome;
use zinnia_types::Resources;
use zinnia_types::Time;
use zinnia_types::worker::AttemptEnd;
use zinnia_types::worker::AttemptReport;
use zinnia_types::worker::Task;
use zinnia_types::worker::TaskState;

const WORKER: Resources = resources(4_000, 8_192, 0);

/// What one of the two workers of the domain reports after the takeover.
#[derive(Clone, Copy, Debug, PartialEq)]
enum WorkerReport {
    Missing,
    LeaseExpired,
    Empty,
    Running(u32),
    Ended(u32),
}

/// A takeover with one open job and two workers.
struct Case {
    name: &'static str,
    job: Job,
    recovered: bool,
    dispatched: Vec<u32>,
    allotment: Resources,
    worker_reports: [WorkerReport; 2],
    /// Tasks that the new owner starts.
    started: Vec<u32>,
    outcome: Option<Outcome>,
}

fn task_of(job: &Job) -> Task {
    Task {
        team: job.team,
        class: job.class,
        urgency: job.urgency,
        repeat: job.repeat,
        need: job.need,
        service: None,
        payload: serde_json::Value::Null,
    }
}

/// Reports of a worker about an attempt of the previous owner.
fn reports(job: &Job, worker_report: WorkerReport) -> Vec<AttemptReport> {
    let attempt = |task| AttemptId {
        job: job.id,
        task,
        term: 3,
        number: task + 1,
    };
    match worker_report {
        WorkerReport::Running(task) => vec![AttemptReport {
            attempt: attempt(task),
            state: TaskState::Running {
                task: Box::new(task_of(job)),
                usage: Resources::ZERO,
            },
        }],
        WorkerReport::Ended(task) => vec![AttemptReport {
            attempt: attempt(task),
            state: TaskState::Ended {
                end: AttemptEnd::Done { run_ms: 1 },
            },
        }],
        _ => Vec::new(),
    }
}

/// Guards against three faults after a takeover: a task runs in two places, a task that must not be
/// repeated runs again, and a team exceeds its allotment because some workers have not yet
/// reported.
#[test]
fn new_owner_starts_only_tasks_that_cannot_be_running() {
    let two_tasks = || Job {
        tasks: 2,
        ..job("j", "a")
    };
    let unrepeatable = || Job {
        repeat: false,
        ..two_tasks()
    };
    let unlimited = resources(100_000, 1_000_000, 0);
    let base = || Case {
        name: "",
        job: two_tasks(),
        recovered: true,
        dispatched: vec![],
        allotment: unlimited,
        worker_reports: [WorkerReport::Missing, WorkerReport::Missing],
        started: vec![],
        outcome: None,
    };
    let cases = [
        Case {
            name: "no worker has reported",
            ..base()
        },
        Case {
            name: "one worker has not reported",
            worker_reports: [WorkerReport::Empty, WorkerReport::Missing],
            ..base()
        },
        Case {
            name: "a new job does not wait",
            recovered: false,
            worker_reports: [WorkerReport::Empty, WorkerReport::Missing],
            started: vec![0, 1],
            ..base()
        },
        Case {
            name: "unreported capacity counts as used",
            recovered: false,
            allotment: resources(5_000, 1_000_000, 0),
            worker_reports: [WorkerReport::Empty, WorkerReport::Missing],
            // Of 5 cores, the 4 of the unreported worker count as used.
            started: vec![0],
            ..base()
        },
        Case {
            name: "one runs a task, one lease expired",
            worker_reports: [WorkerReport::Running(1), WorkerReport::LeaseExpired],
            started: vec![0],
            ..base()
        },
        Case {
            name: "one task ended, one runs",
            worker_reports: [WorkerReport::Ended(0), WorkerReport::Running(1)],
            ..base()
        },
        Case {
            name: "both workers run nothing",
            worker_reports: [WorkerReport::Empty, WorkerReport::Empty],
            started: vec![0, 1],
            ..base()
        },
        Case {
            name: "a dispatched task that no worker reports is unknown",
            job: unrepeatable(),
            dispatched: vec![0],
            worker_reports: [WorkerReport::Empty, WorkerReport::LeaseExpired],
            started: vec![1],
            ..base()
        },
        Case {
            name: "dispatched tasks that run are kept",
            job: unrepeatable(),
            dispatched: vec![0, 1],
            worker_reports: [WorkerReport::Running(0), WorkerReport::Running(1)],
            ..base()
        },
        Case {
            name: "all tasks dispatched and lost",
            job: unrepeatable(),
            dispatched: vec![0, 1],
            worker_reports: [WorkerReport::LeaseExpired, WorkerReport::Empty],
            outcome: Some(Outcome::Unknown {
                why: "2 of 2 tasks may have run and their results were lost".to_owned(),
            }),
            ..base()
        },
    ];
    for case in cases {
        // The job is submitted before or after the workers report.
        for job_first in [true, false] {
            let (started, outcome) = take_over(&case, job_first);
            assert_eq!(started, case.started, "{} {job_first}", case.name);
            assert_eq!(outcome, case.outcome, "{} {job_first}", case.name);
        }
    }
}

fn take_over(case: &Case, job_first: bool) -> (Vec<u32>, Option<Outcome>) {
    let mut scheduler = Scheduler::new(Settings::default(), Policy::default());
    let now = Time(1_000);
    let mut started = Vec::new();
    let mut outcome = None;
    let submit = Event::Submit {
        job: Box::new(case.job.clone()),
        done: Vec::new(),
        dispatched: case.dispatched.clone(),
        recovered: case.recovered,
    };
    let mut events = vec![
        Event::Takeover {
            term: 4,
            workers: (0..2).map(|n| profile(n, WORKER)).collect(),
        },
        Event::Allotment {
            team: team("a"),
            amount: case.allotment,
        },
        Event::Active { active: true },
    ];
    if job_first {
        events.push(submit.clone());
    }
    for (n, worker_report) in case.worker_reports.into_iter().enumerate() {
        events.extend(match worker_report {
            WorkerReport::Missing => None,
            WorkerReport::LeaseExpired => Some(Event::LeaseExpired { worker: worker(n) }),
            _ => Some(Event::OwnershipGranted {
                profile: profile(n, WORKER),
                epoch: Epoch(7),
                leaving: false,
                reports: reports(&case.job, worker_report),
            }),
        });
    }
    if !job_first {
        events.push(submit);
    }
    events.push(Event::Tick);
    let mut queue = std::collections::VecDeque::from(events);
    while let Some(event) = queue.pop_front() {
        for action in scheduler.step(event, now) {
            match action {
                Action::Start { attempt, .. } => started.push(attempt.task),
                Action::RecordDispatch { job, tasks } => {
                    queue.push_front(Event::DispatchRecorded { job, tasks });
                }
                Action::JobEnded { outcome: end, .. } => outcome = Some(end),
                _ => {}
            }
        }
    }
    started.sort_unstable();
    (started, outcome)
}

/// Guards against uncharged attempts: the lease of a worker expires by the clock of the owner, but
/// the worker returns under a new epoch and still runs its attempts.
#[test]
fn attempts_on_a_returning_worker_are_charged() {
    let mut sim = Simulation::new(&[("a", 1, common::UNLIMITED)]);
    sim.behaviour = Box::new(|_, _, _| (None, Ok(())));
    sim.add(0, WORKER);
    let id = sim.submit(Job {
        tasks: 4,
        ..job("j", "a")
    });
    assert_eq!(sim.running(id), 4);
    // The lease expires by the clock of the owner, and no other worker exists.
    sim.event(Event::LeaseExpired { worker: worker(0) });
    sim.announce(0);
    sim.run(1_000);
    assert_eq!(sim.running(id), 4);
    assert_eq!(sim.sched.running().count(), 4);
}

/// Guards against reuse of an attempt number after the owner restarted within its term.
#[test]
fn numbers_of_adopted_attempts_are_not_reused() {
    let adopted_job = job("found", "a");
    let attempt = AttemptId {
        job: adopted_job.id,
        task: 0,
        term: 1,
        number: 9,
    };
    let mut sim = Simulation::new(&[("a", 1, common::UNLIMITED)]);
    sim.event(Event::OwnershipGranted {
        profile: profile(0, WORKER),
        epoch: Epoch(1),
        leaving: false,
        reports: vec![AttemptReport {
            attempt,
            state: TaskState::Running {
                task: Box::new(task_of(&adopted_job)),
                usage: Resources::ZERO,
            },
        }],
    });
    sim.add(1, WORKER);
    sim.event(Event::LeaseExpired { worker: worker(0) });
    sim.submit(adopted_job);
    let numbers: Vec<u32> = sim.sched.running().map(|(a, ..)| a.number).collect();
    assert_eq!(numbers, vec![10]);
}

/// Guards against messages of an earlier boot or epoch that are applied to the current one.
#[test]
fn outdated_messages_are_ignored() {
    let mut sim = Simulation::new(&[("a", 1, common::UNLIMITED)]);
    sim.behaviour = Box::new(|_, _, _| (None, Ok(())));
    sim.add(0, WORKER);
    let id = sim.submit(job("j", "a"));
    let first_boot = profile(0, WORKER);
    let sim_worker = sim.workers.get_mut(&worker(0)).unwrap();
    sim_worker.profile.boot = 2;
    sim_worker.running.clear();
    sim.announce(0);
    assert_eq!(sim.running(id), 1);
    let before: Vec<_> = sim.sched.running().collect();
    let outdated = |epoch| Event::OwnershipGranted {
        profile: first_boot.clone(),
        epoch: Epoch(epoch),
        leaving: false,
        reports: Vec::new(),
    };
    sim.event(outdated(2));
    sim.event(outdated(9));
    sim.event(Event::Heartbeat {
        worker: worker(0),
        boot: 1,
        reports: vec![AttemptReport {
            attempt: before[0].0,
            state: TaskState::Refused,
        }],
    });
    let after: Vec<_> = sim.sched.running().collect();
    assert_eq!(before, after);
}
