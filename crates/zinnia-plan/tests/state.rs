//! What the log means: jobs, ends, attempts and lives of workers.

mod common;

use common::World;
use common::document;
use common::incarnation;
use common::job;
use common::step;
use common::task;
use zinnia_plan::DocumentError;
use zinnia_plan::EndReason;
use zinnia_plan::JobSpec;
use zinnia_plan::Record;
use zinnia_plan::Reply;
use zinnia_plan::Resources;
use zinnia_plan::Start;
use zinnia_plan::State;
use zinnia_plan::Status;
use zinnia_plan::Step;
use zinnia_types::JobId;

fn start(index: u32, run: u32) -> Start {
    Start {
        task: task(index),
        run,
        worker: "w".to_owned(),
        born: 1,
    }
}

fn world(spec: JobSpec) -> World {
    let mut world = World::new(document(None));
    world.apply(Record::Join(incarnation("w", 64_000)));
    world.submit(spec);
    world
}

fn status(state: &State) -> Status {
    state.jobs[&JobId(1)].status
}

/// Guards against a start that the state does not allow, whoever proposed it.
#[test]
fn starts_that_are_not_due() {
    struct Case {
        name: &'static str,
        before: fn(&mut World),
        start: Start,
    }
    let second = Start {
        task: zinnia_plan::TaskId { step: 1, ..task(0) },
        ..start(0, 1)
    };
    let cases = [
        Case {
            name: "the task has a worker",
            before: |w| {
                w.apply(Record::Start(vec![start(0, 1)]));
            },
            start: start(0, 2),
        },
        Case {
            name: "the task is done",
            before: |w| {
                w.apply(Record::Start(vec![start(0, 1)]));
                w.end("w", 1, task(0), 1, EndReason::Done);
            },
            start: start(0, 2),
        },
        Case {
            name: "the step before is not done",
            before: |_| {},
            start: second,
        },
        Case {
            name: "the job is cancelled",
            before: |w| {
                w.apply(Record::Cancel(JobId(1)));
            },
            start: start(0, 1),
        },
        Case {
            name: "the life is over",
            before: |w| {
                w.apply(Record::Left {
                    worker: "w".to_owned(),
                    born: 1,
                });
            },
            start: start(0, 1),
        },
        Case {
            name: "the worker drains",
            before: |w| {
                w.apply(Record::Drain {
                    worker: "w".to_owned(),
                    born: 1,
                });
            },
            start: start(0, 1),
        },
    ];
    let after = Step {
        depends_on: vec![0],
        ..step(1, 1_000)
    };
    for case in cases {
        let mut world = world(job(vec![step(2, 1_000), after.clone()]));
        (case.before)(&mut world);
        let reply = world.apply(Record::Start(vec![case.start]));
        assert_eq!(reply, [Reply::Started(Vec::new())], "{}", case.name);
    }
}

/// Guards against jobs that end too early, too late or in the wrong state.
#[test]
fn ends_of_jobs() {
    struct Case {
        name: &'static str,
        step: Step,
        /// Index, run and how of each end; a run is started before its end.
        ends: &'static [(u32, u32, EndReason)],
        status: Status,
    }
    let gang = Step {
        gang: true,
        ..step(2, 1_000)
    };
    let long_running = Step {
        long_running: true,
        ..step(1, 1_000)
    };
    let cases = [
        Case {
            name: "all done",
            step: step(2, 1_000),
            ends: &[(0, 1, EndReason::Done), (1, 1, EndReason::Done)],
            status: Status::Completed,
        },
        Case {
            name: "one left",
            step: step(2, 1_000),
            ends: &[(0, 1, EndReason::Done)],
            status: Status::Open,
        },
        Case {
            name: "one failure of two",
            step: step(1, 1_000),
            ends: &[(0, 1, EndReason::Failed), (0, 2, EndReason::Done)],
            status: Status::Completed,
        },
        Case {
            name: "too many failures",
            step: step(1, 1_000),
            ends: &[(0, 1, EndReason::Failed), (0, 2, EndReason::Failed)],
            status: Status::Failed,
        },
        Case {
            name: "other ends are no failures",
            step: step(1, 1_000),
            ends: &[
                (0, 1, EndReason::Stopped),
                (0, 2, EndReason::Lapsed),
                (0, 3, EndReason::Broken),
                (0, 4, EndReason::Failed),
            ],
            status: Status::Open,
        },
        Case {
            name: "one member stands for its gang",
            step: gang,
            ends: &[(0, 1, EndReason::Done)],
            status: Status::Completed,
        },
        Case {
            name: "a lasting task has no bound of failures",
            step: long_running,
            ends: &[
                (0, 1, EndReason::Failed),
                (0, 2, EndReason::Failed),
                (0, 3, EndReason::Done),
            ],
            status: Status::Open,
        },
    ];
    for case in cases {
        let is_gang = case.step.gang;
        let mut world = world(job(vec![case.step]));
        for (number, (index, run, how)) in (1..).zip(case.ends) {
            let starts = if is_gang {
                vec![start(0, *run), start(1, *run)]
            } else {
                vec![start(*index, *run)]
            };
            let wanted = starts.clone();
            let reply = world.apply(Record::Start(starts));
            assert_eq!(reply, [Reply::Started(wanted)], "{}", case.name);
            world.end("w", number, task(*index), *run, *how);
        }
        assert_eq!(status(&world.state), case.status, "{}", case.name);
    }
}

