//! Log replication on the follower side.

use zinnia_types::Time;
use zinnia_types::VmId;

use crate::AppendEntries;
use crate::Message;
use crate::Node;
use crate::Role;

impl Node {
    /// Follows the sender of a leader message. Returns `false` if its term is stale or the message
    /// violates the protocol.
    pub(crate) fn recognize_leader(&mut self, from: VmId, term: u64, age: u64) -> bool {
        if term < self.term {
            return false;
        }
        let same_term = term == self.term;
        if same_term && (self.role == Role::Leader || self.leader.is_some_and(|id| id != from)) {
            self.protocol_violations += 1;
            return false;
        }
        self.become_follower(term, Some(from));
        self.leader_contact = self.now;
        let quorum_at = Time(self.now.0.saturating_sub(age));
        self.quorum_contact = self.quorum_contact.max(Some(quorum_at));
        true
    }

    pub(crate) fn on_append(&mut self, from: VmId, append: AppendEntries) {
        let sent = append.sent;
        let reply = if self.recognize_leader(from, append.term, append.age) {
            self.merge_entries(append)
        } else {
            Err((append.prev, 0))
        };
        let (ok, index, hint) = match reply {
            Ok(index) => (true, index, 0),
            Err((prev, hint)) => (false, prev, hint),
        };
        let reply = Message::AppendReply {
            term: self.term,
            ok,
            index,
            hint,
            sent,
        };
        self.output.send(from, reply);
    }

    /// Merges entries into the log. Returns the last matching index, or the rejected index and the
    /// index to send next.
    fn merge_entries(&mut self, append: AppendEntries) -> Result<u64, (u64, u64)> {
        let AppendEntries {
            prev,
            prev_term,
            mut entries,
            commit,
            ..
        } = append;
        let last = prev + entries.len() as u64;
        let consecutive = entries.iter().zip(prev + 1..).all(|(e, i)| e.index == i);
        if !consecutive {
            self.protocol_violations += 1;
            return Err((prev, 0));
        }
        if last <= self.commit_index {
            return Ok(self.commit_index);
        }
        if prev < self.commit_index {
            // Committed entries match the log of every leader. Some may already be compacted.
            entries.retain(|e| e.index > self.commit_index);
        } else if self.log.term(prev) != Some(prev_term) {
            return Err((prev, self.next_index_hint(prev)));
        }
        for entry in entries {
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => {
                    self.log.truncate(entry.index);
                    self.output.record_truncation(entry.index);
                }
                None => {}
            }
            self.log.push(entry);
        }
        self.commit_index = self.commit_index.max(commit.min(last));
        Ok(last)
    }

    /// Index that the leader should send next after `prev` was rejected: the one after the local log,
    /// or the first entry of the conflicting term, since all entries of that term may conflict.
    fn next_index_hint(&self, prev: u64) -> u64 {
        if prev > self.log.last_index() {
            return self.log.last_index() + 1;
        }
        let Some(term) = self.log.term(prev) else {
            return self.commit_index + 1;
        };
        let mut first = prev;
        while first > self.commit_index + 1 && self.log.term(first - 1) == Some(term) {
            first -= 1;
        }
        first
    }
}
