//! Lease durations and timeouts that daemons and workers share.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Lease durations and timeouts in milliseconds. All VMs and workers of a cell must use the same
/// values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseSettings {
    /// Interval between the heartbeats that a worker sends to its owner.
    pub heartbeat_ms: u64,
    /// Duration of a VM's lease on a worker that it owns, counted from when the worker sent the
    /// last acknowledged heartbeat.
    pub owner_ms: u64,
    /// Duration of a task lease. A worker stops its tasks this long after it sent the last
    /// heartbeat whose reply renewed the task leases.
    pub task_ms: u64,
    /// Margin added to a lease that another process holds before it counts as expired. It covers
    /// clock drift and scheduling delay.
    pub margin_ms: u64,
    /// Interval between the pings that daemons send to each other.
    pub ping_ms: u64,
    /// Duration of a VM's lease from the leader, counted from when the VM sent the last answered
    /// ping.
    pub vm_ms: u64,
    /// Longest time for which an isolated failure domain continues to work without a quorum.
    pub isolation_ms: u64,
    /// Time without contact after which a voter is replaced by another VM that has a disk and an
    /// up-to-date log.
    pub replace_ms: u64,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            heartbeat_ms: 4_000,
            owner_ms: 10_000,
            task_ms: 30_000,
            margin_ms: 2_000,
            ping_ms: 1_000,
            vm_ms: 6_000,
            isolation_ms: 600_000,
            replace_ms: 300_000,
        }
    }
}
