//! Tests of placement, queue order, corrections by observed usage, and cancellation.

#[cfg(test)]
mod common;

use common::Simulation;
use common::UNLIMITED;
use common::job;
use common::resources;
use common::worker;
use zinnia_sched::Action;
use zinnia_sched::Event;
use zinnia_sched::Policy;
use zinnia_sched::Settings;
use zinnia_types::Class;
use zinnia_types::Job;
use zinnia_types::JobId;
use zinnia_types::Name;
use zinnia_types::Resources;
use zinnia_types::Time;
use zinnia_types::Urgency;
use zinnia_types::WorkerId;
use zinnia_types::worker::AttemptReport;
use zinnia_types::worker::TaskState;

const CPU: Resources = resources(8_000, 16_384, 0);
const GPU: Resources = resources(8_000, 16_384, 4);

fn starts(sim: &Simulation) -> Vec<(Time, JobId, WorkerId, Resources)> {
    let pick = |(at, a): &(Time, Action)| match a {
        Action::Start {
            worker,
            attempt,
            task,
            ..
        } => Some((*at, attempt.job, *worker, task.need)),
        _ => None,
    };
    sim.log.iter().filter_map(pick).collect()
}

struct Case {
    name: &'static str,
    workers: Vec<Resources>,
    /// Jobs in order of submission.
    jobs: Vec<Job>,
    /// Expected number of tasks on each worker.
    tasks: Vec<usize>,
}

