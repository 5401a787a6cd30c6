//! Placement of gangs, whose tasks start all together or not at all.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::Plan;
use crate::Policy;
use crate::Resources;
use crate::Worker;
use crate::capacity::WorkerCapacity;
use crate::late_order::BoundMember;
use crate::placement::PlacementPass;
use crate::policy::PolicyDecisions;
use crate::policy::QueryPurpose;
use crate::policy::Readiness;
use crate::query::MAX_QUERY_WORKERS;
use crate::wait_reason::WaitReason;
use crate::waiting::WaitingStep;
use crate::worker_index::WorkerIndex;

/// Maximum number of gangs per pool with reserved resources. A reservation exceeds what the gang
/// uses at the time, since its workers become free one after the other. With many
/// reservations, half of a pool stays idle.
const MAX_GANG_RESERVATIONS: usize = 2;
/// Waiting time after which resources are reserved for a gang.
const RESERVE_DELAY_MS: i64 = 500;
/// Time that a query to the policy may take beyond its cost, when tickets are to be renewed in time.
const QUERY_SLACK_MS: u64 = 200;
/// Number of workers for each member of a gang about which the policy is queried at once. It may
/// allow only some of them, and other tasks take resources until it answers.
const QUERY_WORKERS_PER_MEMBER: usize = 16;
/// How long a gang waits for enough resources in one rack before it is spread over several racks.
const RACK_WAIT_MS: i64 = 2_000;

impl<'a> PlacementPass<'a> {
    /// Places a gang that needs tickets.
    ///
    /// Tickets are valid for a short time only. Once the workers that the policy allows have enough
    /// free resources for the whole gang, these are reserved until all of them have a ticket.
    pub(crate) fn place_ticketed_gang(
        &mut self,
        decisions: &mut PolicyDecisions,
        waiting: &WaitingStep<'a>,
        policy: &Policy,
        plan: &mut Plan,
    ) -> Option<WaitReason> {
        let now = self.now;
        if !self.within_team_limit(waiting, waiting.state.tasks.len() as u64) {
            return Some(WaitReason::TeamLimit);
        }
        let granted = decisions.granted.iter().copied();
        let available = self.available_among(waiting, granted);
        let readiness = |w| decisions.readiness(w, now);
        let unreserved = |w| self.resources_of(w, WorkerCapacity::unreserved);
        let Some(mut choice) = self.select_workers(waiting, &available, readiness, unreserved)
        else {
            let is_decided = self.prepare_gang(decisions, waiting, policy, plan);
            return match is_decided {
                true => Some(WaitReason::Capacity),
                false if decisions.queried.is_empty() => Some(WaitReason::QueryBudget),
                false => Some(WaitReason::OpenQuery),
            };
        };
        if choice.iter().all(|w| readiness(*w) == Readiness::Ticketed) {
            self.start_gang(waiting, &choice, plan);
            return None;
        }
        if !decisions.is_failing {
            self.reserve(waiting, &choice);
        }
        choice.dedup();
        let expiring = self.expiring_tickets(decisions, choice, policy);
        let purpose = waiting.query_purpose(decisions);
        self.query_in_parts(decisions, waiting, &expiring, purpose, policy, plan);
        match decisions.queried.is_empty() {
            true => Some(WaitReason::QueryBudget),
            false => Some(WaitReason::OpenQuery),
        }
    }

    /// Prepares the start of a gang that finds not enough resources on the workers that the policy
    /// allows.
    ///
    /// The policy is queried about many workers at once, through several processes: one query after
    /// the other would delay the gang several times. Once the policy has decided on all workers,
    /// tickets are kept valid, so that the gang starts as soon as its workers have enough free
    /// resources. Returns whether the policy has decided on all workers.
    fn prepare_gang(
        &mut self,
        decisions: &mut PolicyDecisions,
        waiting: &WaitingStep<'a>,
        policy: &Policy,
        plan: &mut Plan,
    ) -> bool {
        let purpose = waiting.query_purpose(decisions);
        let may_query = self.may_query(decisions, waiting, purpose, plan);
        if !may_query && !self.may_reserve(waiting) {
            return false;
        }
        let eligible_workers = self.eligible_workers(waiting);
        let mut granted = eligible_workers.clone();
        granted.retain(|w| decisions.granted.contains(w));
        if !decisions.is_failing {
            self.reserve_for_gang(waiting, &granted);
        }
        let mut undecided = self.undecided_workers(waiting, decisions, eligible_workers);
        if undecided.is_empty() {
            let expiring = self.expiring_tickets(decisions, granted, policy);
            let purpose = QueryPurpose::Renewal;
            self.query_in_parts(decisions, waiting, &expiring, purpose, policy, plan);
            return true;
        }
        let sufficient = waiting.count.saturating_mul(QUERY_WORKERS_PER_MEMBER);
        undecided.truncate(sufficient.max(MAX_QUERY_WORKERS));
        self.query_in_parts(decisions, waiting, &undecided, purpose, policy, plan);
        false
    }

