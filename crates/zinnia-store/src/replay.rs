//! Journal records and the state that results from their replay.

use std::collections::BTreeMap;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;
use zinnia_raft::Entry;
use zinnia_raft::HardState;
use zinnia_raft::RecoveredState;
use zinnia_raft::Snapshot;

use crate::StoreError;

/// Record of the journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum JournalRecord {
    /// Segment number, and the hard state when the segment was created. First record of a segment.
    #[serde(rename = "b")]
    SegmentHeader(u64, HardState),
    /// Hard state.
    #[serde(rename = "h")]
    HardState(HardState),
    /// Log entry.
    #[serde(rename = "e")]
    Entry(Entry),
    /// Remove the entries from this log index on.
    #[serde(rename = "t")]
    Truncate(u64),
}

/// State after the records replayed so far.
#[derive(Debug, Default)]
pub(crate) struct JournalReplay {
    pub(crate) hard_state: HardState,
    entries: BTreeMap<u64, Entry>,
}

impl JournalReplay {
    pub(crate) fn apply(&mut self, record: JournalRecord) {
        match record {
            JournalRecord::SegmentHeader(_, hard) | JournalRecord::HardState(hard) => {
                self.hard_state = hard;
            }
            JournalRecord::Entry(entry) => {
                self.entries.insert(entry.index, entry);
            }
            JournalRecord::Truncate(from) => {
                self.entries.split_off(&from);
            }
        }
    }

    /// Drops the entries that the snapshot covers. Returns an error if an entry after it is
    /// missing.
    pub(crate) fn finish(
        mut self,
        snapshot: Option<Snapshot>,
        dir: &Path,
    ) -> Result<RecoveredState, StoreError> {
        let snapshot_index = snapshot.as_ref().map_or(0, |s| s.index);
        let entries = self.entries.split_off(&(snapshot_index + 1));
        let gap = entries
            .keys()
            .zip(snapshot_index + 1..)
            .find(|(found, expected)| **found != *expected);
        if let Some((found, expected)) = gap {
            let message = format!("entry {expected} is missing before entry {found}");
            return Err(StoreError::corrupt(dir, 0, "replay journal", message));
        }
        Ok(RecoveredState {
            hard: self.hard_state,
            snapshot,
            entries: entries.into_values().collect(),
        })
    }
}
