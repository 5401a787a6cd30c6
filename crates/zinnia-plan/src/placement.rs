//! Placement: assigns waiting tasks to workers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use zinnia_types::Time;

use crate::Leader;
use crate::Plan;
use crate::Regions;
use crate::Resources;
use crate::Settings;
use crate::Start;
use crate::State;
use crate::StepId;
use crate::TaskId;
use crate::WaitingSteps;
use crate::capacity::Capacities;
use crate::feasibility::Feasibility;
use crate::headroom::UrgentWork;
use crate::late_order::Binding;
use crate::late_order::OrderWindow;
use crate::leader_load::Selected;
use crate::leader_load::StepSelection;
use crate::lease;
use crate::policy::PolicyDecisions;
use crate::query_pass::QueryPass;
use crate::rank::ranked_steps;
use crate::suspects::mark_suspects;
use crate::wait_reason::WaitReason;
use crate::waiting::WaitingStep;
use crate::worker_index::WorkerIndex;
use crate::worker_index::WorkerIndices;
use crate::worker_view::WorkerView;
use crate::worker_view::current_workers;

/// Number of starts in one pass, and so in one entry of the log, after which no further tasks are placed. The next
/// pass follows once these are committed. A gang, whose starts are one decision, may exceed it.
const MAX_STARTS: usize = 1_024;

/// Decisions of the placement policy about the steps of live jobs.
pub(crate) type Decisions = BTreeMap<StepId, PolicyDecisions>;

/// Working state of one placement pass.
pub(crate) struct PlacementPass<'a> {
    pub(crate) state: &'a State,
    pub(crate) indices: &'a WorkerIndices,
    pub(crate) capacities: Capacities<'a>,
    pub(crate) regions: &'a Regions,
    /// Resources that the tasks of each team use, including those started in this pass.
    pub(crate) usage: BTreeMap<&'a str, Resources>,
    /// Number of gangs with reserved resources, by pool.
    pub(crate) gang_reservations: BTreeMap<&'a str, usize>,
    pub(crate) urgent: UrgentWork<'a>,
    /// Tasks of which a worker has a run that is not assigned to it. They start again once it has ended.
    pub(crate) strays: BTreeSet<TaskId>,
    pub(crate) queries: QueryPass<'a>,
    pub(crate) views: &'a BTreeMap<String, WorkerView>,
    pub(crate) orders: OrderWindow,
    /// Whether tasks of the step wait for an order without an answer.
    pub(crate) awaits_order: bool,
    pub(crate) now: Time,
    pub(crate) wall_ms: i64,
    pub(crate) settings: &'a Settings,
}

impl Leader {
    /// Plans starts for waiting tasks, in the order of [`ranked_steps`].
    pub(crate) fn place(
        &mut self,
        state: &State,
        feasibility: &Feasibility<'_>,
        now: Time,
        wall_ms: i64,
        plan: &mut Plan,
    ) {
        let mut report = WaitingSteps::default();
        let weights = self.weights.clone();
        let waiting = ranked_steps(state, weights.as_deref(), wall_ms);
        if waiting.is_empty() {
            plan.waiting = Some(report);
            return;
        }
        let mut capacities = self.worker_capacities(state, feasibility, now);
        mark_suspects(&mut capacities, &self.indices, state, wall_ms);
        let strays = self.views.values().flat_map(|v| &v.strays);
        let strays = strays.map(|(task, _)| *task).collect();
        let orders = self.order_window();
        let mut pass = PlacementPass {
            state,
            indices: &self.indices,
            capacities,
            regions: &self.settings.regions,
            usage: BTreeMap::new(),
            gang_reservations: BTreeMap::new(),
            urgent: UrgentWork::new(state, &self.urgent_teams),
            strays,
            queries: self.queries.pass(&self.settings.queries, now),
            views: &self.views,
            orders,
            awaits_order: false,
            now,
            wall_ms,
            settings: &self.settings,
        };
        let mut selection = StepSelection::new(
            &self.settings.load,
            &waiting,
            &mut self.rotation_cursor,
            wall_ms,
        );
        let mut short = Vec::new();
        for step in &waiting {
            if plan.starts.len() >= MAX_STARTS {
                report.add(step, WaitReason::Postponed, wall_ms);
                continue;
            }
            let reason = match selection.select(step) {
                Selected::Postpone => Some(WaitReason::Postponed),
                Selected::LeaveOut(reason) => Some(reason),
                Selected::Consider => {
                    pass.awaits_order = false;
                    let reason = pass.place_step(feasibility, &mut self.decisions, step, plan);
                    let is_full = plan.starts.len() >= MAX_STARTS;
                    let found_no_room = !is_full && !pass.awaits_order && !pass.has_strays(step);
                    if let Some(reason) = reason.filter(|_| found_no_room) {
                        selection.record_no_room(step, reason);
                    }
                    match reason {
                        Some(_) if is_full => Some(WaitReason::Postponed),
                        _ if pass.awaits_order => Some(WaitReason::OpenOrder),
                        _ => reason,
                    }
                }
            };
            if let Some(reason) = reason {
                report.add(step, reason, wall_ms);
                if step.may_preempt(reason) {
                    short.push(step);
                }
            }
        }
        plan.cost = selection.cost;
        let (preemptions, views, decisions) = (&mut self.preemptions, &self.views, &self.decisions);
        preemptions.plan(&pass, views, decisions, &short, plan);
        plan.waiting = Some(report);
    }

