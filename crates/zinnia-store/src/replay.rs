//! Journal records and how they add up to a state.

use std::collections::BTreeMap;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;
use zinnia_raft::Entry;
use zinnia_raft::HardState;
use zinnia_raft::RecoveredState;
use zinnia_raft::Snapshot;

use crate::StoreError;

/// One record of the journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Record {
    /// First record of a segment: its number and the hard state when it was begun.
    #[serde(rename = "b")]
    Begin(u64, HardState),
    /// Hard state.
    #[serde(rename = "h")]
    Hard(HardState),
    /// An entry.
    #[serde(rename = "e")]
    Entry(Entry),
    /// Entries from this index on are removed.
    #[serde(rename = "t")]
    Truncate(u64),
}

/// State after the records read so far.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    pub(crate) hard: HardState,
    entries: BTreeMap<u64, Entry>,
}

impl Replay {
    pub(crate) fn take(&mut self, record: Record) {
        match record {
            Record::Begin(_, hard) | Record::Hard(hard) => self.hard = hard,
            Record::Entry(entry) => {
                self.entries.insert(entry.index, entry);
            }
            Record::Truncate(from) => {
                self.entries.split_off(&from);
            }
        }
    }

    /// Drops what the snapshot covers and refuses a gap in what follows.
    pub(crate) fn finish(
        mut self,
        snapshot: Option<Snapshot>,
        dir: &Path,
    ) -> Result<RecoveredState, StoreError> {
        let base = snapshot.as_ref().map_or(0, |s| s.index);
        let entries = self.entries.split_off(&(base + 1));
        let gap = entries
            .keys()
            .zip(base + 1..)
            .find(|(has, due)| **has != *due);
        if let Some((has, due)) = gap {
            let why = format!("entry {due} is missing before entry {has}");
            return Err(StoreError::corrupt(dir, 0, "replay journal", why));
        }
        Ok(RecoveredState {
            hard: self.hard,
            snapshot,
            entries: entries.into_values().collect(),
        })
    }
}
