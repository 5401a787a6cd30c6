//! Settings of a process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use zinnia_plan::AdmissionSettings;
use zinnia_store::StoreOptions;
use zinnia_types::VmId;

use crate::heartbeat_relay::fnv1a;

/// Maximum size of a message between processes. The encoding of a message escapes the text of a log
/// entry, which makes it up to twice as long.
const MAX_MESSAGE_BYTES: u32 = 24 << 20;

/// Maximum number of connections from other processes. Each process of a cell has one to the leader.
const MAX_PEER_CONNECTIONS: u32 = 2_048;

/// Settings of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of this process for the other processes (peer address).
    pub peer_addr: SocketAddr,
    /// Listening address for the other processes, if it differs from `peer_addr`.
    pub bind_addr: Option<SocketAddr>,
    /// Address of this process for workers and operators; empty if it serves neither.
    pub control_addr: String,
    /// Peer addresses of some members of the log.
    pub seeds: Vec<String>,
    /// Folder for the log; a process without one is not a member.
    pub data_dir: Option<PathBuf>,
    /// Options of the store in the data folder.
    pub store: StoreOptions,
    /// Whether the seeds form a new cell if there is no log yet.
    pub bootstrap: bool,
    /// Desired number of voters.
    pub voters: usize,
    /// Key that all processes of the cell share.
    pub cluster_key: String,
    /// Heartbeat interval of the log.
    pub heartbeat_ms: u64,
    /// Minimum and maximum election timeout.
    pub election_ms: (u64, u64),
    /// Number of entries between two snapshots.
    pub compact_entries: u64,
    /// Time without a message after which a voter is replaced, if a learner is ready. An election and a write to
    /// a slow disk take less.
    pub replace_ms: u64,
    /// Maximum delay of a read of a job that may end soon.
    pub read_wait_ms: u64,
    /// Number of workers above which the other members receive the heartbeats for the leader.
    pub max_direct_workers: usize,
    /// Limits of what the leader takes in.
    pub admission: AdmissionSettings,
    /// Tasks and steps of all open large jobs above which further ones are refused.
    pub max_open_tasks: usize,
    /// Bytes of the large messages of callers that the leader handles at once.
    pub max_open_bytes: usize,
    /// Settings of the leader's decisions.
    pub plan: zinnia_plan::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            peer_addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            bind_addr: None,
            control_addr: String::new(),
            seeds: Vec::new(),
            data_dir: None,
            // A loss of power may tear unsynced writes.
            store: StoreOptions {
                torn_writes: true,
                ..StoreOptions::default()
            },
            bootstrap: false,
            voters: 3,
            cluster_key: String::new(),
            heartbeat_ms: 80,
            election_ms: (400, 700),
            compact_entries: 4_000,
            replace_ms: 1_000,
            read_wait_ms: 150,
            max_direct_workers: 800,
            admission: AdmissionSettings::default(),
            max_open_tasks: 400_000,
            max_open_bytes: 24 << 20,
            plan: zinnia_plan::Settings::default(),
        }
    }
}

impl Settings {
    /// Largest number of voters, with members beyond those that are needed.
    pub(crate) fn max_voters(&self) -> usize {
        (2 * self.voters).saturating_sub(1)
    }

    /// Length of the leader lease: how long the leader may answer reads after it last heard from a
    /// quorum.
    pub(crate) fn leader_lease_ms(&self) -> u64 {
        self.election_ms.0 * 3 / 4
    }

    /// Settings of the connections between processes.
    pub(crate) fn link_settings(&self) -> anyhow::Result<zinnia_peer::Settings> {
        let key = zinnia_peer::ClusterKey::new(&self.cluster_key)?;
        Ok(zinnia_peer::Settings {
            addr: self.peer_addr.to_string(),
            call_timeout: Duration::from_secs(1),
            connect_timeout: Duration::from_millis(500),
            max_connections: MAX_PEER_CONNECTIONS,
            max_message: MAX_MESSAGE_BYTES,
            backoff: zinnia_peer::Backoff {
                initial: Duration::from_millis(20),
                max: Duration::from_millis(300),
            },
            ping: zinnia_peer::PingSettings {
                interval: Duration::from_millis(1_000),
                timeout: Duration::from_millis(2_500),
            },
            ..zinnia_peer::Settings::new(key)
        })
    }

    /// Returns the id of a founding member. It is the FNV-1a hash of the address, so that all
    /// seeds compute the same members without communication.
    pub(crate) fn founder_id(addr: &str) -> VmId {
        VmId(fnv1a(addr.bytes()))
    }
}
