//! Log entries and what a node keeps on disk.

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::VmId;

use crate::Data;
use crate::MembershipChange;
use crate::Snapshot;

/// One entry of the log. Serialised as `[index, term, payload]`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, Payload)", into = "(u64, u64, Payload)")]
pub struct Entry {
    /// Position in the log, from 1.
    pub index: u64,
    /// Term of the leader that created it.
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
    /// Upper estimate of the encoded size in bytes, without escapes inside the data.
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

/// Content of an [`Entry`]: JSON `null`, a string or an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Payload {
    /// Nothing; a new leader commits one to learn what is committed.
    Noop,
    /// A command of the application.
    Data(Data),
    /// A change of the members.
    Change(MembershipChange),
}

/// What must survive a restart besides entries and snapshot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term seen.
    pub term: u64,
    /// Candidate that got the vote in that term.
    pub vote: Option<VmId>,
    /// Index known to be committed, so that a restarted VM shows nothing older than before.
    pub commit: u64,
}

/// What the store found on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// Term, vote and commit index.
    pub hard: HardState,
    /// Latest snapshot; [`Snapshot::initial`] on the first start of a voter that the settings name.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}
