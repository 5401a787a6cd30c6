//! Byte counts of the connections of callers, workers and operators.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use zinnia_peer::Direction;

/// Bytes over HTTP since the start, without TCP and IP headers.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes received.
    pub received: AtomicU64,
    /// Bytes sent.
    pub sent: AtomicU64,
}

/// Adds the bytes of a connection to `traffic`.
pub(crate) fn add_to(traffic: Arc<Traffic>) -> impl Fn(Direction, u64) + Unpin + Send + 'static {
    move |direction, n| {
        let count = match direction {
            Direction::Received => &traffic.received,
            Direction::Sent => &traffic.sent,
        };
        count.fetch_add(n, Ordering::Relaxed);
    }
}
