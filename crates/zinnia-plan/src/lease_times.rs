//! When a member applied the log entries about leases.

use std::collections::BTreeMap;

use zinnia_types::Time;

use crate::State;

/// Number of entries whose time of application a member keeps. For older ones the wait counts from
/// the term of the new leader.
const MAX_TIMES: u64 = 1_024;

/// When a member applied the entries that stop or resume the renewal of leases, on its own clock.
///
/// An entry is applied after it was proposed, so that a lease which was granted before has expired
/// once its length has passed since the application.
#[derive(Debug, Default)]
pub struct LeaseTimes {
    times: BTreeMap<u64, Time>,
}

impl LeaseTimes {
    /// Records that the latest entry in `state` was applied at `now`. Entries before it without a time get
    /// the same, which is later than their own and only makes the wait longer.
    pub fn applied(&mut self, state: &State, now: Time) {
        let known = self.times.last_key_value().map_or(0, |(number, _)| *number);
        let oldest = state.lease_entries.saturating_sub(MAX_TIMES);
        for number in known.max(oldest)..state.lease_entries {
            self.times.insert(number + 1, now);
        }
        while self
            .times
            .first_key_value()
            .is_some_and(|(number, _)| *number <= oldest)
        {
            self.times.pop_first();
        }
    }

    /// Forgets all times. Numbers of a state from a snapshot may count other entries.
    pub fn clear(&mut self) {
        self.times.clear();
    }

    /// When this member applied the entry with this number.
    pub(crate) fn get(&self, number: u64) -> Option<Time> {
        self.times.get(&number).copied()
    }
}
