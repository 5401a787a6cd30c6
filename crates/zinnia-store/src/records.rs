//! Append-only files of text records, such as the ids of withdrawn keys.

use crate::StoreError;
use crate::disk::AppendFile;
use crate::disk::DataFolder;
use crate::error::ErrorCause;
use crate::record;

const READ_STEP: &str = "read records";
const FILE_PREFIX: &str = "records-";

/// File of text records in the data folder.
#[derive(Debug)]
pub struct RecordFile {
    file: AppendFile,
    folder: DataFolder,
    failed: bool,
}

impl RecordFile {
    /// Opens or creates the file and returns its records in write order.
    pub(crate) fn open(folder: &DataFolder, name: &str) -> Result<(Self, Vec<String>), StoreError> {
        let path = folder.file_path(&format!("{FILE_PREFIX}{name}"));
        let Some(bytes) = folder.read(&path, READ_STEP)? else {
            let file = folder.create(&path)?;
            folder.sync_folder()?;
            return Ok((Self::new(file, folder), Vec::new()));
        };
        let scan = record::scan(&path, READ_STEP, &bytes)?;
        let mut texts = Vec::with_capacity(scan.records.len());
        for (offset, content) in &scan.records {
            let text = std::str::from_utf8(content)
                .map_err(|e| StoreError::corrupt(&path, *offset, READ_STEP, e.to_string()))?;
            texts.push(text.to_owned());
        }
        let file = folder.append(&path, scan.valid_bytes)?;
        Ok((Self::new(file, folder), texts))
    }

    /// Returns whether the folder contains any record file.
    pub(crate) fn any_exists(folder: &DataFolder) -> Result<bool, StoreError> {
        Ok(folder
            .file_names()?
            .iter()
            .any(|name| name.starts_with(FILE_PREFIX)))
    }

    fn new(file: AppendFile, folder: &DataFolder) -> Self {
        Self {
            file,
            folder: folder.clone(),
            failed: false,
        }
    }

    /// Appends records and makes them durable with one sync.
    ///
    /// # Errors
    ///
    /// Returns an error if the write or sync fails. The file must then be opened again.
    pub fn append<T: AsRef<str>>(&mut self, texts: &[T]) -> Result<(), StoreError> {
        self.check_not_failed()?;
        let bytes = encode_records(texts);
        let result = self.file.write(&bytes).and_then(|()| self.file.sync());
        self.failed = result.is_err();
        result
    }

    /// Replaces all records atomically.
    ///
    /// # Errors
    ///
    /// Returns an error if the write or sync fails. The file must then be opened again.
    pub fn replace<T: AsRef<str>>(&mut self, texts: &[T]) -> Result<(), StoreError> {
        self.check_not_failed()?;
        let path = self.file.path().to_owned();
        let bytes = encode_records(texts);
        let result = self
            .folder
            .replace(&path, &bytes)
            .and_then(|()| self.folder.append(&path, bytes.len() as u64));
        self.failed = result.is_err();
        self.file = result?;
        Ok(())
    }

    /// Returns an error if an earlier write or sync failed.
    fn check_not_failed(&self) -> Result<(), StoreError> {
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

fn encode_records<T: AsRef<str>>(texts: &[T]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for text in texts {
        record::encode(&mut bytes, text.as_ref().as_bytes());
    }
    bytes
}
