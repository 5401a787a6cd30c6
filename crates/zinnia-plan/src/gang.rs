//! Placement of gangs, whose tasks start all together or not at all.

use std::collections::BTreeSet;

use crate::Leader;
use crate::Plan;
use crate::Policy;
use crate::Resources;
use crate::placement::PlacementPass;
use crate::placement::WaitingStep;
use crate::placement::WorkerCapacity;
use crate::state::Worker;

/// Maximum number of gangs per pool with reserved resources. A reservation exceeds what the gang
/// uses at the time, since its workers become free one after the other. With many
/// reservations, half of a pool stays idle.
const MAX_GANG_RESERVATIONS: usize = 2;
/// Waiting time after which resources are reserved for a gang.
const RESERVE_DELAY_MS: i64 = 500;
/// How long a gang waits for enough resources in one rack before it is spread over several racks.
const RACK_WAIT_MS: i64 = 2_000;

impl Leader {
    /// Places a gang that needs tickets.
    ///
    /// Tickets are valid for a short time only. They are renewed once the workers that the policy
    /// allows have enough free resources for the whole gang, and these are reserved until the
    /// policy answers.
    pub(crate) fn place_ticketed_gang<'a>(
        &mut self,
        pass: &mut PlacementPass<'a>,
        waiting: &WaitingStep<'a>,
        policy: &Policy,
        plan: &mut Plan,
    ) {
        let now = pass.now;
        if !pass.within_team_limit(waiting, waiting.state.tasks.len() as u64) {
            return;
        }
        let decisions = self.decisions.entry(waiting.id).or_default();
        let mut available = pass.available_workers(waiting);
        available.retain(|w| decisions.granted.contains(*w));
        available.sort_by_key(|w| decisions.ticket(w, now).is_none());
        let mut names = match pass.select_workers(waiting, &available) {
            Some(choice) => {
                if choice.iter().all(|w| decisions.ticket(w, now).is_some()) {
                    pass.start_gang(waiting, &choice, plan);
                    return;
                }
                pass.reserve(waiting, &choice);
                choice
            }
            None => {
                let eligible_workers = pass.eligible_workers(waiting);
                let mut granted = eligible_workers.clone();
                granted.retain(|w| decisions.granted.contains(*w));
                pass.reserve_for_gang(waiting, &granted);
                pass.undecided_workers(waiting, decisions, eligible_workers)
            }
        };
        names.dedup();
        if decisions.may_query(now, plan) {
            decisions.query(waiting.id, &names, policy, plan);
        }
    }
}

impl<'a> PlacementPass<'a> {
    /// Reserves resources on these workers for the members of a gang.
    fn reserve(&mut self, waiting: &WaitingStep<'_>, names: &[&'a str]) {
        let need = waiting.step.demand();
        for name in names {
            if let Some(capacity) = self.workers.get_mut(name) {
                capacity.reserved = capacity.reserved.plus(&need);
                capacity.unqueried = capacity.unqueried.minus(&need);
            }
        }
    }

    /// Reserves resources for a waiting gang, since smaller tasks would otherwise take whatever
    /// becomes free.
    fn reserve_for_gang(&mut self, waiting: &WaitingStep<'a>, names: &[&'a str]) {
        if self.wall_ms - waiting.job.accepted_ms < RESERVE_DELAY_MS {
            return;
        }
        let reservations = self
            .gang_reservations
            .entry(waiting.queue.pool.as_str())
            .or_default();
        if *reservations >= MAX_GANG_RESERVATIONS {
            return;
        }
        *reservations += 1;
        // Within a failure domain the workers are sorted by free resources in ascending order, so
        // the reverse order prefers those with the most.
        let names = names.iter().rev().copied();
        let chosen = self.fit_members(waiting, names, |f| {
            f.worker.incarnation.resources.minus(&f.reserved)
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
        available: &[&'a str],
    ) -> Option<Vec<&'a str>> {
        let count = waiting.state.tasks.len();
        let if_complete = |names: Vec<&'a str>| (names.len() == count).then_some(names);
        if waiting.step.same_rack && count > 1 {
            let racks: BTreeSet<&str> = available.iter().filter_map(|w| self.rack(w)).collect();
            let choice = racks.into_iter().find_map(|rack| {
                let in_rack = available
                    .iter()
                    .copied()
                    .filter(|w| self.rack(w) == Some(rack));
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

    fn start_gang(&mut self, waiting: &WaitingStep<'a>, choice: &[&'a str], plan: &mut Plan) {
        let run = waiting.state.tasks.iter().map(|t| t.run).max().unwrap_or(0) + 1;
        for (index, name) in (0..).zip(choice) {
            if let Some(start) = self.new_start(waiting, index, run, name) {
                plan.starts.push(start);
                self.allocate(waiting, name);
            }
        }
    }

    fn rack(&self, name: &str) -> Option<&'a str> {
        let worker: &'a Worker = self.workers.get(name)?.worker;
        worker.incarnation.rack()
    }

    /// Selects workers for the members of a gang while the given resources suffice.
    fn fit_members(
        &self,
        waiting: &WaitingStep<'_>,
        names: impl Iterator<Item = &'a str>,
        resources: impl Fn(&WorkerCapacity<'a>) -> Resources,
    ) -> Vec<&'a str> {
        let need = waiting.step.demand();
        let count = waiting.state.tasks.len();
        let mut chosen = Vec::new();
        for name in names {
            let mut resources = self.workers.get(name).map(&resources).unwrap_or_default();
            let mut on_worker = 0;
            while chosen.len() < count
                && resources.fits(&need)
                && on_worker < waiting.step.max_per_worker()
            {
                resources = resources.minus(&need);
                on_worker += 1;
                chosen.push(name);
            }
        }
        chosen
    }
}
