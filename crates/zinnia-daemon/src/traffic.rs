//! Byte counters of the HTTP connections of callers, workers and operators.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use zinnia_peer::Direction;

/// Bytes transferred over HTTP since the daemon started, without TCP and IP headers.
#[derive(Debug, Default)]
pub struct HttpTraffic {
    /// Bytes received.
    pub received: AtomicU64,
    /// Bytes sent.
    pub sent: AtomicU64,
}

/// Returns the callback of a connection that adds its bytes to `traffic`.
pub(crate) fn byte_counter(
    traffic: Arc<HttpTraffic>,
) -> impl Fn(Direction, u64) + Unpin + Send + 'static {
    move |direction, bytes| {
        let total = match direction {
            Direction::Received => &traffic.received,
            Direction::Sent => &traffic.sent,
        };
        total.fetch_add(bytes, Ordering::Relaxed);
    }
}
