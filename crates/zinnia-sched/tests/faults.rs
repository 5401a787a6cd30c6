//! Failing workers and jobs, retries, unanswered commands and tasks that must not be repeated.

#[cfg(test)]
mod common;

use std::collections::BTreeSet;

use common::Simulation;
use common::UNLIMITED;
use common::job;
use common::resources;
use common::worker;
use zinnia_sched::Action;
use zinnia_sched::Event;
use zinnia_types::AttemptId;
use zinnia_types::Class;
use zinnia_types::Job;
use zinnia_types::JobId;
use zinnia_types::Outcome;
use zinnia_types::Resources;
use zinnia_types::Time;
use zinnia_types::WorkerId;
use zinnia_types::worker::AttemptEnd;
use zinnia_types::worker::Task;

const WORKER: Resources = resources(4_000, 8_192, 0);

/// A cell with one team and `workers` equal workers.
fn cell(workers: usize) -> Simulation {
    let mut sim = Simulation::new(&[("a", 1, UNLIMITED)]);
    for n in 0..workers {
        sim.add(n, WORKER);
    }
    sim
}

/// Time and worker of each start of a job.
fn starts(sim: &Simulation, id: JobId) -> Vec<(Time, WorkerId)> {
    let select = |(at, a): &(Time, Action)| match a {
        Action::Start {
            worker, attempt, ..
        } if attempt.job == id => Some((*at, *worker)),
        _ => None,
    };
    sim.log.iter().filter_map(select).collect()
}

/// Time, worker and end of each quarantine.
fn quarantines(sim: &Simulation) -> Vec<(Time, WorkerId, Time)> {
    let select = |(at, a): &(Time, Action)| match a {
        Action::Quarantine { worker, until } => Some((*at, *worker, *until)),
        _ => None,
    };
    sim.log.iter().filter_map(select).collect()
}

/// Guards against a broken worker that keeps getting tasks, and against jobs that fail because of
/// it.
#[test]
fn broken_worker_is_quarantined_and_probed() {
    let mut sim = cell(4);
    let broken = worker(0);
    sim.behaviour = Box::new(move |_, _, at| {
        let result = if at == broken {
            Err("disk full".to_owned())
        } else {
            Ok(())
        };
        (Some(200), result)
    });
    let mut ids = Vec::new();
    for n in 0..400 {
        ids.push(sim.submit(job(&format!("j{n}"), "a")));
        ids.push(sim.submit(job(&format!("k{n}"), "a")));
        sim.run(500);
    }
    sim.run(10_000);
    for id in &ids {
        assert_eq!(sim.ended.get(id), Some(&Outcome::Done));
    }
    let quarantine_log = quarantines(&sim);
    assert!(quarantine_log.len() >= 3, "{quarantine_log:?}");
    assert!(
        quarantine_log.iter().all(|q| q.1 == broken),
        "{quarantine_log:?}"
    );
    let durations: Vec<u64> = quarantine_log.iter().map(|q| q.2.since(q.0)).collect();
    assert!(
        durations.windows(2).all(|w| w[1] == 2 * w[0]),
        "{durations:?}"
    );
    // A single probe runs between two quarantines.
    let on_broken = |a: &Action| matches!(a, Action::Start { worker, .. } if *worker == broken);
    let probes = sim.actions(on_broken);
    let initial_starts = 12;
    assert!(
        probes <= initial_starts + quarantine_log.len(),
        "{probes} starts on it"
    );
}

/// Guards against a long quarantine of the only worker because of jobs that fail by their own
/// fault. Their short runs end before the longer ones of good jobs, or before any good job is
/// submitted.
#[test]
fn bad_jobs_do_not_block_the_only_worker() {
    struct Case {
        name: &'static str,
        /// Milliseconds between the submission of the bad jobs and the good ones.
        gap: u64,
        /// Milliseconds in which all jobs must end.
        limit: u64,
    }
    let cases = [
        Case {
            name: "submitted together",
            gap: 0,
            limit: 8_000,
        },
        Case {
            name: "one after the other",
            gap: 1_000,
            limit: 20_000,
        },
    ];
    for case in cases {
        let mut sim = cell(1);
        let name = |n| format!("bad{n}");
        let bad: BTreeSet<JobId> = (0..5)
            .map(|n| JobId::of(common::team("a"), &name(n)))
            .collect();
        let bad_jobs = bad.clone();
        sim.behaviour = Box::new(move |attempt, _, _| {
            if bad_jobs.contains(&attempt.job) {
                (Some(20), Err("no such file".to_owned()))
            } else {
                (Some(100), Ok(()))
            }
        });
        for n in 0..5 {
            sim.submit(job(&name(n), "a"));
        }
        sim.run(case.gap);
        let good: Vec<_> = (0..20)
            .map(|n| sim.submit(job(&format!("good{n}"), "a")))
            .collect();
        sim.run(case.limit);
        let done = |id: &JobId| sim.ended.get(id) == Some(&Outcome::Done);
        assert!(good.iter().all(done), "{}", case.name);
        let failed = |id: &JobId| matches!(sim.ended.get(id), Some(Outcome::Failed { .. }));
        assert!(bad.iter().all(failed), "{}", case.name);
    }
}

