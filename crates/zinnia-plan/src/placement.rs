//! Placement: assigns waiting tasks to workers.

use std::collections::BTreeMap;

use zinnia_types::Time;

use crate::Job;
use crate::Leader;
use crate::Plan;
use crate::Policy;
use crate::Queue;
use crate::Resources;
use crate::Start;
use crate::State;
use crate::Status;
use crate::Step;
use crate::StepId;
use crate::StepState;
use crate::TaskId;
use crate::policy::PolicyDecisions;
use crate::state::Worker;

/// Maximum number of workers in one query to the placement policy.
const MAX_QUERY_WORKERS: usize = 30;
/// Priority value of urgent queues.
const URGENT_PRIORITY: u32 = 0;
/// Lowest priority value of the queues that leave headroom for urgent queues of the same pool.
const HEADROOM_PRIORITY: u32 = 2;
/// Share of a pool's capacity, in percent, that stays free as headroom for urgent queues.
const HEADROOM_PERCENT: u64 = 20;

/// A step with tasks that wait for a worker.
pub(crate) struct WaitingStep<'a> {
    pub(crate) id: StepId,
    pub(crate) job: &'a Job,
    pub(crate) step: &'a Step,
    pub(crate) state: &'a StepState,
    pub(crate) queue: &'a Queue,
}

/// Free capacity of a worker, updated during the pass.
pub(crate) struct WorkerCapacity<'a> {
    pub(crate) worker: &'a Worker,
    /// Index of its failure domain, in the order of the names.
    domain: u64,
    /// Resources that no run uses.
    pub(crate) free: Resources,
    /// Resources reserved for waiting gangs; they may still be in use.
    pub(crate) reserved: Resources,
    /// Free resources that are not covered by an open query to the placement policy.
    pub(crate) unqueried: Resources,
    /// Whether the worker runs best-effort tasks, and tasks that serve user requests.
    pub(crate) best_effort: bool,
    pub(crate) services: bool,
}

impl WorkerCapacity<'_> {
    /// Free resources that are not reserved for a gang.
    pub(crate) fn unreserved(&self) -> Resources {
        self.free.minus(&self.reserved)
    }
}

/// Working state of one placement pass.
pub(crate) struct PlacementPass<'a> {
    pub(crate) state: &'a State,
    pub(crate) workers: BTreeMap<&'a str, WorkerCapacity<'a>>,
    /// Number of failure domains among these workers.
    domains: u64,
    pub(crate) usage: BTreeMap<&'a str, Resources>,
    /// Number of gangs with reserved resources, by pool.
    pub(crate) gang_reservations: BTreeMap<&'a str, usize>,
    pub(crate) now: Time,
    pub(crate) wall_ms: i64,
}

impl Leader {
    /// Plans starts for waiting tasks, ordered by queue priority and job age.
    pub(crate) fn place(&mut self, state: &State, now: Time, wall_ms: i64, plan: &mut Plan) {
        let mut waiting = waiting_steps(state, wall_ms);
        if waiting.is_empty() {
            return;
        }
        waiting.sort_by_key(|d| (d.queue.priority, d.job.accepted_ms, d.id));
        let mut workers = self.worker_capacities(state, now);
        let domains = number_domains(&mut workers);
        let mut pass = PlacementPass {
            state,
            workers,
            domains,
            usage: BTreeMap::new(),
            gang_reservations: BTreeMap::new(),
            now,
            wall_ms,
        };
        for step in &waiting {
            self.place_step(&mut pass, step, plan);
        }
    }

