//! One VM of a simulated cell.

use std::collections::VecDeque;

use super::SimDisk;
use crate::Action;
use crate::Event;
use crate::Node;
use crate::Snapshot;

/// A node with its disk, its application and an I/O shell that may lag behind.
#[derive(Debug, Default)]
pub struct SimVm {
    /// Node, while the process runs.
    pub node: Option<Node>,
    /// SimDisk.
    pub disk: SimDisk,
    /// Last index applied.
    pub applied_index: u64,
    /// The process stands still until this time.
    pub paused_until: u64,
    /// The disk was wiped; the id never comes back.
    pub wiped: bool,
    /// Hash over everything applied.
    pub(crate) state_hash: u64,
    /// Events that the node has not taken in.
    pub(crate) inbox: Vec<Event>,
    /// Actions that the shell has not performed.
    pub(crate) pending_actions: VecDeque<Action>,
    /// Last entry persisted.
    pub(crate) last_persisted: u64,
    /// What the shell has to report as synced.
    pub(crate) unreported_sync: Option<u64>,
}

impl SimVm {
    /// Replaces the application's state by that of a snapshot.
    pub(crate) fn restore(&mut self, snapshot: Option<&Snapshot>) {
        let (index, data) = snapshot.map_or((0, ""), |s| (s.index, s.data.as_str()));
        let state = data.split('.').next().map(str::parse);
        self.applied_index = index;
        self.state_hash = state.and_then(Result::ok).unwrap_or(0);
    }

    /// State as snapshot data; the trailing part makes it span several chunks.
    pub(crate) fn snapshot_data(&self) -> String {
        format!("{}.{}", self.state_hash, "é".repeat(40))
    }

    /// Applies data; its order matters for the state.
    pub(crate) fn apply(&mut self, data: &str) {
        const ENTRY_SEED: u64 = 0x9e37;
        const FNV_PRIME: u64 = 0x0100_0000_01b3;
        let mix = |state: u64, byte| (state ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        self.state_hash = data.bytes().fold(self.state_hash ^ ENTRY_SEED, mix);
    }

    /// Ends the process; what the shell had not performed is lost.
    pub(crate) fn stop(&mut self) {
        self.node = None;
        self.pending_actions.clear();
        self.inbox.clear();
        self.unreported_sync = None;
        self.last_persisted = 0;
    }
}
