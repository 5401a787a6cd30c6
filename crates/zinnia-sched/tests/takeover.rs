//! After a takeover nothing is started twice and nobody exceeds an allotment.

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
use zinnia_types::worker::End;
use zinnia_types::worker::Report;
use zinnia_types::worker::Task;
use zinnia_types::worker::TaskState;

const WORKER: Resources = resources(4_000, 8_192, 0);

/// What happens to one of the two roster workers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Silent,
    Lapsed,
    Empty,
    Runs(u32),
    Ended(u32),
}

struct Case {
    name: &'static str,
    job: Job,
    recovered: bool,
    dispatched: Vec<u32>,
    allot: Resources,
    fates: [Fate; 2],
    /// Tasks that are started by the new owner.
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

/// Reports of a worker about an attempt of the owner before.
fn reports(job: &Job, fate: Fate) -> Vec<Report> {
    let attempt = |task| AttemptId {
        job: job.id,
        task,
        term: 3,
        number: task + 1,
    };
    match fate {
        Fate::Runs(task) => vec![Report {
            attempt: attempt(task),
            state: TaskState::Running {
                task: Box::new(task_of(job)),
                usage: Resources::ZERO,
            },
        }],
        Fate::Ended(task) => vec![Report {
            attempt: attempt(task),
            state: TaskState::Ended {
                end: End::Done { run_ms: 1 },
            },
        }],
        _ => Vec::new(),
    }
}

/// Guards against a task that runs in two places after a takeover, one that must not be repeated
/// and is, and an allotment that is exceeded by what has not reported yet.
#[test]
fn a_new_owner_starts_only_what_cannot_be_running() {
    let two = || Job {
        tasks: 2,
        ..job("j", "a")
    };
    let once = || Job {
        repeat: false,
        ..two()
    };
    let plenty = resources(100_000, 1_000_000, 0);
    let base = || Case {
        name: "",
        job: two(),
        recovered: true,
        dispatched: vec![],
        allot: plenty,
        fates: [Fate::Silent, Fate::Silent],
        started: vec![],
        outcome: None,
    };
    let cases = [
        Case {
            name: "nobody has reported",
            ..base()
        },
        Case {
            name: "one has not reported",
            fates: [Fate::Empty, Fate::Silent],
            ..base()
        },
        Case {
            name: "a new job does not wait",
            recovered: false,
            fates: [Fate::Empty, Fate::Silent],
            started: vec![0, 1],
            ..base()
        },
        Case {
            name: "the unreported count as used",
            recovered: false,
            allot: resources(5_000, 1_000_000, 0),
            fates: [Fate::Empty, Fate::Silent],
            // 5 cores less the 4 of the silent worker.
            started: vec![0],
            ..base()
        },
        Case {
            name: "one runs, one lapsed",
            fates: [Fate::Runs(1), Fate::Lapsed],
            started: vec![0],
            ..base()
        },
        Case {
            name: "one ended, one runs",
            fates: [Fate::Ended(0), Fate::Runs(1)],
            ..base()
        },
        Case {
            name: "both reported empty",
            fates: [Fate::Empty, Fate::Empty],
            started: vec![0, 1],
            ..base()
        },
        Case {
            name: "a dispatched task that is not found is unknown",
            job: once(),
            dispatched: vec![0],
            fates: [Fate::Empty, Fate::Lapsed],
            started: vec![1],
            ..base()
        },
        Case {
            name: "a dispatched task that runs goes on",
            job: once(),
            dispatched: vec![0, 1],
            fates: [Fate::Runs(0), Fate::Runs(1)],
            ..base()
        },
        Case {
            name: "all dispatched and lost",
            job: once(),
            dispatched: vec![0, 1],
            fates: [Fate::Lapsed, Fate::Empty],
            outcome: Some(Outcome::Unknown {
                why: "2 of 2 tasks were lost while they may have run".to_owned(),
            }),
            ..base()
        },
    ];
    for case in cases {
        // The job may be submitted before or after the workers report.
        for job_first in [true, false] {
            let (started, outcome) = take_over(&case, job_first);
            assert_eq!(started, case.started, "{} {job_first}", case.name);
            assert_eq!(outcome, case.outcome, "{} {job_first}", case.name);
        }
    }
}

fn take_over(case: &Case, job_first: bool) -> (Vec<u32>, Option<Outcome>) {
    let mut sched = Scheduler::new(Settings::default(), Policy::default());
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
            amount: case.allot,
        },
        Event::Active { active: true },
    ];
    if job_first {
        events.push(submit.clone());
    }
    for (n, fate) in case.fates.into_iter().enumerate() {
        events.extend(match fate {
            Fate::Silent => None,
            Fate::Lapsed => Some(Event::LeaseExpired { worker: worker(n) }),
            _ => Some(Event::OwnershipGranted {
                profile: profile(n, WORKER),
                epoch: Epoch(7),
                leaving: false,
                reports: reports(&case.job, fate),
            }),
        });
    }
    if !job_first {
        events.push(submit);
    }
    events.push(Event::Tick);
    let mut queue = std::collections::VecDeque::from(events);
    while let Some(event) = queue.pop_front() {
        for action in sched.step(event, now) {
            match action {
                Action::Start { attempt, .. } => started.push(attempt.task),
                Action::RecordDispatch { job, tasks } => {
                    queue.push_front(Event::DispatchRecorded { job, tasks });
                }
                Action::JobEnded { outcome: o, .. } => outcome = Some(o),
                _ => {}
            }
        }
    }
    started.sort_unstable();
    (started, outcome)
}

