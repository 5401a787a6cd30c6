//! Settings of links and servers.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::ClusterKey;

/// Decides by a peer's address whether messages to it are dropped; a seam for fault tests.
pub type DropFilter = Arc<dyn Fn(&str) -> bool + Send + Sync>;

/// Delay between failed attempts to connect: doubles from `first` up to `limit`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Delay after the first failure.
    pub initial: Duration,
    /// Longest delay.
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
    /// Delay after `fails` failures in a row, with jitter over its upper half.
    ///
    /// Jitter keeps the daemons of a cell from dialling a restarted peer at the same moment.
    pub(crate) fn delay(&self, fails: u32) -> Duration {
        let doublings = fails.saturating_sub(1).min(20);
        let full = self.initial.saturating_mul(1 << doublings).min(self.max);
        full.mul_f64(rand::rng().random_range(0.5..=1.0))
    }
}

/// WebSocket pings that detect a connection whose peer vanished without closing it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PingSettings {
    /// Interval between pings.
    pub interval: Duration,
    /// Silence after which the connection is closed.
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

/// Bound of the queue of one-way messages to one peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Most messages.
    pub max_messages: usize,
    /// Most bytes; a single message may exceed this.
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
/// There is no `Default`, since a cell without a key would be open to everyone; use
/// `Settings { addr, ..Settings::new(key) }`.
#[derive(Clone)]
pub struct Settings {
    /// Key shared by the daemons of the cell.
    pub key: ClusterKey,
    /// Own `ip:port` at which peers reach this daemon; names this daemon in the peers' counters.
    pub addr: String,
    /// Longest wait for the answer to a call, connecting included.
    pub call_timeout: Duration,
    /// Longest wait for a connection, and for its authentication at the other side.
    pub connect_timeout: Duration,
    /// Largest message in bytes, in both directions.
    pub max_message: u32,
    /// Most connections that a server keeps open.
    pub max_connections: u32,
    /// Bound of the queue of one-way messages to one peer.
    pub queue: QueueLimits,
    /// Delay between failed attempts to connect.
    pub backoff: Backoff,
    /// Detection of vanished peers.
    pub ping: PingSettings,
    /// Drops messages to some addresses, answers included; for fault tests.
    pub drop_filter: Option<DropFilter>,
}

impl Settings {
    /// The usual settings with the given key.
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

    /// Whether messages to `addr` are dropped.
    pub(crate) fn drops_messages_to(&self, addr: &str) -> bool {
        self.drop_filter.as_ref().is_some_and(|drops| drops(addr))
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
