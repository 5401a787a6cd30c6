//! Settings of a daemon.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::DomainId;
use zinnia_types::LeaseSettings;
use zinnia_types::Name;

/// Everything a daemon is told at its start; read from JSON with comments.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Id of the cell; daemons of different cells refuse each other.
    pub cell: Name,
    /// Name of this VM, unique in the cell.
    pub name: Name,
    /// Failure domain of this VM.
    pub domain: DomainId,
    /// Address for callers, workers and operators.
    pub listen: SocketAddr,
    /// Address for the other daemons.
    pub peer: SocketAddr,
    /// Peer addresses through which the cell is found.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Peer addresses of the VMs that form the cell the first time; each of them has a disk.
    #[serde(default)]
    pub voters: Vec<SocketAddr>,
    /// Data folder; without one the VM is a learner and holds no durable state.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// Secrets, kept out of dumps and logs.
    pub secrets: Secrets,
    /// Leases and timeouts.
    #[serde(default)]
    pub lease: LeaseSettings,
    /// Replicated log.
    #[serde(default)]
    pub replication: ReplicationSettings,
    /// Bounds on what callers may send and hold.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// Log output.
    #[serde(default)]
    pub log: LogSettings,
    /// Test seam: drops messages to a peer address while it returns true.
    #[serde(skip)]
    pub drop_filter: Option<DropFilter>,
    /// Test seam: decides whether an operation on the data folder happens.
    #[serde(skip)]
    pub disk_hook: Option<DiskHook>,
}

/// Injects failures of the disk; only tests and scenarios set it.
#[derive(Clone)]
pub struct DiskHook(pub zinnia_store::DiskHook);

impl fmt::Debug for DiskHook {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("DiskGate")
    }
}

/// Decides whether messages to a peer address are dropped; only tests and scenarios set it.
#[derive(Clone)]
pub struct DropFilter(pub Arc<dyn Fn(&str) -> bool + Send + Sync>);

impl fmt::Debug for DropFilter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Cut")
    }
}

/// Secrets, either in place or in files; the text never reaches logs, dumps or errors.
#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Secrets {
    /// File with the key that the daemons of a cell share.
    pub cluster_file: Option<PathBuf>,
    /// File with the first operator key, recorded when the cell is formed.
    pub operator_file: Option<PathBuf>,
    /// The cluster key itself, for daemons inside a test or demo process.
    #[serde(skip)]
    pub cluster: Option<String>,
    /// The operator key itself, for daemons inside a test or demo process.
    #[serde(skip)]
    pub operator: Option<String>,
}

impl fmt::Debug for Secrets {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Secrets")
            .field("cluster_file", &self.cluster_file)
            .field("operator_file", &self.operator_file)
            .finish_non_exhaustive()
    }
}

/// Timing and size of the replicated log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReplicationSettings {
    /// Interval between a leader's heartbeats in milliseconds.
    pub heartbeat_ms: u64,
    /// Shortest election timeout in milliseconds; the longest is twice as long.
    pub election_ms: u64,
    /// Entries after which the log is compacted into a snapshot.
    pub compact_entries: u64,
    /// Longest wait for a proposal to be applied, in milliseconds.
    pub propose_ms: u64,
}

impl Default for ReplicationSettings {
    fn default() -> Self {
        Self {
            heartbeat_ms: 500,
            election_ms: 2_000,
            compact_entries: 2_000,
            propose_ms: 5_000,
        }
    }
}

/// Bounds on what callers may send and hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BoundSettings {
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Most requests being handled at once.
    pub requests: usize,
    /// Longest time a caller may take to send a request, in milliseconds.
    pub read_ms: u64,
    /// Longest time a drain waits for requests in flight, in milliseconds.
    pub drain_ms: u64,
    /// Default deadline of a service call in milliseconds.
    pub call_ms: u64,
    /// Jobs accepted and not yet ended, over all teams.
    pub jobs: usize,
}

impl Default for BoundSettings {
    fn default() -> Self {
        Self {
            body_bytes: 1024 * 1024,
            requests: 2_048,
            read_ms: 10_000,
            drain_ms: 30_000,
            call_ms: 10_000,
            jobs: 100_000,
        }
    }
}

/// Log output.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Write JSON lines instead of text.
    pub json: bool,
    /// Filter such as `info` or `zinnia_raft=debug,info`.
    pub filter: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            json: false,
            filter: "info".to_owned(),
        }
    }
}

impl Settings {
    /// Every fault of the settings; empty when a daemon can start with them.
    pub fn check(&self) -> Vec<String> {
        let mut found = Vec::new();
        let lease = &self.lease;
        if lease.owner_ms < 2 * lease.heartbeat_ms {
            found.push("lease.owner_ms must be at least twice lease.heartbeat_ms".to_owned());
        }
        if lease.task_ms < lease.owner_ms {
            found.push("lease.task_ms must be at least lease.owner_ms".to_owned());
        }
        if lease.vm_ms < 2 * lease.ping_ms {
            found.push("lease.vm_ms must be at least twice lease.ping_ms".to_owned());
        }
        if lease.heartbeat_ms == 0 || lease.ping_ms == 0 {
            found.push("lease.heartbeat_ms and lease.ping_ms must be above 0".to_owned());
        }
        if self.replication.election_ms < 2 * self.replication.heartbeat_ms {
            found.push(
                "replication.election_ms must be at least twice replication.heartbeat_ms"
                    .to_owned(),
            );
        }
        if self.voters.contains(&self.peer) && self.data.is_none() {
            found.push("a VM listed in voters needs a data folder in data".to_owned());
        }
        if !self.voters.is_empty() && self.voters.len().is_multiple_of(2) {
            found.push("voters must list an odd number of VMs".to_owned());
        }
        if self.voters.is_empty() && self.seeds.is_empty() {
            found.push("seeds or voters must name at least one peer address".to_owned());
        }
        if self.secrets.cluster.is_none() && self.secrets.cluster_file.is_none() {
            found.push("secrets.cluster_file must name the file with the cluster key".to_owned());
        }
        found
    }
}