    /// Those of `workers` whose tickets expire before the answer to a query, and that are in no open
    /// query.
    fn expiring_tickets(
        &self,
        decisions: &PolicyDecisions,
        mut workers: Vec<WorkerIndex>,
        policy: &Policy,
    ) -> Vec<WorkerIndex> {
        let query_ms = policy.cost_ms(workers.len().min(MAX_QUERY_WORKERS));
        let answer_at = self.now.after(query_ms.saturating_add(QUERY_SLACK_MS));
        workers.retain(|w| {
            !decisions.queried.contains(w) && decisions.ticket(*w, answer_at).is_none()
        });
        workers
    }

    /// Queries the policy about these workers, in parts of similar size. `purpose` is that of the
    /// first part.
    pub(crate) fn query_in_parts(
        &mut self,
        decisions: &mut PolicyDecisions,
        waiting: &WaitingStep<'_>,
        workers: &[WorkerIndex],
        mut purpose: QueryPurpose,
        policy: &Policy,
        plan: &mut Plan,
    ) {
        let parts = workers.len().div_ceil(MAX_QUERY_WORKERS).max(1);
        let size = workers.len().div_ceil(parts).max(1);
        for part in workers.chunks(size) {
            if !self.may_query(decisions, waiting, purpose, plan) {
                return;
            }
            self.query_policy(decisions, waiting, part, policy, plan);
            if purpose != QueryPurpose::Renewal {
                purpose = QueryPurpose::Parallel;
            }
        }
    }

    /// Reserves resources on these workers for the members of a gang.
    pub(crate) fn reserve(&mut self, waiting: &WaitingStep<'_>, workers: &[WorkerIndex]) {
        let need = waiting.step.demand();
        for worker in workers {
            if let Some(capacity) = self.capacities.get_mut(*worker) {
                capacity.reserved = capacity.reserved.plus(&need);
                capacity.unqueried = capacity.unqueried.minus(&need);
            }
        }
    }

    /// Whether resources may be reserved for a gang that cannot start yet.
    pub(crate) fn may_reserve(&self, waiting: &WaitingStep<'_>) -> bool {
        let reservations = self.gang_reservations.get(waiting.queue.pool.as_str());
        self.wall_ms - waiting.job.accepted_ms >= RESERVE_DELAY_MS
            && reservations.is_none_or(|n| *n < MAX_GANG_RESERVATIONS)
    }

    /// Reserves resources for a waiting gang, since smaller tasks would otherwise take whatever
    /// becomes free. Of workers that suit equally well, those with the most free resources are used.
    ///
    /// Nothing is reserved for a part of a gang: the rest may never become free, and the part would stay idle.
    fn reserve_for_gang(&mut self, waiting: &WaitingStep<'a>, workers: &[WorkerIndex]) {
        if !self.may_reserve(waiting) {
            return;
        }
        let mut workers = workers.to_vec();
        workers.sort_by_cached_key(|w| {
            let capacity = self.capacities.get(*w);
            let suitability = capacity.and_then(|c| self.suitability(waiting, c));
            suitability.map(|s| (s.data_remote, s.mixed_load, Reverse(s.free)))
        });
        let attainable = |w| self.resources_of(w, WorkerCapacity::attainable);
        let chosen = self.fit_members(waiting, workers.into_iter(), attainable);
        if chosen.len() < waiting.state.tasks.len() {
            return;
        }
        let reservations = self.gang_reservations.entry(&waiting.queue.pool);
        *reservations.or_default() += 1;
        self.reserve(waiting, &chosen);
    }

    /// Starts a gang as a whole, or reserves resources for it if there are not enough.
    pub(crate) fn place_gang(
        &mut self,
        waiting: &WaitingStep<'a>,
        plan: &mut Plan,
    ) -> Option<WaitReason> {
        if !self.within_team_limit(waiting, waiting.state.tasks.len() as u64) {
            return Some(WaitReason::TeamLimit);
        }
        let available = self.available_workers(waiting);
        let unreserved = |w| self.resources_of(w, WorkerCapacity::unreserved);
        match self.select_workers(waiting, &available, |_| Readiness::Ticketed, unreserved) {
            Some(choice) => {
                self.start_gang(waiting, &choice, plan);
                None
            }
            None => {
                self.reserve_for_gang(waiting, &self.eligible_workers(waiting));
                Some(WaitReason::Capacity)
            }
        }
    }

