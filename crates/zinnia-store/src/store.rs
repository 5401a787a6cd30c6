//! The store of one VM.

use std::fs::File;
use std::fs::TryLockError;
use std::path::Path;

use zinnia_raft::Entry;
use zinnia_raft::HardState;
use zinnia_raft::RecoveredState;
use zinnia_raft::Snapshot;

use crate::DiskHook;
use crate::Identity;
use crate::RecordFile;
use crate::StoreError;
use crate::disk::Disk;
use crate::disk::TEMP;
use crate::error::ErrorCause;
use crate::journal;
use crate::journal::Journal;
use crate::replay::Record;
use crate::snapshot;

/// How a store works.
#[derive(Clone)]
pub struct StoreOptions {
    /// Size at which a journal segment is closed, in bytes.
    pub segment_bytes: u64,
    /// Size from which a segment is closed early when a snapshot is saved, so that it can go soon.
    pub rotate_bytes: u64,
    /// Whether a loss of power may leave any part of the writes since the last sync, so that damage
    /// at the end of the journal is no sign of a broken disk.
    pub torn_writes: bool,
    /// Passed before each operation on the disk; for tests.
    pub disk_hook: Option<DiskHook>,
}

impl Default for StoreOptions {
    fn default() -> Self {
        Self {
            segment_bytes: 8 * 1024 * 1024,
            rotate_bytes: 64 * 1024,
            torn_writes: false,
            disk_hook: None,
        }
    }
}

/// What a store did since it was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreCounters {
    /// Entries appended.
    pub entries: u64,
    /// Syncs of the journal.
    pub syncs: u64,
    /// Snapshots saved.
    pub snapshots: u64,
    /// Segments removed.
    pub removed_segments: u64,
}

/// Journal, snapshot and identity in one data folder, which it holds alone.
#[derive(Debug)]
pub struct Store {
    disk: Disk,
    identity: Identity,
    journal: Journal,
    fresh: bool,
    failed: bool,
    counters: StoreCounters,
    segment_bytes: u64,
    rotate_bytes: u64,
    /// Locked as long as the store lives.
    _lock: File,
}

impl Store {
    /// Opens or creates the data folder `dir`.
    ///
    /// A new folder gets `wanted` as its identity. An existing one keeps its id, and its cluster id
    /// must be the wanted one.
    ///
    /// # Errors
    ///
    /// Returns an error with file, offset and step when the folder is in use, belongs to another
    /// cell, holds a corrupt record or cannot be read or written.
    pub fn open(dir: &Path, wanted: &Identity) -> Result<(Self, RecoveredState), StoreError> {
        Self::open_with(dir, wanted, StoreOptions::default())
    }

    /// [`Self::open`] with other options.
    ///
    /// # Errors
    ///
    /// As for [`Self::open`].
    pub fn open_with(
        dir: &Path,
        wanted: &Identity,
        options: StoreOptions,
    ) -> Result<(Self, RecoveredState), StoreError> {
        let disk = Disk::new(dir, options.disk_hook)?;
        let lock = lock(&disk)?;
        remove_temporary(&disk)?;
        // Names that an earlier process gave without syncing the folder are relied on from here on.
        disk.sync_folder()?;
        let found = Identity::load(&disk)?;
        let fresh = found.is_none();
        let identity = found.unwrap_or_else(|| wanted.clone());
        identity.check(&disk, wanted)?;
        let numbers = journal::segments(&disk)?;
        let (journal, recovered) = if fresh {
            (create(&disk, &numbers)?, RecoveredState::default())
        } else {
            let (journal, replay) = Journal::open(&disk, &numbers, options.torn_writes)?;
            let recovered = replay.finish(snapshot::load(&disk)?, disk.dir())?;
            check_commit(&recovered, disk.dir())?;
            (journal, recovered)
        };
        if fresh {
            // Written last: a folder with an identity always has a journal, so that a lost journal
            // is noticed and no vote is given twice.
            identity.save(&disk)?;
        }
        let store = Self {
            disk,
            identity,
            journal,
            fresh,
            failed: false,
            counters: StoreCounters::default(),
            segment_bytes: options.segment_bytes,
            rotate_bytes: options.rotate_bytes,
            _lock: lock,
        };
        Ok((store, recovered))
    }

    /// Identity of the folder.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Whether the folder was created by this start.
    pub fn is_new(&self) -> bool {
        self.fresh
    }

    /// What was done since the start.
    pub fn counters(&self) -> StoreCounters {
        self.counters
    }

    /// Adds entries; durable after [`Self::sync`].
    ///
    /// # Errors
    ///
    /// Returns the failed write; afterwards the folder must be opened again.
    pub fn append(&mut self, entries: &[Entry]) -> Result<(), StoreError> {
        self.guard(|s| {
            for entry in entries {
                s.journal.push(&Record::Entry(entry.clone()))?;
            }
            s.counters.entries += entries.len() as u64;
            Ok(())
        })
    }

