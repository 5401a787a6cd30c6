//! What is due at a later time.

use std::collections::BTreeMap;

use zinnia_types::AttemptId;
use zinnia_types::JobId;
use zinnia_types::Time;

/// What is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// A failed task may be tried again.
    Retry(JobId, u32),
    /// A quarantine ends.
    QuarantineEnd(usize),
    /// Room kept on a worker is given up.
    HoldExpiry(usize),
    /// An attempt whose job is unknown is stopped.
    Orphan(AttemptId),
    /// A start without an answer is refused for good unless it was reported as running.
    StartTimeout(AttemptId),
    /// A stop or refusal is asked for again.
    Resend(AttemptId),
}

/// Timers in order of time.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    timers: BTreeMap<(Time, u64), Timer>,
    seq: u64,
}

impl Timers {
    pub(crate) fn add(&mut self, at: Time, timer: Timer) {
        self.seq += 1;
        self.timers.insert((at, self.seq), timer);
    }

    /// The next timer that is due at `now`.
    pub(crate) fn pop_due(&mut self, now: Time) -> Option<Timer> {
        let entry = self.timers.first_entry()?;
        (entry.key().0 <= now).then(|| entry.remove())
    }

    pub(crate) fn clear(&mut self) {
        self.timers.clear();
    }
}
