//! Limits of a listener, derived from the memory and the descriptors of its process.

use std::time::Duration;

/// Memory of a connection at most: the head that it sends, twice, since the buffer grows by doubling, and its
/// state.
const CONNECTION_BYTES: usize = 48 * 1024;
/// Descriptors that are reserved for files, and for connections that the process opens.
const RESERVED_FDS: usize = 200;

/// Memory and descriptors of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory in bytes.
    pub memory: usize,
    /// Open descriptors, including those that are reserved.
    pub descriptors: usize,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self {
            memory: 256 << 20,
            descriptors: 4_096,
        }
    }
}

/// Bounds on the times and sizes of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Largest head in bytes.
    pub head_bytes: usize,
    /// Longest time from the first byte of a head to its end.
    pub head_time: Duration,
    /// Longest time without a request.
    pub idle_time: Duration,
    /// Time for a body, in addition to that which `body_rate` allows for the bytes that have arrived.
    pub body_time: Duration,
    /// Least rate of a body in bytes per second.
    pub body_rate: usize,
    /// Longest time in which a client takes nothing of an answer.
    pub write_time: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            head_bytes: 20 * 1024,
            head_time: Duration::from_secs(4),
            idle_time: Duration::from_secs(20),
            body_time: Duration::from_secs(5),
            body_rate: 8 * 1024,
            write_time: Duration::from_secs(5),
        }
    }
}

/// Limits of one listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Name of the listener in logs and metrics.
    pub listener: &'static str,
    /// Most connections.
    pub connections: usize,
    /// Most connections of one address.
    pub per_address: usize,
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Most memory that bodies, what is decoded from them, and large answers hold.
    pub held_bytes: usize,
    /// Bounds on each connection.
    pub each: ConnectionLimits,
}

impl Limits {
    /// Limits of a listener that may use one part in `parts` of the memory for its connections, as much again
    /// for what requests hold, and twice that part of the descriptors.
    pub fn share(
        listener: &'static str,
        process: &ProcessLimits,
        parts: usize,
        body_bytes: usize,
    ) -> Self {
        let memory = process.memory / parts.max(1);
        let descriptors = process.descriptors.saturating_sub(RESERVED_FDS);
        let by_descriptors = descriptors.saturating_mul(2) / parts.max(1);
        let connections = (memory / CONNECTION_BYTES).min(by_descriptors).max(1);
        Self {
            listener,
            connections,
            per_address: Self::default_per_address(connections),
            body_bytes,
            held_bytes: memory,
            each: ConnectionLimits::default(),
        }
    }

    /// Default limit on the connections of one address. It is generous, since the clients behind a forwarder
    /// share one.
    pub fn default_per_address(connections: usize) -> usize {
        (connections - connections / 4).max(1)
    }

    /// Lists what is wrong with the limits.
    pub fn problems(&self) -> Vec<String> {
        let Self { listener, each, .. } = self;
        let mut problems = Vec::new();
        let mut check = |holds: bool, what: &str| {
            if !holds {
                problems.push(format!("limits of {listener}: {what}"));
            }
        };
        check(
            self.connections > 0 && self.per_address > 0,
            "at least one connection is needed",
        );
        check(
            self.per_address <= self.connections,
            "connections of one address exceed all connections",
        );
        check(
            self.held_bytes / 2 >= self.body_bytes,
            "the memory for requests must hold two of the largest bodies",
        );
        check(
            self.buffer_bytes() >= 8 * 1024,
            "heads of 8192 bytes must be accepted",
        );
        check(
            each.body_rate > 0,
            "the least rate of a body must be above 0",
        );
        let times = [
            each.head_time,
            each.idle_time,
            each.body_time,
            each.write_time,
        ];
        check(
            times.iter().all(|t| *t >= Duration::from_millis(1)),
            "all times must be at least 1 ms",
        );
        problems
    }

    /// Size of the buffer of a connection.
    pub(super) fn buffer_bytes(&self) -> usize {
        self.each.head_bytes
    }
}