/// Guards against a quarantine that continues after the worker was repaired.
#[test]
fn repaired_worker_is_used_again() {
    let mut sim = cell(1);
    sim.behaviour = Box::new(|attempt, _, _| {
        let result = if attempt.number <= 3 {
            Err("not mounted".to_owned())
        } else {
            Ok(())
        };
        (Some(100), result)
    });
    let ids: Vec<_> = (0..3)
        .map(|n| sim.submit(job(&format!("j{n}"), "a")))
        .collect();
    sim.run(5_000);
    assert_eq!(quarantines(&sim).len(), 1);
    assert_eq!(sim.ended.len(), 0);
    sim.run(60_000);
    assert!(
        ids.iter()
            .all(|id| sim.ended.get(id) == Some(&Outcome::Done))
    );
    assert_eq!(quarantines(&sim).len(), 1);
}

/// Guards against quarantines of healthy workers because of jobs that fail on every worker.
#[test]
fn jobs_that_fail_everywhere_do_not_quarantine_workers() {
    for count in [1, 4] {
        let mut sim = cell(8);
        let name = |n| format!("bad{n}");
        let bad: BTreeSet<JobId> = (0..count)
            .map(|n| JobId::of(common::team("a"), &name(n)))
            .collect();
        let bad_jobs = bad.clone();
        sim.behaviour = Box::new(move |attempt, _, _| {
            let result = if bad_jobs.contains(&attempt.job) {
                Err("no such file".to_owned())
            } else {
                Ok(())
            };
            (Some(500), result)
        });
        for n in 0..count {
            sim.submit(Job {
                retries: 100,
                ..job(&name(n), "a")
            });
        }
        for n in 0..60 {
            sim.submit(Job {
                tasks: 8,
                ..job(&format!("good{n}"), "a")
            });
            sim.run(500);
        }
        for id in bad {
            let why = match sim.ended.get(&id) {
                Some(Outcome::Failed { why }) => why.as_str(),
                _ => "",
            };
            assert_eq!(why, "failed on 4 workers: no such file");
        }
        let quarantine_log = quarantines(&sim);
        if count == 1 {
            assert_eq!(quarantine_log, Vec::new());
        }
        // Several such jobs on one worker can quarantine it until they fail on other workers too.
        for id in sim.workers.keys() {
            let last = quarantine_log.iter().rfind(|q| q.1 == *id);
            assert!(last.is_none_or(|q| q.2 <= q.0), "{id}: {quarantine_log:?}");
        }
    }
}

/// Guards against retries without a delay, without a limit, or at the same time as those of other
/// tasks.
#[test]
fn retries_are_limited_with_backoff_and_jitter() {
    let mut sim = cell(1);
    sim.behaviour = Box::new(|_, _, _| (Some(100), Err("exit 1".to_owned())));
    let id = sim.submit(Job {
        retries: 4,
        tasks: 2,
        ..job("j", "a")
    });
    sim.run(60_000);
    let times: Vec<u64> = starts(&sim, id).iter().map(|s| s.0.0).collect();
    // The job fails with the first task that has no retries left.
    assert!((9..=10).contains(&times.len()), "{times:?}");
    assert!(matches!(sim.ended.get(&id), Some(Outcome::Failed { .. })));
    let last = times[times.len() - 1];
    // Delays of 0.5, 1, 2 and 4 s, which jitter reduces by up to half.
    assert!((3_750..=9_000).contains(&last), "{times:?}");
    let distinct = times.iter().collect::<BTreeSet<_>>().len();
    assert!(distinct > 5, "both tasks retry at the same time: {times:?}");
}

/// A job that fits no worker of the domain.
struct MisfitCase {
    name: &'static str,
    job: Job,
    pinned: bool,
    remote_capacities: Vec<Resources>,
    /// Reason in the outcome, or `None` if the job is released to another domain.
    why: Option<&'static str>,
}