/// Guards against accelerators blocked by CPU tasks, batch tasks scattered over workers, and
/// services concentrated in one rack.
#[test]
fn placement_avoids_stranding_and_spreads_services() {
    let service = |tasks| Job {
        class: Class::Service,
        tasks,
        ..job("service", "a")
    };
    let cases = [
        Case {
            name: "CPU tasks avoid accelerator workers",
            workers: vec![GPU, CPU],
            jobs: vec![Job {
                tasks: 8,
                ..job("j", "a")
            }],
            tasks: vec![0, 8],
        },
        Case {
            name: "CPU tasks use accelerator workers when all others are full",
            workers: vec![GPU, CPU],
            jobs: vec![Job {
                tasks: 10,
                ..job("j", "a")
            }],
            tasks: vec![2, 8],
        },
        Case {
            name: "batch tasks are packed on one worker",
            workers: vec![CPU; 4],
            jobs: (0..6).map(|n| job(&format!("j{n}"), "a")).collect(),
            tasks: vec![6, 0, 0, 0],
        },
        Case {
            name: "a large task still finds an empty worker",
            workers: vec![CPU; 2],
            jobs: vec![
                Job {
                    need: resources(3_000, 1_024, 0),
                    ..job("one", "a")
                },
                Job {
                    need: resources(3_000, 1_024, 0),
                    ..job("two", "a")
                },
                Job {
                    need: resources(8_000, 1_024, 0),
                    ..job("large", "a")
                },
            ],
            tasks: vec![2, 1],
        },
        Case {
            name: "services are spread over racks of five workers",
            workers: vec![CPU; 15],
            jobs: vec![service(3)],
            tasks: vec![1, 0, 0, 0, 0, 1, 0, 0, 0, 0, 1, 0, 0, 0, 0],
        },
        Case {
            name: "services are packed within each rack",
            workers: vec![CPU; 10],
            jobs: vec![
                service(2),
                Job {
                    name: "other".to_owned(),
                    id: JobId::of(common::team("a"), "other"),
                    ..service(2)
                },
            ],
            tasks: vec![2, 0, 0, 0, 0, 2, 0, 0, 0, 0],
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(&[("a", 1, UNLIMITED)]);
        for (n, capacity) in case.workers.iter().enumerate() {
            sim.add(n, *capacity);
        }
        for job in case.jobs {
            sim.submit(job);
        }
        let count = |n: usize| sim.workers[&worker(n)].running.len();
        let found: Vec<usize> = (0..case.workers.len()).map(count).collect();
        assert_eq!(found, case.tasks, "{}", case.name);
    }
}

/// Guards against a queue order that ignores due times, learned run times or urgency.
#[test]
fn queues_are_ordered_by_least_slack() {
    let due = |name: &str, kind: &str, due_ms| Job {
        kind: Name::new(kind).unwrap(),
        due_ms,
        need: resources(8_000, 1_024, 0),
        ..job(name, "a")
    };
    let mut sim = Simulation::new(&[("a", 1, UNLIMITED)]);
    sim.add(0, CPU);
    // All jobs declare 10 s, but those of kind `long` report 100 s and those of kind `short` 1 s.
    sim.behaviour = Box::new(|_, _, _| (Some(500), Ok(())));
    for (kind, run_ms) in [("long", 100_000), ("short", 1_000)] {
        for n in 0..4 {
            sim.submit(due(&format!("{kind}{n}"), kind, None));
            sim.run_ms = run_ms;
            sim.run(600);
        }
    }
    sim.run(2_000);
    let before = starts(&sim).len();
    sim.submit(due("filler", "short", None));
    let order = [
        ("none", "long", None, Urgency::Normal),
        ("easy", "short", Some(400_000), Urgency::Normal),
        ("tight", "long", Some(300_000), Urgency::Normal),
        ("loose", "short", Some(200_000), Urgency::Normal),
        ("urgent", "short", None, Urgency::Urgent),
    ];
    for (name, kind, due_ms, urgency) in order {
        sim.submit(Job {
            urgency,
            // Not repeatable, so that it is not checkpointed and the starts show the queue order.
            repeat: false,
            ..due(name, kind, due_ms)
        });
    }
    sim.run(10_000);
    let id = |name: &str| JobId::of(common::team("a"), name);
    let found: Vec<JobId> = starts(&sim)[before..].iter().map(|s| s.1).collect();
    let rest: Vec<JobId> = found.into_iter().filter(|f| *f != id("filler")).collect();
    // Latest starts: `tight` 300 s less 1.5 runs of 100 s, `loose` 200 s less 1.5 runs of 1 s,
    // `easy` 400 s less 1.5 runs of 1 s. `none` should start within 4 runs of 100 s. Run times are
    // learned with an error of up to a factor of 1.5.
    let wanted = ["urgent", "tight", "loose", "easy", "none"].map(id);
    assert_eq!(rest, wanted);
}

/// Guards against a baseline policy that reorders jobs by due time; comparisons with it would then
/// be wrong.
#[test]
fn fifo_baseline_starts_jobs_by_arrival() {
    let settings = Settings::default();
    let mut sim = Simulation::with(&[("a", 1, UNLIMITED)], settings, Policy::baseline());
    sim.add(0, CPU);
    sim.behaviour = Box::new(|_, _, _| (Some(500), Ok(())));
    let due = [None, Some(500_000), Some(90_000), Some(70_000)];
    let submit = |(n, due_ms): (usize, Option<i64>)| Job {
        due_ms,
        need: resources(8_000, 1_024, 0),
        ..job(&format!("j{n}"), "a")
    };
    let jobs: Vec<Job> = due.into_iter().enumerate().map(submit).collect();
    let ids: Vec<JobId> = jobs.iter().map(|j| j.id).collect();
    for job in jobs {
        sim.submit(job);
    }
    sim.run(5_000);
    let found: Vec<JobId> = starts(&sim).iter().map(|s| s.1).collect();
    assert_eq!(found, ids);
}

struct Observed {
    name: &'static str,
    usage: Resources,
    /// Resources with which a later task of the same kind should be started.
    need: Resources,
}

/// Guards against memory that is overcommitted because earlier tasks used less than declared, and
/// against wrong declarations that are never corrected.
#[test]
fn observed_usage_corrects_declared_resources() {
    let cases = [
        Observed {
            name: "as declared",
            usage: resources(2_000, 2_048, 0),
            need: resources(2_000, 2_048, 0),
        },
        Observed {
            name: "less CPU and memory",
            usage: resources(800, 512, 0),
            need: resources(1_000, 2_048, 0),
        },
        Observed {
            name: "almost no CPU",
            usage: resources(10, 2_048, 0),
            need: resources(500, 2_048, 0),
        },
        Observed {
            name: "more memory",
            usage: resources(2_000, 3_000, 0),
            need: resources(2_000, 3_000, 0),
        },
        Observed {
            name: "more memory than any worker has",
            usage: resources(2_000, 30_000, 0),
            need: resources(2_000, 2_048, 0),
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(&[("a", 1, UNLIMITED)]);
        sim.add(0, CPU);
        for n in 0..10 {
            let declared = Job {
                need: resources(2_000, 2_048, 0),
                ..job(&format!("j{n}"), "a")
            };
            sim.submit(declared);
            report_usage(&mut sim, case.usage);
            sim.run(10_500);
        }
        let last = starts(&sim).last().map(|s| s.3);
        assert_eq!(last, Some(case.need), "{}", case.name);
    }
}

fn report_usage(sim: &mut Simulation, usage: Resources) {
    let sim_worker = sim.workers[&worker(0)].clone();
    let running = sim_worker
        .running
        .iter()
        .map(|(id, (task, _))| AttemptReport {
            attempt: *id,
            state: TaskState::Running {
                task: Box::new(task.clone()),
                usage,
            },
        });
    sim.event(Event::Heartbeat {
        worker: sim_worker.profile.worker,
        boot: sim_worker.profile.boot,
        reports: running.collect(),
    });
}

/// Guards against placing tasks into memory that running tasks use beyond their declaration.
#[test]
fn memory_used_beyond_the_declaration_is_not_allocated() {
    let mut sim = Simulation::new(&[("a", 1, UNLIMITED)]);
    sim.add(0, CPU);
    sim.behaviour = Box::new(|_, _, _| (None, Ok(())));
    sim.submit(Job {
        need: resources(1_000, 2_048, 0),
        ..job("grows", "a")
    });
    report_usage(&mut sim, resources(1_000, 12_000, 0));
    // A lower later report must not free capacity: reports lag behind, and usage may rise again.
    report_usage(&mut sim, resources(1_000, 100, 0));
    let id = sim.submit(Job {
        need: resources(1_000, 2_048, 0),
        tasks: 4,
        ..job("others", "a")
    });
    // 4,384 MiB remain, enough for two of the tasks.
    assert_eq!(sim.running(id), 2);
}

/// Guards against starting tasks on a worker that is leaving or silent.
#[test]
fn leaving_and_silent_workers_get_no_tasks() {
    for leaving in [true, false] {
        let mut sim = Simulation::new(&[("a", 1, UNLIMITED)]);
        sim.behaviour = Box::new(|_, _, _| (None, Ok(())));
        sim.add(0, CPU);
        let moves = sim.submit(job("moves", "a"));
        let stays = sim.submit(Job {
            repeat: false,
            ..job("stays", "a")
        });
        if leaving {
            // An announcement under an older epoch is ignored, also if it says that the worker is
            // leaving.
            sim.event(Event::OwnershipGranted {
                profile: common::profile(0, CPU),
                epoch: zinnia_types::Epoch(1),
                leaving: true,
                reports: Vec::new(),
            });
            assert_eq!(
                sim.running(moves),
                1,
                "an announcement under an older epoch was accepted"
            );
        }
        let event = if leaving {
            Event::Leaving { worker: worker(0) }
        } else {
            Event::Unresponsive { worker: worker(0) }
        };
        sim.event(event);
        let id = sim.submit(job("new", "a"));
        sim.run(1_000);
        assert_eq!(sim.running(id), 0);
        assert_eq!(sim.running(stays), 1);
        // On a leaving worker the repeatable task was checkpointed and waits for another worker.
        assert_eq!(sim.running(moves), usize::from(!leaving));
        sim.add(1, CPU);
        assert_eq!(sim.running(id), 1);
        assert_eq!(sim.running(moves), 1);
    }
}

/// Guards against cancelled jobs that start or keep running.
#[test]
fn cancelled_jobs_are_stopped_and_ended() {
    let mut sim = Simulation::new(&[("a", 1, UNLIMITED)]);
    sim.behaviour = Box::new(|_, _, _| (None, Ok(())));
    sim.add(0, CPU);
    let jobs: Vec<JobId> = (0..1_000)
        .map(|n| sim.submit(job(&format!("j{n}"), "a")))
        .collect();
    let kept = sim.submit(job("kept", "a"));
    sim.event(Event::Cancel { jobs: jobs.clone() });
    sim.run(5_000);
    let cancelled = |id: &JobId| sim.ended.get(id) == Some(&zinnia_types::Outcome::Cancelled);
    assert!(jobs.iter().all(cancelled));
    assert_eq!(sim.running(kept), 1);
    assert_eq!(sim.sched.running().count(), 1);
}
