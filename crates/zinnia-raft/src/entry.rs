//! Log entries and the durable state of a node.

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::VmId;

use crate::Data;
use crate::MembershipChange;
use crate::Snapshot;

/// Log entry, serialized as `[index, term, payload]`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, Payload)", into = "(u64, u64, Payload)")]
pub struct Entry {
    /// Position in the log, starting at 1.
    pub index: u64,
    /// Term of the leader that created the entry.
    pub term: u64,
    /// Content.
    pub payload: Payload,
}

impl From<(u64, u64, Payload)> for Entry {
    fn from((index, term, payload): (u64, u64, Payload)) -> Self {
        Self {
            index,
            term,
            payload,
        }
    }
}

impl From<Entry> for (u64, u64, Payload) {
    fn from(entry: Entry) -> Self {
        (entry.index, entry.term, entry.payload)
    }
}

impl Entry {
    /// Upper bound for the encoded size in bytes, not counting JSON escapes within the data.
    pub fn size_estimate(&self) -> usize {
        const OVERHEAD_BYTES: usize = 48;
        OVERHEAD_BYTES
            + match &self.payload {
                Payload::Noop => 0,
                Payload::Data(data) => data.len(),
                Payload::Change(change) => change.size_estimate(),
            }
    }
}

/// Content of an [`Entry`], serialized as JSON `null`, a string or an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Payload {
    /// Empty entry. A new leader commits one to learn which earlier entries are committed.
    Noop,
    /// Application command.
    Data(Data),
    /// Membership change.
    Change(MembershipChange),
}

/// Durable state besides the entries and the snapshot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term seen.
    pub term: u64,
    /// Candidate that received this node's vote in that term.
    pub vote: Option<VmId>,
    /// Index known to be committed. It keeps a restarted VM from exposing an older state than before.
    pub commit: u64,
}

/// State that the store recovered from disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// Term, vote and commit index.
    pub hard: HardState,
    /// Latest snapshot; [`Snapshot::initial`] on the first start of a configured voter.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, with consecutive indexes.
    pub entries: Vec<Entry>,
}
