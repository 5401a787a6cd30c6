//! How long the leases of workers last in the time of the leader.

use zinnia_types::Time;

use crate::Leader;
use crate::Settings;
use crate::State;

/// Maximum share, in percent, by which a worker's clock may run slow.
pub(crate) const MAX_CLOCK_LAG_PERCENT: u64 = 2;

/// Tolerance for the resolution of clocks.
pub(crate) const CLOCK_MARGIN_MS: u64 = 100;

/// A lease lasts longer than its nominal length by up to this fraction. A clock that is 2% slow
/// stretches it by 2.04%; the rest covers the age of the clock reading to which the deadline refers.
const LAG_DIVISOR: u64 = 40;

/// Returns the time after which a lease of `lease_ms` has certainly expired.
pub(crate) fn max_duration_ms(lease_ms: u64) -> u64 {
    lease_ms + lease_ms / LAG_DIVISOR + CLOCK_MARGIN_MS
}

/// Returns the bound of leases that an entry proposed at `now` contains. `leader` is `None` until the
/// first planning pass of a term, before which the process has granted no lease itself.
pub fn lease_bound_ms(
    state: &State,
    leader: Option<&Leader>,
    settings: &Settings,
    now: Time,
) -> u64 {
    leader.map_or_else(
        || state.inherited_lease_ms(settings),
        |leader| leader.lease_bound_ms(now),
    )
}

/// Returns the longest lease that has certainly expired after `limit_ms`.
pub fn lease_within_ms(limit_ms: u64) -> u64 {
    let limit_ms = limit_ms.saturating_sub(CLOCK_MARGIN_MS);
    limit_ms - limit_ms.div_ceil(LAG_DIVISOR + 1)
}
