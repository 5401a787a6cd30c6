//! Actions that a node requests from its I/O shell.

use serde::Serialize;
use zinnia_types::VmId;

use crate::Entry;
use crate::HardState;
use crate::Message;
use crate::Snapshot;

/// Output of [`crate::Node::step`], to be performed in order.
///
/// If a write fails, the shell discards the remaining actions and the node. It creates a new node
/// from the store once the disk works again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Truncate the log, append entries, write the hard state, then sync, in this order.
    Persist {
        /// Hard state, if it changed.
        hard: Option<HardState>,
        /// First index to remove, if entries conflict with those of the leader.
        truncate: Option<u64>,
        /// Entries to append.
        entries: Vec<Entry>,
    },
    /// Save a snapshot of the local application state and remove the journal before it.
    SaveSnapshot {
        /// Snapshot.
        snapshot: Snapshot,
    },
    /// Save a snapshot received from the leader, then restore the application state from it.
    InstallSnapshot {
        /// Snapshot.
        snapshot: Snapshot,
    },
    /// Send a message. Delivery is not guaranteed.
    Send {
        /// Receiver.
        to: VmId,
        /// Content.
        message: Message,
    },
    /// Report that a proposal is committed at `index`. The [`Self::Apply`] with its entry follows.
    Committed {
        /// Id passed with the proposal.
        proposal_id: u64,
        /// Log index of the proposal.
        index: u64,
    },
    /// Apply committed entries in order. Entries without data only advance the index.
    Apply {
        /// Committed entries.
        entries: Vec<Entry>,
    },
    /// Report that a proposal is not in the log and will not be added.
    ///
    /// If the node cannot determine the outcome, it emits neither this nor [`Self::Committed`].
    Rejected {
        /// Id passed with the proposal.
        proposal_id: u64,
        /// Current leader, if known. The caller may forward the proposal to it.
        leader: Option<VmId>,
        /// Reason for the rejection.
        reason: RejectReason,
    },
    /// Report that the role, term or leader changed.
    RoleChanged {
        /// New role of this node.
        role: Role,
        /// Current term.
        term: u64,
        /// Current leader, if known.
        leader: Option<VmId>,
    },
}

impl Action {
    /// Whether the action may be performed before the writes of the same batch are synced, provided
    /// that role, term and vote do not change.
    ///
    /// The leader may send entries to its peers before its own sync completes, because it counts
    /// itself toward the quorum only after the sync. Committed entries are already on the disks of a
    /// quorum.
    pub fn may_precede_sync(&self) -> bool {
        match self {
            Self::Send { message, .. } => matches!(message, Message::Append(_)),
            Self::Committed { .. } | Self::Apply { .. } | Self::Rejected { .. } => true,
            Self::Persist { .. }
            | Self::SaveSnapshot { .. }
            | Self::InstallSnapshot { .. }
            | Self::RoleChanged { .. } => false,
        }
    }
}

/// Raft role of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Replicates the log without a vote.
    Learner,
    /// Replicates the log and votes.
    Follower,
    /// Asks the voters whether a campaign could succeed.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Leads the cell in the current term.
    Leader,
}

/// Why a proposal was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RejectReason {
    /// This node is not the leader.
    NotLeader,
    /// Too many entries are uncommitted. Retry later.
    Busy,
    /// The command exceeds [`crate::Settings::max_entry_bytes`].
    TooLarge,
    /// Another entry was committed at the index of the proposal.
    Overruled,
    /// An earlier membership change or the leader's first entry is uncommitted. Retry later.
    ChangePending,
    /// The membership change has no effect or leaves no voter.
    BadChange,
    /// The learner lags too far behind or does not respond.
    NotCaughtUp,
    /// No quorum of the new voters is reachable.
    NoQuorum,
}
