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
use crate::advice::Advice;
use crate::state::Worker;

/// Maximum number of workers in one query to the placement policy.
const MOST_NAMED: usize = 30;
/// Priority value of urgent queues.
const URGENT: u32 = 0;
/// Lowest priority value of the queues that leave headroom for urgent queues of the same pool.
const PATIENT: u32 = 2;
/// Share of a pool's capacity, in percent, that stays free as headroom for urgent queues.
const SPARE_PERCENT: u64 = 20;

/// A step with tasks that wait for a worker.
pub(crate) struct Due<'a> {
    pub(crate) id: StepId,
    pub(crate) job: &'a Job,
    pub(crate) step: &'a Step,
    pub(crate) tasks: &'a StepState,
    pub(crate) queue: &'a Queue,
}

/// Free capacity of a worker, updated during the pass.
pub(crate) struct Free<'a> {
    pub(crate) worker: &'a Worker,
    /// Index of its failure domain, in the order of the names.
    domain: u64,
    pub(crate) resources: Resources,
    /// Resources reserved for waiting gangs; they may still be in use.
    pub(crate) kept: Resources,
    /// Free resources that are not covered by an open query to the placement policy.
    pub(crate) unasked: Resources,
    /// Whether the worker runs best-effort tasks, and tasks that serve user requests.
    pub(crate) best_effort: bool,
    pub(crate) services: bool,
}

impl Free<'_> {
    /// Free resources that are not reserved for a gang.
    pub(crate) fn open(&self) -> Resources {
        self.resources.minus(&self.kept)
    }
}

/// Working state of one placement pass.
pub(crate) struct Pass<'a> {
    pub(crate) state: &'a State,
    pub(crate) free: BTreeMap<&'a str, Free<'a>>,
    /// Number of failure domains among these workers.
    domains: u64,
    pub(crate) usage: BTreeMap<&'a str, Resources>,
    /// Number of gangs with reserved resources, by pool.
    pub(crate) keeps: BTreeMap<&'a str, usize>,
    pub(crate) now: Time,
    pub(crate) wall_ms: i64,
}

impl Leader {
    /// Plans starts for waiting tasks, ordered by queue priority and job age.
    pub(crate) fn place(&mut self, state: &State, now: Time, wall_ms: i64, plan: &mut Plan) {
        let mut due = waiting(state, wall_ms);
        if due.is_empty() {
            return;
        }
        due.sort_by_key(|d| (d.queue.priority, d.job.accepted_ms, d.id));
        let mut free = self.free(state, now);
        let domains = number_domains(&mut free);
        let mut pass = Pass {
            state,
            free,
            domains,
            usage: BTreeMap::new(),
            keeps: BTreeMap::new(),
            now,
            wall_ms,
        };
        for step in &due {
            self.place_step(&mut pass, step, plan);
        }
    }

    /// Returns the free capacity of all workers that accept tasks.
    fn free<'a>(&self, state: &'a State, now: Time) -> BTreeMap<&'a str, Free<'a>> {
        let mut free = BTreeMap::new();
        // Both maps are sorted by name, so that a merge finds the pairs in one pass.
        let mut contacts = self.contacts.iter().peekable();
        for (name, worker) in &state.workers {
            while contacts.next_if(|(other, _)| *other < name).is_some() {}
            let Some((_, contact)) = contacts.next_if(|(other, _)| *other == name) else {
                continue;
            };
            let usable = !worker.left
                && contact.born == worker.incarnation.born
                && contact.confirmed == contact.fence
                && !worker.draining
                && contact.misses == 0
                && now >= contact.suspect
                && now.since(contact.heard) < self.settings.silence_ms;
            if !usable {
                continue;
            }
            let resources = worker.incarnation.resources.minus(&worker.used);
            let entry = Free {
                worker,
                domain: 0,
                resources,
                kept: Resources::default(),
                unasked: resources,
                best_effort: worker.best_effort > 0,
                services: worker.services > 0,
            };
            free.insert(name.as_str(), entry);
        }
        free
    }

    fn place_step<'a>(&mut self, pass: &mut Pass<'a>, due: &Due<'a>, plan: &mut Plan) {
        if pass.must_spare(due) {
            return;
        }
        match due.queue.policy {
            Some(policy) if due.step.gang => self.place_gang(pass, due, &policy, plan),
            Some(policy) => self.place_tasks(pass, due, &policy, plan),
            None if due.step.gang => pass.gang(due, plan),
            None => {
                let able = pass.able(due);
                pass.tasks(due, &able, plan);
            }
        }
    }

    /// Places the tasks of a step that needs tickets, and queries the policy about further workers.
    fn place_tasks<'a>(
        &mut self,
        pass: &mut Pass<'a>,
        due: &Due<'a>,
        policy: &Policy,
        plan: &mut Plan,
    ) {
        let now = pass.now;
        let mut able = pass.able(due);
        let advice = self.advice.entry(due.id).or_default();
        able.retain(|w| advice.ticket(w, now).is_some());
        let left = pass.tasks(due, &able, plan);
        if left == 0 {
            return;
        }
        if !advice.asked.is_empty() {
            pass.reserve(due, &advice.asked, left);
            return;
        }
        if !advice.may_ask(now, plan) {
            return;
        }
        let names = pass.names(due, advice);
        advice.ask(due.id, &names, policy, plan);
        pass.reserve(due, &advice.asked, left);
    }
}

