//! File operations, each of which passes a gate first.

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

/// An operation on the disk that is about to happen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskOp {
    /// A file is created, which is durable after [`Self::SyncFolder`].
    Create(PathBuf),
    /// `len` bytes are added at the end of a file that has `offset` bytes.
    Write {
        /// File.
        file: PathBuf,
        /// Its length before.
        offset: u64,
        /// Bytes to add.
        len: usize,
    },
    /// The first `len` bytes of a file are made durable.
    Sync {
        /// File.
        file: PathBuf,
        /// Its length.
        len: u64,
    },
    /// A file is renamed, which is durable after [`Self::SyncFolder`].
    Rename {
        /// Old name.
        from: PathBuf,
        /// New name.
        to: PathBuf,
    },
    /// A file is removed, which is durable after [`Self::SyncFolder`].
    Remove(PathBuf),
    /// Names in the folder are made durable.
    SyncFolder,
}

/// Decides whether an operation may happen; tests inject failures here.
///
/// The answer is the number of bytes that a write may add, `u64::MAX` for no bound. A write that is
/// cut short fails as if the disk were full.
pub type DiskHook = Arc<dyn Fn(&DiskOp) -> io::Result<u64> + Send + Sync>;

/// The data folder.
#[derive(Clone)]
pub(crate) struct Disk {
    dir: PathBuf,
    hook: Option<DiskHook>,
}

impl fmt::Debug for Disk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Disk({})", self.dir.display())
    }
}

impl Disk {
    pub(crate) fn new(dir: &Path, hook: Option<DiskHook>) -> Result<Self, StoreError> {
        fs::create_dir_all(dir).map_err(|e| StoreError::io(dir, "create folder", e))?;
        Ok(Self {
            dir: dir.to_owned(),
            hook,
        })
    }

    pub(crate) fn dir(&self) -> &Path {
        &self.dir
    }

    pub(crate) fn path(&self, name: &str) -> PathBuf {
        self.dir.join(name)
    }

    fn pass(&self, op: &DiskOp) -> io::Result<u64> {
        match &self.hook {
            Some(hook) => hook(op),
            None => Ok(u64::MAX),
        }
    }

    /// Content of a file, or `None` when it does not exist.
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

    /// Names of all files in the folder, sorted.
    pub(crate) fn names(&self) -> Result<Vec<String>, StoreError> {
        let fail = |e| StoreError::io(&self.dir, "list folder", e);
        let mut names = Vec::new();
        for item in fs::read_dir(&self.dir).map_err(fail)? {
            let name = item.map_err(fail)?.file_name();
            names.extend(name.into_string().ok());
        }
        names.sort();
        Ok(names)
    }

    /// Creates an empty file to append to; an existing one is emptied.
    pub(crate) fn create(&self, path: &Path) -> Result<Appender, StoreError> {
        let fail = |e| StoreError::io(path, "create file", e);
        self.pass(&DiskOp::Create(path.to_owned())).map_err(fail)?;
        let mut options = OpenOptions::new();
        options.write(true).create(true).truncate(true);
        Ok(Appender {
            file: options.open(path).map_err(fail)?,
            path: path.to_owned(),
            disk: self.clone(),
            len: 0,
        })
    }

    /// Opens a file to append after its first `len` bytes; what follows is cut off.
    pub(crate) fn append(&self, path: &Path, len: u64) -> Result<Appender, StoreError> {
        let fail = |e| StoreError::io(path, "open file", e);
        let mut file = OpenOptions::new().write(true).open(path).map_err(fail)?;
        file.set_len(len).map_err(fail)?;
        io::Seek::seek(&mut file, io::SeekFrom::Start(len)).map_err(fail)?;
        let appender = Appender {
            file,
            path: path.to_owned(),
            disk: self.clone(),
            len,
        };
        appender.sync()?;
        Ok(appender)
    }

    pub(crate) fn remove(&self, path: &Path) -> Result<(), StoreError> {
        let fail = |e| StoreError::io(path, "remove file", e);
        self.pass(&DiskOp::Remove(path.to_owned())).map_err(fail)?;
        fs::remove_file(path).map_err(fail)
    }

    pub(crate) fn sync_folder(&self) -> Result<(), StoreError> {
        let fail = |e| StoreError::io(&self.dir, "sync folder", e);
        self.pass(&DiskOp::SyncFolder).map_err(fail)?;
        File::open(&self.dir)
            .and_then(|dir| dir.sync_all())
            .map_err(fail)
    }

    /// Replaces a file as a whole: after a crash either the old or the new content is there.
    pub(crate) fn replace(&self, path: &Path, bytes: &[u8]) -> Result<(), StoreError> {
        let temp = path.with_extension(TEMP);
        let mut file = self.create(&temp)?;
        file.write(bytes)?;
        file.sync()?;
        let fail = |e| StoreError::io(path, "rename file", e);
        let op = DiskOp::Rename {
            from: temp.clone(),
            to: path.to_owned(),
        };
        self.pass(&op).map_err(fail)?;
        fs::rename(&temp, path).map_err(fail)?;
        self.sync_folder()
    }
}

/// Extension of files that are not complete yet.
pub(crate) const TEMP: &str = "tmp";

/// A file that only grows.
#[derive(Debug)]
pub(crate) struct Appender {
    file: File,
    path: PathBuf,
    disk: Disk,
    len: u64,
}

impl Appender {
    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    pub(crate) fn len(&self) -> u64 {
        self.len
    }

    pub(crate) fn write(&mut self, bytes: &[u8]) -> Result<(), StoreError> {
        let fail = |e| StoreError::io(&self.path, "write", e);
        let op = DiskOp::Write {
            file: self.path.clone(),
            offset: self.len,
            len: bytes.len(),
        };
        let room = self.disk.pass(&op).map_err(fail)?;
        let room = usize::try_from(room).unwrap_or(usize::MAX);
        let fits = bytes.get(..room).unwrap_or(bytes);
        self.file.write_all(fits).map_err(fail)?;
        if fits.len() < bytes.len() {
            return Err(fail(io::ErrorKind::StorageFull.into()));
        }
        self.len += bytes.len() as u64;
        Ok(())
    }

    pub(crate) fn sync(&self) -> Result<(), StoreError> {
        let fail = |e| StoreError::io(&self.path, "sync", e);
        let op = DiskOp::Sync {
            file: self.path.clone(),
            len: self.len,
        };
        self.disk.pass(&op).map_err(fail)?;
        self.file.sync_data().map_err(fail)
    }
}
