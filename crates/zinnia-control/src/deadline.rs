//! Deadlines of requests, on the clock of the leader.
//!
//! A message can arrive long after the process that sent it has given up on it: from a connection that was cut
//! off, or from a process that was suspended. The clocks of two processes may differ by any amount, so a process
//! reads the leader's clock from time to time and states its deadlines as readings of that clock.

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::Time;

/// A reading of the leader's clock. The default is that of no leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderTime {
    /// Term of the leader. Each term has one leader, and so one clock.
    pub term: u64,
    /// Reading of its monotonic clock.
    pub at: Time,
}

impl LeaderTime {
    /// Whether a request with this deadline may be carried out by the leader whose clock shows `now`.
    pub fn allows(&self, now: Self) -> bool {
        self.term == now.term && now.at < self.at
    }
}

/// The leader's clock, as another process knows it. The default is a clock that no leader has; a request with a
/// deadline on it is answered with a reading.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaderClock {
    reading: LeaderTime,
    /// When the reading arrived, on the clock of this process. The leader took it earlier.
    received: Time,
}

impl LeaderClock {
    /// Creates the clock from a reading that arrived at `received` on the clock of this process.
    pub fn new(reading: LeaderTime, received: Time) -> Self {
        Self { reading, received }
    }

    /// What the leader's clock shows at `at` of this process, or earlier: by the time for which the reading was
    /// on its way, the clock shows more.
    pub fn deadline(&self, at: Time) -> LeaderTime {
        LeaderTime {
            term: self.reading.term,
            at: self.reading.at.after(at.since(self.received)),
        }
    }
}