    /// Selects a worker for each member of a gang, if all of them fit into the given room. Workers on which it can start
    /// soonest are preferred.
    pub(crate) fn select_workers(
        &self,
        waiting: &WaitingStep<'_>,
        available: &[WorkerIndex],
        readiness: impl Fn(WorkerIndex) -> Readiness,
        room: impl Fn(WorkerIndex) -> Resources,
    ) -> Option<Vec<WorkerIndex>> {
        let count = waiting.state.tasks.len();
        let mut available = available.to_vec();
        let is_suspect = self.state.is_suspect(waiting.task_id(0));
        available.sort_by_cached_key(|w| {
            let mixture = self.mixture(is_suspect, *w);
            (readiness(*w), mixture)
        });
        let bound = self.bound_members(waiting)?;
        let is_bound = |w: &WorkerIndex| bound.iter().any(|m| m.worker == *w);
        if bound.iter().any(|m| !available.contains(&m.worker)) {
            return None;
        }
        let select = |workers: &mut dyn Iterator<Item = WorkerIndex>| {
            let chosen = self.fit_members_with(waiting, &bound, workers, &room)?;
            (chosen.len() == count).then(|| in_member_order(&bound, chosen))
        };
        if waiting.step.same_rack && count > 1 {
            let candidates = available.iter().filter(|w| bound.is_empty() || is_bound(w));
            let racks: BTreeSet<&str> = candidates.filter_map(|w| self.rack(*w)).collect();
            let in_rack = |rack| {
                let is_in_rack = |w: &WorkerIndex| self.rack(*w) == Some(rack);
                select(&mut available.iter().copied().filter(is_in_rack))
            };
            // Always the first rack with enough resources would change the choice, and so the
            // tickets that the gang waits for, whenever a rack gets or loses resources.
            let last_ready = |choice: &Vec<WorkerIndex>| choice.iter().map(|w| readiness(*w)).max();
            let choice = racks.into_iter().filter_map(in_rack).min_by_key(last_ready);
            let waited = self.wall_ms - waiting.job.accepted_ms;
            if choice.is_some() || waited < RACK_WAIT_MS {
                return choice;
            }
        }
        select(&mut available.iter().copied())
    }

    pub(crate) fn start_gang(
        &mut self,
        waiting: &WaitingStep<'a>,
        choice: &[WorkerIndex],
        plan: &mut Plan,
    ) {
        let is_suspect = self.state.is_suspect(waiting.task_id(0));
        let run = waiting.state.tasks.iter().map(|t| t.run).max().unwrap_or(0) + 1;
        for (index, &worker) in (0..).zip(choice) {
            if let Some(start) = self.new_start(waiting, index, run, worker) {
                plan.starts.push(start);
                self.allocate(waiting, worker);
                self.mark_suspect(is_suspect, worker);
            }
        }
    }

    fn rack(&self, worker: WorkerIndex) -> Option<&'a str> {
        let worker: &'a Worker = self.capacities.get(worker)?.worker;
        worker.incarnation.rack()
    }

    /// What a worker has of some kind of resources; nothing if it accepts no tasks.
    pub(crate) fn resources_of(
        &self,
        worker: WorkerIndex,
        kind: impl Fn(&WorkerCapacity<'a>) -> Resources,
    ) -> Resources {
        self.capacities.get(worker).map(kind).unwrap_or_default()
    }

    /// Selects workers for the members of a gang while their room suffices.
    pub(crate) fn fit_members(
        &self,
        waiting: &WaitingStep<'_>,
        workers: impl Iterator<Item = WorkerIndex>,
        room: impl Fn(WorkerIndex) -> Resources,
    ) -> Vec<WorkerIndex> {
        let chosen = self.fit_members_with(waiting, &[], workers, room);
        chosen.unwrap_or_default()
    }

    /// The same with members that may start on one worker only, which come first. `None` if one of them finds no
    /// room there.
    fn fit_members_with(
        &self,
        waiting: &WaitingStep<'_>,
        bound: &[BoundMember],
        workers: impl Iterator<Item = WorkerIndex>,
        room: impl Fn(WorkerIndex) -> Resources,
    ) -> Option<Vec<WorkerIndex>> {
        let need = waiting.step.demand();
        let count = waiting.state.tasks.len();
        let mut chosen: Vec<WorkerIndex> = bound.iter().map(|m| m.worker).collect();
        let mut taken: BTreeMap<WorkerIndex, u32> = BTreeMap::new();
        for member in bound {
            let on_worker = taken.entry(member.worker).or_default();
            let resources = (0..*on_worker).fold(room(member.worker), |r, _| r.minus(&need));
            if !resources.fits(&need) || *on_worker >= waiting.step.max_per_worker() {
                return None;
            }
            *on_worker += 1;
        }
        for worker in workers {
            let mut on_worker = taken.get(&worker).copied().unwrap_or(0);
            let mut resources = (0..on_worker).fold(room(worker), |r, _| r.minus(&need));
            while chosen.len() < count
                && resources.fits(&need)
                && on_worker < waiting.step.max_per_worker()
            {
                resources = resources.minus(&need);
                on_worker += 1;
                chosen.push(worker);
            }
        }
        Some(chosen)
    }
}

/// Puts workers that were chosen for the bound members first into the order of the members.
fn in_member_order(bound: &[BoundMember], chosen: Vec<WorkerIndex>) -> Vec<WorkerIndex> {
    let mut workers = chosen.split_at(bound.len()).1.to_vec();
    for member in bound {
        workers.insert(member.index, member.worker);
    }
    workers
}
