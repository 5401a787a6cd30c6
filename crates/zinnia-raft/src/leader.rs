//! Leader: replication, commit index and quorum contact.

use std::collections::BTreeMap;

use zinnia_types::Time;
use zinnia_types::VmId;

use crate::AppendEntries;
use crate::Entry;
use crate::Message;
use crate::Node;
use crate::Payload;
use crate::RejectReason;
use crate::Role;
use crate::progress::Progress;
use crate::progress::ProgressState;

impl Node {
    /// Becomes the leader of the current term and appends its first entry.
    pub(crate) fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.votes.clear();
        self.last_tick = self.now;
        self.resumed_at = self.now;
        self.next_heartbeat = self.now.after(self.settings.heartbeat_ms);
        self.awaiting_sync = None;
        self.peers = BTreeMap::new();
        self.track_members();
        self.append_entry(Payload::Noop);
    }

    fn append_entry(&mut self, payload: Payload) -> u64 {
        let index = self.log.last_index() + 1;
        self.log.push(Entry {
            index,
            term: self.term,
            payload,
        });
        index
    }

    /// Creates progress records for members that have none.
    fn track_members(&mut self) {
        let next = self.log.last_index() + 1;
        for member in self.log.members().iter().filter(|m| m.id != self.id) {
            self.peers
                .entry(member.id)
                .or_insert_with(|| Progress::new(next, self.now));
        }
    }

    /// Appends a proposal to the log or rejects it.
    pub(crate) fn on_propose(&mut self, proposal_id: u64, payload: Payload) {
        let size = match &payload {
            Payload::Data(data) => data.len(),
            Payload::Noop | Payload::Change(_) => 0,
        };
        let rejection = if self.role != Role::Leader {
            Some(RejectReason::NotLeader)
        } else if size > self.settings.max_entry_bytes {
            Some(RejectReason::TooLarge)
        } else if self.log.last_index() - self.commit_index >= self.settings.max_uncommitted {
            Some(RejectReason::Busy)
        } else {
            None
        };
        if let Some(reason) = rejection {
            self.output.reject(proposal_id, self.leader, reason);
            return;
        }
        let index = self.append_entry(payload);
        self.pending_proposals
            .insert(index, (self.term, proposal_id));
        self.track_members();
    }

    /// Records that `from` replied in the current term to a message sent at `sent`. Steps down if the
    /// reply has a higher term.
    pub(crate) fn record_reply(
        &mut self,
        from: VmId,
        term: u64,
        sent: u64,
    ) -> Option<&mut Progress> {
        if term > self.term {
            self.become_follower(term, None);
        }
        if self.role != Role::Leader || term != self.term {
            return None;
        }
        let peer = self.peers.get_mut(&from)?;
        peer.last_acked = peer.last_acked.max(Some(Time(sent).min(self.now)));
        peer.last_reply = self.now;
        Some(peer)
    }

    /// Largest value that a quorum of the voters has reached.
    fn quorum_value<T: Ord + Copy>(
        &self,
        own: T,
        peer_value: impl Fn(&Progress) -> Option<T>,
    ) -> Option<T> {
        let value = |id: VmId| match self.peers.get(&id) {
            Some(peer) => peer_value(peer),
            None if id == self.id => Some(own),
            None => None,
        };
        let members = self.log.members();
        let mut values: Vec<T> = members.voters().filter_map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(members.quorum() - 1).copied()
    }

    /// Latest time such that a quorum answered messages sent at that time or later.
    pub(crate) fn quorum_contact_at(&self, now: Time) -> Option<Time> {
        self.quorum_value(now, |peer| peer.last_acked)
    }

    /// Advances the commit index to the last entry that a quorum has synced.
    pub(crate) fn advance_commit(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let Some(index) = self.quorum_value(self.log.synced_index(), |peer| Some(peer.match_index))
        else {
            return;
        };
        // Entries of earlier terms commit only together with an entry of the current term. Otherwise
        // a later leader could still overwrite them.
        if index > self.commit_index && self.log.term(index) == Some(self.term) {
            self.commit_index = index;
        }
    }

    /// Steps down if quorum contact is lost, otherwise sends due heartbeats.
    pub(crate) fn on_leader_tick(&mut self) {
        // The peers cannot answer what this node did not send. After a pause of its own, which ends
        // its lease but need not have led to an election, they get time to answer.
        if self.now.since(self.last_tick) >= self.settings.election_min_ms / 2 {
            self.resumed_at = self.now;
        }
        self.last_tick = self.now;
        let contact = self.quorum_contact_at(self.now).unwrap_or_default();
        let since = contact.max(self.resumed_at);
        if self.now.since(since) >= self.settings.election_min_ms {
            self.become_follower(self.term, None);
            return;
        }
        if self.now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = self.now.after(self.settings.heartbeat_ms);
        let ids: Vec<VmId> = self.peers.keys().copied().collect();
        for id in ids {
            self.send_heartbeat(id);
        }
    }

    fn send_heartbeat(&mut self, id: VmId) {
        let resend_ms = 4 * self.settings.heartbeat_ms;
        let now = self.now;
        let Some(peer) = self.peers.get_mut(&id) else {
            return;
        };
        let prev = match &mut peer.state {
            ProgressState::Probe { awaiting_reply } => {
                *awaiting_reply = false;
                return;
            }
            ProgressState::Replicate { .. } => peer.next_index - 1,
            ProgressState::Snapshot { sent_at, .. } => {
                if sent_at.is_some_and(|at| now.since(at) >= resend_ms) {
                    *sent_at = None;
                }
                0
            }
        };
        self.send_append(id, prev, Vec::new());
    }

    /// Sends `entries` after `prev`. If `prev` is compacted, uses index 0, which always matches.
    pub(crate) fn send_append(&mut self, id: VmId, prev: u64, entries: Vec<Entry>) {
        let (prev, prev_term) = match self.log.term(prev) {
            Some(term) => (prev, term),
            None => (0, 0),
        };
        let append = AppendEntries {
            term: self.term,
            prev,
            prev_term,
            entries,
            commit: self.commit_index,
            sent: self.now.0,
            age: self.quorum_contact_age(),
        };
        if let Some(peer) = self.peers.get_mut(&id) {
            let last = prev + append.entries.len() as u64;
            peer.last_append = self.now;
            peer.sent_commit = peer.sent_commit.max(self.commit_index.min(last));
            self.output.send(id, Message::Append(append));
        }
    }

    /// Milliseconds since the last quorum contact.
    pub(crate) fn quorum_contact_age(&self) -> u64 {
        match self.quorum_contact_at(self.now) {
            Some(at) => self.now.since(at),
            None => u64::MAX,
        }
    }

    /// Sends every peer the entries, chunks and commit index that its progress allows.
    pub(crate) fn replicate(&mut self) {
        let ids: Vec<VmId> = self.peers.keys().copied().collect();
        for id in ids {
            self.replicate_to(id);
        }
        self.remove_departed_peers();
    }

    fn replicate_to(&mut self, id: VmId) {
        while let Some(batch) = self.next_batch(id) {
            self.send_append(id, batch.prev, batch.entries);
        }
        self.send_chunk(id);
        self.send_commit(id);
    }

    /// Returns the next entries or probe to send to `id` and advances its progress.
    fn next_batch(&mut self, id: VmId) -> Option<Batch> {
        let settings = &self.settings;
        let votes = self.log.members().is_voter(id);
        let peer = self.peers.get_mut(&id)?;
        let too_early = |at: Time| self.now.since(at) < settings.learner_interval_ms;
        let deferred = !votes && peer.last_batch.is_some_and(too_early);
        let prev = peer.next_index - 1;
        let in_log = self.log.term(prev).is_some();
        let responsive = self.now.since(peer.last_reply) < settings.election_min_ms;
        match &mut peer.state {
            ProgressState::Probe {
                awaiting_reply: true,
            }
            | ProgressState::Snapshot { .. } => None,
            // Only a responsive peer gets a snapshot. Resending it to a dead one would waste bandwidth.
            ProgressState::Probe { .. } | ProgressState::Replicate { .. }
                if !in_log && responsive =>
            {
                peer.state = ProgressState::Snapshot {
                    snapshot: self.log.snapshot().clone(),
                    offset: 0,
                    sent_at: None,
                };
                None
            }
            ProgressState::Probe { awaiting_reply } => {
                *awaiting_reply = true;
                Some(Batch {
                    prev,
                    entries: Vec::new(),
                })
            }
            ProgressState::Replicate { in_flight } => {
                if in_flight.len() >= settings.max_in_flight || !in_log || deferred {
                    return None;
                }
                let to = self.log.emitted_index();
                let entries = self
                    .log
                    .slice(peer.next_index, to, settings.max_message_bytes);
                let last = entries.last()?.index;
                in_flight.push_back(last);
                peer.next_index = last + 1;
                peer.last_batch = Some(self.now);
                Some(Batch { prev, entries })
            }
        }
    }

    /// Sends a peer the commit index before the next heartbeat.
    fn send_commit(&mut self, id: VmId) {
        let Some(peer) = self.peers.get(&id) else {
            return;
        };
        let matched = peer.match_index;
        let unsent = peer.sent_commit < self.commit_index.min(matched);
        let due = self.now.since(peer.last_append) >= self.settings.commit_interval_ms;
        let responsive = self.now.since(peer.last_reply) < self.settings.election_min_ms;
        if unsent && due && responsive && self.log.term(matched).is_some() {
            self.send_append(id, matched, Vec::new());
        }
    }

    /// Sends the commit of a removal to the removed member and stops tracking it. A leader that was
    /// removed steps down.
    fn remove_departed_peers(&mut self) {
        if self.has_pending_change() {
            return;
        }
        let members = self.log.members();
        let removed = |id: &VmId| members.get(*id).is_none();
        let departed: Vec<VmId> = self
            .peers
            .keys()
            .copied()
            .filter(|id| removed(id))
            .collect();
        let self_removed = !members.is_voter(self.id);
        for id in departed {
            let prev = self.peers.get(&id).map_or(0, |peer| peer.next_index - 1);
            self.send_append(id, prev, Vec::new());
            self.peers.remove(&id);
        }
        if self_removed {
            let ids: Vec<VmId> = self.peers.keys().copied().collect();
            for id in ids {
                self.send_heartbeat(id);
            }
            self.become_follower(self.term, None);
        }
    }
}

/// Content of one append message.
struct Batch {
    prev: u64,
    entries: Vec<Entry>,
}
