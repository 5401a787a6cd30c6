//! Monotonic time as an input of the deterministic state machines, which never read a clock.

use serde::Deserialize;
use serde::Serialize;

/// Reading of a monotonic clock in milliseconds. Its origin is arbitrary; only differences are
/// meaningful.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// Returns the time `ms` milliseconds later, saturating at the maximum.
    #[must_use]
    pub fn after(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Returns the milliseconds from `earlier` to `self`, or 0 if `earlier` is the later one.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
