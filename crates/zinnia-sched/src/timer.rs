//! Timers of the scheduler.

use std::collections::BTreeMap;

use zinnia_types::AttemptId;
use zinnia_types::JobId;
use zinnia_types::Time;

/// What happens when a timer expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// A failed task is retried.
    Retry(JobId, u32),
    /// The quarantine of the worker in this slot ends.
    QuarantineEnd(usize),
    /// The hold on the worker in this slot expires.
    HoldExpiry(usize),
    /// An attempt whose job is unknown is stopped.
    Orphan(AttemptId),
    /// An unanswered start is refused for good unless it was reported as running.
    StartTimeout(AttemptId),
    /// An unconfirmed stop, refusal or record is sent again.
    Resend(AttemptId),
}

/// Timers in order of their due time.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    timers: BTreeMap<(Time, u64), Timer>,
    /// Sequence number of the last timer, which orders timers with the same due time.
    seq: u64,
}

impl Timers {
    /// Adds a timer that is due at `at`.
    pub(crate) fn add(&mut self, at: Time, timer: Timer) {
        self.seq += 1;
        self.timers.insert((at, self.seq), timer);
    }

    /// Removes and returns the next timer that is due at `now`.
    pub(crate) fn pop_due(&mut self, now: Time) -> Option<Timer> {
        let entry = self.timers.first_entry()?;
        (entry.key().0 <= now).then(|| entry.remove())
    }

    pub(crate) fn clear(&mut self) {
        self.timers.clear();
    }
}
