//! Input events of a node.

use zinnia_types::VmId;

use crate::Data;
use crate::MembershipChange;
use crate::Message;

/// Command proposed for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// Id that identifies the proposal in its outcome. Unique among pending proposals.
    pub proposal_id: u64,
    /// Serialized command.
    pub data: Data,
}

/// Input of [`crate::Node::step`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time advanced. The shell sends at least four ticks per heartbeat interval.
    Tick,
    /// A message from another node arrived.
    Receive {
        /// Sender.
        from: VmId,
        /// Content.
        message: Message,
    },
    /// The caller proposes commands, which share one write.
    Propose(Vec<Proposal>),
    /// A [`crate::Action::Persist`] is synced, and all actions returned with it or earlier are
    /// performed. Later ones may still be in progress.
    Synced {
        /// Index of the last entry of the Persist, or 0 if it had none.
        index: u64,
    },
    /// The caller proposes a membership change. Only the leader accepts it.
    ChangeMembers {
        /// Id that identifies the proposal in its outcome. Unique among pending proposals.
        proposal_id: u64,
        /// Requested change.
        change: MembershipChange,
    },
    /// The caller provides a snapshot of the application state, so that the log can be compacted.
    Compact {
        /// Last entry that `data` covers. It must be applied.
        index: u64,
        /// Serialized application state.
        data: Data,
    },
}
