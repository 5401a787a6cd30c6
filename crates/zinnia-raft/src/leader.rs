//! Replication, commit and lease of the leader.

use std::collections::BTreeMap;

use zinnia_types::Time;
use zinnia_types::VmId;

use crate::Append;
use crate::Entry;
use crate::Message;
use crate::Node;
use crate::Payload;
use crate::RejectReason;
use crate::Role;
use crate::progress::Flow;
use crate::progress::Progress;

impl Node {
    /// Takes the lead of the current term.
    pub(crate) fn lead(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.votes.clear();
        self.since = self.now;
        self.beat = self.now.after(self.settings.heartbeat_ms);
        self.persisting = false;
        self.peers = BTreeMap::new();
        self.add_peers();
        self.push(Payload::Noop);
    }

    fn push(&mut self, payload: Payload) -> u64 {
        let index = self.log.last() + 1;
        self.log.push(Entry {
            index,
            term: self.term,
            payload,
        });
        index
    }

    /// Begins to track members that are not tracked yet.
    fn add_peers(&mut self) {
        let next = self.log.last() + 1;
        for member in self.log.members().iter().filter(|m| m.id != self.id) {
            self.peers
                .entry(member.id)
                .or_insert_with(|| Progress::new(next, self.now));
        }
    }

    /// Appends a proposal or rejects it.
    pub(crate) fn on_propose(&mut self, proposal_id: u64, payload: Payload) {
        let size = match &payload {
            Payload::Data(data) => data.len(),
            Payload::Noop | Payload::Change(_) => 0,
        };
        let refusal = if self.role != Role::Leader {
            Some(RejectReason::NotLeader)
        } else if size > self.settings.message_bytes {
            Some(RejectReason::TooLarge)
        } else if self.log.last() - self.commit >= self.settings.backlog {
            Some(RejectReason::Busy)
        } else {
            None
        };
        if let Some(reason) = refusal {
            self.out.reject(proposal_id, self.leader, reason);
            return;
        }
        let index = self.push(payload);
        self.open.insert(index, (self.term, proposal_id));
        self.add_peers();
    }

    /// Notes that `from` answered a message of the current term that was sent at `sent`.
    pub(crate) fn answered(&mut self, from: VmId, term: u64, sent: u64) -> Option<&mut Progress> {
        if term > self.term {
            self.follow(term, None);
        }
        if self.role != Role::Leader || term != self.term {
            return None;
        }
        let peer = self.peers.get_mut(&from)?;
        peer.acked = peer.acked.max(Some(Time(sent).min(self.now)));
        peer.heard = self.now;
        Some(peer)
    }

    /// The `n`-th largest of the voters' values, where `n` is the quorum.
    fn quorum_of<T: Ord + Copy>(&self, own: T, of: impl Fn(&Progress) -> Option<T>) -> Option<T> {
        let value = |id: VmId| match self.peers.get(&id) {
            Some(peer) => of(peer),
            None if id == self.id => Some(own),
            None => None,
        };
        let members = self.log.members();
        let mut values: Vec<T> = members.voters().filter_map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(members.quorum() - 1).copied()
    }

    /// Latest time such that a quorum answered messages sent at or after it.
    pub(crate) fn quorum_sent(&self, now: Time) -> Option<Time> {
        self.quorum_of(now, |peer| peer.acked)
    }

    /// Commits what a quorum has synced.
    pub(crate) fn advance(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let Some(index) = self.quorum_of(self.log.synced(), |peer| Some(peer.matched)) else {
            return;
        };
        // Entries of earlier terms commit only along with one of the own term: a later leader could
        // still overrule them otherwise.
        if index > self.commit && self.log.term(index) == Some(self.term) {
            self.commit = index;
        }
    }

    /// Steps down without quorum contact, else sends heartbeats that are due.
    pub(crate) fn on_leader_tick(&mut self) {
        let contact = self.quorum_sent(self.now).unwrap_or(self.since);
        if self.now.since(contact.max(self.since)) >= self.settings.election_min_ms {
            self.follow(self.term, None);
            return;
        }
        if self.now < self.beat {
            return;
        }
        self.beat = self.now.after(self.settings.heartbeat_ms);
        let ids: Vec<VmId> = self.peers.keys().copied().collect();
        for id in ids {
            self.heartbeat(id);
        }
    }

    fn heartbeat(&mut self, id: VmId) {
        let resend_ms = 4 * self.settings.heartbeat_ms;
        let now = self.now;
        let Some(peer) = self.peers.get_mut(&id) else {
            return;
        };
        let prev = match &mut peer.flow {
            Flow::Probe { waiting } => {
                *waiting = false;
                return;
            }
            Flow::Stream { .. } => peer.next - 1,
            Flow::Transfer { sent_at, .. } => {
                if sent_at.is_some_and(|at| now.since(at) >= resend_ms) {
                    *sent_at = None;
                }
                0
            }
        };
        self.send_append(id, prev, Vec::new());
    }