    /// Returns the free capacity of all workers that accept tasks.
    fn worker_capacities<'a>(
        &self,
        state: &'a State,
        now: Time,
    ) -> BTreeMap<&'a str, WorkerCapacity<'a>> {
        let mut capacities = BTreeMap::new();
        // Both maps are sorted by name, so that a merge finds the pairs in one pass.
        let mut views = self.views.iter().peekable();
        for (name, worker) in &state.workers {
            while views.next_if(|(other, _)| *other < name).is_some() {}
            let Some((_, view)) = views.next_if(|(other, _)| *other == name) else {
                continue;
            };
            let usable = !worker.left
                && view.born == worker.incarnation.born
                && view.confirmed_fence == view.fence
                && !worker.draining
                && view.failed_calls == 0
                && now >= view.suspect_until
                && now.since(view.last_heard) < self.settings.silence_ms;
            if !usable {
                continue;
            }
            let free = worker.incarnation.resources.minus(&worker.used);
            let entry = WorkerCapacity {
                worker,
                domain: 0,
                free,
                reserved: Resources::default(),
                unqueried: free,
                best_effort: worker.best_effort > 0,
                services: worker.services > 0,
            };
            capacities.insert(name.as_str(), entry);
        }
        capacities
    }

    fn place_step<'a>(
        &mut self,
        pass: &mut PlacementPass<'a>,
        waiting: &WaitingStep<'a>,
        plan: &mut Plan,
    ) {
        if pass.must_leave_headroom(waiting) {
            return;
        }
        match waiting.queue.policy {
            Some(policy) if waiting.step.gang => {
                self.place_ticketed_gang(pass, waiting, &policy, plan);
            }
            Some(policy) => self.place_ticketed_tasks(pass, waiting, &policy, plan),
            None if waiting.step.gang => pass.place_gang(waiting, plan),
            None => {
                let available = pass.available_workers(waiting);
                pass.place_tasks(waiting, &available, plan);
            }
        }
    }

    /// Places the tasks of a step that needs tickets, and queries the policy about further workers.
    fn place_ticketed_tasks<'a>(
        &mut self,
        pass: &mut PlacementPass<'a>,
        waiting: &WaitingStep<'a>,
        policy: &Policy,
        plan: &mut Plan,
    ) {
        let now = pass.now;
        let mut available = pass.available_workers(waiting);
        let decisions = self.decisions.entry(waiting.id).or_default();
        available.retain(|w| decisions.ticket(w, now).is_some());
        let unplaced = pass.place_tasks(waiting, &available, plan);
        if unplaced == 0 {
            return;
        }
        if !decisions.queried.is_empty() {
            pass.mark_queried(waiting, &decisions.queried, unplaced);
            return;
        }
        if !decisions.may_query(now, plan) {
            return;
        }
        let names = pass.query_candidates(waiting, decisions);
        decisions.query(waiting.id, &names, policy, plan);
        pass.mark_queried(waiting, &decisions.queried, unplaced);
    }
}

/// Assigns an index to each failure domain; returns their number, or 1 if there is none.
fn number_domains(workers: &mut BTreeMap<&str, WorkerCapacity<'_>>) -> u64 {
    let mut numbers: BTreeMap<&str, u64> = BTreeMap::new();
    for f in workers.values() {
        let worker: &Worker = f.worker;
        numbers.insert(&worker.incarnation.domain, 0);
    }
    for (index, number) in (0..).zip(numbers.values_mut()) {
        *number = index;
    }
    for f in workers.values_mut() {
        let found = numbers.get(f.worker.incarnation.domain.as_str());
        f.domain = found.copied().unwrap_or_default();
    }
    numbers.len().max(1) as u64
}

/// Returns the steps that are due, have complete dependencies and have tasks without a worker.
fn waiting_steps(state: &State, wall_ms: i64) -> Vec<WaitingStep<'_>> {
    let mut steps_waiting = Vec::new();
    // The lookup of a queue is cached, since a document may have many hundreds of queues, of which
    // few have jobs.
    let mut queues: BTreeMap<&str, Option<&Queue>> = BTreeMap::new();
    for id in &state.live {
        let Some(job) = state.jobs.get(id).filter(|j| j.status == Status::Open) else {
            continue;
        };
        let find = || state.document.queue(&job.queue);
        let Some(queue) = *queues.entry(&job.queue).or_insert_with(find) else {
            continue;
        };
        for (r, steps) in (0..).zip(&job.rounds) {
            if job.due_ms(r) > wall_ms {
                break;
            }
            for (s, tasks) in (0..).zip(steps) {
                let Some(step) = job.spec.steps.get(s as usize) else {
                    continue;
                };
                let incomplete =
                    tasks.tasks.len() as u32 - tasks.done.min(tasks.tasks.len() as u32);
                if incomplete == tasks.assigned || tasks.is_done() || !job.is_ready(r, s) {
                    continue;
                }
                if step.gang && tasks.assigned > 0 {
                    continue;
                }
                steps_waiting.push(WaitingStep {
                    id: StepId {
                        job: *id,
                        round: r,
                        step: s,
                    },
                    job,
                    step,
                    state: tasks,
                    queue,
                });
            }
        }
    }
    steps_waiting
}

