//! Thread that owns the store.
//!
//! A sync may take seconds on a slow disk. The log thread does not wait for it, so that it keeps
//! contact with other nodes and, on the leader, commits entries that the disks of a quorum hold.

use std::sync::mpsc;

use zinnia_raft::Entry;
use zinnia_raft::HardState;
use zinnia_raft::Snapshot;
use zinnia_store::Store;
use zinnia_store::StoreError;

use crate::clock;

/// Duration of a write, including its sync, from which a warning is logged.
const SLOW_WRITE_MS: u64 = 100;

/// What the disk thread writes.
pub(crate) enum Job {
    /// Truncate the log, append entries and write the hard state.
    Persist {
        hard: Option<HardState>,
        truncate: Option<u64>,
        entries: Vec<Entry>,
    },
    /// Save a snapshot.
    SaveSnapshot(Snapshot),
    /// Use this store, after the previous one failed.
    Open(Box<Store>),
}

/// Input of the disk thread.
pub(crate) enum Command {
    /// Perform a job with this number.
    Perform(u64, Job),
    /// Save a snapshot and reply whether there is an open store. After an error, the store is closed
    /// as for [`Report::Failed`].
    SaveNow(Snapshot, mpsc::Sender<Result<bool, StoreError>>),
    /// Close the store, reply and end the thread.
    Close(mpsc::Sender<()>),
}

/// What the disk thread reports to the log thread.
pub(crate) enum Report {
    /// All jobs up to this number are on the disk.
    Synced(u64),
    /// A write failed. The store is closed and all jobs until [`Job::Open`] are dropped.
    Failed(StoreError),
}

/// State of the disk thread.
pub(crate) struct DiskThread {
    /// `None` after a failed write.
    pub(crate) store: Option<Store>,
    pub(crate) commands: mpsc::Receiver<Command>,
    pub(crate) report: Box<dyn Fn(Report) + Send>,
}

impl DiskThread {
    pub(crate) fn run(mut self) {
        while let Ok(first) = self.commands.recv() {
            let mut batch = vec![first];
            batch.extend(self.commands.try_iter());
            if self.perform_batch(batch) {
                return;
            }
        }
    }

    /// Performs commands in order. Their writes share one sync. Returns whether the thread must end.
    fn perform_batch(&mut self, batch: Vec<Command>) -> bool {
        let began = clock::now();
        let mut last_job = None;
        for command in batch {
            match command {
                Command::Perform(number, job) => {
                    if self.attempt(|disk| disk.perform(job)) {
                        last_job = Some(number);
                    }
                }
                Command::SaveNow(snapshot, reply) => {
                    let saved = self.save_now(&snapshot);
                    if saved.is_err() {
                        self.store = None;
                    }
                    let _ = reply.send(saved);
                }
                Command::Close(reply) => {
                    self.store = None;
                    let _ = reply.send(());
                    return true;
                }
            }
        }
        let synced = self.attempt(|disk| disk.store.as_mut().map_or(Ok(()), Store::sync));
        if synced && let Some(number) = last_job {
            (self.report)(Report::Synced(number));
        }
        let ms = clock::now().since(began);
        metrics::histogram!("zinnia_log_write_ms").record(ms as f64);
        if ms >= SLOW_WRITE_MS {
            tracing::warn!(
                event = "disk",
                ms,
                "write to the log was slow; the disk may be overloaded"
            );
        }
        false
    }

    /// Calls `write`. After an error, closes the store and reports it. Returns whether there is an
    /// open store and the write succeeded.
    fn attempt(&mut self, write: impl FnOnce(&mut Self) -> Result<(), StoreError>) -> bool {
        if let Err(error) = write(self) {
            // Closed before the report, since the log thread may open the folder again at once.
            self.store = None;
            (self.report)(Report::Failed(error));
        }
        self.store.is_some()
    }

    fn perform(&mut self, job: Job) -> Result<(), StoreError> {
        match job {
            Job::Persist {
                hard,
                truncate,
                entries,
            } => {
                let Some(store) = self.store.as_mut() else {
                    return Ok(());
                };
                if let Some(from) = truncate {
                    store.truncate(from)?;
                }
                store.append(&entries)?;
                hard.map_or(Ok(()), |hard| store.save_hard_state(&hard))
            }
            Job::SaveSnapshot(snapshot) => self.save_now(&snapshot).map(|_| ()),
            Job::Open(store) => {
                self.store = Some(*store);
                Ok(())
            }
        }
    }

    /// Saves a snapshot after all earlier writes. Returns `false` if the store is closed.
    fn save_now(&mut self, snapshot: &Snapshot) -> Result<bool, StoreError> {
        let Some(store) = self.store.as_mut() else {
            return Ok(false);
        };
        store.sync()?;
        store.save_snapshot(snapshot)?;
        Ok(true)
    }
}
