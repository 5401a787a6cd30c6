//! What callers get from a team whose limit is too small for all of its work at once: bursts of
//! urgent jobs beside jobs of low priority that would fill the limit.

mod common;

use std::collections::BTreeMap;

use common::Simulation;
use common::document;
use common::incarnation;
use common::job;
use common::step;
use zinnia_plan::EndReason;
use zinnia_plan::Queue;
use zinnia_plan::Resources;
use zinnia_plan::Step;
use zinnia_plan::TaskId;
use zinnia_types::JobId;

/// Step of the simulation.
const TICK_MS: u64 = 50;
/// Limit of the team; the workers have more.
const LIMIT_CPU: u64 = 40_000;
/// Interval between two bursts of urgent jobs.
const BURST_INTERVAL_MS: u64 = 3_000;
/// Run time of an urgent task.
const URGENT_MS: u64 = 1_000;
/// Run time of a task of low priority.
const LATER_MS: u64 = 4_000;
/// Ids of urgent jobs start here.
const FIRST_URGENT_ID: u64 = 1_000;

struct Run {
    worker: String,
    task: TaskId,
    number: u32,
    ends_at: u64,
}

/// The cell with its runs and the caller's view of each job.
struct Cell {
    sim: Simulation,
    runs: Vec<Run>,
    last_end: BTreeMap<String, u64>,
    submitted: BTreeMap<JobId, u64>,
    completed: BTreeMap<JobId, u64>,
}

impl Cell {
    fn new() -> Self {
        let mut document = document(None);
        document.teams[0].cap = Resources {
            cpu: LIMIT_CPU,
            ..Resources::default()
        };
        document.queues.push(Queue {
            name: "later".to_owned(),
            prefix: "/l/".to_owned(),
            priority: 2,
            allowance_ms: 3_000,
            max_slowdown: 4.0,
            ..document.queues[0].clone()
        });
        let mut sim = Simulation::new(document);
        for n in 0..10 {
            sim.add_worker(&incarnation(&format!("w{n}"), 20_000));
        }
        Self {
            sim,
            runs: Vec::new(),
            last_end: BTreeMap::new(),
            submitted: BTreeMap::new(),
            completed: BTreeMap::new(),
        }
    }

    fn submit(&mut self, queue: &str, id: u64, step: Step) {
        self.submitted.insert(JobId(id), self.sim.now);
        self.sim.submit_to(queue, id, job(vec![step]));
    }

    fn tick(&mut self) {
        self.sim.now += TICK_MS;
        let now = self.sim.now;
        if now.is_multiple_of(1_000) {
            for n in 0..10 {
                let worker = incarnation(&format!("w{n}"), 20_000);
                self.sim.heartbeat(&worker, now, false);
            }
        }
        for run in self.runs.extract_if(.., |r| r.ends_at <= now) {
            let number = self.last_end.entry(run.worker.clone()).or_default();
            *number += 1;
            let (worker, task) = (&run.worker, run.task);
            self.sim
                .end(worker, *number, task, run.number, EndReason::Done);
            self.completed.insert(task.job, now);
        }
        for order in self.sim.start_tasks() {
            let run = order.common;
            let step = self.sim.state.step(run.task);
            self.runs.push(Run {
                ends_at: now + step.map_or(0, |s| s.estimate_ms),
                worker: run.worker,
                task: run.task,
                number: run.run,
            });
        }
    }

    /// Times from submission to completion of the jobs with these ids; `None` for a job that is
    /// not complete.
    fn latencies(&self, ids: impl Fn(u64) -> bool) -> Vec<Option<u64>> {
        let jobs = self.submitted.iter().filter(|(id, _)| ids(id.0));
        let latency = |(id, at): (&JobId, &u64)| Some(self.completed.get(id)? - at);
        jobs.map(latency).collect()
    }
}

/// Guards against bursts of urgent jobs that are late because jobs of low priority of the same team
/// fill its limit, and against headroom that delays the jobs of low priority until they expire.
#[test]
fn urgent_bursts_and_later_jobs_both_end_in_time() {
    let mut cell = Cell::new();
    let mut next_urgent = FIRST_URGENT_ID;
    let mut next_later = 1;
    for tick in 0..40_000 / TICK_MS {
        let at = tick * TICK_MS;
        if at.is_multiple_of(BURST_INTERVAL_MS) {
            for _ in 0..2 {
                let urgent = Step {
                    estimate_ms: URGENT_MS,
                    ..step(3, 3_000)
                };
                cell.submit("quick", next_urgent, urgent);
                next_urgent += 1;
            }
        }
        // All of them need three fifths of the limit.
        if at.is_multiple_of(2_000) {
            let later = Step {
                estimate_ms: LATER_MS,
                ..step(6, 2_000)
            };
            cell.submit("later", next_later, later);
            next_later += 1;
        }
        cell.tick();
    }
    for _ in 0..20_000 / TICK_MS {
        cell.tick();
    }
    let urgent = cell.latencies(|id| id >= FIRST_URGENT_ID);
    // The objective of the queue: half of the run time and 250 ms of delay.
    let objective_ms = URGENT_MS * 3 / 2 + 250;
    let in_time = |limit: u64| move |l: &&Option<u64>| l.is_some_and(|ms| ms <= limit);
    let early = urgent.iter().filter(in_time(objective_ms)).count();
    // The demand is not known before the first burst.
    assert!(early + 2 >= urgent.len(), "urgent jobs: {urgent:?}");
    let later = cell.latencies(|id| id < FIRST_URGENT_ID);
    let later_ms = LATER_MS * 4 + 3_000;
    let in_time_later = later.iter().filter(in_time(later_ms)).count();
    assert_eq!(in_time_later, later.len(), "other jobs: {later:?}");
}