/// Guards against room that is counted twice or never returned.
#[test]
fn room_returns() {
    let mut world = world(job(vec![step(2, 1_000)]));
    world.apply(Record::Start(vec![start(0, 1), start(1, 1)]));
    let used = |w: &World| (w.state.workers["w"].used.cpu, w.state.usage["kibo"].cpu);
    assert_eq!(used(&world), (2_000, 2_000));
    world.apply(Record::Cancel(JobId(1)));
    assert_eq!(used(&world), (2_000, 2_000), "what is being stopped counts");
    world.end("w", 1, task(0), 1, EndReason::Stopped);
    world.end("w", 1, task(0), 1, EndReason::Stopped);
    assert_eq!(used(&world), (1_000, 1_000), "an end counts once");
    world.apply(Record::Left {
        worker: "w".to_owned(),
        born: 1,
    });
    assert_eq!(used(&world), (0, 0));
}

/// Guards against a job that runs twice because it was submitted again, also after its end.
#[test]
fn a_job_is_submitted_again() {
    let mut world = world(job(vec![step(1, 1_000)]));
    world.apply(Record::Start(vec![start(0, 1)]));
    world.end("w", 1, task(0), 1, EndReason::Done);
    world.submit(job(vec![step(1, 1_000)]));
    assert_eq!(status(&world.state), Status::Completed);
    let other = world.apply(Record::Submit {
        id: JobId(1),
        queue: "quick".to_owned(),
        team: "other".to_owned(),
        spec: job(vec![step(1, 1_000)]),
    });
    assert_eq!(other, [Reply::Conflict]);
}

/// Guards against an older document that replaces a newer one.
#[test]
fn the_highest_version_counts() {
    let mut world = World::new(document(None));
    for version in [5, 3, 5] {
        let mut next = document(None);
        next.version = version;
        let raw = format!("version {version}");
        world.apply(Record::Document {
            raw,
            document: next,
        });
    }
    assert_eq!(world.state.document.version, 5);
    assert_eq!(world.state.raw, "version 5");
}

/// Guards against a snapshot that loses a part of the state.
#[test]
fn a_snapshot_holds_the_state() {
    let mut world = world(job(vec![step(2, 1_000)]));
    world.apply(Record::Start(vec![start(0, 1)]));
    world.end("w", 1, task(0), 1, EndReason::Failed);
    world.apply(Record::Start(vec![start(0, 2)]));
    let text = serde_json::to_string(&world.state).unwrap();
    let read: State = serde_json::from_str(&text).unwrap();
    assert_eq!(read, world.state);
}

/// Guards against documents that cannot be carried out.
#[test]
fn faults_of_documents() {
    struct Case {
        change: fn(&mut zinnia_plan::Document),
        fault: Option<DocumentError>,
    }
    let cases = [
        Case {
            change: |_| {},
            fault: None,
        },
        Case {
            change: |d| d.queues[0].pool = "none".to_owned(),
            fault: Some(DocumentError::UnknownPool("quick".to_owned())),
        },
        Case {
            change: |d| d.queues[0].timeout_ms = 0,
            fault: Some(DocumentError::ZeroTimeout("quick".to_owned())),
        },
        Case {
            change: |d| d.queues.push(d.queues[0].clone()),
            fault: Some(DocumentError::DuplicateRoute("quick".to_owned())),
        },
        Case {
            change: |d| {
                let mut team = d.teams[0].clone();
                team.name = "other".to_owned();
                d.teams.push(team);
            },
            fault: Some(DocumentError::SharedKey("other".to_owned())),
        },
    ];
    for case in cases {
        let mut document = document(None);
        (case.change)(&mut document);
        assert_eq!(document.find_error(), case.fault);
    }
}

/// Guards against job descriptions that can never run.
#[test]
fn faults_of_jobs() {
    let cases = [
        (job(Vec::new()), false),
        (job(vec![step(0, 1)]), false),
        (
            job(vec![Step {
                depends_on: vec![0],
                ..step(1, 1)
            }]),
            false,
        ),
        (job(vec![step(1, 1)]), true),
    ];
    for (spec, good) in cases {
        assert_eq!(spec.find_error().is_none(), good, "{spec:?}");
    }
    let resources = Resources {
        cpu: 1,
        mem: 2,
        gpu: 3,
    };
    assert!(resources.fits(&resources) && !Resources::default().fits(&resources));
}
