//! The replicated state: jobs, run ends, failures and worker incarnations.

mod common;

use common::Simulation;
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

fn simulation(spec: JobSpec) -> Simulation {
    let mut sim = Simulation::new(document(None));
    sim.apply(Record::AddIncarnation {
        incarnation: incarnation("w", 64_000),
        sequence: 1,
    });
    sim.submit(spec);
    sim
}

fn status(state: &State) -> Status {
    state.jobs[&JobId(1)].status
}

/// Guards against starts that the state does not allow. The state checks each start, since its
/// proposer may have planned it with outdated knowledge.
#[test]
fn disallowed_starts_are_dropped() {
    struct Case {
        name: &'static str,
        before: fn(&mut Simulation),
        start: Start,
    }
    let second = Start {
        task: zinnia_plan::TaskId { step: 1, ..task(0) },
        ..start(0, 1)
    };
    let cases = [
        Case {
            name: "the task is assigned",
            before: |w| {
                w.apply(Record::Start(vec![start(0, 1)]));
            },
            start: start(0, 2),
        },
        Case {
            name: "the task is complete",
            before: |w| {
                w.apply(Record::Start(vec![start(0, 1)]));
                w.end("w", 1, task(0), 1, EndReason::Done);
            },
            start: start(0, 2),
        },
        Case {
            name: "a dependency is not complete",
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
            name: "the incarnation has ended",
            before: |w| {
                w.apply(Record::EndIncarnation {
                    worker: "w".to_owned(),
                    born: 1,
                });
            },
            start: start(0, 1),
        },
        Case {
            name: "the worker is draining",
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
        let mut sim = simulation(job(vec![step(2, 1_000), after.clone()]));
        (case.before)(&mut sim);
        let reply = sim.apply(Record::Start(vec![case.start]));
        assert_eq!(reply, [Reply::Started(Vec::new())], "{}", case.name);
    }
}

/// Guards against jobs that end too early, too late or with the wrong status.
#[test]
fn run_ends_decide_job_status() {
    struct Case {
        name: &'static str,
        step: Step,
        /// Task index, run number and end reason of each end. The run is started right before.
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
            name: "all tasks complete",
            step: step(2, 1_000),
            ends: &[(0, 1, EndReason::Done), (1, 1, EndReason::Done)],
            status: Status::Completed,
        },
        Case {
            name: "one task incomplete",
            step: step(2, 1_000),
            ends: &[(0, 1, EndReason::Done)],
            status: Status::Open,
        },
        Case {
            name: "fewer failures than the limit",
            step: step(1, 1_000),
            ends: &[(0, 1, EndReason::Failed), (0, 2, EndReason::Done)],
            status: Status::Completed,
        },
        Case {
            name: "as many failures as the limit",
            step: step(1, 1_000),
            ends: &[(0, 1, EndReason::Failed), (0, 2, EndReason::Failed)],
            status: Status::Failed,
        },
        Case {
            name: "other end reasons do not count as failures",
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
            name: "the end of one member completes its gang",
            step: gang,
            ends: &[(0, 1, EndReason::Done)],
            status: Status::Completed,
        },
        Case {
            name: "failures of a long-running task are not limited",
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
        let mut sim = simulation(job(vec![case.step]));
        for (number, (index, run, how)) in (1..).zip(case.ends) {
            let starts = if is_gang {
                vec![start(0, *run), start(1, *run)]
            } else {
                vec![start(*index, *run)]
            };
            let expected = starts.clone();
            let reply = sim.apply(Record::Start(starts));
            assert_eq!(reply, [Reply::Started(expected)], "{}", case.name);
            sim.end("w", number, task(*index), *run, *how);
        }
        assert_eq!(status(&sim.state), case.status, "{}", case.name);
    }
}

/// Guards against resources that are counted twice or never released.
#[test]
fn resources_are_released() {
    let mut sim = simulation(job(vec![step(2, 1_000)]));
    sim.apply(Record::Start(vec![start(0, 1), start(1, 1)]));
    let used = |w: &Simulation| (w.state.workers["w"].used.cpu, w.state.usage["kibo"].cpu);
    assert_eq!(used(&sim), (2_000, 2_000));
    sim.apply(Record::Cancel(JobId(1)));
    assert_eq!(used(&sim), (2_000, 2_000), "runs being stopped still count");
    sim.end("w", 1, task(0), 1, EndReason::Stopped);
    sim.end("w", 1, task(0), 1, EndReason::Stopped);
    assert_eq!(used(&sim), (1_000, 1_000), "a repeated end has no effect");
    sim.apply(Record::EndIncarnation {
        worker: "w".to_owned(),
        born: 1,
    });
    assert_eq!(used(&sim), (0, 0));
}

/// Guards against a job that runs twice because it is submitted again, possibly after its end.
#[test]
fn repeated_submission_has_no_effect() {
    let mut sim = simulation(job(vec![step(1, 1_000)]));
    sim.apply(Record::Start(vec![start(0, 1)]));
    sim.end("w", 1, task(0), 1, EndReason::Done);
    sim.submit(job(vec![step(1, 1_000)]));
    assert_eq!(status(&sim.state), Status::Completed);
    let other = sim.apply(Record::Submit {
        id: JobId(1),
        queue: "quick".to_owned(),
        route: None,
        team: "other".to_owned(),
        spec: job(vec![step(1, 1_000)]),
    });
    assert_eq!(other, [Reply::Conflict]);
}

/// Guards against an older document that replaces a newer one.
#[test]
fn highest_document_version_wins() {
    let mut sim = Simulation::new(document(None));
    for version in [5, 3, 5] {
        let mut next = document(None);
        next.version = version;
        let raw = format!("version {version}");
        sim.apply(Record::Document {
            raw,
            document: next,
        });
    }
    assert_eq!(sim.state.document.version, 5);
    assert_eq!(sim.state.raw, "version 5");
}

/// Guards against snapshots that lose a part of the state.
#[test]
fn snapshot_preserves_state() {
    let mut sim = simulation(job(vec![step(2, 1_000)]));
    sim.apply(Record::Start(vec![start(0, 1)]));
    sim.end("w", 1, task(0), 1, EndReason::Failed);
    sim.apply(Record::Start(vec![start(0, 2)]));
    let text = serde_json::to_string(&sim.state).unwrap();
    let read: State = serde_json::from_str(&text).unwrap();
    assert_eq!(read, sim.state);
}

/// Guards against documents with errors that are accepted.
#[test]
fn document_errors_are_found() {
    struct Case {
        change: fn(&mut zinnia_plan::Document),
        error: Option<DocumentError>,
    }
    let cases = [
        Case {
            change: |_| {},
            error: None,
        },
        Case {
            change: |d| d.queues[0].pool = "none".to_owned(),
            error: Some(DocumentError::UnknownPool("quick".to_owned())),
        },
        Case {
            change: |d| d.queues[0].timeout_ms = 0,
            error: Some(DocumentError::ZeroTimeout("quick".to_owned())),
        },
        Case {
            change: |d| d.queues.push(d.queues[0].clone()),
            error: Some(DocumentError::DuplicateRoute("quick".to_owned())),
        },
        Case {
            change: |d| {
                let mut team = d.teams[0].clone();
                team.name = "other".to_owned();
                d.teams.push(team);
            },
            error: Some(DocumentError::SharedKey("other".to_owned())),
        },
    ];
    for case in cases {
        let mut document = document(None);
        (case.change)(&mut document);
        assert_eq!(document.find_error(), case.error);
    }
}

/// Guards against job descriptions that can never run.
#[test]
fn job_errors_are_found() {
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
