//! Membership management as in the daemon.

use zinnia_types::VmId;

use super::Simulation;
use super::member;
use crate::MembershipChange;

/// Time without a reply after which a voter is replaced, in milliseconds.
const REPLACE_SILENCE_MS: u64 = 6_000;

impl Simulation {
    /// Proposes the next membership change: adding a VM, promoting a caught-up learner or removing a
    /// silent voter.
    pub(crate) fn manage_members(&mut self) {
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
        let silent_voter = peers
            .iter()
            .find(|p| p.voter && p.silent_ms >= REPLACE_SILENCE_MS);
        let caught_up_learner = peers.iter().find(|p| !p.voter && p.caught_up);
        let mut running = self.running_vms().into_iter();
        let non_member = running.find(|id| members.get(*id).is_none());
        let voters = members.voters().count() as u64;
        let enough_voters = voters >= self.options.voters;
        // Remove a silent voter before promoting its replacement. With three voters, a fourth one
        // would raise the quorum to three, so that one further loss would stop the cell.
        match (silent_voter, caught_up_learner, non_member) {
            (Some(silent_voter), Some(_), _) if enough_voters => {
                Some(MembershipChange::Remove(silent_voter.id))
            }
            (_, Some(caught_up_learner), _) if !enough_voters => {
                Some(MembershipChange::Promote(caught_up_learner.id))
            }
            (_, _, Some(id)) => Some(MembershipChange::Add(member(id, false))),
            _ => None,
        }
    }
}
