//! Changes of the members as the daemon makes them.

use zinnia_types::VmId;

use super::World;
use super::member;
use crate::MembershipChange;

/// Silence after which a voter is replaced, in milliseconds.
const REPLACE_MS: u64 = 6_000;

impl World {
    /// Adds VMs, promotes caught-up learners and removes lost voters, one change at a time.
    pub(crate) fn repair(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        if let Some(change) = self.next_change(leader) {
            self.change(leader, change);
        }
    }

    fn next_change(&self, leader: VmId) -> Option<MembershipChange> {
        let node = self.node(leader)?;
        let members = node.members();
        let peers = node.peers();
        let lost = peers.iter().find(|p| p.voter && p.silent_ms >= REPLACE_MS);
        let ready = peers.iter().find(|p| !p.voter && p.caught_up);
        let mut live = self.live().into_iter();
        let joining = live.find(|id| members.get(*id).is_none());
        let voters = members.voters().count() as u64;
        let full = voters >= self.options.voters;
        // A lost voter goes before its replacement comes: a fourth voter would raise the quorum from
        // two to three, and the loss of any one of them would then stop the cell.
        match (lost, ready, joining) {
            (Some(lost), Some(_), _) if full => Some(MembershipChange::Remove(lost.id)),
            (_, Some(ready), _) if !full => Some(MembershipChange::Promote(ready.id)),
            (_, _, Some(id)) => Some(MembershipChange::Add(member(id, false))),
            _ => None,
        }
    }
}
