//! Elections: pre-votes and votes.

use zinnia_types::VmId;

use crate::Message;
use crate::Node;
use crate::Role;

impl Node {
    /// Starts a pre-vote if this node is a voter.
    pub(crate) fn on_election_timeout(&mut self) {
        if !self.log.members().is_voter(self.id) {
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.request_votes();
    }

    /// Votes for itself and requests the pre-votes or votes of the other voters.
    fn request_votes(&mut self) {
        self.reset_election_timer();
        self.votes.clear();
        self.votes.insert(self.id);
        if self.has_vote_quorum() {
            self.on_election_won();
            return;
        }
        let last = self.log.last_index();
        let last_term = self.log.last_term();
        let message = if self.role == Role::PreCandidate {
            Message::PreVote {
                term: self.term + 1,
                last,
                last_term,
            }
        } else {
            Message::Vote {
                term: self.term,
                last,
                last_term,
            }
        };
        for id in self.log.members().voters().filter(|id| *id != self.id) {
            self.output.send(id, message.clone());
        }
    }

    fn has_vote_quorum(&self) -> bool {
        let members = self.log.members();
        let votes = self.votes.iter().filter(|id| members.is_voter(**id));
        votes.count() >= members.quorum()
    }

    fn on_election_won(&mut self) {
        if self.role == Role::Candidate {
            self.become_leader();
            return;
        }
        self.role = Role::Candidate;
        self.term += 1;
        self.vote = Some(self.id);
        self.request_votes();
    }

    /// Whether the lease of a leader may still be valid.
    fn has_recent_leader(&self) -> bool {
        self.role == Role::Leader
            || self.now.since(self.leader_contact) < self.settings.election_min_ms
    }

    fn is_up_to_date(&self, last: (u64, u64)) -> bool {
        last >= (self.log.last_term(), self.log.last_index())
    }

    /// Replies to a pre-vote. `last` is the term and index of the candidate's last entry.
    pub(crate) fn on_pre_vote(&mut self, from: VmId, term: u64, last: (u64, u64)) {
        let vote_available =
            term > self.term || (term == self.term && self.vote.is_none_or(|vote| vote == from));
        let granted = vote_available && !self.has_recent_leader() && self.is_up_to_date(last);
        let reply = Message::VoteReply {
            term: if granted { term } else { self.term },
            pre: true,
            granted,
        };
        self.output.send(from, reply);
    }

    /// Replies to a vote request. `last` is the term and index of the candidate's last entry.
    pub(crate) fn on_vote(&mut self, from: VmId, term: u64, last: (u64, u64)) {
        // Ignore the request and its term, so that a removed or isolated voter cannot depose a leader
        // that has a quorum.
        if self.has_recent_leader() {
            return;
        }
        if term > self.term {
            self.become_follower(term, None);
        }
        let vote_available = self.vote.is_none_or(|vote| vote == from);
        let granted = term == self.term && vote_available && self.is_up_to_date(last);
        if granted {
            self.vote = Some(from);
            self.reset_election_timer();
        }
        let reply = Message::VoteReply {
            term: self.term,
            pre: false,
            granted,
        };
        self.output.send(from, reply);
    }

    pub(crate) fn on_vote_reply(&mut self, from: VmId, term: u64, pre: bool, granted: bool) {
        if !granted {
            if term > self.term {
                self.become_follower(term, None);
            }
            return;
        }
        let expected_term = match (self.role, pre) {
            (Role::PreCandidate, true) => self.term + 1,
            (Role::Candidate, false) => self.term,
            _ => return,
        };
        if term != expected_term {
            return;
        }
        self.votes.insert(from);
        if self.has_vote_quorum() {
            self.on_election_won();
        }
    }
}
