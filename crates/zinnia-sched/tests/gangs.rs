//! Tests of gang scheduling: gangs start as a whole, are not starved and do not deadlock.

#[cfg(test)]
mod common;

use common::Simulation;
use common::UNLIMITED;
use common::job;
use common::resources;
use zinnia_sched::Action;
use zinnia_sched::Event;
use zinnia_types::Class;
use zinnia_types::Job;
use zinnia_types::JobId;
use zinnia_types::worker::AttemptEnd;

fn gang(name: &str, tasks: u32, cores: u64) -> Job {
    Job {
        class: Class::Gang,
        tasks,
        need: resources(cores * 1_000, 512, 0),
        ..job(name, "a")
    }
}

/// Time of the job's first start in milliseconds.
fn started(sim: &Simulation, id: JobId) -> Option<u64> {
    let first = |a: &Action| matches!(a, Action::Start { attempt, .. } if attempt.job == id);
    let found = sim.log.iter().find(|(_, a)| first(a));
    found.map(|(at, _)| at.0)
}

/// Guards against starvation of a gang by small tasks that take all capacity as it becomes free.
#[test]
fn small_tasks_do_not_starve_a_gang() {
    let mut sim = Simulation::new(&[("a", 1, UNLIMITED)]);
    for n in 0..4 {
        sim.add(n, resources(4_000, 8_192, 0));
    }
    sim.submit(Job {
        tasks: 16,
        ..job("first", "a")
    });
    sim.run(1_000);
    let id = sim.submit(gang("gang", 4, 4));
    for n in 0..600 {
        // 1.6 small tasks of 10 s arrive per second, which uses the full cell.
        sim.submit(Job {
            tasks: if n % 5 < 3 { 2 } else { 1 },
            runtime_ms: 10_000,
            ..job(&format!("small{n}"), "a")
        });
        sim.run(1_000);
    }
    let at = started(&sim, id);
    // All tasks that ran when the gang was submitted end within 10 s; twice that leaves time for
    // backfill.
    assert!(at.is_some_and(|t| t <= 21_000), "started at {at:?}");
}

/// Guards against starvation of a task that needs the capacity of two smaller ones, which small
/// tasks take one by one.
#[test]
fn small_tasks_do_not_starve_a_larger_task() {
    let mut sim = Simulation::new(&[("a", 1, UNLIMITED)]);
    for n in 0..4 {
        sim.add(n, resources(4_000, 8_192, 0));
    }
    let mut larger = None;
    for n in 0..120 {
        // Two tasks of 10 s arrive per second, more than the cell can run.
        sim.submit(Job {
            tasks: 2,
            runtime_ms: 10_000,
            ..job(&format!("small{n}"), "a")
        });
        if n == 20 {
            larger = Some(sim.submit(Job {
                need: resources(1_500, 1_024, 0),
                ..job("larger", "a")
            }));
        }
        sim.run(1_000);
    }
    let at = larger.and_then(|id| started(&sim, id));
    // It counts as starved after 5 s; tasks that run then end within 10 s, and as much again is
    // left for backfill.
    assert!(
        at.is_some_and(|t| t <= 20_000 + 30_000),
        "started at {at:?}"
    );
}

/// Guards against a deadlock of two gangs that each hold half of the capacity that the other needs.
#[test]
fn two_gangs_do_not_deadlock() {
    let mut sim = Simulation::new(&[("a", 1, UNLIMITED), ("b", 1, UNLIMITED)]);
    for n in 0..4 {
        sim.add(n, resources(4_000, 8_192, 0));
    }
    sim.submit(Job {
        tasks: 14,
        ..job("first", "a")
    });
    let one = sim.submit(gang("one", 12, 1));
    let two = sim.submit(Job {
        team: common::team("b"),
        ..gang("two", 12, 1)
    });
    sim.run(60_000);
    assert!(sim.ended.contains_key(&one) && sim.ended.contains_key(&two));
}

struct Backfill {
    name: &'static str,
    runtime_ms: u64,
    starts: bool,
}

