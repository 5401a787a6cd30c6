//! What happens to a node.

use zinnia_types::VmId;

use crate::Data;
use crate::MembershipChange;
use crate::Message;

/// A command for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// Number by which the caller recognises the outcome; unique while it is open.
    pub proposal_id: u64,
    /// Command.
    pub data: Data,
}

/// Input of [`crate::Node::step`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time passed; due at least four times per heartbeat interval.
    Tick,
    /// A message arrived.
    Receive {
        /// Sender.
        from: VmId,
        /// Content.
        message: Message,
    },
    /// Commands for the log, which share one write.
    Propose(Vec<Proposal>),
    /// Every action returned so far has been performed, a [`crate::Action::Persist`] among them.
    Synced {
        /// Last entry that any of them persisted; 0 when none had entries.
        index: u64,
    },
    /// A change of the members, for the leader only.
    ChangeMembers {
        /// Number by which the caller recognises the outcome; unique while it is open.
        proposal_id: u64,
        /// MembershipChange.
        change: MembershipChange,
    },
    /// The application state after the entry at `index`; entries up to it may be dropped.
    Compact {
        /// Last entry that `data` covers; it must have been applied.
        index: u64,
        /// Application state.
        data: Data,
    },
}
