//! What a node asks of its I/O shell.

use serde::Serialize;
use zinnia_types::VmId;

use crate::Entry;
use crate::HardState;
use crate::Message;
use crate::Snapshot;

/// Output of [`crate::Node::step`], performed in order.
///
/// When a write fails, the shell drops the remaining actions and the node, and builds a new node
/// from the store once the disk works again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write in the order truncate, entries, hard state, then sync.
    Persist {
        /// Hard state, when it changed.
        hard: Option<HardState>,
        /// First index to remove, when entries were overruled.
        truncate: Option<u64>,
        /// Entries to add.
        entries: Vec<Entry>,
    },
    /// Save a snapshot of the application's own state and drop the journal before it.
    SaveSnapshot {
        /// Snapshot.
        snapshot: Snapshot,
    },
    /// Save a snapshot received from the leader, then restore the application from it.
    InstallSnapshot {
        /// Snapshot.
        snapshot: Snapshot,
    },
    /// Send a message; it may be lost.
    Send {
        /// Receiver.
        to: VmId,
        /// Content.
        message: Message,
    },
    /// A proposal is committed at `index`; the [`Self::Apply`] that holds it follows.
    Committed {
        /// Number given with the proposal.
        proposal_id: u64,
        /// Its index.
        index: u64,
    },
    /// Apply committed entries in order; those without data only advance the index.
    Apply {
        /// Committed entries.
        entries: Vec<Entry>,
    },
    /// A proposal is not in the log and never will be.
    ///
    /// A proposal whose outcome the node cannot know gets neither this nor [`Self::Committed`].
    Rejected {
        /// Number given with the proposal.
        proposal_id: u64,
        /// Current leader, if known, to which the caller may forward.
        leader: Option<VmId>,
        /// Reason.
        reason: RejectReason,
    },
    /// Role, term or leader changed.
    RoleChanged {
        /// Own role.
        role: Role,
        /// Current term.
        term: u64,
        /// Current leader, if known.
        leader: Option<VmId>,
    },
}

impl Action {
    /// Whether the action may be performed before the writes of the same pass are synced, while role,
    /// term and vote stay as they are.
    ///
    /// The leader's entries may reach the others while its own disk still works on them, since it
    /// counts itself only after the sync; what is committed is on the disks of a quorum already.
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

/// Role of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Follows the leader without a vote in the quorum.
    Learner,
    /// Follows the leader.
    Follower,
    /// Asks whether a campaign could succeed.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads the term.
    Leader,
}

/// Why a proposal was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RejectReason {
    /// This node is not the leader.
    NotLeader,
    /// Too much is not committed yet; retry later.
    Busy,
    /// The command is larger than the settings allow.
    TooLarge,
    /// Another entry was committed in its place.
    Overruled,
    /// An earlier change, or the leader's first entry, is not committed yet; retry later.
    ChangePending,
    /// The change changes nothing or leaves no voter.
    BadChange,
    /// The learner is not caught up.
    NotCaughtUp,
    /// Too few of the voters after the change can be reached.
    NoQuorum,
}
