//! Monotonic and wall clocks of the process.

use std::sync::LazyLock;
use std::time::SystemTime;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use zinnia_types::Time;

static PROCESS_START_MS: LazyLock<u64> = LazyLock::new(boottime_ms);

/// Milliseconds since the machine booted, including time spent in suspension.
///
/// A clock that stops during suspension would make an expired lease look valid after resume.
fn boottime_ms() -> u64 {
    let at = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(at.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(at.tv_nsec).unwrap_or(0);
    seconds * 1_000 + nanos / 1_000_000
}

/// Reads the monotonic clock. It starts at 1 s, so that no reading equals the zero of default state.
pub fn now() -> Time {
    Time(1_000 + boottime_ms().saturating_sub(*PROCESS_START_MS))
}

/// Milliseconds since the Unix epoch. Only for timestamps and due times, not for leases, since the
/// wall clock can jump.
pub fn wall_ms() -> i64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |d| i64::try_from(d.as_millis()).unwrap_or(i64::MAX))
}
