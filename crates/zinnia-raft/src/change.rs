//! Membership changes. At most one is uncommitted at a time.

use zinnia_types::VmId;

use crate::Members;
use crate::MembershipChange;
use crate::Node;
use crate::Payload;
use crate::RejectReason;
use crate::Role;
use crate::progress::Progress;
use crate::progress::ProgressState;

impl Node {
    /// Appends a membership change to the log or rejects it.
    pub(crate) fn on_change(&mut self, proposal_id: u64, change: MembershipChange) {
        match self.check_change(&change) {
            Ok(()) => self.on_propose(proposal_id, Payload::Change(change)),
            Err(reason) => self.output.reject(proposal_id, self.leader, reason),
        }
    }

    fn check_change(&self, change: &MembershipChange) -> Result<(), RejectReason> {
        if self.role != Role::Leader {
            return Err(RejectReason::NotLeader);
        }
        // The quorums before and after a change overlap only if the previous change is committed. A
        // new leader knows that only once it has committed an entry of its own term.
        if self.has_pending_change() || self.log.term(self.commit_index) != Some(self.term) {
            return Err(RejectReason::ChangePending);
        }
        let members = self.log.members();
        let Some(next) = members.with_change(change) else {
            return Err(RejectReason::BadChange);
        };
        if let MembershipChange::Promote(id) = change
            && !self.peers.get(id).is_some_and(|p| self.is_caught_up(p))
        {
            return Err(RejectReason::NotCaughtUp);
        }
        let same_voters = next.voters().eq(members.voters());
        if !same_voters && !self.has_live_quorum(&next) {
            return Err(RejectReason::NoQuorum);
        }
        Ok(())
    }

    fn has_live_quorum(&self, members: &Members) -> bool {
        let responsive = |id: &VmId| {
            *id == self.id || self.peers.get(id).is_some_and(|p| self.has_recent_reply(p))
        };
        members.voters().filter(responsive).count() >= members.quorum()
    }

    fn has_recent_reply(&self, peer: &Progress) -> bool {
        let is_recent = |at| self.now.since(at) < self.settings.election_min_ms;
        peer.last_acked.is_some_and(is_recent)
    }

    /// Whether a learner with this replication progress may become a voter.
    pub(crate) fn is_caught_up(&self, peer: &Progress) -> bool {
        let lag = self.commit_index.saturating_sub(peer.match_index);
        let replicating = matches!(peer.state, ProgressState::Replicate { .. });
        replicating && self.has_recent_reply(peer) && lag <= self.settings.promote_lag
    }
}
