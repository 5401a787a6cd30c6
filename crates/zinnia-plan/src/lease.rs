//! How long the leases of workers last in the time of the leader.

/// Maximum share, in percent, by which a worker's clock may run slow.
pub(crate) const MAX_CLOCK_LAG_PERCENT: u64 = 2;

/// Tolerance for the resolution of clocks.
pub(crate) const CLOCK_MARGIN_MS: u64 = 100;

/// Divisor of the share of a lease by which it may last longer than its nominal length: the worker's
/// clock may run slow while the lease lasts, and it may have run slow since the reading to which the
/// deadline refers.
const LAG_DIVISOR: u64 = 40;

/// Returns the time after which a lease of `lease_ms` has certainly expired.
pub(crate) fn max_duration_ms(lease_ms: u64) -> u64 {
    lease_ms + lease_ms / LAG_DIVISOR + CLOCK_MARGIN_MS
}

/// Returns the longest lease that has certainly expired after `limit_ms`.
pub fn longest_lease_ms(limit_ms: u64) -> u64 {
    let limit_ms = limit_ms.saturating_sub(CLOCK_MARGIN_MS);
    limit_ms - limit_ms.div_ceil(LAG_DIVISOR + 1)
}