/// Guards against a worker that comes back under a new epoch with something that was given up.
#[test]
fn what_a_returning_worker_still_runs_is_charged() {
    let mut sim = Simulation::new(&[("a", 1, common::UNLIMITED)]);
    sim.behaviour = Box::new(|_, _, _| (None, Ok(())));
    sim.add(0, WORKER);
    let id = sim.submit(Job {
        tasks: 4,
        ..job("j", "a")
    });
    assert_eq!(sim.running(id), 4);
    // The lease lapsed by the owner's clock, and there is no other worker.
    sim.event(Event::LeaseExpired { worker: worker(0) });
    sim.announce(0);
    sim.run(1_000);
    assert_eq!(sim.running(id), 4);
    assert_eq!(sim.sched.running().count(), 4);
}

/// Guards against a number that is used again after a restart within the same term.
#[test]
fn numbers_of_found_attempts_are_not_used_again() {
    let found = job("found", "a");
    let attempt = AttemptId {
        job: found.id,
        task: 0,
        term: 1,
        number: 9,
    };
    let mut sim = Simulation::new(&[("a", 1, common::UNLIMITED)]);
    sim.event(Event::OwnershipGranted {
        profile: profile(0, WORKER),
        epoch: Epoch(1),
        leaving: false,
        reports: vec![Report {
            attempt,
            state: TaskState::Running {
                task: Box::new(task_of(&found)),
                usage: Resources::ZERO,
            },
        }],
    });
    sim.add(1, WORKER);
    sim.event(Event::LeaseExpired { worker: worker(0) });
    sim.submit(found);
    let numbers: Vec<u32> = sim.sched.running().map(|(a, ..)| a.number).collect();
    assert_eq!(numbers, vec![10]);
}

/// Guards against messages of an earlier boot or epoch that are taken for the present.
#[test]
fn messages_of_the_past_change_nothing() {
    let mut sim = Simulation::new(&[("a", 1, common::UNLIMITED)]);
    sim.behaviour = Box::new(|_, _, _| (None, Ok(())));
    sim.add(0, WORKER);
    let id = sim.submit(job("j", "a"));
    let first = profile(0, WORKER);
    let machine = sim.workers.get_mut(&worker(0)).unwrap();
    machine.profile.boot = 2;
    machine.running.clear();
    sim.announce(0);
    assert_eq!(sim.running(id), 1);
    let before: Vec<_> = sim.sched.running().collect();
    let late = |epoch| Event::OwnershipGranted {
        profile: first.clone(),
        epoch: Epoch(epoch),
        leaving: false,
        reports: Vec::new(),
    };
    sim.event(late(2));
    sim.event(late(9));
    sim.event(Event::Heartbeat {
        worker: worker(0),
        boot: 1,
        reports: vec![Report {
            attempt: before[0].0,
            state: TaskState::Refused,
        }],
    });
    let after: Vec<_> = sim.sched.running().collect();
    assert_eq!(before, after);
}
