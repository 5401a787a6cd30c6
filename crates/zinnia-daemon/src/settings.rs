//! Settings of a daemon.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use zinnia_http::server::ConnectionLimits;
use zinnia_http::server::Limits;
use zinnia_http::server::ProcessLimits;
use zinnia_types::DomainId;
use zinnia_types::LeaseSettings;
use zinnia_types::Name;

/// Settings of a daemon, read from a JSON file that may contain comments.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Id of the cell. Daemons of different cells refuse each other's messages.
    pub cell: Name,
    /// Name of this VM, unique in the cell.
    pub name: Name,
    /// Failure domain of this VM.
    pub domain: DomainId,
    /// Address for callers, workers and operators.
    pub listen: SocketAddr,
    /// Address for the other daemons.
    pub peer: SocketAddr,
    /// Peer addresses of VMs through which this VM finds the cell.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Peer addresses of the VMs that form the cell as its first voters. Each of them needs a disk.
    #[serde(default)]
    pub voters: Vec<SocketAddr>,
    /// Data folder. A VM without one is a learner and keeps no durable state.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// Secrets, which are left out of dumps and logs.
    pub secrets: Secrets,
    /// Leases and timeouts.
    #[serde(default)]
    pub lease: LeaseSettings,
    /// Timing and size of the replicated log.
    #[serde(default)]
    pub replication: ReplicationSettings,
    /// Limits on the requests and jobs of callers.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// Log output.
    #[serde(default)]
    pub log: LogSettings,
    /// Test hook: drops messages to the peer addresses for which it returns true.
    #[serde(skip)]
    pub drop_filter: Option<DropFilter>,
    /// Test hook: decides whether an operation on the data folder is performed or fails.
    #[serde(skip)]
    pub disk_hook: Option<DiskHook>,
}

/// Injects disk failures; set by tests and scenarios only.
#[derive(Clone)]
pub struct DiskHook(pub zinnia_store::DiskHook);

impl fmt::Debug for DiskHook {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("DiskGate")
    }
}

/// Decides by peer address whether messages are dropped; set by tests and scenarios only.
#[derive(Clone)]
pub struct DropFilter(pub Arc<dyn Fn(&str) -> bool + Send + Sync>);

impl fmt::Debug for DropFilter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Cut")
    }
}

/// Secrets, read from files or given as text. Their text appears in no log, dump or error.
#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Secrets {
    /// File with the cluster key, which all daemons of a cell share.
    pub cluster_file: Option<PathBuf>,
    /// File with the first operator key, which is granted once the cell is formed.
    pub operator_file: Option<PathBuf>,
    /// The cluster key as text, for daemons inside a test or demo process.
    #[serde(skip)]
    pub cluster: Option<String>,
    /// The operator key as text, for daemons inside a test or demo process.
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
    /// Interval between a leader's heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Shortest election timeout, in milliseconds. The longest is twice as long.
    pub election_ms: u64,
    /// Number of entries after which the log is compacted into a snapshot.
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

/// Limits on the requests and jobs of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BoundSettings {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Most requests of callers that are handled at once.
    pub requests: usize,
    /// Longest time a caller may take to send a request, in milliseconds.
    pub read_ms: u64,
    /// Longest time a drain waits for requests in flight, in milliseconds.
    pub drain_ms: u64,
    /// Default deadline of a service call, in milliseconds.
    pub call_ms: u64,
    /// Most jobs of all teams that are accepted and have not ended.
    pub jobs: usize,
    /// Memory of the process in megabytes. The limits on connections and on what requests hold follow from it.
    pub memory_mb: usize,
    /// Open descriptors of the process. The limit on connections follows from them, too.
    pub descriptors: usize,
    /// Longest time in milliseconds that a connection waits for a request.
    pub idle_ms: u64,
    /// Longest time in milliseconds in which a client takes nothing of an answer.
    pub write_ms: u64,
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
            memory_mb: 512,
            descriptors: 8_192,
            idle_ms: 60_000,
            write_ms: 10_000,
        }
    }
}

/// Log output.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Write JSON lines instead of text.
    pub json: bool,
    /// Filter directives such as `info` or `zinnia_raft=debug,info`.
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
    /// Limits on the clients of the HTTP server.
    pub(crate) fn client_limits(&self) -> Limits {
        /// Parts of the memory: one holds the connections, another one what requests hold.
        const PARTS: usize = 4;
        let bounds = &self.bounds;
        let process = ProcessLimits {
            memory: bounds.memory_mb.saturating_mul(1 << 20),
            descriptors: bounds.descriptors,
        };
        Limits {
            each: ConnectionLimits {
                head_time: Duration::from_millis(bounds.read_ms),
                idle_time: Duration::from_millis(bounds.idle_ms),
                body_time: Duration::from_millis(bounds.read_ms),
                write_time: Duration::from_millis(bounds.write_ms),
                ..ConnectionLimits::default()
            },
            ..Limits::share("http", &process, PARTS, bounds.body_bytes)
        }
    }

    /// Lists every problem of the settings; the list is empty when a daemon can start with them.
    pub fn check(&self) -> Vec<String> {
        let mut problems = self.client_limits().problems();
        let lease = &self.lease;
        if lease.owner_ms < 2 * lease.heartbeat_ms {
            problems.push("lease.owner_ms must be at least twice lease.heartbeat_ms".to_owned());
        }
        if lease.task_ms < lease.owner_ms {
            problems.push("lease.task_ms must be at least lease.owner_ms".to_owned());
        }
        if lease.vm_ms < 2 * lease.ping_ms {
            problems.push("lease.vm_ms must be at least twice lease.ping_ms".to_owned());
        }
        if lease.heartbeat_ms == 0 || lease.ping_ms == 0 {
            problems.push("lease.heartbeat_ms and lease.ping_ms must be above 0".to_owned());
        }
        if self.replication.election_ms < 2 * self.replication.heartbeat_ms {
            problems.push(
                "replication.election_ms must be at least twice replication.heartbeat_ms"
                    .to_owned(),
            );
        }
        if self.voters.contains(&self.peer) && self.data.is_none() {
            problems.push("a VM listed in voters needs a data folder in data".to_owned());
        }
        if !self.voters.is_empty() && self.voters.len().is_multiple_of(2) {
            problems.push("voters must list an odd number of VMs".to_owned());
        }
        if self.voters.is_empty() && self.seeds.is_empty() {
            problems.push("seeds or voters must name at least one peer address".to_owned());
        }
        if self.secrets.cluster.is_none() && self.secrets.cluster_file.is_none() {
            problems
                .push("secrets.cluster_file must name the file with the cluster key".to_owned());
        }
        problems
    }
}