/// Guards against jobs that wait forever for a worker that does not exist.
#[test]
fn jobs_that_never_fit_end_or_are_released() {
    let gpu = || Job {
        need: resources(1_000, 1_024, 2),
        ..job("j", "a")
    };
    let base = || MisfitCase {
        name: "",
        job: gpu(),
        pinned: false,
        remote_capacities: vec![],
        why: Some("accelerators: a task needs 2, the largest worker has 0"),
    };
    let cases = [
        MisfitCase {
            name: "no accelerators",
            ..base()
        },
        MisfitCase {
            name: "fits another domain",
            remote_capacities: vec![resources(32_000, 65_536, 8)],
            why: None,
            ..base()
        },
        MisfitCase {
            name: "fits another domain but is pinned",
            pinned: true,
            remote_capacities: vec![resources(32_000, 65_536, 8)],
            ..base()
        },
        MisfitCase {
            name: "too large for other domains",
            remote_capacities: vec![resources(32_000, 65_536, 1)],
            ..base()
        },
        MisfitCase {
            name: "above the limit of the team",
            job: Job {
                class: Class::Gang,
                tasks: 3,
                need: resources(3_000, 1_024, 0),
                ..job("j", "a")
            },
            remote_capacities: vec![resources(32_000, 65_536, 8)],
            why: Some(
                "processor in thousandths of a core: needs 9000 at once, \
                 the limit of team a is 8000",
            ),
            ..base()
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(&[("a", 1, resources(8_000, 65_536, 8))]);
        for n in 0..3 {
            sim.add(n, WORKER);
        }
        sim.event(Event::RemoteCapacities {
            capacities: case.remote_capacities,
        });
        let id = sim.submit(Job {
            pinned: case.pinned,
            ..case.job
        });
        let released = sim.actions(|a| matches!(a, Action::Release { job, .. } if *job == id));
        assert_eq!(released == 1, case.why.is_none(), "{}", case.name);
        let why = case.why.map(|w| Outcome::NeverFits { why: w.to_owned() });
        assert_eq!(sim.ended.get(&id), why.as_ref(), "{}", case.name);
    }
}

/// Guards against a job that ends while the only worker that it fits restarts, and against one that
/// waits forever after that worker is lost.
#[test]
fn lost_capacity_ends_jobs_after_a_grace_period() {
    for returns in [true, false] {
        let mut sim = cell(1);
        sim.add(1, resources(32_000, 65_536, 8));
        sim.lapse(1);
        let id = sim.submit(Job {
            need: resources(1_000, 1_024, 4),
            ..job("j", "a")
        });
        sim.run(30_000);
        assert_eq!(sim.ended.get(&id), None);
        if returns {
            sim.announce(1);
        }
        sim.run(60_000);
        let done = sim.ended.get(&id) == Some(&Outcome::Done);
        let never = matches!(sim.ended.get(&id), Some(Outcome::NeverFits { .. }));
        assert_eq!((done, never), (returns, !returns));
    }
}

/// An attempt that is lost or fails.
struct LostAttemptCase {
    name: &'static str,
    repeat: bool,
    /// What happens to the only attempt after its start.
    event: fn(&mut Simulation, AttemptId),
    /// Whether the task is restarted within 10 s.
    restarted: bool,
    outcome: Option<Outcome>,
}

/// Guards against a second run of a task that must not be repeated, and against a repeatable task
/// that is not restarted.
#[test]
fn lost_attempts_are_restarted_or_unknown() {
    let unknown = || {
        Some(Outcome::Unknown {
            why: "1 of 1 tasks may have run and their results were lost".to_owned(),
        })
    };
    let base = || LostAttemptCase {
        name: "",
        repeat: false,
        event: |w, _| w.lapse(0),
        restarted: false,
        outcome: unknown(),
    };
    let cases = [
        LostAttemptCase {
            name: "lease expires",
            repeat: true,
            restarted: true,
            outcome: None,
            ..base()
        },
        LostAttemptCase {
            name: "lease expires, must not be repeated",
            ..base()
        },
        LostAttemptCase {
            name: "fenced, must not be repeated",
            event: |w, attempt| {
                let end = Some(AttemptEnd::Fenced);
                w.event(Event::Stopped { attempt, end });
            },
            ..base()
        },
        LostAttemptCase {
            name: "failed, must not be repeated",
            event: |w, attempt| {
                let why = "exit 1".to_owned();
                let end = Some(AttemptEnd::Failed { why });
                w.event(Event::Stopped { attempt, end });
            },
            outcome: Some(Outcome::Failed {
                why: "exit 1".to_owned(),
            }),
            ..base()
        },
        LostAttemptCase {
            name: "tombstone after it ran, must not be repeated",
            event: |w, attempt| w.refuse(attempt),
            ..base()
        },
        LostAttemptCase {
            name: "worker restarts",
            repeat: true,
            event: |w, _| {
                if let Some(sim_worker) = w.workers.get_mut(&worker(0)) {
                    sim_worker.profile.boot = 2;
                    sim_worker.epoch = 0;
                    sim_worker.running.clear();
                }
                w.announce(0);
            },
            restarted: true,
            outcome: None,
        },
    ];
    for case in cases {
        let mut sim = cell(1);
        sim.behaviour = Box::new(|_, _, _| (None, Ok(())));
        let id = sim.submit(Job {
            repeat: case.repeat,
            ..job("j", "a")
        });
        let first = sim.sched.running().next().map(|r| r.0);
        sim.add(1, WORKER);
        if let Some(attempt) = first {
            (case.event)(&mut sim, attempt);
        }
        sim.run(10_000);
        let restarted = starts(&sim, id).len() == 2;
        assert_eq!(restarted, case.restarted, "{}", case.name);
        assert_eq!(sim.ended.get(&id), case.outcome.as_ref(), "{}", case.name);
    }
}

/// Guards against a second start while the first is unanswered and the worker has not confirmed a
/// tombstone for it.
#[test]
fn unanswered_start_is_refused_before_the_next() {
    for repeat in [true, false] {
        let mut sim = cell(1);
        sim.auto_record = true;
        if let Some(sim_worker) = sim.workers.get_mut(&worker(0)) {
            sim_worker.alive = false;
        }
        let id = sim.submit(Job {
            repeat,
            ..job("j", "a")
        });
        sim.add(1, WORKER);
        let refusals = |w: &Simulation| w.actions(|a| matches!(a, Action::Refuse { .. }));
        // An attempt that must not be repeated may still be reported as running, so its refusal is
        // delayed.
        assert_eq!(refusals(&sim), usize::from(repeat));
        sim.run(4_500);
        assert_eq!(refusals(&sim), 1);
        assert_eq!(starts(&sim, id).len(), 1);
        let first = sim.sched.running().next().map(|r| r.0);
        if let Some(attempt) = first {
            sim.refuse(attempt);
        }
        sim.run(1_000);
        assert_eq!(starts(&sim, id).len(), 2);
        assert_eq!(sim.running(id), 1);
    }
}

/// Guards against the start of a task that must not be repeated before its dispatch is recorded.
#[test]
fn unrepeatable_task_starts_after_its_dispatch_record() {
    let mut sim = cell(1);
    sim.auto_record = false;
    let id = sim.submit(Job {
        repeat: false,
        ..job("j", "a")
    });
    let records = |w: &Simulation| w.actions(|a| matches!(a, Action::RecordDispatch { .. }));
    sim.run(4_500);
    assert_eq!((sim.running(id), records(&sim)), (0, 1));
    // A proposal may be lost, so it is repeated every 5 s.
    sim.run(1_000);
    assert_eq!((sim.running(id), records(&sim)), (0, 2));
    sim.event(Event::DispatchRecorded {
        job: id,
        tasks: vec![0],
    });
    assert_eq!(sim.running(id), 1);
}

/// Guards against attempts of unknown jobs that run forever, and against an inactive owner that
/// starts or stops attempts.
#[test]
fn orphans_are_stopped_only_by_an_active_owner() {
    for active in [true, false] {
        let mut sim = cell(1);
        sim.event(Event::Active { active });
        let id = JobId::of(common::team("a"), "gone");
        let attempt = AttemptId {
            job: id,
            task: 0,
            term: 0,
            number: 9,
        };
        let source = job("gone", "a");
        let task = Task {
            team: source.team,
            class: source.class,
            urgency: source.urgency,
            repeat: true,
            need: source.need,
            service: None,
            payload: source.payload,
        };
        if let Some(sim_worker) = sim.workers.get_mut(&worker(0)) {
            sim_worker.running.insert(attempt, (task, Time(u64::MAX)));
        }
        sim.announce(0);
        let other = sim.submit(Job {
            tasks: 4,
            ..job("j", "a")
        });
        assert_eq!(sim.running(other), if active { 3 } else { 0 });
        sim.run(130_000);
        assert_eq!(sim.running(id), usize::from(!active));
    }
}
