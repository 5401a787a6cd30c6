//! Queries to the placement policy: for which steps, and about which workers.

use crate::Plan;
use crate::Policy;
use crate::placement::PlacementPass;
use crate::placement::Unplaced;
use crate::policy::PolicyDecisions;
use crate::policy::QueryPurpose;
use crate::wait_reason::WaitReason;
use crate::waiting::WaitingStep;
use crate::worker_index::WorkerIndex;

/// Settings of the queries to the placement policy. By default, whole lists of workers are queried early.
#[derive(Clone, Debug)]
pub struct QuerySettings {
    /// Whether queries are sent by the rank of their steps, for as many workers as the steps need, and shortly
    /// before they have room.
    pub ranked: bool,
    /// Maximum number of queries per second; it counts for ranked queries.
    pub max_per_s: u32,
}

impl Default for QuerySettings {
    fn default() -> Self {
        Self {
            ranked: false,
            max_per_s: 400,
        }
    }
}

/// Maximum number of workers in one query to the placement policy.
pub(crate) const MAX_QUERY_WORKERS: usize = 30;

impl<'a> PlacementPass<'a> {
    /// Places what can be placed of a step that needs tickets. Returns why the rest waits, if there is any.
    pub(crate) fn place_with_policy(
        &mut self,
        decisions: &mut PolicyDecisions,
        waiting: &WaitingStep<'a>,
        policy: &Policy,
        plan: &mut Plan,
    ) -> Option<WaitReason> {
        let starts = plan.starts.len();
        let queue = waiting.queue.name.as_str();
        if self.queries.ranked {
            decisions.is_failing = self.queries.stats.get(queue).is_failing();
        }
        let reason = match (waiting.step.gang, self.queries.ranked) {
            (true, true) => self.place_ranked_gang(decisions, waiting, policy, plan),
            (true, false) => self.place_ticketed_gang(decisions, waiting, policy, plan),
            (false, true) => self.place_ranked_tasks(decisions, waiting, policy, plan),
            (false, false) => self.place_ticketed_tasks(decisions, waiting, policy, plan),
        };
        let started = plan.starts.len().saturating_sub(starts) as u64;
        if started > 0 {
            self.queries.stats.entry(queue).starts += started;
        }
        reason
    }

    /// Whether a new query for this purpose may be sent now.
    pub(crate) fn may_query(
        &self,
        decisions: &PolicyDecisions,
        waiting: &WaitingStep<'_>,
        purpose: QueryPurpose,
        plan: &Plan,
    ) -> bool {
        let is_bounded = self.queries.ranked;
        let stats = self.queries.stats.get(&waiting.queue.name);
        let within_bounds = self.queries.rate.allows(purpose, waiting.queue.is_urgent())
            && stats.may_query(self.now);
        decisions.may_query(purpose, self.now, plan) && (within_bounds || !is_bounded)
    }

    /// Places the tasks of a step that needs tickets, and queries the policy about further workers.
    pub(crate) fn place_ticketed_tasks(
        &mut self,
        decisions: &mut PolicyDecisions,
        waiting: &WaitingStep<'a>,
        policy: &Policy,
        plan: &mut Plan,
    ) -> Option<WaitReason> {
        let available = self.available_among(waiting, decisions.ticketed(self.now));
        let unplaced = match self.place_tasks(waiting, &available, plan) {
            Unplaced::AtLimit => return Some(WaitReason::TeamLimit),
            Unplaced::Tasks(0) => return None,
            Unplaced::Tasks(count) => count,
        };
        if !decisions.queried.is_empty() {
            self.mark_queried(waiting, &decisions.queried, unplaced);
            return Some(WaitReason::OpenQuery);
        }
        let purpose = waiting.query_purpose(decisions);
        if !self.may_query(decisions, waiting, purpose, plan) {
            return Some(WaitReason::QueryBudget);
        }
        let workers = self.query_candidates(waiting, decisions);
        self.query_policy(decisions, waiting, &workers, policy, plan);
        self.mark_queried(waiting, &decisions.queried, unplaced);
        match decisions.queried.is_empty() {
            true => Some(WaitReason::Capacity),
            false => Some(WaitReason::OpenQuery),
        }
    }

    /// Queries the policy whether these workers may run the step.
    pub(crate) fn query_policy(
        &mut self,
        decisions: &mut PolicyDecisions,
        waiting: &WaitingStep<'_>,
        workers: &[WorkerIndex],
        policy: &Policy,
        plan: &mut Plan,
    ) {
        let capacities = workers.iter().filter_map(|w| self.capacities.get(*w));
        let names: Vec<_> = capacities.map(|c| c.name.to_owned()).collect();
        if names.is_empty() {
            return;
        }
        let stats = self.queries.stats.entry(&waiting.queue.name);
        stats.sent(names.len(), self.now);
        self.queries.rate.take(waiting.queue.is_urgent());
        decisions.query(waiting, workers, names, policy, self.now, plan);
    }

    /// Whether the worker has enough resources for a task that no open query covers.
    fn has_unqueried_capacity(&self, waiting: &WaitingStep<'_>, worker: WorkerIndex) -> bool {
        let need = waiting.step.demand();
        self.capacities
            .get(worker)
            .is_some_and(|c| c.unqueried.fits(&need))
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
    ) -> Vec<WorkerIndex> {
        let task_counts = self.tasks_per_worker(waiting);
        let mut eligible_workers = self.eligible_workers(waiting);
        eligible_workers.retain(|w| waiting.step.accepts_more(task_counts.get(w)));
        let renew = |w: &WorkerIndex| {
            let renewable =
                decisions.granted.contains(w) && decisions.ticket(*w, self.now).is_none();
            renewable && self.has_capacity(waiting, *w) && self.has_unqueried_capacity(waiting, *w)
        };
        let mut workers: Vec<_> = eligible_workers.iter().copied().filter(renew).collect();
        if workers.is_empty() {
            workers = self.undecided_workers(waiting, decisions, eligible_workers);
        }
        workers.truncate(MAX_QUERY_WORKERS);
        workers
    }

    /// Those of the eligible workers on which the policy has not decided yet and is not being
    /// queried; workers with free resources come first.
    pub(crate) fn undecided_workers(
        &self,
        waiting: &WaitingStep<'_>,
        decisions: &PolicyDecisions,
        mut workers: Vec<WorkerIndex>,
    ) -> Vec<WorkerIndex> {
        workers.retain(|w| decisions.is_undecided(*w));
        workers.sort_by_key(|w| !self.has_unqueried_capacity(waiting, *w));
        workers
    }

    /// Excludes the resources of the queried workers from the queries of later steps.
    fn mark_queried(
        &mut self,
        waiting: &WaitingStep<'_>,
        workers: &[WorkerIndex],
        unplaced: usize,
    ) {
        let need = waiting.step.demand();
        for worker in workers.iter().take(unplaced) {
            if let Some(capacity) = self.capacities.get_mut(*worker) {
                capacity.unqueried = capacity.unqueried.minus(&need);
            }
        }
    }
}