/// Guards against reserved capacity that stays idle before a gang starts, and against backfill that
/// delays the gang.
#[test]
fn backfill_uses_the_estimated_run_time() {
    let cases = [
        Backfill {
            name: "ends before the gang can start",
            runtime_ms: 3_000,
            starts: true,
        },
        Backfill {
            name: "would still run when the gang can start",
            runtime_ms: 30_000,
            starts: false,
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(&[("a", 1, UNLIMITED)]);
        sim.behaviour = Box::new(|_, task, _| (Some(task.need.mem), Ok(())));
        sim.add(0, resources(4_000, 100_000, 0));
        // Each task runs for as many milliseconds as it declares MiB of memory: 10 s, 5 s and that
        // of the case.
        sim.submit(Job {
            need: resources(2_000, 10_000, 0),
            runtime_ms: 10_000,
            ..job("first", "a")
        });
        let gang_id = sim.submit(Job {
            need: resources(2_000, 5_000, 0),
            runtime_ms: 5_000,
            ..gang("gang", 2, 2)
        });
        let small_id = sim.submit(Job {
            need: resources(1_000, case.runtime_ms, 0),
            runtime_ms: case.runtime_ms,
            ..job("small", "a")
        });
        assert_eq!(sim.running(gang_id), 0, "{}", case.name);
        assert_eq!(sim.running(small_id) == 1, case.starts, "{}", case.name);
        sim.run(11_000);
        assert_eq!(started(&sim, gang_id), Some(10_000), "{}", case.name);
    }
}

/// Guards against a gang that keeps running without a lost member, and against a restart of the
/// whole gang while old members still run.
#[test]
fn lost_member_restarts_the_whole_gang() {
    let mut sim = Simulation::new(&[("a", 1, UNLIMITED)]);
    sim.behaviour = Box::new(|_, _, _| (None, Ok(())));
    for n in 0..4 {
        sim.add(n, resources(1_000, 8_192, 0));
    }
    let id = sim.submit(gang("gang", 3, 1));
    assert_eq!(sim.running(id), 3);
    sim.lapse(0);
    let stops = sim.actions(|a| {
        matches!(
            a,
            Action::Stop {
                checkpoint: true,
                ..
            }
        )
    });
    assert!(stops > 0);
    sim.run(1_000);
    assert_eq!(sim.running(id), 3);
}

/// Guards against a gang of which a new acting owner finds only some members, and which keeps
/// running without the others.
#[test]
fn partial_gang_is_restarted_after_takeover() {
    let mut sim = Simulation::new(&[("a", 1, UNLIMITED)]);
    sim.behaviour = Box::new(|_, _, _| (None, Ok(())));
    for n in 0..4 {
        sim.add(n, resources(1_000, 8_192, 0));
    }
    let job = gang("gang", 3, 1);
    let id = sim.submit(job.clone());
    sim.event(Event::Takeover {
        term: 2,
        workers: Vec::new(),
    });
    sim.lapse(0);
    assert_eq!(sim.running(id), 2);
    sim.event(Event::Submit {
        job: Box::new(job),
        done: Vec::new(),
        dispatched: Vec::new(),
        recovered: true,
    });
    sim.run(1_000);
    assert_eq!(sim.running(id), 3);
    let mut attempts = sim.sched.running();
    assert!(attempts.all(|(a, ..)| a.term == 2));
}

/// Guards against stopping non-repeatable members of a gang when another one is lost.
#[test]
fn lost_non_repeatable_member_stops_no_others() {
    let mut sim = Simulation::new(&[("a", 1, UNLIMITED)]);
    for n in 0..3 {
        sim.add(n, resources(1_000, 8_192, 0));
    }
    let id = sim.submit(Job {
        repeat: false,
        ..gang("gang", 3, 1)
    });
    assert_eq!(sim.running(id), 3);
    sim.lapse(0);
    assert_eq!(sim.running(id), 2);
    sim.run(20_000);
    assert!(matches!(
        sim.ended.get(&id),
        Some(zinnia_types::Outcome::Unknown { .. })
    ));
    let stops = sim.actions(|a| matches!(a, Action::Stop { .. }));
    assert_eq!(stops, 0);
}

/// Guards against a gang that keeps running after one of its members was stopped on its worker.
#[test]
fn stopped_member_restarts_the_whole_gang() {
    let mut sim = Simulation::new(&[("a", 1, UNLIMITED)]);
    sim.behaviour = Box::new(|_, _, _| (None, Ok(())));
    for n in 0..3 {
        sim.add(n, resources(1_000, 8_192, 0));
    }
    let id = sim.submit(gang("gang", 3, 1));
    let first_attempts: Vec<_> = sim.sched.running().collect();
    let (attempt, worker, _) = first_attempts[0];
    if let Some(sim_worker) = sim.workers.get_mut(&worker) {
        sim_worker.running.remove(&attempt);
    }
    sim.event(Event::Stopped {
        attempt,
        end: Some(AttemptEnd::Stopped { checkpoint: true }),
    });
    sim.run(1_000);
    assert_eq!(sim.running(id), 3);
    let still_running = first_attempts.iter().filter(|(a, ..)| {
        let mut workers = sim.workers.values();
        workers.any(|m| m.running.contains_key(a))
    });
    assert_eq!(still_running.count(), 0);
}

/// Guards against a deadlock on reserved capacity: the reservation belongs to a job that is no
/// longer first in its lane, because a job accepted earlier was submitted later. Only the first job
/// is dispatched, and it cannot use the reserved capacity.
#[test]
fn reservation_moves_to_the_first_job_of_the_lane() {
    let mut sim = Simulation::new(&[("a", 1, UNLIMITED)]);
    sim.add(0, resources(8_000, 8_192, 0));
    sim.submit(Job {
        need: resources(8_000, 1_024, 0),
        ..job("first", "a")
    });
    sim.run(500);
    let large = |name: &str, accepted_ms: i64| Job {
        need: resources(6_000, 6_000, 0),
        accepted_ms,
        ..job(name, "a")
    };
    let later = sim.submit(large("later", 2_000));
    sim.run(600);
    let earlier = sim.submit(large("earlier", 1_000));
    sim.run(60_000);
    assert!(sim.ended.contains_key(&earlier) && sim.ended.contains_key(&later));
}
