//! In-memory disk that can lose unsynced writes.

use std::collections::BTreeMap;

use crate::Entry;
use crate::HardState;
use crate::RecoveredState;
use crate::Snapshot;

#[derive(Clone, Debug)]
enum DiskWrite {
    Truncate(u64),
    Entry(Entry),
    Hard(HardState),
}

/// Durable state and unsynced writes of a simulated VM.
#[derive(Clone, Debug, Default)]
pub struct SimDisk {
    /// Durable hard state.
    pub hard: HardState,
    /// Durable snapshot.
    pub snapshot: Option<Snapshot>,
    /// Durable entries by index, including those that the snapshot covers.
    pub entries: BTreeMap<u64, Entry>,
    /// Number of syncs.
    pub syncs: u64,
    unsynced: Vec<DiskWrite>,
}

impl SimDisk {
    /// Queues writes in the order in which the store performs them.
    pub fn write(&mut self, hard: Option<HardState>, truncate: Option<u64>, entries: &[Entry]) {
        self.unsynced.extend(truncate.map(DiskWrite::Truncate));
        self.unsynced
            .extend(entries.iter().cloned().map(DiskWrite::Entry));
        self.unsynced.extend(hard.map(DiskWrite::Hard));
    }

    /// Makes all queued writes durable.
    pub fn sync(&mut self) {
        self.syncs += 1;
        self.sync_first(usize::MAX);
    }

    /// Makes the first `count` unsynced writes durable and discards the others.
    pub fn sync_first(&mut self, count: usize) {
        for write in std::mem::take(&mut self.unsynced).into_iter().take(count) {
            match write {
                DiskWrite::Truncate(from) => drop(self.entries.split_off(&from)),
                DiskWrite::Entry(entry) => drop(self.entries.insert(entry.index, entry)),
                DiskWrite::Hard(hard) => self.hard = hard,
            }
        }
    }

    /// Whether the entry at `index` is durable, either as an entry or in a snapshot.
    pub fn holds(&self, index: u64, term: u64) -> bool {
        self.snapshot_index() >= index || self.entries.get(&index).is_some_and(|e| e.term == term)
    }

    /// Index of the snapshot, or 0 without a snapshot.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |s| s.index)
    }

    /// Index of the last durable entry, or of the snapshot if that is higher.
    pub fn last_index(&self) -> u64 {
        let last = self.entries.keys().next_back().copied();
        last.unwrap_or(0).max(self.snapshot_index())
    }

    /// Term of the entry at `index`, if it is known.
    pub fn term(&self, index: u64) -> Option<u64> {
        match &self.snapshot {
            Some(s) if s.index == index => Some(s.term),
            _ => self.entries.get(&index).map(|e| e.term),
        }
    }

    /// State that a node recovers when it starts.
    ///
    /// # Errors
    ///
    /// Fails if an entry is missing and names its index.
    pub fn recover(&self) -> Result<RecoveredState, String> {
        let entries: Vec<Entry> = self
            .entries
            .range(self.snapshot_index() + 1..)
            .map(|(_, e)| e.clone())
            .collect();
        let mut numbered = entries.iter().zip(self.snapshot_index() + 1..);
        if let Some((_, expected)) = numbered.find(|(e, expected)| e.index != *expected) {
            return Err(format!("entry {expected} is missing on disk"));
        }
        Ok(RecoveredState {
            hard: self.hard,
            snapshot: self.snapshot.clone(),
            entries,
        })
    }
}
