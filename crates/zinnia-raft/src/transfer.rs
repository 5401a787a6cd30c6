//! Snapshot transfer in chunks.

use zinnia_types::Time;
use zinnia_types::VmId;

use crate::Data;
use crate::Members;
use crate::Message;
use crate::Node;
use crate::Snapshot;
use crate::SnapshotChunk;
use crate::progress::Progress;
use crate::progress::ProgressState;

/// Partially received snapshot.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    index: u64,
    term: u64,
    total: u64,
    members: Members,
    data: String,
}

impl IncomingSnapshot {
    fn new(chunk: &SnapshotChunk) -> Self {
        Self {
            index: chunk.index,
            term: chunk.last_term,
            total: chunk.total,
            members: chunk.members.clone(),
            data: String::new(),
        }
    }

    fn matches(&self, chunk: &SnapshotChunk) -> bool {
        (self.index, self.term, self.total) == (chunk.index, chunk.last_term, chunk.total)
    }

    fn len(&self) -> u64 {
        self.data.len() as u64
    }
}

impl Progress {
    /// Continues the transfer at the offset that the peer expects.
    pub(crate) fn on_chunk_reply(&mut self, index: u64, expected: u64) {
        let ProgressState::Snapshot {
            snapshot,
            offset,
            sent_at,
        } = &mut self.state
        else {
            return;
        };
        // A duplicate reply must not resend the same chunk. A lost chunk is resent after a timeout.
        if snapshot.index == index && *offset != expected {
            *offset = expected;
            *sent_at = None;
        }
    }
}

impl Node {
    /// Sends the next snapshot chunk to `id` if none is unacknowledged.
    pub(crate) fn send_chunk(&mut self, id: VmId) {
        let age = self.quorum_contact_age();
        let now: Time = self.now;
        let Some(peer) = self.peers.get_mut(&id) else {
            return;
        };
        if now.since(peer.last_reply) >= self.settings.election_min_ms {
            return;
        }
        let ProgressState::Snapshot {
            snapshot,
            offset,
            sent_at: sent_at @ None,
        } = &mut peer.state
        else {
            return;
        };
        *sent_at = Some(now);
        let start = usize::try_from(*offset).unwrap_or(usize::MAX);
        let text = snapshot.data.chunk(start, self.settings.max_chunk_bytes);
        let chunk = SnapshotChunk {
            term: self.term,
            index: snapshot.index,
            last_term: snapshot.term,
            members: match start {
                0 => snapshot.members.clone(),
                _ => Members::default(),
            },
            offset: *offset,
            total: snapshot.data.len() as u64,
            data: Data::from(text),
            sent: now.0,
            age,
        };
        self.output.send(id, Message::Chunk(chunk));
    }

    /// Handles a chunk from the leader and installs the snapshot once it is complete.
    pub(crate) fn on_chunk(&mut self, from: VmId, chunk: SnapshotChunk) {
        let sent = chunk.sent;
        let index = chunk.index;
        if !self.recognize_leader(from, chunk.term, chunk.age) {
            self.send_chunk_reply(from, index, 0, sent);
            return;
        }
        if index > self.commit_index {
            let expected = self.add_chunk(chunk);
            if let Some(offset) = expected {
                self.send_chunk_reply(from, index, offset, sent);
                return;
            }
        }
        let reply = Message::AppendReply {
            term: self.term,
            ok: true,
            index: self.commit_index,
            hint: 0,
            sent,
        };
        self.output.send(from, reply);
    }

    fn send_chunk_reply(&mut self, to: VmId, index: u64, offset: u64, sent: u64) {
        let reply = Message::ChunkReply {
            term: self.term,
            index,
            offset,
            sent,
        };
        self.output.send(to, reply);
    }

    /// Appends a chunk. Returns the next expected offset, or `None` once the snapshot is installed.
    fn add_chunk(&mut self, chunk: SnapshotChunk) -> Option<u64> {
        let current = self
            .incoming_snapshot
            .take()
            .filter(|incoming| incoming.matches(&chunk));
        let mut incoming = current.unwrap_or_else(|| IncomingSnapshot::new(&chunk));
        if incoming.len() == chunk.offset {
            incoming.data.push_str(chunk.data.as_str());
        }
        let len = incoming.len();
        // Only the first chunk carries the members. Without it, the transfer starts over.
        if incoming.members.is_empty() {
            return Some(0);
        }
        if len < incoming.total {
            self.incoming_snapshot = Some(incoming);
            return Some(len);
        }
        self.install_snapshot(Snapshot {
            index: incoming.index,
            term: incoming.term,
            members: incoming.members,
            data: Data::from(incoming.data),
        });
        None
    }

    fn install_snapshot(&mut self, snapshot: Snapshot) {
        let index = snapshot.index;
        if self
            .log
            .term(index)
            .is_some_and(|term| term != snapshot.term)
        {
            // Truncate only from the conflict on. Earlier entries may count toward a quorum and must
            // stay on disk until the snapshot is saved.
            self.log.truncate(index);
            self.output.record_truncation(index);
        }
        self.log.restore(snapshot.clone());
        self.commit_index = index;
        // It is unknown whether the snapshot includes the proposals up to its index.
        self.pending_proposals = self.pending_proposals.split_off(&(index + 1));
        self.output.received_snapshot = Some(snapshot);
    }
}
