//! Errors of the store.

use std::fmt;
use std::io;
use std::path::Path;
use std::path::PathBuf;

/// Why an operation of the store failed, and where.
#[derive(Debug)]
pub struct StoreError {
    /// File or folder concerned.
    pub file: PathBuf,
    /// Byte within the file, where one is known.
    pub offset: Option<u64>,
    /// Step that failed, such as `read journal` or `sync`.
    pub step: &'static str,
    /// Reason.
    pub cause: ErrorCause,
}

/// Reason of a [`StoreError`].
#[derive(Debug)]
pub enum ErrorCause {
    /// The operating system refused the operation.
    Io(io::Error),
    /// The content is not what was written.
    Corrupt(String),
    /// Another process holds the folder.
    Locked,
    /// The folder belongs to another cell.
    ClusterMismatch {
        /// Cluster id of the folder.
        found: String,
        /// Cluster id of the settings.
        expected: String,
    },
    /// An earlier write or sync failed; the folder must be opened again.
    NeedsReopen,
}

impl StoreError {
    pub(crate) fn new(file: &Path, step: &'static str, cause: ErrorCause) -> Self {
        Self {
            file: file.to_owned(),
            offset: None,
            step,
            cause,
        }
    }

    pub(crate) fn io(file: &Path, step: &'static str, cause: io::Error) -> Self {
        Self::new(file, step, ErrorCause::Io(cause))
    }

    pub(crate) fn corrupt(
        file: &Path,
        offset: u64,
        step: &'static str,
        why: impl Into<String>,
    ) -> Self {
        Self {
            offset: Some(offset),
            ..Self::new(file, step, ErrorCause::Corrupt(why.into()))
        }
    }

    /// Whether the disk is full or a quota is used up.
    pub fn is_full(&self) -> bool {
        let ErrorCause::Io(e) = &self.cause else {
            return false;
        };
        matches!(
            e.kind(),
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
        )
    }

    /// Whether the content is damaged, so that the folder must be cleared by an operator.
    pub fn is_corrupt(&self) -> bool {
        matches!(self.cause, ErrorCause::Corrupt(_))
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.step, self.file.display())?;
        if let Some(offset) = self.offset {
            write!(f, " at byte {offset}")?;
        }
        match &self.cause {
            ErrorCause::Io(e) => write!(f, ": {e}"),
            ErrorCause::Corrupt(why) => write!(f, ": corrupt: {why}"),
            ErrorCause::Locked => f.write_str(": another process uses this data folder"),
            ErrorCause::ClusterMismatch { found, expected } => write!(
                f,
                ": the data folder belongs to cluster {found}, the settings name {expected}"
            ),
            ErrorCause::NeedsReopen => {
                f.write_str(": an earlier write failed; the data folder must be opened again")
            }
        }
    }
}

impl std::error::Error for StoreError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match &self.cause {
            ErrorCause::Io(e) => Some(e),
            _ => None,
        }
    }
}
