//! Monotonic clock shared by all workers of the process.

use std::sync::LazyLock;
use std::time::Instant;

use zinnia_types::Time;

static ORIGIN: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Time in milliseconds on a clock that all workers of the process share.
pub fn now() -> Time {
    // The clock starts at 1 s because time 0 stands for an unset time in new state.
    Time(1_000 + u64::try_from(ORIGIN.elapsed().as_millis()).unwrap_or(u64::MAX / 2))
}
