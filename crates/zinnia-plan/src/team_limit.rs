//! Limits of what the tasks of a team may use.

use crate::Resources;
use crate::placement::PlacementPass;
use crate::waiting::WaitingStep;

impl<'a> PlacementPass<'a> {
    /// Whether the team may run `count` more tasks of the step within its limit, less what the step
    /// must leave to urgent jobs.
    pub(crate) fn within_team_limit(&mut self, waiting: &WaitingStep<'a>, count: u64) -> bool {
        let Some(team) = self.state.team(&waiting.job.team) else {
            return true;
        };
        let headroom = self.team_headroom(waiting, &team.cap);
        let need = waiting.step.resources.times(count).plus(&headroom);
        let used = self.team_usage(&team.name);
        let below_cap =
            |cap: u64, used: u64, need: u64| cap == 0 || used.saturating_add(need) <= cap;
        below_cap(team.cap.cpu, used.cpu, need.cpu)
            && below_cap(team.cap.mem, used.mem, need.mem)
            && below_cap(team.cap.gpu, used.gpu, need.gpu)
    }

    /// Resources that the tasks of the team use, including those started in this pass.
    pub(crate) fn team_usage(&mut self, team: &'a str) -> &mut Resources {
        let state = self.state;
        let known = || state.usage.get(team).copied().unwrap_or_default();
        self.usage.entry(team).or_insert_with(known)
    }
}