impl<'a> PlacementPass<'a> {
    /// Workers whose total capacity suffices for a task of the step, best first.
    pub(crate) fn eligible_workers(&self, waiting: &WaitingStep<'_>) -> Vec<&'a str> {
        self.ranked(waiting, |_| true)
    }

    /// Workers with enough free resources for a task of the step, best first.
    pub(crate) fn available_workers(&self, waiting: &WaitingStep<'_>) -> Vec<&'a str> {
        let need = waiting.step.demand();
        self.ranked(waiting, |f| f.unreserved().fits(&need))
    }

    /// Workers that match the requirements of the step and the predicate `pick`, best first.
    fn ranked(
        &self,
        waiting: &WaitingStep<'_>,
        pick: impl Fn(&WorkerCapacity<'a>) -> bool,
    ) -> Vec<&'a str> {
        let step = waiting.step;
        // Keeping the tasks of a job in one failure domain means that only the loss of that domain
        // delays the job. The first domain depends on the job id, so that jobs use different
        // domains.
        let domain_offset = waiting.id.job.0 % self.domains;
        let is_match = |f: &WorkerCapacity<'a>| {
            let incarnation = &f.worker.incarnation;
            incarnation.pool == waiting.queue.pool
                && incarnation.resources.fits(&step.resources)
                && (step.label.is_empty() || incarnation.labels.contains(&step.label))
                && !(step.best_effort && f.services)
        };
        let rows = self.workers.iter().map(|(name, f)| (*name, f));
        let mut rows: Vec<(&'a str, &WorkerCapacity<'a>)> =
            rows.filter(|(_, f)| pick(f) && is_match(f)).collect();
        rows.sort_by_key(|(_, f)| {
            let data_remote = !step.data_rack.is_empty()
                && f.worker.incarnation.rack() != Some(step.data_rack.as_str());
            let mixed_load = step.is_service() && f.best_effort;
            let domain = (f.domain + domain_offset) % self.domains;
            (data_remote, mixed_load, domain, f.free.gpu, f.free.cpu)
        });
        rows.into_iter().map(|(name, _)| name).collect()
    }

    /// Whether the step must leave the remaining capacity to urgent queues. With this headroom a
    /// burst of urgent jobs starts without delay, while jobs of low priority may take several times
    /// their run time.
    fn must_leave_headroom(&self, waiting: &WaitingStep<'_>) -> bool {
        let queue = waiting.queue;
        let urgent = |q: &Queue| q.pool == queue.pool && q.priority == URGENT_PRIORITY;
        if queue.priority < HEADROOM_PRIORITY || !self.state.document.queues.iter().any(urgent) {
            return false;
        }
        let pool = self
            .workers
            .values()
            .filter(|f| f.worker.incarnation.pool == queue.pool);
        let zero = (Resources::default(), Resources::default());
        let (free, all) = pool.fold(zero, |(free, all), f| {
            (
                free.plus(&f.free),
                all.plus(&f.worker.incarnation.resources),
            )
        });
        let below_headroom = |free: u64, all: u64| free * 100 < all * HEADROOM_PERCENT;
        (waiting.step.resources.gpu > 0 && below_headroom(free.gpu, all.gpu))
            || below_headroom(free.cpu, all.cpu)
    }

    fn has_capacity(&self, waiting: &WaitingStep<'_>, name: &str) -> bool {
        let need = waiting.step.demand();
        self.workers
            .get(name)
            .is_some_and(|f| f.unreserved().fits(&need))
    }

    /// Whether the worker has enough resources for a task that no open query covers.
    fn has_unqueried_capacity(&self, waiting: &WaitingStep<'_>, name: &str) -> bool {
        let need = waiting.step.demand();
        self.workers
            .get(name)
            .is_some_and(|f| f.unqueried.fits(&need))
    }

    /// Workers to include in a query to the placement policy.
    ///
    /// The policy's decision on a worker does not change, and a query about many workers takes
    /// hardly longer than one about a single worker. The first queries therefore include all
    /// eligible workers, and later ones renew the tickets of workers with free resources. Workers
    /// that could not take a task even with a ticket are left out: renewing their tickets would keep
    /// the workers that the policy has not decided on from ever being queried.
    fn query_candidates(
        &self,
        waiting: &WaitingStep<'_>,
        decisions: &PolicyDecisions,
    ) -> Vec<&'a str> {
        let task_counts = self.tasks_per_worker(waiting);
        let mut eligible_workers = self.eligible_workers(waiting);
        eligible_workers.retain(|w| waiting.step.accepts_more(task_counts.get(w)));
        let renew = |w: &&&str| {
            let renewable =
                decisions.granted.contains(**w) && decisions.ticket(w, self.now).is_none();
            renewable && self.has_capacity(waiting, w) && self.has_unqueried_capacity(waiting, w)
        };
        let mut names: Vec<&str> = eligible_workers.iter().filter(renew).copied().collect();
        if names.is_empty() {
            return self.undecided_workers(waiting, decisions, eligible_workers);
        }
        names.truncate(MAX_QUERY_WORKERS);
        names
    }

