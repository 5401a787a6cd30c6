//! File operations in the data folder. Writes call a hook that tests use to inject failures.

use std::fmt;
use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use crate::StoreError;

/// Disk operation that the store is about to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskOp {
    /// Create a file. Its name is durable after [`Self::SyncFolder`].
    Create(PathBuf),
    /// Append `len` bytes to a file of `offset` bytes.
    Write {
        /// Path of the file.
        file: PathBuf,
        /// File length before the write.
        offset: u64,
        /// Number of bytes to append.
        len: usize,
    },
    /// Sync the first `len` bytes of a file to disk.
    Sync {
        /// Path of the file.
        file: PathBuf,
        /// File length.
        len: u64,
    },
    /// Rename a file. The new name is durable after [`Self::SyncFolder`].
    Rename {
        /// Old path.
        from: PathBuf,
        /// New path.
        to: PathBuf,
    },
    /// Remove a file. The removal is durable after [`Self::SyncFolder`].
    Remove(PathBuf),
    /// Sync the data folder, which makes created, renamed and removed file names durable.
    SyncFolder,
    /// Sync the folder in which the data folder, or a folder above it, was created.
    SyncParent(PathBuf),
}

/// Hook called before each [`DiskOp`]. Tests use it to inject disk failures.
///
/// For a write, it returns the maximum number of bytes to write. `u64::MAX` means no limit. A write
/// that exceeds this number is cut short and fails with [`io::ErrorKind::StorageFull`].
pub type DiskHook = Arc<dyn Fn(&DiskOp) -> io::Result<u64> + Send + Sync>;

/// Data folder of a store.
#[derive(Clone)]
pub(crate) struct DataFolder {
    dir: PathBuf,
    hook: Option<DiskHook>,
}

impl fmt::Debug for DataFolder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "DataFolder({})", self.dir.display())
    }
}

impl DataFolder {
    /// Opens the folder and creates it if it does not exist.
    pub(crate) fn open_or_create(dir: &Path, hook: Option<DiskHook>) -> Result<Self, StoreError> {
        let missing = dir.ancestors().take_while(|d| !d.exists());
        let created: Vec<&Path> = missing.filter(|d| !d.as_os_str().is_empty()).collect();
        fs::create_dir_all(dir).map_err(|e| StoreError::io(dir, "create folder", e))?;
        let folder = Self {
            dir: dir.to_owned(),
            hook,
        };
        // Without its name in the parent, the folder and all synced files in it would be lost with
        // the power.
        for parent in created.iter().filter_map(|d| d.parent()) {
            folder.sync_parent(parent)?;
        }
        Ok(folder)
    }

    pub(crate) fn dir(&self) -> &Path {
        &self.dir
    }

    pub(crate) fn file_path(&self, name: &str) -> PathBuf {
        self.dir.join(name)
    }

    /// Calls the hook and returns the maximum number of bytes that a write may write.
    fn call_hook(&self, op: &DiskOp) -> io::Result<u64> {
        match &self.hook {
            Some(hook) => hook(op),
            None => Ok(u64::MAX),
        }
    }

