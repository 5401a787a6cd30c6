//! Results of a step, before they are ordered into actions.

use zinnia_types::VmId;

use crate::Action;
use crate::Message;
use crate::RejectReason;
use crate::Snapshot;

/// Unordered results of one step.
#[derive(Debug, Default)]
pub(crate) struct Output {
    /// First log index truncated in this step.
    pub(crate) truncate: Option<u64>,
    /// Snapshot of the local application state.
    pub(crate) own_snapshot: Option<Snapshot>,
    /// Snapshot received from the leader.
    pub(crate) received_snapshot: Option<Snapshot>,
    /// Messages and rejections.
    actions: Vec<Action>,
}

impl Output {
    pub(crate) fn send(&mut self, to: VmId, message: Message) {
        self.actions.push(Action::Send { to, message });
    }

    pub(crate) fn reject(&mut self, proposal_id: u64, leader: Option<VmId>, reason: RejectReason) {
        self.actions.push(Action::Rejected {
            proposal_id,
            leader,
            reason,
        });
    }

    /// Records that the entries from index `from` on were removed.
    pub(crate) fn record_truncation(&mut self, from: u64) {
        self.truncate = Some(self.truncate.map_or(from, |first| first.min(from)));
    }

    pub(crate) fn into_actions(self) -> Vec<Action> {
        self.actions
    }
}
