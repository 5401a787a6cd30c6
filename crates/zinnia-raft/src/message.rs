//! Messages between nodes.

use serde::Deserialize;
use serde::Serialize;

use crate::Data;
use crate::Entry;
use crate::Members;

/// A message from one node to another. Every message carries the sender's term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Asks whether a vote in `term` would be granted; changes nothing at the receiver.
    PreVote {
        /// Term that the sender would campaign in.
        term: u64,
        /// Last index of the sender's log.
        last: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Asks for the vote in `term`.
    Vote {
        /// Term of the campaign.
        term: u64,
        /// Last index of the sender's log.
        last: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Answer to [`Self::PreVote`] and [`Self::Vote`].
    VoteReply {
        /// Term of the campaign when granted, else the sender's term.
        term: u64,
        /// Whether it answers a pre-vote.
        pre: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries or a heartbeat from the leader.
    Append(AppendEntries),
    /// Answer to [`Self::Append`], and to the last chunk of a snapshot.
    AppendReply {
        /// Sender's term.
        term: u64,
        /// Whether the log matched at the leader's `prev`.
        ok: bool,
        /// When `ok`, the index up to which the log matches and is synced; else the refused `prev`.
        index: u64,
        /// When not `ok`, the index from which the leader should try next.
        hint: u64,
        /// Copy of the leader's `sent`.
        sent: u64,
    },
    /// A part of a snapshot from the leader.
    Chunk(SnapshotChunk),
    /// Answer to [`Self::Chunk`].
    ChunkReply {
        /// Sender's term.
        term: u64,
        /// Index of the snapshot.
        index: u64,
        /// Byte from which the next part is wanted.
        offset: u64,
        /// Copy of the leader's `sent`.
        sent: u64,
    },
}

/// Largest term or index in a message, 2^53; JSON readers lose larger integers, and no cell gets there.
const MAX_NUMBER: u64 = 1 << 53;

impl Message {
    /// Whether every term and index is in range, so that sums of them cannot overflow.
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

/// Entries that follow `prev`; a heartbeat when there are none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendEntries {
    /// Leader's term.
    pub term: u64,
    /// Index before the first entry.
    pub prev: u64,
    /// Term of the entry at `prev`.
    pub prev_term: u64,
    /// Entries after `prev`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<Entry>,
    /// Leader's commit index.
    pub commit: u64,
    /// Leader's clock when it sent this.
    pub sent: u64,
    /// Milliseconds since the leader last heard from a quorum.
    pub age: u64,
}

/// A part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Leader's term.
    pub term: u64,
    /// Last entry that the snapshot covers.
    pub index: u64,
    /// Term of that entry.
    pub last_term: u64,
    /// Members; sent with the first part only.
    #[serde(default, skip_serializing_if = "Members::is_empty")]
    pub members: Members,
    /// Byte at which the part begins.
    pub offset: u64,
    /// Bytes of the whole snapshot.
    pub total: u64,
    /// The part.
    pub data: Data,
    /// Leader's clock when it sent this.
    pub sent: u64,
    /// Milliseconds since the leader last heard from a quorum.
    pub age: u64,
}
