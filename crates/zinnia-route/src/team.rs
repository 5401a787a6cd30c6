//! Teams as the router sees them.

use crate::QueueSettings;

/// Cost of one call of a team with share 1, in units of virtual time.
const CALL_COST: u64 = 1 << 20;

/// Limits and state of one team.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Team {
    pub(crate) max_calls: u32,
    pub(crate) share: u32,
    /// Calls in flight, waiting ones included.
    pub(crate) held: u32,
    /// Virtual time: the served calls over the share. The waiting team with the least goes first.
    pub(crate) served: u64,
}

impl Team {
    pub(crate) fn new(settings: &QueueSettings) -> Self {
        Self {
            max_calls: settings.team_calls,
            share: 1,
            held: 0,
            served: 0,
        }
    }

    /// One call was taken from the queue.
    pub(crate) fn charge(&mut self) {
        self.served += CALL_COST / u64::from(self.share.max(1));
    }
}
