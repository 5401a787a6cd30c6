//! Counters of the traffic per peer.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use metrics::Counter;
use metrics::counter;
use serde::Serialize;

/// Traffic with one peer since the start of the process, for dumps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PeerCounters {
    /// Bytes written to the connections. Includes WebSocket framing, excludes TCP and IP headers.
    pub sent_bytes: u64,
    /// Bytes read from the connections.
    pub received_bytes: u64,
    /// Sent messages: one-way messages, requests and answers.
    pub sent_messages: u64,
    /// Received messages.
    pub received_messages: u64,
    /// One-way messages dropped because the queue was full.
    pub overflowed: u64,
    /// Messages dropped because they exceeded the size limit.
    pub oversized: u64,
    /// Messages dropped by [`Settings::drop_filter`](crate::Settings::drop_filter).
    pub cut: u64,
    /// Opened connections.
    pub connects: u64,
    /// Failed connection attempts.
    pub failures: u64,
}

/// Counter for dumps that is also exported as a metric.
pub(crate) struct ExportedCounter {
    value: AtomicU64,
    metric: Counter,
}

impl ExportedCounter {
    fn new(metric: Counter) -> Self {
        Self {
            value: AtomicU64::new(0),
            metric,
        }
    }

    pub(crate) fn add(&self, amount: u64) {
        self.value.fetch_add(amount, Ordering::Relaxed);
        self.metric.increment(amount);
    }

    fn get(&self) -> u64 {
        self.value.load(Ordering::Relaxed)
    }
}

/// Live counters of the traffic with one peer.
pub(crate) struct PeerTraffic {
    pub(crate) sent_bytes: ExportedCounter,
    pub(crate) received_bytes: ExportedCounter,
    pub(crate) sent_messages: ExportedCounter,
    pub(crate) received_messages: ExportedCounter,
    pub(crate) overflowed: ExportedCounter,
    pub(crate) oversized: ExportedCounter,
    pub(crate) cut: ExportedCounter,
    pub(crate) connects: ExportedCounter,
    pub(crate) failures: ExportedCounter,
}

impl PeerTraffic {
    /// Creates the counters for `peer`. `side` is `link` for outgoing connections and `server` for
    /// incoming ones.
    pub(crate) fn new(peer: &str, side: &'static str) -> Self {
        let peer = || peer.to_owned();
        let bytes = |direction: &'static str| counter!("zinnia_peer_bytes_total", "peer" => peer(), "side" => side, "way" => direction);
        let messages = |direction: &'static str| counter!("zinnia_peer_messages_total", "peer" => peer(), "side" => side, "way" => direction);
        let dropped = |reason: &'static str| counter!("zinnia_peer_dropped_total", "peer" => peer(), "side" => side, "why" => reason);
        let connects = |outcome: &'static str| counter!("zinnia_peer_connects_total", "peer" => peer(), "side" => side, "end" => outcome);
        Self {
            sent_bytes: ExportedCounter::new(bytes("sent")),
            received_bytes: ExportedCounter::new(bytes("received")),
            sent_messages: ExportedCounter::new(messages("sent")),
            received_messages: ExportedCounter::new(messages("received")),
            overflowed: ExportedCounter::new(dropped("overflow")),
            oversized: ExportedCounter::new(dropped("oversized")),
            cut: ExportedCounter::new(dropped("cut")),
            connects: ExportedCounter::new(connects("open")),
            failures: ExportedCounter::new(connects("failed")),
        }
    }

    /// Returns the current values.
    pub(crate) fn snapshot(&self) -> PeerCounters {
        PeerCounters {
            sent_bytes: self.sent_bytes.get(),
            received_bytes: self.received_bytes.get(),
            sent_messages: self.sent_messages.get(),
            received_messages: self.received_messages.get(),
            overflowed: self.overflowed.get(),
            oversized: self.oversized.get(),
            cut: self.cut.get(),
            connects: self.connects.get(),
            failures: self.failures.get(),
        }
    }
}
