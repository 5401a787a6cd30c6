//! Ranked queries for steps whose tasks start one by one.

use crate::Plan;
use crate::Policy;
use crate::placement::PlacementPass;
use crate::placement::Unplaced;
use crate::policy::PolicyDecisions;
use crate::wait_reason::WaitReason;
use crate::waiting::WaitingStep;

/// Standard deviations by which the expected number of starts exceeds the number of tasks. What a query costs
/// hardly depends on the number of its workers, so a second query costs more than some workers too many.
const TASK_MARGIN: f64 = 1.5;

impl<'a> PlacementPass<'a> {
    /// Places the tasks of a step that needs tickets. The policy is queried about as many workers as the rest of
    /// the tasks need, once they are likely to have room when the answer arrives.
    pub(crate) fn place_ranked_tasks(
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
            Unplaced::Tasks(count) => count as u64,
        };
        let count = self.count_within_limit(waiting, unplaced);
        let horizon = self.query_horizon(waiting, policy);
        if !self.is_in_turn(waiting, count, horizon) {
            return Some(WaitReason::Turn);
        }
        if !decisions.queried.is_empty() {
            self.claim(waiting, &decisions.queried, count, horizon);
            return Some(WaitReason::OpenQuery);
        }
        let purpose = waiting.query_purpose(decisions);
        if !self.may_query(decisions, waiting, purpose, plan) {
            return Some(WaitReason::QueryBudget);
        }
        let is_ticketed = |w| decisions.ticket(w, horizon).is_some();
        let candidates = self.candidates(waiting, decisions, horizon, is_ticketed);
        let share = self.queries.stats.get(&waiting.queue.name).share();
        let workers = candidates.sufficient(count, share, TASK_MARGIN);
        self.query_in_parts(decisions, waiting, &workers, purpose, policy, plan);
        self.claim(waiting, &decisions.queried, count, horizon);
        match decisions.queried.is_empty() {
            true => Some(WaitReason::Capacity),
            false => Some(WaitReason::OpenQuery),
        }
    }

    /// The largest number of further tasks, found by halving, that the limit of the team allows; at least 1.
    fn count_within_limit(&mut self, waiting: &WaitingStep<'a>, mut count: u64) -> u64 {
        while count > 1 && !self.within_team_limit(waiting, count) {
            count /= 2;
        }
        count
    }
}
