//! Which waiting work could start at all.
//!
//! Some work cannot start however long it waits: no worker has the resources, the workers of a pool together
//! cannot hold a gang, the policy allows too few of them, or tasks that last fill them or the limit of the team.
//! A worker that joins, goes or ends a lasting task may change that. Until then such work must not keep resources
//! from other work, and a new job does not wait for it.

use std::collections::BTreeMap;
use std::sync::Arc;

use zinnia_types::Time;

use crate::Job;
use crate::Leader;
use crate::Queue;
use crate::Regions;
use crate::Resources;
use crate::State;
use crate::Step;
use crate::Worker;
use crate::policy::PolicyDecisions;
use crate::worker_index::WorkerIndex;

/// Whether a waiting step could start, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Prospect {
    /// Once tasks that end have ended.
    Startable,
    /// Once the policy answers, which it does not do now.
    Unanswered,
    /// Not with the workers, limits and lasting tasks of now.
    Infeasible,
}

/// A worker with what it has for tasks that end.
struct Room<'a> {
    worker: &'a Worker,
    /// `None` without a leader that has numbered the worker.
    index: Option<WorkerIndex>,
    free: Resources,
}

impl Room<'_> {
    /// Number of tasks of the step that the worker can hold.
    fn slots(&self, step: &Step, decisions: Option<&PolicyDecisions>) -> u64 {
        let incarnation = &self.worker.incarnation;
        let is_denied = |index| decisions.is_some_and(|d| d.denied.contains(&index));
        let is_match = incarnation.resources.fits(&step.resources)
            && !(step.best_effort && self.worker.services > 0)
            && (step.label.is_empty() || incarnation.labels.contains(&step.label))
            && !self.index.is_some_and(is_denied);
        match is_match {
            true => u64::from(step.max_per_worker()).min(self.free.count_of(&step.demand())),
            false => 0,
        }
    }
}

/// Resources that tasks to last use.
#[derive(Debug, Default)]
pub(crate) struct LastingUse {
    by_worker: BTreeMap<String, Resources>,
    by_team: BTreeMap<String, Resources>,
}

impl LastingUse {
    pub(crate) fn new(state: &State) -> Self {
        let mut lasting = Self::default();
        let jobs = state.live.iter().filter_map(|id| state.jobs.get(id));
        for job in jobs.filter(|j| j.spec.steps.iter().any(|s| s.long_running)) {
            let steps = job.rounds.iter().flat_map(|r| job.spec.steps.iter().zip(r));
            for (step, tasks) in steps.filter(|(step, _)| step.long_running) {
                for worker in tasks.tasks.iter().filter_map(|t| t.worker.as_deref()) {
                    lasting.add(worker, &job.team, step);
                }
            }
        }
        lasting
    }

    fn add(&mut self, worker: &str, team: &str, step: &Step) {
        let used = self.by_worker.entry(worker.to_owned()).or_default();
        *used = used.plus(&step.demand());
        let used = self.by_team.entry(team.to_owned()).or_default();
        *used = used.plus(&step.resources);
    }

    pub(crate) fn on_worker(&self, worker: &str) -> Resources {
        self.by_worker.get(worker).copied().unwrap_or_default()
    }

    fn of_team(&self, team: &str) -> Resources {
        self.by_team.get(team).copied().unwrap_or_default()
    }
}

/// What the workers could hold once all tasks that end have ended.
pub(crate) struct Feasibility<'a> {
    state: &'a State,
    /// Workers of each pool.
    rooms: BTreeMap<&'a str, Vec<Room<'a>>>,
    /// Regions of the failure domains.
    regions: Regions,
    pub(crate) lasting: Arc<LastingUse>,
}

impl<'a> Feasibility<'a> {
    /// Takes all workers that accept tasks for present.
    pub(crate) fn of_state(state: &'a State, regions: &Regions) -> Self {
        let lasting = Arc::new(LastingUse::new(state));
        Self::new(state, regions, lasting, |_| Some(None))
    }

    /// `find` returns the number of a worker, if it has one, and `None` for a worker that is absent.
    fn new(
        state: &'a State,
        regions: &Regions,
        lasting: Arc<LastingUse>,
        find: impl Fn(&str) -> Option<Option<WorkerIndex>>,
    ) -> Self {
        let mut rooms: BTreeMap<&str, Vec<Room<'_>>> = BTreeMap::new();
        let workers = state.workers.iter();
        for (name, worker) in workers.filter(|(_, w)| state.accepts_tasks(w)) {
            let Some(index) = find(name) else {
                continue;
            };
            let room = Room {
                worker,
                index,
                free: worker.incarnation.resources.minus(&lasting.on_worker(name)),
            };
            let pool = worker.incarnation.pool.as_str();
            rooms.entry(pool).or_default().push(room);
        }
        Self {
            state,
            rooms,
            regions: regions.clone(),
            lasting,
        }
    }

    /// Whether a task of the step, or the whole gang, could start once all tasks that end have ended.
    /// `decisions` are those of the policy, if the queue has one.
    pub(crate) fn can_start(
        &self,
        job: &Job,
        queue: &Queue,
        step: &Step,
        decisions: Option<&PolicyDecisions>,
    ) -> bool {
        let count = if step.gang { u64::from(step.count) } else { 1 };
        if !self.is_within_limit(&job.team, &step.resources.times(count)) {
            return false;
        }
        let rooms = self.rooms.get(queue.pool.as_str()).map(Vec::as_slice);
        let mut slots = rooms
            .unwrap_or_default()
            .iter()
            .filter(|room| self.regions.allows(queue, &room.worker.incarnation.domain))
            .map(|room| room.slots(step, decisions));
        let mut held = 0_u64;
        slots.any(|n| {
            held = held.saturating_add(n);
            held >= count
        })
    }

    /// Whether the step could start, also considering whether the policy answers.
    pub(crate) fn prospect(
        &self,
        job: &Job,
        queue: &Queue,
        step: &Step,
        decisions: Option<&PolicyDecisions>,
    ) -> Prospect {
        if !self.can_start(job, queue, step, decisions) {
            return Prospect::Infeasible;
        }
        match decisions.is_some_and(|d| d.is_failing) {
            true => Prospect::Unanswered,
            false => Prospect::Startable,
        }
    }

    fn is_within_limit(&self, team: &str, need: &Resources) -> bool {
        let need = need.plus(&self.lasting.of_team(team));
        let below = |cap: u64, need: u64| cap == 0 || need <= cap;
        self.state.team(team).is_none_or(|t| {
            below(t.cap.cpu, need.cpu) && below(t.cap.mem, need.mem) && below(t.cap.gpu, need.gpu)
        })
    }
}

impl Leader {
    /// What the workers that answer could hold. A new leader takes all of them for present at first.
    pub(crate) fn feasibility<'a>(&self, state: &'a State, now: Time) -> Feasibility<'a> {
        let silence_ms = self.settings.silence_ms;
        let regions = &self.settings.regions;
        Feasibility::new(state, regions, Arc::clone(&self.lasting), |name| {
            let view = self.views.get(name)?;
            let last_heard = view.last_heard.max(self.term_start);
            (now.since(last_heard) < silence_ms).then_some(Some(view.index))
        })
    }
}
