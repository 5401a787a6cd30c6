//! Store of one VM.

use std::fmt;
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
use crate::disk::DataFolder;
use crate::disk::TEMP_EXTENSION;
use crate::error::ErrorCause;
use crate::journal;
use crate::journal::Journal;
use crate::replay::JournalRecord;
use crate::snapshot;

/// Options of a [`Store`].
#[derive(Clone)]
pub struct StoreOptions {
    /// Size in bytes from which a sync closes the active journal segment.
    pub segment_bytes: u64,
    /// Size in bytes from which saving a snapshot closes the active journal segment, so that a
    /// later snapshot can remove it.
    pub rotate_bytes: u64,
    /// Whether the disk may tear unsynced writes on a power loss. A corrupt record in the last
    /// journal segment is then not a sign of a failing disk: the segment is truncated at the
    /// record, and opening the store succeeds.
    pub torn_writes: bool,
    /// Hook called before each [`DiskOp`](crate::DiskOp), for tests.
    pub disk_hook: Option<DiskHook>,
}

impl fmt::Debug for StoreOptions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StoreOptions")
            .field("segment_bytes", &self.segment_bytes)
            .field("rotate_bytes", &self.rotate_bytes)
            .field("torn_writes", &self.torn_writes)
            .field("disk_hook", &self.disk_hook.is_some())
            .finish()
    }
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

/// Counters of a [`Store`] since it was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreCounters {
    /// Appended log entries.
    pub entries: u64,
    /// Journal syncs.
    pub syncs: u64,
    /// Saved snapshots.
    pub snapshots: u64,
    /// Removed journal segments.
    pub removed_segments: u64,
}

/// Journal, snapshot and identity in one data folder. Only one store can open a folder at a time.
#[derive(Debug)]
pub struct Store {
    folder: DataFolder,
    identity: Identity,
    journal: Journal,
    is_new: bool,
    failed: bool,
    counters: StoreCounters,
    segment_bytes: u64,
    rotate_bytes: u64,
    /// File lock on the folder, held until the store is dropped.
    _lock: File,
}

impl Store {
    /// Opens or creates the data folder `dir`.
    ///
    /// A new folder gets `identity`. An existing folder keeps its VM id, and its cluster id must
    /// match that of `identity`.
    ///
    /// # Errors
    ///
    /// Returns an error with file, offset and step if the folder is in use, belongs to another
    /// cell, contains corrupt data, or cannot be read or written.
    pub fn open(dir: &Path, identity: &Identity) -> Result<(Self, RecoveredState), StoreError> {
        Self::open_with(dir, identity, StoreOptions::default())
    }

