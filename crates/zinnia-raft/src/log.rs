//! In-memory part of the log.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::Entry;
use crate::Members;
use crate::Payload;
use crate::Snapshot;

/// Latest snapshot, the entries after `base_index`, and the members after each membership change.
#[derive(Debug)]
pub(crate) struct Log {
    snapshot: Arc<Snapshot>,
    /// Index of the last entry removed from memory, at most the index of the snapshot.
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
    /// Members that apply from each index on, sorted by index and never empty.
    member_history: Vec<(u64, Members)>,
    /// Last entry returned by [`Self::take_unpersisted`].
    emitted_index: u64,
    /// Last entry known to be synced to disk.
    synced_index: u64,
}

impl Log {
    pub(crate) fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            base_index: snapshot.index,
            base_term: snapshot.term,
            entries: VecDeque::new(),
            member_history: vec![(snapshot.index, snapshot.members.clone())],
            emitted_index: snapshot.index,
            synced_index: snapshot.index,
            snapshot: Arc::new(snapshot),
        };
        for entry in entries {
            if entry.index == log.last_index() + 1 {
                log.push(entry);
            }
        }
        log.emitted_index = log.last_index();
        log.synced_index = log.last_index();
        log
    }

    pub(crate) fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    pub(crate) fn base_index(&self) -> u64 {
        self.base_index
    }

    pub(crate) fn emitted_index(&self) -> u64 {
        self.emitted_index
    }

    pub(crate) fn synced_index(&self) -> u64 {
        self.synced_index
    }

    /// Records that entries up to `index` are synced to disk.
    pub(crate) fn set_synced(&mut self, index: u64) {
        self.synced_index = self.synced_index.max(index.min(self.emitted_index));
    }

    fn offset(&self, index: u64) -> Option<usize> {
        let from_first = index.checked_sub(self.base_index + 1)?;
        usize::try_from(from_first).ok()
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        self.entries.get(self.offset(index)?)
    }

    /// Term of the entry at `index`, or `None` if it is not in memory.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|e| e.term)
    }

    /// Latest members, including an uncommitted change.
    pub(crate) fn members(&self) -> &Members {
        match self.member_history.last() {
            Some((_, members)) => members,
            None => &self.snapshot.members,
        }
    }

    /// Index of the entry or snapshot that the latest members come from.
    pub(crate) fn members_index(&self) -> u64 {
        self.member_history.last().map_or(0, |(index, _)| *index)
    }

    /// Members after the entry at `index`.
    pub(crate) fn members_at(&self, index: u64) -> &Members {
        let found = self
            .member_history
            .iter()
            .rev()
            .find(|(from, _)| *from <= index);
        match found {
            Some((_, members)) => members,
            None => &self.snapshot.members,
        }
    }

    /// Appends an entry, which must follow the last one.
    pub(crate) fn push(&mut self, entry: Entry) {
        if let Payload::Change(change) = &entry.payload
            && let Some(next) = self.members().with_change(change)
        {
            self.member_history.push((entry.index, next));
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from index `from` on.
    pub(crate) fn truncate(&mut self, from: u64) {
        let Some(offset) = self.offset(from) else {
            return;
        };
        self.entries.truncate(offset);
        self.member_history
            .retain(|(index, _)| *index < from || *index <= self.snapshot.index);
        self.emitted_index = self.emitted_index.min(from - 1);
        self.synced_index = self.synced_index.min(from - 1);
    }

    /// Returns the entries not yet passed to the I/O shell for persisting.
    pub(crate) fn take_unpersisted(&mut self) -> Vec<Entry> {
        let unpersisted = self.slice(self.emitted_index + 1, self.last_index(), usize::MAX);
        self.emitted_index = self.last_index();
        unpersisted
    }

    /// Entries from `from` to `to` inclusive, limited to about `bytes` in total.
    pub(crate) fn slice(&self, from: u64, to: u64, bytes: usize) -> Vec<Entry> {
        let Some(offset) = self.offset(from) else {
            return Vec::new();
        };
        let mut room = bytes;
        let mut found = Vec::new();
        for entry in self.entries.range(offset.min(self.entries.len())..) {
            let size = entry.size_estimate();
            // The first entry is always included. Its size is bounded, because proposals have a
            // limit of their own.
            if entry.index > to || (size > room && !found.is_empty()) {
                break;
            }
            room = room.saturating_sub(size);
            found.push(entry.clone());
        }
        found
    }

    /// Records a local snapshot. Of the entries that it covers, at most the last `retained` stay, and at most
    /// `bytes` of them.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, retained: u64, bytes: usize) {
        let first = snapshot.index.saturating_sub(retained);
        let discarded = self.find_retained(first, snapshot.index, bytes);
        self.snapshot = Arc::new(snapshot);
        self.discard_through(discarded);
    }

    /// Returns the lowest index from `first` on such that the entries after it, up to `last`, have at most
    /// `bytes`.
    fn find_retained(&self, first: u64, last: u64, bytes: usize) -> u64 {
        let mut room = bytes;
        let mut index = last;
        while index > first
            && let Some(entry) = self.get(index)
            && entry.size_estimate() <= room
        {
            room -= entry.size_estimate();
            index -= 1;
        }
        index
    }

    fn discard_through(&mut self, index: u64) {
        let Some(term) = self.term(index) else {
            return;
        };
        let count = usize::try_from(index - self.base_index).unwrap_or(usize::MAX);
        self.entries.drain(..count.min(self.entries.len()));
        self.base_index = index;
        self.base_term = term;
        let older = self
            .member_history
            .iter()
            .filter(|(i, _)| *i <= index)
            .count();
        self.member_history.drain(..older.saturating_sub(1));
    }

    /// Installs a snapshot from the leader. Entries after it stay if they match it.
    pub(crate) fn restore(&mut self, snapshot: Snapshot) {
        if self.term(snapshot.index) == Some(snapshot.term) {
            self.discard_through(snapshot.index);
        } else {
            self.entries.clear();
            self.base_index = snapshot.index;
            self.base_term = snapshot.term;
            self.emitted_index = snapshot.index;
            self.synced_index = snapshot.index;
        }
        self.emitted_index = self.emitted_index.max(snapshot.index);
        self.synced_index = self.synced_index.max(snapshot.index);
        self.member_history.retain(|(i, _)| *i > snapshot.index);
        self.member_history
            .insert(0, (snapshot.index, snapshot.members.clone()));
        self.member_history.truncate(1 + self.change_count());
        self.snapshot = Arc::new(snapshot);
    }

    /// Number of membership changes among the entries in memory.
    fn change_count(&self) -> usize {
        let changes = |e: &&Entry| matches!(e.payload, Payload::Change(_));
        self.entries.iter().filter(changes).count()
    }
}
