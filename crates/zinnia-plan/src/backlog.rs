//! Work that waits in front of the workers, and the wait that follows for a new job.

use std::collections::BTreeMap;

use crate::Document;
use crate::Job;
use crate::Queue;
use crate::Resources;
use crate::State;
use crate::Status;

/// Resources multiplied by milliseconds of run time.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    cpu: u64,
    mem: u64,
    gpu: u64,
}

impl Work {
    fn add(&mut self, resources: &Resources, tasks: u64, ms: u64) {
        let amount = |per_task: u64| per_task.saturating_mul(tasks).saturating_mul(ms);
        self.cpu = self.cpu.saturating_add(amount(resources.cpu));
        self.mem = self.mem.saturating_add(amount(resources.mem));
        self.gpu = self.gpu.saturating_add(amount(resources.gpu));
    }

    /// Time in which this capacity does the work. A capacity of 0 is unlimited.
    fn duration_ms(&self, capacity: &Resources) -> u64 {
        let time = |work: u64, capacity: u64| work.checked_div(capacity).unwrap_or(0);
        time(self.cpu, capacity.cpu)
            .max(time(self.mem, capacity.mem))
            .max(time(self.gpu, capacity.gpu))
    }
}

/// Estimated work of the tasks that are due and wait for a worker.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    /// By pool and priority of the queue.
    pools: BTreeMap<String, BTreeMap<u32, Work>>,
    /// By team and priority of the queue.
    teams: BTreeMap<String, BTreeMap<u32, Work>>,
    /// Capacity of the workers of each pool that accept tasks.
    capacities: BTreeMap<String, Resources>,
}

impl Backlog {
    /// Adds up the waiting work.
    pub fn new(state: &State, wall_ms: i64) -> Self {
        let mut backlog = Self::default();
        for worker in state.workers.values().filter(|w| !w.left && !w.draining) {
            let pool = worker.incarnation.pool.clone();
            let capacity = backlog.capacities.entry(pool).or_default();
            *capacity = capacity.plus(&worker.incarnation.resources);
        }
        let open = state.live.iter().filter_map(|id| state.jobs.get(id));
        for job in open.filter(|j| j.status == Status::Open) {
            if let Some(queue) = state.document.queue(&job.queue) {
                backlog.add_job(job, queue, wall_ms);
            }
        }
        backlog
    }

    fn add_job(&mut self, job: &Job, queue: &Queue, wall_ms: i64) {
        let by_priority = self.pools.entry(queue.pool.clone()).or_default();
        let pool_work = by_priority.entry(queue.priority).or_default();
        let by_priority = self.teams.entry(job.team.clone()).or_default();
        let team_work = by_priority.entry(queue.priority).or_default();
        let due = (0..)
            .zip(&job.rounds)
            .filter(|(r, _)| job.due_ms(*r) <= wall_ms);
        for (step, state) in due.flat_map(|(_, steps)| job.spec.steps.iter().zip(steps)) {
            if step.long_running {
                continue;
            }
            let settled = u64::from(state.done) + u64::from(state.assigned);
            let tasks = u64::from(step.count).saturating_sub(settled);
            pool_work.add(&step.demand(), tasks, step.estimate_ms);
            team_work.add(&step.resources, tasks, step.estimate_ms);
        }
    }

    /// Estimated time until the workers have started everything that goes before a new job of this
    /// queue and team: the work of queues of the same or higher priority, of all teams within the
    /// capacity of the pool, and of this team within its limit.
    pub fn wait_ms(&self, document: &Document, queue: &Queue, team: &str) -> u64 {
        let ahead = |by_priority: Option<&BTreeMap<u32, Work>>, capacity: &Resources| {
            let goes_before = by_priority
                .into_iter()
                .flat_map(|p| p.range(..=queue.priority));
            goes_before
                .map(|(_, work)| work.duration_ms(capacity))
                .sum()
        };
        let capacity = self
            .capacities
            .get(&queue.pool)
            .copied()
            .unwrap_or_default();
        let of_all: u64 = ahead(self.pools.get(&queue.pool), &capacity);
        let cap = document.team(team).map(|t| t.cap).unwrap_or_default();
        let of_team: u64 = ahead(self.teams.get(team), &cap);
        of_all.max(of_team)
    }
}