    /// Opens or creates the data folder `dir` with `options`. See [`Self::open`].
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Self::open`].
    pub fn open_with(
        dir: &Path,
        identity: &Identity,
        options: StoreOptions,
    ) -> Result<(Self, RecoveredState), StoreError> {
        let folder = DataFolder::open_or_create(dir, options.disk_hook)?;
        let lock = lock_folder(&folder)?;
        remove_temp_files(&folder)?;
        // An earlier process may have created or renamed files without syncing the folder. Make
        // these names durable before the store relies on them.
        folder.sync_folder()?;
        let stored = Identity::load(&folder)?;
        let is_new = stored.is_none();
        let stored = stored.unwrap_or_else(|| identity.clone());
        stored.check_cluster(&folder, identity)?;
        let numbers = journal::segment_numbers(&folder)?;
        let (journal, recovered) = if is_new {
            (
                create_journal(&folder, &numbers)?,
                RecoveredState::default(),
            )
        } else {
            let (journal, replay) = Journal::open(&folder, &numbers, options.torn_writes)?;
            let recovered = replay.finish(snapshot::load(&folder)?, folder.dir())?;
            check_commit_index(&recovered, folder.dir())?;
            (journal, recovered)
        };
        if is_new {
            // The identity is written after the journal, so a folder with an identity and without a
            // journal has lost its journal. Starting with an empty journal could vote twice in a
            // term.
            stored.save(&folder)?;
        }
        let store = Self {
            folder,
            identity: stored,
            journal,
            is_new,
            failed: false,
            counters: StoreCounters::default(),
            segment_bytes: options.segment_bytes,
            rotate_bytes: options.rotate_bytes,
            _lock: lock,
        };
        Ok((store, recovered))
    }

    /// Returns the identity of the folder.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns whether opening the store initialized the folder.
    pub fn is_new(&self) -> bool {
        self.is_new
    }

    /// Returns the counters since the store was opened.
    pub fn counters(&self) -> StoreCounters {
        self.counters
    }

    /// Appends log entries. They are durable after [`Self::sync`].
    ///
    /// # Errors
    ///
    /// Returns an error if a write fails. The folder must then be opened again.
    pub fn append(&mut self, entries: &[Entry]) -> Result<(), StoreError> {
        self.run_write(|s| {
            for entry in entries {
                s.journal.push(&JournalRecord::Entry(entry.clone()))?;
            }
            s.counters.entries += entries.len() as u64;
            Ok(())
        })
    }

    /// Removes the log entries from index `from` on. The removal is durable after [`Self::sync`].
    ///
    /// # Errors
    ///
    /// Returns an error if a write fails. The folder must then be opened again.
    pub fn truncate(&mut self, from: u64) -> Result<(), StoreError> {
        self.run_write(|s| s.journal.push(&JournalRecord::Truncate(from)))
    }

    /// Saves the term, vote and commit index. They are durable after [`Self::sync`].
    ///
    /// # Errors
    ///
    /// Returns an error if a write fails. The folder must then be opened again.
    pub fn save_hard_state(&mut self, hard: &HardState) -> Result<(), StoreError> {
        self.run_write(|s| s.journal.push(&JournalRecord::HardState(*hard)))
    }

    /// Makes all writes durable. Closes the active journal segment if it is full.
    ///
    /// # Errors
    ///
    /// Returns an error if a write or sync fails. The folder must then be opened again.
    pub fn sync(&mut self) -> Result<(), StoreError> {
        self.run_write(|s| {
            if s.journal.sync()? {
                s.counters.syncs += 1;
            }
            if s.journal.active_len() >= s.segment_bytes {
                s.journal.rotate()?;
            }
            Ok(())
        })
    }

    /// Performs an [`Action::Persist`](zinnia_raft::Action::Persist): truncates the log, appends
    /// entries, saves the hard state and syncs.
    ///
    /// # Errors
    ///
    /// Returns an error if a write or sync fails. The folder must then be opened again.
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

    /// Saves a snapshot durably and removes the closed journal segments that it covers.
    ///
    /// # Errors
    ///
    /// Returns an error if a write or sync fails. The folder must then be opened again. It then has
    /// either the previous snapshot or the new one, and no entry after that snapshot is lost.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        self.run_write(|s| {
            snapshot::save(&s.folder, snapshot)?;
            s.counters.snapshots += 1;
            if s.journal.active_len() >= s.rotate_bytes {
                s.journal.rotate()?;
            }
            s.counters.removed_segments += s.journal.compact(snapshot.index)? as u64;
            Ok(())
        })
    }

    /// Opens or creates the record file `name` and returns its records.
    ///
    /// # Errors
    ///
    /// Returns an error with file, offset and step if the file is corrupt or cannot be read.
    pub fn open_records(&self, name: &str) -> Result<(RecordFile, Vec<String>), StoreError> {
        RecordFile::open(&self.folder, name)
    }

    /// Opens or creates the record file of withdrawn keys and returns their ids.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Self::open_records`].
    pub fn withdrawn_keys(&self) -> Result<(RecordFile, Vec<String>), StoreError> {
        self.open_records("withdrawn")
    }

    /// Runs a write unless an earlier write or sync failed.
    ///
    /// After a failed sync, the operating system may drop the unsynced data and report success for
    /// the next sync.
    fn run_write(
        &mut self,
        write: impl FnOnce(&mut Self) -> Result<(), StoreError>,
    ) -> Result<(), StoreError> {
        if self.failed {
            return Err(StoreError::new(
                self.folder.dir(),
                "write",
                ErrorCause::NeedsReopen,
            ));
        }
        let result = write(self);
        self.failed = result.is_err();
        result
    }
}

/// Returns an error if the log ends before the commit index. Committed entries were synced, so a
/// missing one means that data was lost.
fn check_commit_index(recovered: &RecoveredState, dir: &Path) -> Result<(), StoreError> {
    let snapshot_index = recovered.snapshot.as_ref().map_or(0, |s| s.index);
    let last_index = recovered.entries.last().map_or(snapshot_index, |e| e.index);
    if recovered.hard.commit <= last_index {
        return Ok(());
    }
    let message = format!("committed entry {} is missing", recovered.hard.commit);
    Err(StoreError::corrupt(dir, 0, "read journal", message))
}

fn lock_folder(folder: &DataFolder) -> Result<File, StoreError> {
    let path = folder.file_path("lock");
    let to_error = |e| StoreError::io(&path, "lock folder", e);
    let file = File::create(&path).map_err(to_error)?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => {
            Err(StoreError::new(&path, "lock folder", ErrorCause::Locked))
        }
        Err(TryLockError::Error(e)) => Err(to_error(e)),
    }
}

fn remove_temp_files(folder: &DataFolder) -> Result<(), StoreError> {
    let suffix = format!(".{TEMP_EXTENSION}");
    for name in folder.file_names()?.iter().filter(|n| n.ends_with(&suffix)) {
        folder.remove(&folder.file_path(name))?;
    }
    Ok(())
}

/// Creates the journal of a folder without identity. Files left by an interrupted initialization
/// are overwritten.
fn create_journal(folder: &DataFolder, numbers: &[u64]) -> Result<Journal, StoreError> {
    let is_empty = journal::has_only_headers(folder, numbers)? && snapshot::load(folder)?.is_none();
    if !is_empty || RecordFile::any_exists(folder)? {
        let message = "the folder has data but no identity";
        return Err(StoreError::corrupt(
            folder.dir(),
            0,
            "read identity",
            message,
        ));
    }
    Journal::create(folder)
}
