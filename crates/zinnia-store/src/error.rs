//! Error type of the store.

use std::fmt;
use std::io;
use std::path::Path;
use std::path::PathBuf;

/// Error of a store operation.
#[derive(Debug)]
pub struct StoreError {
    /// File or folder of the failed operation.
    pub file: PathBuf,
    /// Offset in the file, if known.
    pub offset: Option<u64>,
    /// Failed operation, such as `read journal` or `sync`.
    pub step: &'static str,
    /// Cause of the failure.
    pub cause: ErrorCause,
}

/// Cause of a [`StoreError`].
#[derive(Debug)]
pub enum ErrorCause {
    /// The operating system returned an error.
    Io(io::Error),
    /// A file is corrupt or missing.
    Corrupt(String),
    /// Another process has locked the folder.
    Locked,
    /// The folder belongs to another cell.
    ClusterMismatch {
        /// Cluster id in the identity file of the folder.
        found: String,
        /// Cluster id passed to [`Store::open`](crate::Store::open).
        expected: String,
    },
    /// An earlier write or sync failed, so the folder or file must be opened again.
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
        message: impl Into<String>,
    ) -> Self {
        Self {
            offset: Some(offset),
            ..Self::new(file, step, ErrorCause::Corrupt(message.into()))
        }
    }

    /// Returns whether the disk is full or the disk quota is exceeded.
    pub fn is_full(&self) -> bool {
        let ErrorCause::Io(e) = &self.cause else {
            return false;
        };
        matches!(
            e.kind(),
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
        )
    }

    /// Returns whether data is corrupt, so that an operator must clear the folder.
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
            ErrorCause::Corrupt(message) => write!(f, ": corrupt: {message}"),
            ErrorCause::Locked => f.write_str(": another process uses this data folder"),
            ErrorCause::ClusterMismatch { found, expected } => write!(
                f,
                ": the data folder belongs to cluster {found}, but the configured cluster is {expected}"
            ),
            ErrorCause::NeedsReopen => {
                f.write_str(": an earlier write or sync failed; open the data folder again")
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
