//! Gangs start whole, are not starved and do not block each other.

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
use zinnia_types::worker::End;

fn gang(name: &str, tasks: u32, cores: u64) -> Job {
    Job {
        class: Class::Gang,
        tasks,
        need: resources(cores * 1_000, 512, 0),
        ..job(name, "a")
    }
}

/// When the job first started, in milliseconds.
fn started(sim: &Simulation, id: JobId) -> Option<u64> {
    let first = |a: &Action| matches!(a, Action::Start { attempt, .. } if attempt.job == id);
    let found = sim.log.iter().find(|(_, a)| first(a));
    found.map(|(at, _)| at.0)
}

/// Guards against a gang that waits for ever while small tasks take all that becomes free.
#[test]
fn a_stream_of_small_tasks_does_not_starve_a_gang() {
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
        // 1.6 small tasks of 10 s arrive each second: as much as the cell can do.
        sim.submit(Job {
            tasks: if n % 5 < 3 { 2 } else { 1 },
            runtime_ms: 10_000,
            ..job(&format!("small{n}"), "a")
        });
        sim.run(1_000);
    }
    let at = started(&sim, id);
    // All that ran at its submission ends within 10 s; twice that leaves room for backfill.
    assert!(at.is_some_and(|t| t <= 21_000), "started at {at:?}");
}

/// Guards against a task that fits only where two smaller ones have ended, and so never starts.
#[test]
fn a_stream_of_small_tasks_does_not_starve_a_larger_one() {
    let mut sim = Simulation::new(&[("a", 1, UNLIMITED)]);
    for n in 0..4 {
        sim.add(n, resources(4_000, 8_192, 0));
    }
    let mut larger = None;
    for n in 0..120 {
        // Two tasks of 10 s arrive each second: more than the cell can do.
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
    // 5 s until it counts as starved, 10 s for what runs then, and as much again for backfill.
    assert!(
        at.is_some_and(|t| t <= 20_000 + 30_000),
        "started at {at:?}"
    );
}

/// Guards against two gangs that each hold half of what the other needs.
#[test]
fn two_gangs_do_not_block_each_other() {
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

/// Guards against room that stands idle before a gang, and against backfill that delays it.
#[test]
fn backfill_goes_by_the_estimated_run_time() {
    let cases = [
        Backfill {
            name: "ends before the gang can start",
            runtime_ms: 3_000,
            starts: true,
        },
        Backfill {
            name: "would still run",
            runtime_ms: 30_000,
            starts: false,
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(&[("a", 1, UNLIMITED)]);
        sim.behaviour = Box::new(|_, task, _| (Some(task.need.mem), Ok(())));
        sim.add(0, resources(4_000, 100_000, 0));
        // The run time is the memory: 10 s, 5 s and the case's own.
        sim.submit(Job {
            need: resources(2_000, 10_000, 0),
            runtime_ms: 10_000,
            ..job("first", "a")
        });
        let whole = sim.submit(Job {
            need: resources(2_000, 5_000, 0),
            runtime_ms: 5_000,
            ..gang("gang", 2, 2)
        });
        let small = sim.submit(Job {
            need: resources(1_000, case.runtime_ms, 0),
            runtime_ms: case.runtime_ms,
            ..job("small", "a")
        });
        assert_eq!(sim.running(whole), 0, "{}", case.name);
        assert_eq!(sim.running(small) == 1, case.starts, "{}", case.name);
        sim.run(11_000);
        assert_eq!(started(&sim, whole), Some(10_000), "{}", case.name);
    }
}

/// Guards against a gang that runs on with a member missing, and against a restart of the whole
/// while old members run.
#[test]
fn a_lost_member_restarts_the_whole_gang() {
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

/// Guards against a gang of which a new owner finds only a part, and which runs on like that.
#[test]
fn a_gang_found_in_part_is_restarted_as_a_whole() {
    let mut sim = Simulation::new(&[("a", 1, UNLIMITED)]);
    sim.behaviour = Box::new(|_, _, _| (None, Ok(())));
    for n in 0..4 {
        sim.add(n, resources(1_000, 8_192, 0));
    }
    let job = gang("gang", 3, 1);
    let id = sim.submit(job.clone());
    sim.event(Event::Takeover {
        term: 2,
        roster: Vec::new(),
    });
    sim.lapse(0);
    assert_eq!(sim.running(id), 2);
    sim.event(Event::Submit {
        job: Box::new(job),
        done: Vec::new(),
        dispatched: Vec::new(),
        old: true,
    });
    sim.run(1_000);
    assert_eq!(sim.running(id), 3);
    let mut attempts = sim.sched.running();
    assert!(attempts.all(|(a, ..)| a.term == 2));
}

/// Guards against members of a gang that must not be repeated being stopped for the loss of one.
#[test]
fn a_lost_member_that_must_not_be_repeated_stops_no_other() {
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

/// Guards against a refused member that leaves the rest of its gang running.
#[test]
fn a_refused_member_stops_the_rest() {
    let mut sim = Simulation::new(&[("a", 1, UNLIMITED)]);
    sim.behaviour = Box::new(|_, _, _| (None, Ok(())));
    for n in 0..3 {
        sim.add(n, resources(1_000, 8_192, 0));
    }
    let id = sim.submit(gang("gang", 3, 1));
    let all: Vec<_> = sim.sched.running().collect();
    let (attempt, worker, _) = all[0];
    if let Some(sim_worker) = sim.workers.get_mut(&worker) {
        sim_worker.running.remove(&attempt);
    }
    sim.event(Event::Stopped {
        attempt,
        end: Some(End::Stopped { checkpoint: true }),
    });
    sim.run(1_000);
    assert_eq!(sim.running(id), 3);
    let old = all.iter().filter(|(a, ..)| {
        let mut workers = sim.workers.values();
        workers.any(|m| m.running.contains_key(a))
    });
    assert_eq!(old.count(), 0);
}

/// Guards against room that is kept for ever for a job that another one of its lane, accepted
/// earlier but submitted later, has overtaken: neither could start.
#[test]
fn kept_room_goes_to_the_first_job_of_the_lane() {
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
