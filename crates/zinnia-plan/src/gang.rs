//! Placement of gangs, whose tasks start all together or not at all.

use std::collections::BTreeSet;

use crate::Plan;
use crate::Policy;
use crate::Resources;
use crate::Worker;
use crate::capacity::WorkerCapacity;
use crate::placement::PlacementPass;
use crate::placement::WaitingStep;
use crate::policy::PolicyDecisions;
use crate::worker_index::WorkerIndex;

/// Maximum number of gangs per pool with reserved resources. A reservation exceeds what the gang
/// uses at the time, since its workers become free one after the other. With many
/// reservations, half of a pool stays idle.
const MAX_GANG_RESERVATIONS: usize = 2;
/// Waiting time after which resources are reserved for a gang.
const RESERVE_DELAY_MS: i64 = 500;
/// How long a gang waits for enough resources in one rack before it is spread over several racks.
const RACK_WAIT_MS: i64 = 2_000;

impl<'a> PlacementPass<'a> {
    /// Places a gang that needs tickets.
    ///
    /// Tickets are valid for a short time only. They are renewed once the workers that the policy
    /// allows have enough free resources for the whole gang, and these are reserved until the
    /// policy answers.
    pub(crate) fn place_ticketed_gang(
        &mut self,
        decisions: &mut PolicyDecisions,
        waiting: &WaitingStep<'a>,
        policy: &Policy,
        plan: &mut Plan,
    ) {
        let now = self.now;
        if !self.within_team_limit(waiting, waiting.state.tasks.len() as u64) {
            return;
        }
        let granted = decisions.granted.iter().copied();
        let mut available = self.available_among(waiting, granted);
        available.sort_by_key(|w| decisions.ticket(*w, now).is_none());
        let choice = self.select_workers(waiting, &available);
        if let Some(choice) = &choice {
            if choice.iter().all(|w| decisions.ticket(*w, now).is_some()) {
                self.start_gang(waiting, choice, plan);
                return;
            }
            self.reserve(waiting, choice);
        }
        let may_query = decisions.may_query(now, plan);
        let mut workers = match choice {
            Some(choice) => choice,
            None if may_query || self.may_reserve(waiting) => {
                let eligible_workers = self.eligible_workers(waiting);
                let mut granted = eligible_workers.clone();
                granted.retain(|w| decisions.granted.contains(w));
                self.reserve_for_gang(waiting, &granted);
                self.undecided_workers(waiting, decisions, eligible_workers)
            }
            None => return,
        };
        workers.dedup();
        if may_query {
            self.query_policy(decisions, waiting, workers, policy, plan);
        }
    }

    /// Reserves resources on these workers for the members of a gang.
    fn reserve(&mut self, waiting: &WaitingStep<'_>, workers: &[WorkerIndex]) {
        let need = waiting.step.demand();
        for worker in workers {
            if let Some(capacity) = self.capacities.get_mut(*worker) {
                capacity.reserved = capacity.reserved.plus(&need);
                capacity.unqueried = capacity.unqueried.minus(&need);
            }
        }
    }

    /// Whether resources may be reserved for a gang that cannot start yet.
    fn may_reserve(&self, waiting: &WaitingStep<'_>) -> bool {
        let reservations = self.gang_reservations.get(waiting.queue.pool.as_str());
        self.wall_ms - waiting.job.accepted_ms >= RESERVE_DELAY_MS
            && reservations.is_none_or(|n| *n < MAX_GANG_RESERVATIONS)
    }

    /// Reserves resources for a waiting gang, since smaller tasks would otherwise take whatever
    /// becomes free.
    fn reserve_for_gang(&mut self, waiting: &WaitingStep<'a>, workers: &[WorkerIndex]) {
        if !self.may_reserve(waiting) {
            return;
        }
        let reservations = self.gang_reservations.entry(&waiting.queue.pool);
        *reservations.or_default() += 1;
        // Within a failure domain the workers are sorted by free resources in ascending order, so
        // the reverse order prefers those with the most.
        let workers = workers.iter().rev().copied();
        let chosen = self.fit_members(waiting, workers, |c| {
            c.worker.incarnation.resources.minus(&c.reserved)
        });
        self.reserve(waiting, &chosen);
    }

    /// Starts a gang as a whole, or reserves resources for it if there are not enough.
    pub(crate) fn place_gang(&mut self, waiting: &WaitingStep<'a>, plan: &mut Plan) {
        if !self.within_team_limit(waiting, waiting.state.tasks.len() as u64) {
            return;
        }
        match self.select_workers(waiting, &self.available_workers(waiting)) {
            Some(choice) => self.start_gang(waiting, &choice, plan),
            None => self.reserve_for_gang(waiting, &self.eligible_workers(waiting)),
        }
    }

    /// Selects a worker for each member of a gang, if all of them fit.
    fn select_workers(
        &self,
        waiting: &WaitingStep<'_>,
        available: &[WorkerIndex],
    ) -> Option<Vec<WorkerIndex>> {
        let count = waiting.state.tasks.len();
        let if_complete = |workers: Vec<WorkerIndex>| (workers.len() == count).then_some(workers);
        if waiting.step.same_rack && count > 1 {
            let racks: BTreeSet<&str> = available.iter().filter_map(|w| self.rack(*w)).collect();
            let choice = racks.into_iter().find_map(|rack| {
                let in_rack = available
                    .iter()
                    .copied()
                    .filter(|w| self.rack(*w) == Some(rack));
                if_complete(self.fit_members(waiting, in_rack, WorkerCapacity::unreserved))
            });
            let waited = self.wall_ms - waiting.job.accepted_ms;
            if choice.is_some() || waited < RACK_WAIT_MS {
                return choice;
            }
        }
        if_complete(self.fit_members(
            waiting,
            available.iter().copied(),
            WorkerCapacity::unreserved,
        ))
    }

    fn start_gang(&mut self, waiting: &WaitingStep<'a>, choice: &[WorkerIndex], plan: &mut Plan) {
        let run = waiting.state.tasks.iter().map(|t| t.run).max().unwrap_or(0) + 1;
        for (index, &worker) in (0..).zip(choice) {
            if let Some(start) = self.new_start(waiting, index, run, worker) {
                plan.starts.push(start);
                self.allocate(waiting, worker);
            }
        }
    }

    fn rack(&self, worker: WorkerIndex) -> Option<&'a str> {
        let worker: &'a Worker = self.capacities.get(worker)?.worker;
        worker.incarnation.rack()
    }

    /// Selects workers for the members of a gang while the given resources suffice.
    fn fit_members(
        &self,
        waiting: &WaitingStep<'_>,
        workers: impl Iterator<Item = WorkerIndex>,
        resources: impl Fn(&WorkerCapacity<'a>) -> Resources,
    ) -> Vec<WorkerIndex> {
        let need = waiting.step.demand();
        let count = waiting.state.tasks.len();
        let mut chosen = Vec::new();
        for worker in workers {
            let capacity = self.capacities.get(worker);
            let mut resources = capacity.map(&resources).unwrap_or_default();
            let mut on_worker = 0;
            while chosen.len() < count
                && resources.fits(&need)
                && on_worker < waiting.step.max_per_worker()
            {
                resources = resources.minus(&need);
                on_worker += 1;
                chosen.push(worker);
            }
        }
        chosen
    }
}
