//! A small append-only file of text records, such as the ids of withdrawn keys.

use crate::StoreError;
use crate::disk::Appender;
use crate::disk::Disk;
use crate::error::ErrorCause;
use crate::record;

const STEP: &str = "read records";
const PREFIX: &str = "records-";

/// Text records in one file of the data folder.
#[derive(Debug)]
pub struct RecordFile {
    file: Appender,
    disk: Disk,
    failed: bool,
}

impl RecordFile {
    /// Opens or creates the file and returns its records in the order of writing.
    pub(crate) fn open(disk: &Disk, name: &str) -> Result<(Self, Vec<String>), StoreError> {
        let path = disk.path(&format!("{PREFIX}{name}"));
        let Some(bytes) = disk.read(&path, STEP)? else {
            let file = disk.create(&path)?;
            disk.sync_folder()?;
            return Ok((Self::new(file, disk), Vec::new()));
        };
        let scan = record::scan(&path, STEP, &bytes)?;
        let mut texts = Vec::with_capacity(scan.records.len());
        for (at, content) in &scan.records {
            let text = std::str::from_utf8(content)
                .map_err(|e| StoreError::corrupt(&path, *at, STEP, e.to_string()))?;
            texts.push(text.to_owned());
        }
        let file = disk.append(&path, scan.valid)?;
        Ok((Self::new(file, disk), texts))
    }

    /// Whether the folder has any such file.
    pub(crate) fn exists(disk: &Disk) -> Result<bool, StoreError> {
        Ok(disk.names()?.iter().any(|name| name.starts_with(PREFIX)))
    }

    fn new(file: Appender, disk: &Disk) -> Self {
        Self {
            file,
            disk: disk.clone(),
            failed: false,
        }
    }

    /// Adds records and syncs them with one sync.
    ///
    /// # Errors
    ///
    /// Returns the failed write or sync; afterwards the file must be opened again.
    pub fn append<T: AsRef<str>>(&mut self, texts: &[T]) -> Result<(), StoreError> {
        self.check()?;
        let bytes = frame(texts);
        let done = self.file.write(&bytes).and_then(|()| self.file.sync());
        self.failed = done.is_err();
        done
    }

    /// Replaces all records as a whole.
    ///
    /// # Errors
    ///
    /// Returns the failed write or sync; afterwards the file must be opened again.
    pub fn replace<T: AsRef<str>>(&mut self, texts: &[T]) -> Result<(), StoreError> {
        self.check()?;
        let path = self.file.path().to_owned();
        let bytes = frame(texts);
        let done = self
            .disk
            .replace(&path, &bytes)
            .and_then(|()| self.disk.append(&path, bytes.len() as u64));
        self.failed = done.is_err();
        self.file = done?;
        Ok(())
    }

    fn check(&self) -> Result<(), StoreError> {
        if self.failed {
            let path = self.file.path();
            return Err(StoreError::new(
                path,
                "append records",
                ErrorCause::NeedsReopen,
            ));
        }
        Ok(())
    }
}

fn frame<T: AsRef<str>>(texts: &[T]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for text in texts {
        record::encode(&mut bytes, text.as_ref().as_bytes());
    }
    bytes
}
