//! Tombstones of attempts that must not start on this worker.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use zinnia_types::AttemptId;
use zinnia_types::Epoch;
use zinnia_types::Time;

use crate::TombstoneSettings;

/// Tombstones of attempts that were refused, or that ran and whose ends were forgotten.
///
/// A tombstone must outlive every start command for its attempt that can still arrive. A start
/// command carries the epoch under which its owner sent it and can be delayed without bound within
/// that epoch, so a tombstone of the current epoch is never dropped. After the epoch has ended, a
/// delayed start is refused because of its epoch. No owner sends the attempt under a later epoch
/// either, since it ordered the refusal or recorded the end. Tombstones of ended epochs can
/// therefore be dropped by age and count. [`Tombstones::needs_new_epoch`] tells when the current
/// epoch has to end because its own tombstones exceed a bound.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tombstones {
    /// Last epoch under which a start of the attempt was acceptable.
    epochs: BTreeMap<AttemptId, Epoch>,
    /// Attempts with the time of their tombstone, oldest first.
    by_age: VecDeque<(Time, AttemptId)>,
}

impl Tombstones {
    /// Adds a tombstone. `epoch` is the last one under which a start of `attempt` was acceptable.
    pub(crate) fn add(&mut self, attempt: AttemptId, epoch: Epoch, now: Time) {
        if self.epochs.insert(attempt, epoch).is_none() {
            self.by_age.push_back((now, attempt));
        }
    }

    pub(crate) fn contains(&self, attempt: AttemptId) -> bool {
        self.epochs.contains_key(&attempt)
    }

    pub(crate) fn len(&self) -> usize {
        self.epochs.len()
    }

    /// Drops tombstones beyond the bounds, oldest first, as long as their epochs have ended.
    /// `epoch` is the first one that has not.
    pub(crate) fn trim(&mut self, settings: &TombstoneSettings, epoch: Epoch, now: Time) {
        while let Some(&(added, attempt)) = self.by_age.front() {
            let exceeds_bounds =
                self.epochs.len() > settings.max_count || now.since(added) >= settings.max_age_ms;
            let ended = self.epochs.get(&attempt).is_none_or(|e| *e < epoch);
            if !exceeds_bounds || !ended {
                return;
            }
            self.by_age.pop_front();
            self.epochs.remove(&attempt);
        }
    }

    /// Whether the tombstones exceed a bound. After [`Tombstones::trim`], only a new epoch helps.
    pub(crate) fn needs_new_epoch(&self, settings: &TombstoneSettings, now: Time) -> bool {
        let expired = self
            .by_age
            .front()
            .is_some_and(|(added, _)| now.since(*added) >= settings.max_age_ms);
        self.epochs.len() > settings.max_count || expired
    }
}