    /// Sends `entries` after `prev`; after index 0, which always matches, when `prev` is compacted.
    pub(crate) fn send_append(&mut self, id: VmId, prev: u64, entries: Vec<Entry>) {
        let (prev, prev_term) = match self.log.term(prev) {
            Some(term) => (prev, term),
            None => (0, 0),
        };
        let append = Append {
            term: self.term,
            prev,
            prev_term,
            entries,
            commit: self.commit,
            sent: self.now.0,
            age: self.age(),
        };
        if let Some(peer) = self.peers.get_mut(&id) {
            let last = prev + append.entries.len() as u64;
            peer.sent_at = self.now;
            peer.commit_sent = peer.commit_sent.max(self.commit.min(last));
            self.out.send(id, Message::Append(append));
        }
    }

    /// Milliseconds since the quorum was heard from.
    pub(crate) fn age(&self) -> u64 {
        match self.quorum_sent(self.now) {
            Some(at) => self.now.since(at),
            None => u64::MAX,
        }
    }

    /// Sends every peer what its flow allows.
    pub(crate) fn replicate(&mut self) {
        let ids: Vec<VmId> = self.peers.keys().copied().collect();
        for id in ids {
            self.replicate_to(id);
        }
        self.drop_removed();
    }

    fn replicate_to(&mut self, id: VmId) {
        while let Some(batch) = self.next_batch(id) {
            self.send_append(id, batch.prev, batch.entries);
        }
        self.send_chunk(id);
        self.send_commit(id);
    }

    /// What to append at `id` now, with its progress advanced accordingly.
    fn next_batch(&mut self, id: VmId) -> Option<Batch> {
        let settings = &self.settings;
        let votes = self.log.members().is_voter(id);
        let peer = self.peers.get_mut(&id)?;
        let early = |at: Time| self.now.since(at) < settings.learner_interval_ms;
        let paced = !votes && peer.batch_at.is_some_and(early);
        let prev = peer.next - 1;
        let held = self.log.term(prev).is_some();
        let alive = self.now.since(peer.heard) < settings.election_min_ms;
        match &mut peer.flow {
            Flow::Probe { waiting: true } | Flow::Transfer { .. } => None,
            // A snapshot goes only to a peer that answers, since a dead one would cost its size
            // over and over.
            Flow::Probe { .. } | Flow::Stream { .. } if !held && alive => {
                peer.flow = Flow::Transfer {
                    snapshot: self.log.snapshot().clone(),
                    offset: 0,
                    sent_at: None,
                };
                None
            }
            Flow::Probe { waiting } => {
                *waiting = true;
                Some(Batch {
                    prev,
                    entries: Vec::new(),
                })
            }
            Flow::Stream { sent } => {
                if sent.len() >= settings.window || !held || paced {
                    return None;
                }
                let to = self.log.emitted();
                let entries = self.log.slice(peer.next, to, settings.message_bytes);
                let last = entries.last()?.index;
                sent.push_back(last);
                peer.next = last + 1;
                peer.batch_at = Some(self.now);
                Some(Batch { prev, entries })
            }
        }
    }

    /// Tells a peer the commit index ahead of the next heartbeat.
    fn send_commit(&mut self, id: VmId) {
        let Some(peer) = self.peers.get(&id) else {
            return;
        };
        let matched = peer.matched;
        let news = peer.commit_sent < self.commit.min(matched);
        let due = self.now.since(peer.sent_at) >= self.settings.commit_interval_ms;
        let alive = self.now.since(peer.heard) < self.settings.election_min_ms;
        if news && due && alive && self.log.term(matched).is_some() {
            self.send_append(id, matched, Vec::new());
        }
    }

    /// Once a removal is committed, tells the removed member and forgets it; a leader that removed
    /// itself steps down.
    fn drop_removed(&mut self) {
        if self.has_pending_change() {
            return;
        }
        let members = self.log.members();
        let removed = |id: &VmId| members.get(*id).is_none();
        let gone: Vec<VmId> = self
            .peers
            .keys()
            .copied()
            .filter(|id| removed(id))
            .collect();
        let leaving = !members.is_voter(self.id);
        for id in gone {
            let prev = self.peers.get(&id).map_or(0, |peer| peer.next - 1);
            self.send_append(id, prev, Vec::new());
            self.peers.remove(&id);
        }
        if leaving {
            let ids: Vec<VmId> = self.peers.keys().copied().collect();
            for id in ids {
                self.heartbeat(id);
            }
            self.follow(self.term, None);
        }
    }
}

/// Entries after `prev`, for one message.
struct Batch {
    prev: u64,
    entries: Vec<Entry>,
}
