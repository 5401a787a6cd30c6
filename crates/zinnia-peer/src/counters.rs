//! Counters of the traffic with each peer.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use metrics::Counter;
use metrics::counter;
use serde::Serialize;

/// Traffic with one peer since the start, for dumps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PeerCounters {
    /// Bytes written to the connection, WebSocket framing included, TCP and IP headers not.
    pub sent_bytes: u64,
    /// Bytes read from the connection.
    pub received_bytes: u64,
    /// Messages sent: notifications, requests and answers.
    pub sent_messages: u64,
    /// Messages received.
    pub received_messages: u64,
    /// One-way messages dropped because the queue was full.
    pub overflowed: u64,
    /// Messages dropped because they exceed the size limit.
    pub oversized: u64,
    /// Messages dropped by the cut of a fault test.
    pub cut: u64,
    /// Connections opened.
    pub connects: u64,
    /// Attempts to connect that failed.
    pub failures: u64,
}

/// One counter, kept for dumps and exported as a metric.
pub(crate) struct Count {
    value: AtomicU64,
    metric: Counter,
}

impl Count {
    fn new(metric: Counter) -> Self {
        Self {
            value: AtomicU64::new(0),
            metric,
        }
    }

    pub(crate) fn add(&self, n: u64) {
        self.value.fetch_add(n, Ordering::Relaxed);
        self.metric.increment(n);
    }

    fn get(&self) -> u64 {
        self.value.load(Ordering::Relaxed)
    }
}

/// Live counters behind [`PeerCounters`].
pub(crate) struct Traffic {
    pub(crate) sent_bytes: Count,
    pub(crate) received_bytes: Count,
    pub(crate) sent_messages: Count,
    pub(crate) received_messages: Count,
    pub(crate) overflowed: Count,
    pub(crate) oversized: Count,
    pub(crate) cut: Count,
    pub(crate) connects: Count,
    pub(crate) failures: Count,
}

impl Traffic {
    /// Counters for `peer`; `side` is `link` for outgoing connections and `server` for incoming ones.
    pub(crate) fn new(peer: &str, side: &'static str) -> Self {
        let peer = || peer.to_owned();
        let bytes = |way: &'static str| counter!("zinnia_peer_bytes_total", "peer" => peer(), "side" => side, "way" => way);
        let messages = |way: &'static str| counter!("zinnia_peer_messages_total", "peer" => peer(), "side" => side, "way" => way);
        let dropped = |why: &'static str| counter!("zinnia_peer_dropped_total", "peer" => peer(), "side" => side, "why" => why);
        let connects = |end: &'static str| counter!("zinnia_peer_connects_total", "peer" => peer(), "side" => side, "end" => end);
        Self {
            sent_bytes: Count::new(bytes("sent")),
            received_bytes: Count::new(bytes("received")),
            sent_messages: Count::new(messages("sent")),
            received_messages: Count::new(messages("received")),
            overflowed: Count::new(dropped("overflow")),
            oversized: Count::new(dropped("oversized")),
            cut: Count::new(dropped("cut")),
            connects: Count::new(connects("open")),
            failures: Count::new(connects("failed")),
        }
    }

    pub(crate) fn read(&self) -> PeerCounters {
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
