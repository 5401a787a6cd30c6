//! What a step has produced so far, before it is put in order.

use zinnia_types::VmId;

use crate::Action;
use crate::Message;
use crate::RejectReason;
use crate::Snapshot;

/// Parts of the result of one step.
#[derive(Debug, Default)]
pub(crate) struct Output {
    /// First index overruled in this step.
    pub(crate) truncate: Option<u64>,
    /// Own snapshot.
    pub(crate) own_snapshot: Option<Snapshot>,
    /// Snapshot received.
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

    /// Notes that entries from `from` on were overruled.
    pub(crate) fn record_truncation(&mut self, from: u64) {
        self.truncate = Some(self.truncate.map_or(from, |first| first.min(from)));
    }

    pub(crate) fn into_actions(self) -> Vec<Action> {
        self.actions
    }
}
