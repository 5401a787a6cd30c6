//! Ranked queries for gangs.

use zinnia_types::Time;

use crate::Plan;
use crate::Policy;
use crate::capacity::WorkerCapacity;
use crate::placement::PlacementPass;
use crate::policy::PolicyDecisions;
use crate::policy::Readiness;
use crate::query::MAX_QUERY_WORKERS;
use crate::wait_reason::WaitReason;
use crate::waiting::WaitingStep;
use crate::worker_index::WorkerIndex;

/// Standard deviations by which the expected number of members with a worker exceeds the size of the gang. It
/// starts only as a whole, so that one worker too few costs another query.
const GANG_MARGIN: f64 = 2.0;
/// How many times as many members as a gang has should find room on the workers that the policy allows. Other work
/// takes some of it until the answer, and a gang needs all its room at the same time.
const GANG_CHOICE: u64 = 4;
/// Part of the validity of a ticket, as a divisor, by which tickets of a gang may be early. What is reserved for it
/// stays idle meanwhile.
const GANG_EARLY_DIVISOR: u64 = 8;
/// Maximum number of gangs per pool with reserved resources while their tickets are renewed, which takes as long as
/// a query. Each keeps idle what its members get one after the other.
const MAX_SHORT_RESERVATIONS: usize = 4;
/// How long resources are kept for a gang beyond the time of an answer, as a multiple of the validity of tickets.
const REACH_FACTOR: u64 = 2;

impl<'a> PlacementPass<'a> {
    /// Places a gang that needs tickets.
    ///
    /// Which workers the policy allows is asked once, since it does not change. Tickets are renewed only when the
    /// allowed workers are likely to have room for the whole gang by the time of the answer; until all members
    /// have one, the room is reserved.
    pub(crate) fn place_ranked_gang(
        &mut self,
        decisions: &mut PolicyDecisions,
        waiting: &WaitingStep<'a>,
        policy: &Policy,
        plan: &mut Plan,
    ) -> Option<WaitReason> {
        let size = waiting.state.tasks.len() as u64;
        if !self.within_team_limit(waiting, size) {
            return Some(WaitReason::TeamLimit);
        }
        let now = self.now;
        let available = self.available_among(waiting, decisions.granted.iter().copied());
        let readiness = |w| decisions.readiness(w, now);
        let unreserved = |w| self.resources_of(w, WorkerCapacity::unreserved);
        let choice = self.select_workers(waiting, &available, readiness, unreserved);
        if let Some(choice) =
            choice.filter(|c| c.iter().all(|w| readiness(*w) == Readiness::Ticketed))
        {
            self.start_gang(waiting, &choice, plan);
            return None;
        }
        let answer_at = self.answer_at(waiting, policy, MAX_QUERY_WORKERS);
        let horizon = answer_at.after(policy.valid_ms / GANG_EARLY_DIVISOR);
        let usable_until = horizon.after(policy.valid_ms);
        if !self.is_in_turn(waiting, size, usable_until) {
            return Some(WaitReason::Turn);
        }
        if let Some(choice) = self.reachable_workers(decisions, waiting, horizon) {
            return Some(self.renew_for_gang(decisions, waiting, choice, policy, plan));
        }
        if decisions.queried.is_empty() {
            let reason = self.find_gang_workers(decisions, waiting, usable_until, policy, plan);
            if decisions.queried.is_empty() {
                self.reserve_in_reach(decisions, waiting, policy);
                return Some(reason);
            }
        }
        self.claim(waiting, &decisions.queried, size, usable_until);
        Some(WaitReason::OpenQuery)
    }

    /// Workers for all members among those that the policy allows, if they are likely to have room by `at`.
    fn reachable_workers(
        &self,
        decisions: &PolicyDecisions,
        waiting: &WaitingStep<'a>,
        at: Time,
    ) -> Option<Vec<WorkerIndex>> {
        let workers = self.granted_by_time(decisions, waiting);
        // Workers with a ticket or an open query are kept, so that the choice does not change in the meantime.
        let readiness = |w| match decisions.readiness(w, self.now) {
            Readiness::Ticketed => Readiness::Queried,
            readiness => readiness,
        };
        let room = |w| {
            let capacity = self.capacities.get(w);
            capacity.map(|c| self.room_by(c, w, at)).unwrap_or_default()
        };
        self.select_workers(waiting, &workers, readiness, room)
    }

    /// The workers that the policy allows, those that have room for a member first.
    fn granted_by_time(
        &self,
        decisions: &PolicyDecisions,
        waiting: &WaitingStep<'a>,
    ) -> Vec<WorkerIndex> {
        let need = waiting.step.demand();
        let row = |&worker: &WorkerIndex| {
            let capacity = self.capacities.get(worker)?;
            let suitability = self.suitability(waiting, capacity)?;
            let room = capacity.unreserved();
            let ready = self
                .queries
                .forecast
                .ready_at(worker, room, &need, self.now)?;
            Some((ready, suitability, worker))
        };
        let mut rows: Vec<_> = decisions.granted.iter().filter_map(row).collect();
        rows.sort_unstable();
        rows.into_iter().map(|(_, _, worker)| worker).collect()
    }