    /// Removes the entries from `from` on; durable after [`Self::sync`].
    ///
    /// # Errors
    ///
    /// Returns the failed write; afterwards the folder must be opened again.
    pub fn truncate(&mut self, from: u64) -> Result<(), StoreError> {
        self.guard(|s| s.journal.push(&Record::Truncate(from)))
    }

    /// Saves term, vote and commit index; durable after [`Self::sync`].
    ///
    /// # Errors
    ///
    /// Returns the failed write; afterwards the folder must be opened again.
    pub fn save_hard_state(&mut self, hard: &HardState) -> Result<(), StoreError> {
        self.guard(|s| s.journal.push(&Record::Hard(*hard)))
    }

    /// Makes everything durable.
    ///
    /// # Errors
    ///
    /// Returns the failed write or sync; afterwards the folder must be opened again.
    pub fn sync(&mut self) -> Result<(), StoreError> {
        self.guard(|s| {
            if s.journal.sync()? {
                s.counters.syncs += 1;
            }
            if s.journal.len() >= s.segment_bytes {
                s.journal.roll()?;
            }
            Ok(())
        })
    }

    /// Performs a `Persist` action of the log core, in its order.
    ///
    /// # Errors
    ///
    /// Returns the failed write or sync; afterwards the folder must be opened again.
    pub fn persist(
        &mut self,
        hard: Option<&HardState>,
        truncate: Option<u64>,
        entries: &[Entry],
    ) -> Result<(), StoreError> {
        if let Some(from) = truncate {
            self.truncate(from)?;
        }
        self.append(entries)?;
        if let Some(hard) = hard {
            self.save_hard_state(hard)?;
        }
        self.sync()
    }

    /// Saves a snapshot durably and removes the journal segments that it covers.
    ///
    /// # Errors
    ///
    /// Returns the failed write or sync; afterwards the folder must be opened again. The earlier
    /// snapshot and the journal are then as before.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        self.guard(|s| {
            snapshot::save(&s.disk, snapshot)?;
            s.counters.snapshots += 1;
            if s.journal.len() >= s.rotate_bytes {
                s.journal.roll()?;
            }
            s.counters.removed_segments += s.journal.compact(snapshot.index)? as u64;
            Ok(())
        })
    }

    /// Opens or creates the append-only file `name` of text records.
    ///
    /// # Errors
    ///
    /// Returns an error with file, offset and step when it cannot be read or holds a corrupt record.
    pub fn open_records(&self, name: &str) -> Result<(RecordFile, Vec<String>), StoreError> {
        RecordFile::open(&self.disk, name)
    }

    /// The ids of withdrawn keys and the file to which further ones are added.
    ///
    /// # Errors
    ///
    /// As for [`Self::open_records`].
    pub fn withdrawn_keys(&self) -> Result<(RecordFile, Vec<String>), StoreError> {
        self.open_records("withdrawn")
    }

    /// Runs a write unless an earlier one failed: after a failed sync the operating system may have
    /// dropped data and report success the next time.
    fn guard(
        &mut self,
        write: impl FnOnce(&mut Self) -> Result<(), StoreError>,
    ) -> Result<(), StoreError> {
        if self.failed {
            return Err(StoreError::new(
                self.disk.dir(),
                "write",
                ErrorCause::NeedsReopen,
            ));
        }
        let done = write(self);
        self.failed = done.is_err();
        done
    }
}

/// Refuses a journal without entries that it calls committed: they were synced before.
fn check_commit(recovered: &RecoveredState, dir: &Path) -> Result<(), StoreError> {
    let base = recovered.snapshot.as_ref().map_or(0, |s| s.index);
    let last = recovered.entries.last().map_or(base, |e| e.index);
    if recovered.hard.commit <= last {
        return Ok(());
    }
    let why = format!("entry {} is committed and missing", recovered.hard.commit);
    Err(StoreError::corrupt(dir, 0, "read journal", why))
}

fn lock(disk: &Disk) -> Result<File, StoreError> {
    let path = disk.path("lock");
    let fail = |e| StoreError::io(&path, "lock folder", e);
    let file = File::create(&path).map_err(fail)?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => {
            Err(StoreError::new(&path, "lock folder", ErrorCause::Locked))
        }
        Err(TryLockError::Error(e)) => Err(fail(e)),
    }
}

fn remove_temporary(disk: &Disk) -> Result<(), StoreError> {
    let suffix = format!(".{TEMP}");
    for name in disk.names()?.iter().filter(|n| n.ends_with(&suffix)) {
        disk.remove(&disk.path(name))?;
    }
    Ok(())
}

/// Begins the journal of a folder without identity, over what an interrupted first start left.
fn create(disk: &Disk, numbers: &[u64]) -> Result<Journal, StoreError> {
    let is_blank = journal::is_blank(disk, numbers)? && snapshot::load(disk)?.is_none();
    if !is_blank || RecordFile::exists(disk)? {
        let why = "the folder has data but no identity";
        return Err(StoreError::corrupt(disk.dir(), 0, "read identity", why));
    }
    Journal::create(disk)
}