    /// Reads a whole file. Returns `None` if it does not exist.
    pub(crate) fn read(
        &self,
        path: &Path,
        step: &'static str,
    ) -> Result<Option<Vec<u8>>, StoreError> {
        match fs::read(path) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(StoreError::io(path, step, e)),
        }
    }

    /// Returns the names of all files in the folder, sorted.
    pub(crate) fn file_names(&self) -> Result<Vec<String>, StoreError> {
        let to_error = |e| StoreError::io(&self.dir, "list folder", e);
        let mut names = Vec::new();
        for dir_entry in fs::read_dir(&self.dir).map_err(to_error)? {
            let name = dir_entry.map_err(to_error)?.file_name();
            names.extend(name.into_string().ok());
        }
        names.sort();
        Ok(names)
    }

    /// Creates an empty file for appending. An existing file is truncated.
    pub(crate) fn create(&self, path: &Path) -> Result<AppendFile, StoreError> {
        let to_error = |e| StoreError::io(path, "create file", e);
        self.call_hook(&DiskOp::Create(path.to_owned()))
            .map_err(to_error)?;
        let mut options = OpenOptions::new();
        options.write(true).create(true).truncate(true);
        Ok(AppendFile {
            file: options.open(path).map_err(to_error)?,
            path: path.to_owned(),
            folder: self.clone(),
            len: 0,
        })
    }

    /// Truncates a file to `len` bytes, syncs it and opens it for appending.
    pub(crate) fn append(&self, path: &Path, len: u64) -> Result<AppendFile, StoreError> {
        let to_error = |e| StoreError::io(path, "open file", e);
        let mut file = OpenOptions::new()
            .write(true)
            .open(path)
            .map_err(to_error)?;
        file.set_len(len).map_err(to_error)?;
        io::Seek::seek(&mut file, io::SeekFrom::Start(len)).map_err(to_error)?;
        let append_file = AppendFile {
            file,
            path: path.to_owned(),
            folder: self.clone(),
            len,
        };
        append_file.sync()?;
        Ok(append_file)
    }

    pub(crate) fn remove(&self, path: &Path) -> Result<(), StoreError> {
        let to_error = |e| StoreError::io(path, "remove file", e);
        self.call_hook(&DiskOp::Remove(path.to_owned()))
            .map_err(to_error)?;
        fs::remove_file(path).map_err(to_error)
    }

    pub(crate) fn sync_folder(&self) -> Result<(), StoreError> {
        let to_error = |e| StoreError::io(&self.dir, "sync folder", e);
        self.call_hook(&DiskOp::SyncFolder).map_err(to_error)?;
        File::open(&self.dir)
            .and_then(|dir| dir.sync_all())
            .map_err(to_error)
    }

    fn sync_parent(&self, parent: &Path) -> Result<(), StoreError> {
        // The parent of a relative path with one component is the working directory.
        let parent = match parent.as_os_str().is_empty() {
            true => Path::new("."),
            false => parent,
        };
        let to_error = |e| StoreError::io(parent, "sync parent folder", e);
        self.call_hook(&DiskOp::SyncParent(parent.to_owned()))
            .map_err(to_error)?;
        File::open(parent)
            .and_then(|dir| dir.sync_all())
            .map_err(to_error)
    }

    /// Replaces a file atomically. After a crash, it has either the old or the new content.
    pub(crate) fn replace(&self, path: &Path, bytes: &[u8]) -> Result<(), StoreError> {
        let temp_path = path.with_extension(TEMP_EXTENSION);
        let mut file = self.create(&temp_path)?;
        file.write(bytes)?;
        file.sync()?;
        let to_error = |e| StoreError::io(path, "rename file", e);
        let op = DiskOp::Rename {
            from: temp_path.clone(),
            to: path.to_owned(),
        };
        self.call_hook(&op).map_err(to_error)?;
        fs::rename(&temp_path, path).map_err(to_error)?;
        self.sync_folder()
    }
}

/// Extension of incomplete files. They are removed when the store opens.
pub(crate) const TEMP_EXTENSION: &str = "tmp";

/// Append-only file.
#[derive(Debug)]
pub(crate) struct AppendFile {
    file: File,
    path: PathBuf,
    folder: DataFolder,
    len: u64,
}

impl AppendFile {
    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    pub(crate) fn len(&self) -> u64 {
        self.len
    }

    pub(crate) fn write(&mut self, bytes: &[u8]) -> Result<(), StoreError> {
        let to_error = |e| StoreError::io(&self.path, "write", e);
        let op = DiskOp::Write {
            file: self.path.clone(),
            offset: self.len,
            len: bytes.len(),
        };
        let max_bytes = self.folder.call_hook(&op).map_err(to_error)?;
        let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
        let allowed = bytes.get(..max_bytes).unwrap_or(bytes);
        self.file.write_all(allowed).map_err(to_error)?;
        if allowed.len() < bytes.len() {
            return Err(to_error(io::ErrorKind::StorageFull.into()));
        }
        self.len += bytes.len() as u64;
        Ok(())
    }

    pub(crate) fn sync(&self) -> Result<(), StoreError> {
        let to_error = |e| StoreError::io(&self.path, "sync", e);
        let op = DiskOp::Sync {
            file: self.path.clone(),
            len: self.len,
        };
        self.folder.call_hook(&op).map_err(to_error)?;
        self.file.sync_data().map_err(to_error)
    }
}
