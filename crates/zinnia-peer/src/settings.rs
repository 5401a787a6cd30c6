//! Settings of outgoing connections and of the server.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::ClusterKey;

/// Filter that returns whether to drop messages to a peer address. Tests use it to simulate network
/// partitions.
pub type DropFilter = Arc<dyn Fn(&str) -> bool + Send + Sync>;

/// Exponential backoff between connection attempts. The delay doubles from `initial` up to `max`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Delay after the first failure.
    pub initial: Duration,
    /// Maximum delay.
    pub max: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            initial: Duration::from_millis(50),
            max: Duration::from_secs(2),
        }
    }
}

impl Backoff {
    /// Returns the delay after `failures` consecutive failures, with jitter over its upper half.
    ///
    /// The jitter keeps the daemons of a cell from connecting to a restarted peer at the same time.
    pub(crate) fn delay(&self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1).min(20);
        let full_delay = self.initial.saturating_mul(1 << doublings).min(self.max);
        full_delay.mul_f64(rand::rng().random_range(0.5..=1.0))
    }
}

/// WebSocket pings that detect peers that are gone without closing the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PingSettings {
    /// Interval between the pings of a link.
    pub interval: Duration,
    /// Time without received data after which a link closes its connection. The server pings at
    /// this interval and closes a connection after twice this time.
    pub timeout: Duration,
}

impl Default for PingSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(5),
            timeout: Duration::from_secs(12),
        }
    }
}

/// Limits of the queue of one-way messages to one peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Maximum number of messages.
    pub max_messages: usize,
    /// Maximum total size in bytes. A single message may exceed it.
    pub max_bytes: usize,
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self {
            max_messages: 1_024,
            max_bytes: 4 << 20,
        }
    }
}

/// Settings of [`Links`](crate::Links) and [`serve`](crate::serve).
///
/// There is no `Default`, because a cell without a key would accept connections from anyone. Use
/// `Settings { addr, ..Settings::new(key) }`.
#[derive(Clone)]
pub struct Settings {
    /// Key shared by the daemons of the cell.
    pub key: ClusterKey,
    /// Own address (`ip:port`) for incoming connections. Identifies this daemon in the counters of
    /// its peers.
    pub addr: String,
    /// Default timeout of a call, including the time to connect.
    pub call_timeout: Duration,
    /// Timeout to open a connection, and for the server to authenticate it.
    pub connect_timeout: Duration,
    /// Maximum size of a message in bytes, in both directions.
    pub max_message: u32,
    /// Maximum number of open connections of a server.
    pub max_connections: u32,
    /// Limits of the queue of one-way messages to one peer.
    pub queue: QueueLimits,
    /// Delay between connection attempts.
    pub backoff: Backoff,
    /// WebSocket pings.
    pub ping: PingSettings,
    /// Drops messages, including answers, to some peers, for tests.
    pub drop_filter: Option<DropFilter>,
}

impl Settings {
    /// Creates default settings with the given key.
    pub fn new(key: ClusterKey) -> Self {
        Self {
            key,
            addr: String::new(),
            call_timeout: Duration::from_secs(2),
            connect_timeout: Duration::from_secs(1),
            max_message: 8 << 20,
            max_connections: 64,
            queue: QueueLimits::default(),
            backoff: Backoff::default(),
            ping: PingSettings::default(),
            drop_filter: None,
        }
    }

    /// Returns whether the filter drops messages to `addr`.
    pub(crate) fn drops_messages_to(&self, addr: &str) -> bool {
        self.drop_filter.as_ref().is_some_and(|filter| filter(addr))
    }
}

impl fmt::Debug for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Settings")
            .field("addr", &self.addr)
            .field("call_timeout", &self.call_timeout)
            .field("connect_timeout", &self.connect_timeout)
            .field("max_message", &self.max_message)
            .field("max_connections", &self.max_connections)
            .field("queue", &self.queue)
            .field("backoff", &self.backoff)
            .field("ping", &self.ping)
            .field("cut", &self.drop_filter.is_some())
            .finish_non_exhaustive()
    }
}