/// Assigns an index to each failure domain; returns their number, or 1 if there is none.
fn number_domains(free: &mut BTreeMap<&str, Free<'_>>) -> u64 {
    let mut numbers: BTreeMap<&str, u64> = BTreeMap::new();
    for f in free.values() {
        let worker: &Worker = f.worker;
        numbers.insert(&worker.incarnation.domain, 0);
    }
    for (at, number) in (0..).zip(numbers.values_mut()) {
        *number = at;
    }
    for f in free.values_mut() {
        let found = numbers.get(f.worker.incarnation.domain.as_str());
        f.domain = found.copied().unwrap_or_default();
    }
    numbers.len().max(1) as u64
}

/// Returns the steps that are due, have complete dependencies and have tasks without a worker.
fn waiting(state: &State, wall_ms: i64) -> Vec<Due<'_>> {
    let mut list = Vec::new();
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
                let idle = tasks.tasks.len() as u32 - tasks.done.min(tasks.tasks.len() as u32);
                if idle == tasks.placed || tasks.is_done() || !job.is_ready(r, s) {
                    continue;
                }
                if step.gang && tasks.placed > 0 {
                    continue;
                }
                list.push(Due {
                    id: StepId {
                        job: *id,
                        round: r,
                        step: s,
                    },
                    job,
                    step,
                    tasks,
                    queue,
                });
            }
        }
    }
    list
}

