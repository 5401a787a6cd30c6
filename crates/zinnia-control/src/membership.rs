//! Decides on the next change of the membership of the log.
//!
//! A voter that is gone for good counts toward the quorum until it is removed. Until then the cell tolerates one
//! loss less, and it can be removed only while there is a quorum. So a voter that shuts down hands its vote over
//! before, one that is silent is replaced as soon as a learner can take its place, and learners beyond one become
//! voters in pairs, so that as many voters may disappear at once.

use std::collections::BTreeSet;

use zinnia_raft::Member;
use zinnia_raft::Members;
use zinnia_raft::MembershipChange;
use zinnia_raft::PeerStatus;
use zinnia_types::VmId;

use crate::Settings;

/// What the leader knows of the members.
#[derive(Clone, Copy, Debug)]
pub struct Membership<'a> {
    /// Members without a pending change.
    pub members: &'a Members,
    /// Replication status of the other members.
    pub peers: &'a [PeerStatus],
    /// Id of the leader.
    pub own: VmId,
    /// Members that are about to shut down.
    pub leaving: &'a BTreeSet<VmId>,
}

impl Membership<'_> {
    /// Returns the next change that is needed, if any.
    pub fn next_change(&self, settings: &Settings) -> Option<MembershipChange> {
        self.update_own_address(settings)
            .or_else(|| self.remove_lost_disk(settings))
            .or_else(|| self.fill_vacancy(settings))
            .or_else(|| self.replace_silent(settings))
            .or_else(|| self.replace_leaving(settings))
            .or_else(|| self.add_voter(settings))
    }

    /// Whether a member that is about to shut down should wait, since another one can take over its vote.
    pub fn can_hand_over(&self, id: VmId, settings: &Settings) -> bool {
        let is_responsive = |p: &PeerStatus| p.silent_ms <= settings.election_ms.1;
        let mut others = self.peers.iter().filter(|p| !p.voter);
        let has_successor = others.any(|p| is_responsive(p) && !self.leaving.contains(&p.id));
        self.members.is_voter(id) && (has_successor || self.voters() > settings.voters)
    }

    fn voters(&self) -> usize {
        self.members.voters().count()
    }

    fn update_own_address(&self, settings: &Settings) -> Option<MembershipChange> {
        let own = self.members.get(self.own)?;
        (own.http != settings.control_addr).then(|| {
            MembershipChange::Add(Member {
                http: settings.control_addr.clone(),
                ..own.clone()
            })
        })
    }

    /// Of two members with the same address, the silent one has lost its disk.
    fn remove_lost_disk(&self, settings: &Settings) -> Option<MembershipChange> {
        let addr = |id: VmId| self.members.get(id).map(|m| m.peer.as_str());
        let is_replaced = |p: &&PeerStatus| {
            let mut others = self.peers.iter().filter(|q| q.id != p.id);
            let has_successor =
                others.any(|q| addr(q.id) == addr(p.id) && q.silent_ms < p.silent_ms);
            has_successor && p.silent_ms > settings.election_ms.1
        };
        let lost = self.peers.iter().find(is_replaced)?;
        Some(MembershipChange::Remove(lost.id))
    }

    /// Learners that can become voters.
    fn successors(&self) -> impl Iterator<Item = VmId> {
        let ready = |p: &&PeerStatus| !p.voter && p.caught_up && !self.leaving.contains(&p.id);
        self.peers.iter().filter(ready).map(|p| p.id)
    }

    /// Promotes a learner if there are fewer voters than needed.
    fn fill_vacancy(&self, settings: &Settings) -> Option<MembershipChange> {
        let has_vacancy = self.voters() < settings.voters;
        let successor = self.successors().next().filter(|_| has_vacancy)?;
        Some(MembershipChange::Promote(successor))
    }

    /// Removes a voter that is gone, if others can do without it.
    ///
    /// It is removed before its successor is promoted: with three voters, a fourth one would raise the quorum
    /// to three, so that one further loss would stop the cell.
    fn replace_silent(&self, settings: &Settings) -> Option<MembershipChange> {
        let is_silent = |p: &&PeerStatus| p.voter && p.silent_ms > settings.replace_ms;
        let silent = self.peers.iter().find(is_silent)?;
        let has_successor = self.voters() == settings.voters && self.successors().next().is_some();
        let is_dispensable = self.voters() > settings.voters || has_successor;
        is_dispensable.then_some(MembershipChange::Remove(silent.id))
    }

    /// Replaces a voter that is about to shut down. Its successor is promoted first, so that the cell tolerates
    /// a loss at any moment. The leader is replaced last.
    fn replace_leaving(&self, settings: &Settings) -> Option<MembershipChange> {
        let leaving = || {
            let voters = self.members.voters();
            voters.filter(|id| self.leaving.contains(id))
        };
        let next = leaving()
            .find(|id| *id != self.own)
            .or_else(|| leaving().next())?;
        if self.voters() > settings.voters {
            return Some(MembershipChange::Remove(next));
        }
        self.successors().next().map(MembershipChange::Promote)
    }

    /// Adds voters in pairs while all of them answer: an even number tolerates no more losses than one less.
    fn add_voter(&self, settings: &Settings) -> Option<MembershipChange> {
        let voters = self.voters();
        let is_quiet = |p: &PeerStatus| p.voter && p.silent_ms > settings.election_ms.1;
        if self.peers.iter().any(is_quiet) {
            return None;
        }
        let completes_pair = voters > settings.voters && voters.is_multiple_of(2);
        let fits = voters + 2 <= settings.max_voters();
        let needed = if completes_pair { 1 } else { 2 };
        let successors: Vec<VmId> = self.successors().take(needed).collect();
        let may_add = (completes_pair || fits) && successors.len() == needed;
        successors
            .first()
            .filter(|_| may_add)
            .copied()
            .map(MembershipChange::Promote)
    }
}