    /// Returns the free capacity of all workers that accept tasks.
    fn worker_capacities<'a>(
        &mut self,
        state: &'a State,
        feasibility: &Feasibility<'_>,
        now: Time,
    ) -> Capacities<'a> {
        let mut capacities = Capacities::new(self.indices.len());
        let longest_ms = lease::max_duration_ms(self.settings.lease_ms);
        for (name, view, worker) in current_workers(&mut self.views, state) {
            let usable = state.accepts_tasks(worker)
                && view.confirmed_fence == view.fence
                && view.failed_calls == 0
                && view.strays.is_empty()
                && now >= view.suspect_until
                && now.since(view.last_heard) < self.settings.silence_ms;
            if usable {
                capacities.insert(view.index, name, worker);
                if let Some(capacity) = capacities.get_mut(view.index) {
                    capacity.long_lease = view.remaining_lease_ms(now) > longest_ms;
                    capacity.cold = view.is_cold(now);
                    capacity.lasting = feasibility.lasting.on_worker(name);
                }
            }
        }
        capacities.number_domains();
        capacities
    }
}

/// What is left of a step after its tasks were placed.
pub(crate) enum Unplaced {
    /// The team's limit allows no further task.
    AtLimit,
    /// This many tasks found no worker.
    Tasks(usize),
}

impl<'a> PlacementPass<'a> {
    /// Places what can be placed of a step. Returns why the rest waits, if there is any.
    fn place_step(
        &mut self,
        feasibility: &Feasibility<'_>,
        decisions: &mut Decisions,
        waiting: &WaitingStep<'a>,
        plan: &mut Plan,
    ) -> Option<WaitReason> {
        if self.must_leave_headroom(waiting) {
            return Some(WaitReason::Headroom);
        }
        let known = decisions.get(&waiting.id);
        if !feasibility.can_start(waiting.job, waiting.queue, waiting.step, known) {
            return Some(WaitReason::Infeasible);
        }
        if waiting.step.gang && self.has_strays(waiting) {
            return Some(WaitReason::Capacity);
        }
        if waiting.step.gang && self.bound_members(waiting).is_none() {
            self.awaits_order = true;
            return Some(WaitReason::OpenOrder);
        }
        match waiting.queue.policy {
            Some(policy) => {
                let decisions = decisions.entry(waiting.id).or_default();
                self.place_with_policy(decisions, waiting, &policy, plan)
            }
            None if waiting.step.gang => self.place_gang(waiting, plan),
            None => {
                let available = self.available_workers(waiting);
                match self.place_tasks(waiting, &available, plan) {
                    Unplaced::AtLimit => Some(WaitReason::TeamLimit),
                    Unplaced::Tasks(0) => None,
                    Unplaced::Tasks(_) => Some(WaitReason::Capacity),
                }
            }
        }
    }

    /// Whether a worker has an unassigned run of a task of the step.
    fn has_strays(&self, waiting: &WaitingStep<'_>) -> bool {
        let last = TaskId {
            index: u32::MAX,
            ..waiting.task_id(0)
        };
        self.strays
            .range(waiting.task_id(0)..=last)
            .next()
            .is_some()
    }

    pub(crate) fn has_capacity(&self, waiting: &WaitingStep<'_>, worker: WorkerIndex) -> bool {
        let need = waiting.step.demand();
        self.capacities
            .get(worker)
            .is_some_and(|c| c.unreserved().fits(&need))
    }

