//! Limits of what the tasks of a team may use, and which step gets what becomes free of one.

use crate::Resources;
use crate::placement::PlacementPass;
use crate::waiting::WaitingStep;

/// Longest time for which a waiting step claims what becomes free of its team's limit. It bounds the
/// delay of other steps if the rest of the limit is used for long.
const MAX_CLAIM_MS: i64 = 10_000;

/// Claim of a waiting step on what becomes free of its team's limit.
pub(crate) struct TeamClaim {
    /// Priority of the step's queue.
    priority: u32,
    /// What the step lacks.
    missing: Resources,
}

impl<'a> PlacementPass<'a> {
    /// Whether the team may run `count` more tasks of the step within its limit.
    ///
    /// If not, steps of lower priority leave what becomes free to this one. Otherwise their smaller
    /// tasks would take it first, over and over.
    pub(crate) fn within_team_limit(&mut self, waiting: &WaitingStep<'a>, count: u64) -> bool {
        let Some(team) = self.state.document.team(&waiting.job.team) else {
            return true;
        };
        let need = waiting.step.resources.times(count);
        let used = *self.team_usage(&team.name);
        let missing = used.plus(&need).beyond(&team.cap);
        if missing == Resources::default() {
            return true;
        }
        let may_ever_fit = need.beyond(&team.cap) == Resources::default();
        let waited_ms = self.wall_ms - waiting.job.due_ms(waiting.id.round);
        if may_ever_fit && waited_ms < MAX_CLAIM_MS {
            // Steps are placed in the order of their priority, so the first claim stays.
            let priority = waiting.queue.priority;
            let claim = TeamClaim { priority, missing };
            self.team_claims.entry(&team.name).or_insert(claim);
        }
        false
    }

    /// Whether the step leaves the team's limit to a step of higher priority. Long-running tasks do
    /// not, since they have to run at all times.
    pub(crate) fn is_held_by_claim(&self, waiting: &WaitingStep<'_>) -> bool {
        let Some(claim) = self.team_claims.get(waiting.job.team.as_str()) else {
            return false;
        };
        let (need, missing) = (&waiting.step.resources, &claim.missing);
        let shares_resource = (missing.cpu > 0 && need.cpu > 0)
            || (missing.mem > 0 && need.mem > 0)
            || (missing.gpu > 0 && need.gpu > 0);
        shares_resource && waiting.queue.priority > claim.priority && !waiting.step.long_running
    }

    pub(crate) fn team_usage(&mut self, team: &'a str) -> &mut Resources {
        let state = self.state;
        let known = || state.usage.get(team).copied().unwrap_or_default();
        self.usage.entry(team).or_insert_with(known)
    }
}
