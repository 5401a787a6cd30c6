//! Limits of teams and their position in the fair queues.

use crate::QueueSettings;

/// Virtual time that one call of a team with share 1 costs.
const CALL_COST: u64 = 1 << 20;

/// Limits and usage of one team.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Team {
    pub(crate) max_calls: u32,
    pub(crate) share: u32,
    /// Calls in flight, including queued ones.
    pub(crate) in_flight: u32,
    /// Dispatched calls divided by the share; the team with the lowest virtual time is served first.
    pub(crate) virtual_time: u64,
}

impl Team {
    pub(crate) fn new(settings: &QueueSettings) -> Self {
        Self {
            max_calls: settings.team_calls,
            share: 1,
            in_flight: 0,
            virtual_time: 0,
        }
    }

    /// Advances the virtual time by one dispatched call.
    pub(crate) fn charge(&mut self) {
        self.virtual_time += CALL_COST / u64::from(self.share.max(1));
    }
}