impl<'a> Pass<'a> {
    /// Workers whose total capacity suffices for a task of the step, best first.
    pub(crate) fn capable(&self, due: &Due<'_>) -> Vec<&'a str> {
        self.ranked(due, |_| true)
    }

    /// Workers with enough free resources for a task of the step, best first.
    pub(crate) fn able(&self, due: &Due<'_>) -> Vec<&'a str> {
        let need = due.step.charge();
        self.ranked(due, |f| f.open().fits(&need))
    }

    /// Workers that match the requirements of the step and the predicate `pick`, best first.
    fn ranked(&self, due: &Due<'_>, pick: impl Fn(&Free<'a>) -> bool) -> Vec<&'a str> {
        let step = due.step;
        // Keeping the tasks of a job in one failure domain means that only the loss of that domain
        // delays the job. The first domain depends on the job id, so that jobs use different
        // domains.
        let shift = due.id.job.0 % self.domains;
        let fit = |f: &Free<'a>| {
            let incarnation = &f.worker.incarnation;
            incarnation.pool == due.queue.pool
                && incarnation.resources.fits(&step.resources)
                && (step.label.is_empty() || incarnation.labels.contains(&step.label))
                && !(step.best_effort && f.services)
        };
        let rows = self.free.iter().map(|(name, f)| (*name, f));
        let mut rows: Vec<(&'a str, &Free<'a>)> = rows.filter(|(_, f)| pick(f) && fit(f)).collect();
        rows.sort_by_key(|(_, f)| {
            let far = !step.data_rack.is_empty()
                && f.worker.incarnation.rack() != Some(step.data_rack.as_str());
            let beside = step.is_service() && f.best_effort;
            let domain = (f.domain + shift) % self.domains;
            (far, beside, domain, f.resources.gpu, f.resources.cpu)
        });
        rows.into_iter().map(|(name, _)| name).collect()
    }

    /// Whether the step must leave the remaining capacity to urgent queues. With this headroom a
    /// burst of urgent jobs starts without delay, while jobs of low priority may take several times
    /// their run time.
    fn must_spare(&self, due: &Due<'_>) -> bool {
        let queue = due.queue;
        let urgent = |q: &Queue| q.pool == queue.pool && q.priority == URGENT;
        if queue.priority < PATIENT || !self.state.document.queues.iter().any(urgent) {
            return false;
        }
        let pool = self
            .free
            .values()
            .filter(|f| f.worker.incarnation.pool == queue.pool);
        let zero = (Resources::default(), Resources::default());
        let (free, all) = pool.fold(zero, |(free, all), f| {
            (
                free.plus(&f.resources),
                all.plus(&f.worker.incarnation.resources),
            )
        });
        let short = |free: u64, all: u64| free * 100 < all * SPARE_PERCENT;
        (due.step.resources.gpu > 0 && short(free.gpu, all.gpu)) || short(free.cpu, all.cpu)
    }

    fn has_room(&self, due: &Due<'_>, name: &str) -> bool {
        let need = due.step.charge();
        self.free.get(name).is_some_and(|f| f.open().fits(&need))
    }

    /// Whether the worker has enough resources for a task that no open query covers.
    fn is_idle(&self, due: &Due<'_>, name: &str) -> bool {
        let need = due.step.charge();
        self.free.get(name).is_some_and(|f| f.unasked.fits(&need))
    }

    /// Workers to include in a query to the placement policy.
    ///
    /// The policy's decision on a worker does not change, and a query about many workers takes
    /// hardly longer than one about a single worker. The first queries therefore include all
    /// eligible workers, and later ones renew the tickets of workers with free resources.
    fn names(&self, due: &Due<'_>, advice: &Advice) -> Vec<&'a str> {
        let capable = self.capable(due);
        let renew = |w: &&&str| {
            let due_again = advice.granted.contains(**w) && advice.ticket(w, self.now).is_none();
            due_again && self.is_idle(due, w)
        };
        let mut names: Vec<&str> = capable.iter().filter(renew).copied().collect();
        if names.is_empty() {
            return self.unknown(due, advice, capable);
        }
        names.truncate(MOST_NAMED);
        names
    }

    /// Those of the eligible workers on which the policy has not decided yet; workers with free
    /// resources come first.
    pub(crate) fn unknown(
        &self,
        due: &Due<'_>,
        advice: &Advice,
        mut names: Vec<&'a str>,
    ) -> Vec<&'a str> {
        names.retain(|w| !advice.granted.contains(*w) && !advice.denied.contains(*w));
        names.sort_by_key(|w| !self.is_idle(due, w));
        names.truncate(MOST_NAMED);
        names
    }

    /// Excludes the resources of the queried workers from the queries of later steps.
    fn reserve(&mut self, due: &Due<'_>, names: &[String], left: usize) {
        let need = due.step.charge();
        for name in names.iter().take(left) {
            if let Some(free) = self.free.get_mut(name.as_str()) {
                free.unasked = free.unasked.minus(&need);
            }
        }
    }

    /// Whether the team may run `count` more tasks of the step within its limit.
    pub(crate) fn within_cap(&mut self, due: &Due<'a>, count: u64) -> bool {
        let Some(team) = self.state.document.team(&due.job.team) else {
            return true;
        };
        let used = self.used(&due.job.team);
        let resources = due.step.resources;
        let ok = |cap: u64, used: u64, need: u64| cap == 0 || used + need * count <= cap;
        ok(team.cap.cpu, used.cpu, resources.cpu)
            && ok(team.cap.mem, used.mem, resources.mem)
            && ok(team.cap.gpu, used.gpu, resources.gpu)
    }

    fn used(&mut self, team: &'a str) -> &mut Resources {
        let state = self.state;
        let known = || state.usage.get(team).copied().unwrap_or_default();
        self.usage.entry(team).or_insert_with(known)
    }

    /// Number of assigned tasks of the step on each worker.
    fn beside(&self, due: &Due<'_>) -> BTreeMap<&'a str, u32> {
        let mut count = BTreeMap::new();
        if due.step.per_worker > 0 {
            for (name, free) in &self.free {
                let same = |(t, _): &&(TaskId, u32)| StepId::from(*t) == due.id;
                let n = free.worker.runs.iter().filter(same).count();
                count.insert(*name, u32::try_from(n).unwrap_or(u32::MAX));
            }
        }
        count
    }

    pub(crate) fn put(&mut self, due: &Due<'a>, name: &'a str) {
        let resources = due.step.resources;
        if let Some(free) = self.free.get_mut(name) {
            free.resources = free.resources.minus(&due.step.charge());
            free.unasked = free.unasked.minus(&due.step.charge());
            free.best_effort |= due.step.best_effort;
            free.services |= due.step.is_service();
        }
        let used = self.used(&due.job.team);
        *used = used.plus(&resources);
    }

    pub(crate) fn start(&self, due: &Due<'_>, index: u32, run: u32, name: &str) -> Option<Start> {
        let born = self.free.get(name)?.worker.incarnation.born;
        Some(Start {
            task: TaskId {
                job: due.id.job,
                round: due.id.round,
                step: due.id.step,
                index,
            },
            run,
            worker: name.to_owned(),
            born,
        })
    }

    /// Places the tasks of a step one by one; returns how many found no worker.
    fn tasks(&mut self, due: &Due<'a>, able: &[&'a str], plan: &mut Plan) -> usize {
        let mut beside = self.beside(due);
        let mut left = 0;
        for (index, task) in (0..).zip(&due.tasks.tasks) {
            if task.done || task.worker.is_some() {
                continue;
            }
            if !self.within_cap(due, 1) {
                return 0;
            }
            let fits = |name: &&&'a str| {
                let resources = self.has_room(due, name);
                let few = beside
                    .get(**name)
                    .is_none_or(|n| *n < due.step.most_beside());
                resources && few
            };
            // A worker on which the task failed before is used only if there is no other.
            let again = |name: &&&'a str| task.failed_on == ***name;
            let chosen = able.iter().filter(fits).min_by_key(|n| again(n)).copied();
            let Some(name) = chosen else {
                left += 1;
                continue;
            };
            if let Some(start) = self.start(due, index, task.run + 1, name) {
                plan.starts.push(start);
                *beside.entry(name).or_default() += 1;
                self.put(due, name);
            }
        }
        left
    }
}