    /// Asks for the tickets that the members lack, and reserves their room while the policy answers.
    fn renew_for_gang(
        &mut self,
        decisions: &mut PolicyDecisions,
        waiting: &WaitingStep<'a>,
        choice: Vec<WorkerIndex>,
        policy: &Policy,
        plan: &mut Plan,
    ) -> WaitReason {
        let mut expiring = choice.clone();
        expiring.sort_unstable();
        expiring.dedup();
        let answer_at = self.answer_at(waiting, policy, expiring.len());
        expiring.retain(|w| {
            !decisions.queried.contains(w) && decisions.ticket(*w, answer_at).is_none()
        });
        let purpose = waiting.query_purpose(decisions);
        self.query_in_parts(decisions, waiting, &expiring, purpose, policy, plan);
        let is_asked = |w: &WorkerIndex| decisions.readiness(*w, self.now) <= Readiness::Queried;
        let in_reach = choice.iter().all(is_asked);
        let reservations = self.gang_reservations.entry(&waiting.queue.pool);
        let reservations = reservations.or_default();
        if in_reach && !decisions.is_failing && *reservations < MAX_SHORT_RESERVATIONS {
            *reservations += 1;
            self.reserve(waiting, &choice);
        }
        match (in_reach, decisions.queried.is_empty()) {
            (true, true) => WaitReason::Capacity,
            (true, false) => WaitReason::OpenQuery,
            (false, _) => WaitReason::QueryBudget,
        }
    }

    /// Asks which further workers may run the gang: those that have room by `at`, or any if the allowed ones could
    /// not hold the gang even when they are empty.
    fn find_gang_workers(
        &mut self,
        decisions: &mut PolicyDecisions,
        waiting: &WaitingStep<'a>,
        at: Time,
        policy: &Policy,
        plan: &mut Plan,
    ) -> WaitReason {
        let purpose = waiting.query_purpose(decisions);
        if !self.may_query(decisions, waiting, purpose, plan) {
            return WaitReason::QueryBudget;
        }
        let size = waiting.state.tasks.len() as u64;
        let share = self.queries.stats.get(&waiting.queue.name).share();
        let is_granted = |w| decisions.granted.contains(&w);
        let candidates = self.candidates(waiting, decisions, at, is_granted);
        let workers = if candidates.expected(share) >= size as f64 {
            candidates.sufficient(size.saturating_mul(GANG_CHOICE), share, GANG_MARGIN)
        } else if self.holds_gang(decisions, waiting) {
            Vec::new()
        } else {
            self.any_undecided(decisions, waiting, size, share)
        };
        self.query_in_parts(decisions, waiting, &workers, purpose, policy, plan);
        WaitReason::Capacity
    }

    /// Whether the workers that the policy allows can hold the gang once all tasks that end have ended.
    fn holds_gang(&self, decisions: &PolicyDecisions, waiting: &WaitingStep<'a>) -> bool {
        let attainable = |w| self.resources_of(w, WorkerCapacity::attainable);
        let granted = decisions.granted.iter().copied();
        let held = self.fit_members(waiting, granted, attainable);
        held.len() >= waiting.state.tasks.len()
    }

    /// Workers about which the policy has not decided, whether they have room or not.
    fn any_undecided(
        &self,
        decisions: &PolicyDecisions,
        waiting: &WaitingStep<'a>,
        size: u64,
        share: f64,
    ) -> Vec<WorkerIndex> {
        let eligible = self.eligible_workers(waiting);
        let mut workers = self.undecided_workers(waiting, decisions, eligible);
        // A worker counts for one member: how many it will hold depends on what ends first.
        let wanted = (size as f64 / share.max(f64::EPSILON)).ceil();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the conversion saturates"
        )]
        let wanted = wanted as usize;
        workers.truncate(wanted.max(MAX_QUERY_WORKERS));
        workers
    }

    /// Reserves what becomes free first for a gang that has waited, if it is enough within some seconds.
    fn reserve_in_reach(
        &mut self,
        decisions: &PolicyDecisions,
        waiting: &WaitingStep<'a>,
        policy: &Policy,
    ) {
        if decisions.is_failing || !self.may_reserve(waiting) {
            return;
        }
        let answer_at = self.answer_at(waiting, policy, MAX_QUERY_WORKERS);
        let reach = answer_at.after(policy.valid_ms.saturating_mul(REACH_FACTOR));
        if let Some(choice) = self.reachable_workers(decisions, waiting, reach) {
            let reservations = self.gang_reservations.entry(&waiting.queue.pool);
            *reservations.or_default() += 1;
            self.reserve(waiting, &choice);
        }
    }
}