    /// Those of the eligible workers on which the policy has not decided yet; workers with free
    /// resources come first.
    pub(crate) fn undecided_workers(
        &self,
        waiting: &WaitingStep<'_>,
        decisions: &PolicyDecisions,
        mut names: Vec<&'a str>,
    ) -> Vec<&'a str> {
        names.retain(|w| !decisions.granted.contains(*w) && !decisions.denied.contains(*w));
        names.sort_by_key(|w| !self.has_unqueried_capacity(waiting, w));
        names.truncate(MAX_QUERY_WORKERS);
        names
    }

    /// Excludes the resources of the queried workers from the queries of later steps.
    fn mark_queried(&mut self, waiting: &WaitingStep<'_>, names: &[String], unplaced: usize) {
        let need = waiting.step.demand();
        for name in names.iter().take(unplaced) {
            if let Some(capacity) = self.workers.get_mut(name.as_str()) {
                capacity.unqueried = capacity.unqueried.minus(&need);
            }
        }
    }

    /// Whether the team may run `count` more tasks of the step within its limit.
    pub(crate) fn within_team_limit(&mut self, waiting: &WaitingStep<'a>, count: u64) -> bool {
        let Some(team) = self.state.document.team(&waiting.job.team) else {
            return true;
        };
        let used = self.team_usage(&waiting.job.team);
        let resources = waiting.step.resources;
        let below_cap = |cap: u64, used: u64, need: u64| cap == 0 || used + need * count <= cap;
        below_cap(team.cap.cpu, used.cpu, resources.cpu)
            && below_cap(team.cap.mem, used.mem, resources.mem)
            && below_cap(team.cap.gpu, used.gpu, resources.gpu)
    }

    fn team_usage(&mut self, team: &'a str) -> &mut Resources {
        let state = self.state;
        let known = || state.usage.get(team).copied().unwrap_or_default();
        self.usage.entry(team).or_insert_with(known)
    }

    /// Number of assigned tasks of the step on each worker.
    fn tasks_per_worker(&self, waiting: &WaitingStep<'_>) -> BTreeMap<&'a str, u32> {
        let mut count = BTreeMap::new();
        if waiting.step.per_worker > 0 {
            for (name, capacity) in &self.workers {
                let same = |(t, _): &&(TaskId, u32)| StepId::from(*t) == waiting.id;
                let n = capacity.worker.runs.iter().filter(same).count();
                count.insert(*name, u32::try_from(n).unwrap_or(u32::MAX));
            }
        }
        count
    }

    pub(crate) fn allocate(&mut self, waiting: &WaitingStep<'a>, name: &'a str) {
        let resources = waiting.step.resources;
        if let Some(capacity) = self.workers.get_mut(name) {
            capacity.free = capacity.free.minus(&waiting.step.demand());
            capacity.unqueried = capacity.unqueried.minus(&waiting.step.demand());
            capacity.best_effort |= waiting.step.best_effort;
            capacity.services |= waiting.step.is_service();
        }
        let used = self.team_usage(&waiting.job.team);
        *used = used.plus(&resources);
    }

    pub(crate) fn new_start(
        &self,
        waiting: &WaitingStep<'_>,
        index: u32,
        run: u32,
        name: &str,
    ) -> Option<Start> {
        let born = self.workers.get(name)?.worker.incarnation.born;
        Some(Start {
            task: TaskId {
                job: waiting.id.job,
                round: waiting.id.round,
                step: waiting.id.step,
                index,
            },
            run,
            worker: name.to_owned(),
            born,
        })
    }

    /// Places the tasks of a step one by one; returns how many found no worker.
    fn place_tasks(
        &mut self,
        waiting: &WaitingStep<'a>,
        available: &[&'a str],
        plan: &mut Plan,
    ) -> usize {
        let mut task_counts = self.tasks_per_worker(waiting);
        let mut unplaced = 0;
        for (index, task) in (0..).zip(&waiting.state.tasks) {
            if task.done || task.worker.is_some() {
                continue;
            }
            if !self.within_team_limit(waiting, 1) {
                return 0;
            }
            let fits = |name: &&&'a str| {
                self.has_capacity(waiting, name)
                    && waiting.step.accepts_more(task_counts.get(**name))
            };
            // A worker on which the task failed before is used only if there is no other.
            let failed_here = |name: &&&'a str| task.failed_on == ***name;
            let chosen = available
                .iter()
                .filter(fits)
                .min_by_key(|n| failed_here(n))
                .copied();
            let Some(name) = chosen else {
                unplaced += 1;
                continue;
            };
            if let Some(start) = self.new_start(waiting, index, task.run + 1, name) {
                plan.starts.push(start);
                *task_counts.entry(name).or_default() += 1;
                self.allocate(waiting, name);
            }
        }
        unplaced
    }
}
