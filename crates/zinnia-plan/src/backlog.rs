//! Work that waits in front of the workers, and the wait that follows for a new job.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::Document;
use crate::Job;
use crate::Queue;
use crate::Regions;
use crate::Resources;
use crate::State;
use crate::Status;
use crate::Step;
use crate::StepId;
use crate::StepState;
use crate::feasibility::Feasibility;
use crate::feasibility::Prospect;
use crate::shares::TeamWeights;

/// Resources multiplied by milliseconds of run time.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    cpu: u64,
    mem: u64,
    gpu: u64,
}

impl Work {
    fn add(&mut self, other: &Self) {
        self.cpu = self.cpu.saturating_add(other.cpu);
        self.mem = self.mem.saturating_add(other.mem);
        self.gpu = self.gpu.saturating_add(other.gpu);
    }

    fn minus(self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem: self.mem.saturating_sub(other.mem),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    /// Work of tasks that each take these resources for `ms`.
    fn of_tasks(resources: &Resources, tasks: u64, ms: u64) -> Self {
        let amount = |per_task: u64| per_task.saturating_mul(tasks).saturating_mul(ms);
        Self {
            cpu: amount(resources.cpu),
            mem: amount(resources.mem),
            gpu: amount(resources.gpu),
        }
    }

    /// The part that can be done within `ms` by this capacity. A capacity of 0 is unlimited.
    fn within(self, capacity: &Resources, ms: u64) -> Self {
        let part = |work: u64, capacity: u64| match capacity {
            0 => work,
            capacity => work.min(capacity.saturating_mul(ms)),
        };
        Self {
            cpu: part(self.cpu, capacity.cpu),
            mem: part(self.mem, capacity.mem),
            gpu: part(self.gpu, capacity.gpu),
        }
    }

    /// This part of the work; at most all of it.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the product is between 0 and the amount"
    )]
    fn part(self, part: f64) -> Self {
        let part = part.clamp(0.0, 1.0);
        let amount = |work: u64| (work as f64 * part) as u64;
        Self {
            cpu: amount(self.cpu),
            mem: amount(self.mem),
            gpu: amount(self.gpu),
        }
    }

    /// Time in which this capacity does the work. A capacity of 0 is unlimited.
    fn duration_ms(self, capacity: &Resources) -> u64 {
        let time = |work: u64, capacity: u64| work.checked_div(capacity).unwrap_or(0);
        time(self.cpu, capacity.cpu)
            .max(time(self.mem, capacity.mem))
            .max(time(self.gpu, capacity.gpu))
    }
}

/// Longest run time in milliseconds that a task counts with. A wrong estimate of one job must not
/// keep out all others.
const MAX_ESTIMATE_MS: u64 = 60_000;

/// Waiting work of one team in one pool and priority.
#[derive(Clone, Copy, Debug, Default)]
struct WaitingWork {
    /// Work that starts as resources become free.
    startable: Work,
    /// Work that waits for a placement policy which does not answer. Only jobs that need the policy, too, wait
    /// behind it.
    unanswered: Work,
}

/// Work of one team in one pool, by priority of the queue.
type TeamWork = BTreeMap<u32, WaitingWork>;

/// Estimated work of the tasks that are due and wait for a worker.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    /// By pool and team.
    pools: BTreeMap<String, BTreeMap<String, TeamWork>>,
    /// Capacity of the workers that accept tasks, by pool and region. Domains without a known region have the
    /// empty name.
    capacities: BTreeMap<String, BTreeMap<String, Resources>>,
    /// Weights of the teams, if they order waiting work.
    weights: Option<Arc<TeamWeights>>,
}

/// Waiting work of one team that goes before a new job.
struct TeamBacklog<'a> {
    team: &'a str,
    /// Work of queues of a higher priority.
    higher: Work,
    /// Work of queues of the same priority.
    same: Work,
}

impl Backlog {
    /// Adds up the waiting work. Takes all workers that accept tasks for present, and regions as
    /// unknown.
    pub fn new(state: &State, wall_ms: i64) -> Self {
        let regions = Regions::default();
        let feasibility = Feasibility::of_state(state, &regions);
        Self::with_prospects(state, &regions, None, wall_ms, |_, job, queue, step| {
            feasibility.prospect(job, queue, step, None)
        })
    }

    /// Adds up the waiting work that could start. `prospect` tells whether a step could. `weights` are those of the
    /// teams, if they order waiting work; jobs that have expired then go after a new one and do not count.
    pub(crate) fn with_prospects(
        state: &State,
        regions: &Regions,
        weights: Option<Arc<TeamWeights>>,
        wall_ms: i64,
        prospect: impl Fn(StepId, &Job, &Queue, &Step) -> Prospect,
    ) -> Self {
        let mut backlog = Self {
            weights,
            ..Self::default()
        };
        for worker in state.workers.values().filter(|w| state.accepts_tasks(w)) {
            let pool = worker.incarnation.pool.clone();
            let region = regions.of(&worker.incarnation.domain).unwrap_or_default();
            let of_pool = backlog.capacities.entry(pool).or_default();
            let capacity = of_pool.entry(region.to_owned()).or_default();
            *capacity = capacity.plus(&worker.incarnation.resources);
        }
        let open = state
            .live
            .iter()
            .filter_map(|id| Some((*id, state.jobs.get(id)?)));
        for (id, job) in open.filter(|(_, j)| j.status == Status::Open) {
            let Some(queue) = state.queue_of(job) else {
                continue;
            };
            for (round, steps) in (0..).zip(&job.rounds) {
                if job.due_ms(round) > wall_ms {
                    break;
                }
                if backlog.weights.is_some() && queue.has_expired(job, round, wall_ms) {
                    continue;
                }
                let prospect = |step: u32, spec: &Step| {
                    let id = StepId {
                        job: id,
                        round,
                        step,
                    };
                    prospect(id, job, queue, spec)
                };
                backlog.add_round(job, queue, steps, prospect);
            }
        }
        backlog
    }