    /// Number of assigned tasks of the step on each worker that has any, for a step that limits it.
    pub(crate) fn tasks_per_worker(&self, waiting: &WaitingStep<'_>) -> BTreeMap<WorkerIndex, u32> {
        let mut counts = BTreeMap::new();
        if waiting.step.per_worker > 0 {
            let names = waiting.state.tasks.iter().filter_map(|t| t.worker.as_ref());
            for index in names.filter_map(|name| self.indices.get(name)) {
                *counts.entry(index).or_default() += 1;
            }
        }
        counts
    }

    pub(crate) fn allocate(&mut self, waiting: &WaitingStep<'a>, worker: WorkerIndex) {
        self.capacities.take(worker, &waiting.step.demand());
        if let Some(capacity) = self.capacities.get_mut(worker) {
            capacity.best_effort |= waiting.step.best_effort;
            capacity.services |= waiting.step.is_service();
            capacity.starts = true;
        }
        let used = self.team_usage(&waiting.job.team);
        *used = used.plus(&waiting.step.resources);
        if waiting.queue.is_urgent() {
            let team = &waiting.job.team;
            self.urgent.record_start(team, &waiting.step.resources);
        }
    }

    pub(crate) fn new_start(
        &self,
        waiting: &WaitingStep<'_>,
        index: u32,
        run: u32,
        worker: WorkerIndex,
    ) -> Option<Start> {
        let capacity = self.capacities.get(worker)?;
        Some(Start {
            task: waiting.task_id(index),
            run,
            worker: capacity.name.to_owned(),
            born: capacity.worker.incarnation.born,
        })
    }

    /// Places the tasks of a step one by one.
    pub(crate) fn place_tasks(
        &mut self,
        waiting: &WaitingStep<'a>,
        available: &[WorkerIndex],
        plan: &mut Plan,
    ) -> Unplaced {
        if available.is_empty() {
            return match self.within_team_limit(waiting, 1) {
                true => Unplaced::Tasks(waiting.state.waiting()),
                false => Unplaced::AtLimit,
            };
        }
        let mut task_counts = self.tasks_per_worker(waiting);
        let mut left = waiting.state.waiting();
        let mut unplaced = 0;
        for (index, task) in (0..).zip(&waiting.state.tasks) {
            if task.done || task.worker.is_some() {
                continue;
            }
            if plan.starts.len() >= MAX_STARTS {
                return Unplaced::Tasks(unplaced + left);
            }
            left = left.saturating_sub(1);
            if self.strays.contains(&waiting.task_id(index)) {
                unplaced += 1;
                continue;
            }
            if !self.within_team_limit(waiting, 1) {
                return Unplaced::AtLimit;
            }
            let fits = |w: &WorkerIndex| {
                self.has_capacity(waiting, *w) && waiting.step.accepts_more(task_counts.get(w))
            };
            // A worker on which the task failed before is used only if there is no other.
            let failed_on = self.indices.get(&task.failed_on);
            let candidates = available.iter().copied().filter(fits);
            let is_suspect = self.state.is_suspect(waiting.task_id(index));
            let rank = |w: &WorkerIndex| (self.mixture(is_suspect, *w), Some(*w) == failed_on);
            let best = || {
                let preferred = candidates.clone().find(|w| rank(w) == Default::default());
                preferred.or_else(|| candidates.clone().min_by_key(rank))
            };
            let binding = self.binding(waiting.step, task);
            let choice = match binding {
                Binding::Any => best(),
                Binding::Preferred(worker) => {
                    candidates.clone().find(|w| *w == worker).or_else(best)
                }
                Binding::Only(worker) => candidates.clone().find(|w| *w == worker),
                Binding::Wait => None,
            };
            let Some(worker) = choice else {
                let has_no_room = candidates.clone().next().is_none();
                self.awaits_order |= matches!(binding, Binding::Only(_) | Binding::Wait);
                unplaced += usize::from(binding != Binding::Wait);
                if has_no_room {
                    // The other tasks of the step need as much.
                    return Unplaced::Tasks(unplaced + left);
                }
                continue;
            };
            if let Some(start) = self.new_start(waiting, index, task.run + 1, worker) {
                plan.starts.push(start);
                *task_counts.entry(worker).or_default() += 1;
                self.allocate(waiting, worker);
                self.mark_suspect(is_suspect, worker);
            }
        }
        Unplaced::Tasks(unplaced)
    }
}
