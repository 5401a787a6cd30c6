//! Messages between nodes.

use serde::Deserialize;
use serde::Serialize;

use crate::Data;
use crate::Entry;
use crate::Members;

/// Message between two nodes. Every message carries the sender's term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Asks whether a vote in `term` would be granted. The receiver's state does not change.
    PreVote {
        /// Term in which the sender would campaign.
        term: u64,
        /// Last index of the sender's log.
        last: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Requests a vote in `term`.
    Vote {
        /// Term of the campaign.
        term: u64,
        /// Last index of the sender's log.
        last: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Reply to [`Self::PreVote`] and [`Self::Vote`].
    VoteReply {
        /// Term of the campaign if granted, otherwise the sender's term.
        term: u64,
        /// Whether this replies to a pre-vote.
        pre: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Log entries or a heartbeat from the leader.
    Append(AppendEntries),
    /// Reply to [`Self::Append`] and to the last chunk of a snapshot.
    AppendReply {
        /// Sender's term.
        term: u64,
        /// Whether the log matched at the leader's `prev`.
        ok: bool,
        /// If `ok`, the index up to which the log matches and is synced; otherwise the rejected `prev`.
        index: u64,
        /// If not `ok`, the index of the entry that the leader should send next.
        hint: u64,
        /// Send time copied from the leader's message.
        sent: u64,
    },
    /// Chunk of a snapshot from the leader.
    Chunk(SnapshotChunk),
    /// Reply to [`Self::Chunk`].
    ChunkReply {
        /// Sender's term.
        term: u64,
        /// Index of the snapshot.
        index: u64,
        /// Offset in bytes of the next chunk to send.
        offset: u64,
        /// Send time copied from the leader's message.
        sent: u64,
    },
}

/// Largest valid term or index in a message. Common JSON readers lose precision above 2^53, and no
/// cell reaches this number.
const MAX_NUMBER: u64 = 1 << 53;

impl Message {
    /// A reply to an append message that shows that the sender is alive and accepts the leader, and
    /// claims nothing about its log. The leader ignores the rejected index, since every log matches
    /// at 0.
    pub fn contact(term: u64, sent: u64) -> Self {
        Self::AppendReply {
            term,
            ok: false,
            index: 0,
            hint: 0,
            sent,
        }
    }

    /// Whether every term and index is at most [`MAX_NUMBER`], so that sums cannot overflow.
    pub(crate) fn has_valid_numbers(&self) -> bool {
        let largest = match self {
            Self::PreVote {
                term,
                last,
                last_term,
            }
            | Self::Vote {
                term,
                last,
                last_term,
            } => *term.max(last).max(last_term),
            Self::VoteReply { term, .. } => *term,
            Self::Append(a) => {
                let entries = a.entries.iter().map(|e| e.index.max(e.term));
                let largest = entries.max().unwrap_or(0);
                largest.max(a.term).max(a.prev).max(a.prev_term)
            }
            Self::AppendReply {
                term, index, hint, ..
            } => *term.max(index).max(hint),
            Self::Chunk(c) => c.term.max(c.index).max(c.last_term),
            Self::ChunkReply { term, index, .. } => *term.max(index),
        };
        largest <= MAX_NUMBER
    }
}

/// Log entries that follow `prev`. Without entries it is a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendEntries {
    /// Leader's term.
    pub term: u64,
    /// Index of the entry before the first one in `entries`.
    pub prev: u64,
    /// Term of the entry at `prev`.
    pub prev_term: u64,
    /// Entries after `prev`, in order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<Entry>,
    /// Leader's commit index.
    pub commit: u64,
    /// Send time on the leader's clock.
    pub sent: u64,
    /// Milliseconds since the leader's last quorum contact.
    pub age: u64,
}

/// Chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Leader's term.
    pub term: u64,
    /// Last entry that the snapshot covers.
    pub index: u64,
    /// Term of that entry.
    pub last_term: u64,
    /// Members; present in the first chunk only.
    #[serde(default, skip_serializing_if = "Members::is_empty")]
    pub members: Members,
    /// Offset of the chunk in bytes.
    pub offset: u64,
    /// Size of the whole snapshot data in bytes.
    pub total: u64,
    /// Data of the chunk.
    pub data: Data,
    /// Send time on the leader's clock.
    pub sent: u64,
    /// Milliseconds since the leader's last quorum contact.
    pub age: u64,
}
