//! VM of a simulated cell.

use std::collections::VecDeque;

use zinnia_types::Time;

use super::SimDisk;
use crate::Action;
use crate::Event;
use crate::Node;
use crate::Snapshot;

/// Node with its disk, its application state and an I/O shell that may lag behind.
#[derive(Debug, Default)]
pub struct SimVm {
    /// Raft node, if the process is running.
    pub node: Option<Node>,
    /// Disk of the VM.
    pub disk: SimDisk,
    /// Last applied index.
    pub applied_index: u64,
    /// Time in milliseconds until which the process is paused.
    pub paused_until: u64,
    /// Whether the disk was wiped. The VM id is not used again.
    pub wiped: bool,
    /// Hash of all applied data, used as the application state.
    pub(crate) state_hash: u64,
    /// Events that the node has not processed.
    pub(crate) inbox: Vec<Event>,
    /// What the I/O shell has not performed.
    pub(crate) pending_steps: VecDeque<ShellStep>,
    /// Index of the last persisted entry.
    pub(crate) last_persisted: u64,
}

/// Step that the I/O shell performs in order.
#[derive(Clone, Debug)]
pub(crate) enum ShellStep {
    Perform(Action),
    /// Report to the node that the Persist before it is synced.
    ReportSync,
}

impl SimVm {
    /// Processes an event and queues the resulting actions, followed by the report of their sync.
    pub(crate) fn step_node(&mut self, event: Event, now: Time) {
        let Some(node) = &mut self.node else {
            return;
        };
        let actions = node.step(event, now);
        let persists = actions.iter().any(|a| matches!(a, Action::Persist { .. }));
        let steps = actions.into_iter().map(ShellStep::Perform);
        self.pending_steps.extend(steps);
        if persists {
            self.pending_steps.push_back(ShellStep::ReportSync);
        }
    }

    /// Replaces the application state with that of a snapshot.
    pub(crate) fn restore(&mut self, snapshot: Option<&Snapshot>) {
        let (index, data) = snapshot.map_or((0, ""), |s| (s.index, s.data.as_str()));
        let state = data.split('.').next().map(str::parse);
        self.applied_index = index;
        self.state_hash = state.and_then(Result::ok).unwrap_or(0);
    }

    /// Application state as snapshot data, padded so that it spans several chunks. The padding uses
    /// multi-byte characters to test chunk boundaries.
    pub(crate) fn snapshot_data(&self) -> String {
        format!("{}.{}", self.state_hash, "é".repeat(40))
    }

    /// Applies data. The resulting hash depends on the order of the data.
    pub(crate) fn apply(&mut self, data: &str) {
        const ENTRY_SEED: u64 = 0x9e37;
        const FNV_PRIME: u64 = 0x0100_0000_01b3;
        let mix = |state: u64, byte| (state ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        self.state_hash = data.bytes().fold(self.state_hash ^ ENTRY_SEED, mix);
    }

    /// Stops the process and discards its events and pending actions.
    pub(crate) fn stop(&mut self) {
        self.node = None;
        self.pending_steps.clear();
        self.inbox.clear();
        self.last_persisted = 0;
    }
}