    /// Adds the waiting tasks of one round of a job. A step has no better prospect than those that it depends on.
    fn add_round(
        &mut self,
        job: &Job,
        queue: &Queue,
        steps: &[StepState],
        prospect: impl Fn(u32, &Step) -> Prospect,
    ) {
        let teams = self.pools.entry(queue.pool.clone()).or_default();
        let by_priority = teams.entry(job.team.clone()).or_default();
        let team_work = by_priority.entry(queue.priority).or_default();
        let mut prospects: Vec<Prospect> = Vec::with_capacity(steps.len());
        for (index, (step, state)) in (0..).zip(job.spec.steps.iter().zip(steps)) {
            let settled = u64::from(state.done) + u64::from(state.assigned);
            let tasks = u64::from(step.count).saturating_sub(settled);
            let own = match tasks {
                0 => Prospect::Startable,
                _ => prospect(index, step),
            };
            let before = step.depends_on.iter().filter_map(|&s| prospects.get(s));
            let prospect = before.copied().fold(own, Prospect::max);
            prospects.push(prospect);
            if step.long_running {
                continue;
            }
            let ms = step.estimate_ms.min(MAX_ESTIMATE_MS);
            let work = Work::of_tasks(&step.demand(), tasks, ms);
            match prospect {
                Prospect::Startable => team_work.startable.add(&work),
                Prospect::Unanswered => team_work.unanswered.add(&work),
                Prospect::Infeasible => {}
            }
        }
    }

    /// Capacity of the workers that may run tasks of the queue.
    fn capacity(&self, queue: &Queue) -> Resources {
        let regions = self.capacities.get(&queue.pool).into_iter().flatten();
        let allowed = regions.filter(|(region, _)| queue.allows(region));
        allowed.fold(Resources::default(), |sum, (_, c)| sum.plus(c))
    }

    /// By how much the wait of a new job of this queue and team exceeds `limit_ms`, in milliseconds;
    /// 0 if it starts in time.
    ///
    /// The work of queues of the same or a higher priority goes before the job: that of its team
    /// within the team's limit, and that of all teams within the capacity of the pool. What another
    /// team cannot start within `limit_ms` because of its own limit leaves room for the job. If weights order
    /// waiting work, the other teams' work of the same priority goes before the job only as far as their weights
    /// allow until the work of its own team is done.
    pub fn excess_ms(&self, document: &Document, queue: &Queue, team: &str, limit_ms: u64) -> u64 {
        let Some(teams) = self.pools.get(&queue.pool) else {
            return 0;
        };
        let capacity = self.capacity(queue);
        let mut all = Work::default();
        let mut own_ms = 0;
        let mut waiting = Vec::with_capacity(teams.len());
        for (name, by_priority) in teams {
            let cap = document.team(name).map(|t| t.cap).unwrap_or_default();
            let mut work = Work::default();
            let mut higher = Work::default();
            for (priority, of_priority) in by_priority.range(..=queue.priority) {
                work.add(&of_priority.startable);
                if queue.policy.is_some() {
                    work.add(&of_priority.unanswered);
                }
                if *priority < queue.priority {
                    higher = work;
                }
            }
            let before = work.within(&cap, limit_ms);
            all.add(&before);
            if name == team {
                own_ms = work.duration_ms(&cap);
            }
            let higher = higher.within(&cap, limit_ms);
            waiting.push(TeamBacklog {
                team: name,
                higher,
                same: before.minus(&higher),
            });
        }
        if let Some(weights) = &self.weights {
            all = work_before(&waiting, weights, team, &capacity);
        }
        let all_ms = all.duration_ms(&capacity);
        all_ms.max(own_ms).saturating_sub(limit_ms)
    }
}

/// Work that goes before a new job of `team` if the teams get the capacity by their weights: when the work of its
/// team is done, each other team has had as much as its weight allows, or all of its work.
fn work_before(
    waiting: &[TeamBacklog<'_>],
    weights: &TeamWeights,
    team: &str,
    capacity: &Resources,
) -> Work {
    let own = waiting.iter().find(|w| w.team == team);
    let own_ms = own.map_or(0, |w| w.same.duration_ms(capacity));
    let by_weight = own_ms as f64 / weights.weight(team);
    let mut before = Work::default();
    for other in waiting {
        before.add(&other.higher);
        let all_ms = other.same.duration_ms(capacity).max(1);
        let allowed_ms = by_weight * weights.weight(other.team);
        before.add(&match other.team == team {
            true => other.same,
            false => other.same.part(allowed_ms / all_ms as f64),
        });
    }
    before
}
