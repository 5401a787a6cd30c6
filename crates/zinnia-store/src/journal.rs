//! The journal: numbered segments of records.

use std::collections::VecDeque;
use std::path::Path;
use std::path::PathBuf;

use zinnia_raft::HardState;

use crate::StoreError;
use crate::disk::Appender;
use crate::disk::Disk;
use crate::record;
use crate::replay::Record;
use crate::replay::Replay;

const STEP: &str = "read journal";
const PREFIX: &str = "journal-";

/// An earlier segment, complete and synced.
#[derive(Debug)]
struct Segment {
    path: PathBuf,
    /// Largest index of its entries; 0 without entries.
    last: u64,
}

/// The journal, open for appending.
#[derive(Debug)]
pub(crate) struct Journal {
    disk: Disk,
    older: VecDeque<Segment>,
    active: Appender,
    number: u64,
    /// Largest index in the active segment.
    last: u64,
    hard: HardState,
    /// Records not yet handed to the operating system.
    buffer: Vec<u8>,
    /// Records written and not yet synced.
    dirty: bool,
}

fn name(number: u64) -> String {
    format!("{PREFIX}{number:016x}")
}

/// Numbers of the segments in the folder, sorted.
pub(crate) fn segments(disk: &Disk) -> Result<Vec<u64>, StoreError> {
    let names = disk.names()?;
    let number = |n: &String| u64::from_str_radix(n.strip_prefix(PREFIX)?, 16).ok();
    Ok(names.iter().filter_map(number).collect())
}

/// Whether the segments hold nothing but their first records.
pub(crate) fn is_blank(disk: &Disk, numbers: &[u64]) -> Result<bool, StoreError> {
    for number in numbers {
        let path = disk.path(&name(*number));
        let bytes = disk.read(&path, STEP)?.unwrap_or_default();
        if record::scan(&path, STEP, &bytes)?.records.len() > 1 {
            return Ok(false);
        }
    }
    Ok(true)
}

impl Journal {
    /// Creates the first segment.
    pub(crate) fn create(disk: &Disk) -> Result<Self, StoreError> {
        Ok(Self {
            disk: disk.clone(),
            older: VecDeque::new(),
            active: begin(disk, 1, HardState::default())?,
            number: 1,
            last: 0,
            hard: HardState::default(),
            buffer: Vec::new(),
            dirty: false,
        })
    }

    /// Reads all segments; a torn record at the end of the last one is cut off, and with `tears` a
    /// damaged one there with all that follows it.
    pub(crate) fn open(
        disk: &Disk,
        numbers: &[u64],
        torn_writes: bool,
    ) -> Result<(Self, Replay), StoreError> {
        let mut replay = Replay::default();
        let mut older = VecDeque::new();
        let mut active = None;
        for (i, number) in numbers.iter().enumerate() {
            let is_final = i + 1 == numbers.len();
            let path = disk.path(&name(*number));
            let bytes = disk.read(&path, STEP)?.unwrap_or_default();
            let scan = match record::scan(&path, STEP, &bytes) {
                Err(_) if torn_writes && is_final => record::scan_sound(&path, STEP, &bytes)?,
                scan => scan?,
            };
            if scan.is_torn(&bytes) && !is_final {
                let why = "a segment that was synced ends inside a record";
                return Err(StoreError::corrupt(&path, scan.valid, STEP, why));
            }
            if scan.records.is_empty() && is_final && i > 0 {
                // The process died while it began this segment; nothing was in it.
                // Were the name to come back, the segment before it would no longer be the last one,
                // and a torn record in it would be refused.
                disk.remove(&path)?;
                disk.sync_folder()?;
                continue;
            }
            if scan.records.is_empty() {
                let why = "the segment has no first record";
                return Err(StoreError::corrupt(&path, 0, STEP, why));
            }
            let last = read_segment(&path, *number, &scan, &mut replay)?;
            if let Some((segment, _, _)) =
                active.replace((Segment { path, last }, scan.valid, *number))
            {
                older.push_back(segment);
            }
        }
        let Some((segment, valid, number)) = active else {
            let why = "the journal has no segment";
            return Err(StoreError::corrupt(disk.dir(), 0, STEP, why));
        };
        let journal = Self {
            disk: disk.clone(),
            older,
            active: disk.append(&segment.path, valid)?,
            number,
            last: segment.last,
            hard: replay.hard,
            buffer: Vec::new(),
            dirty: false,
        };
        Ok((journal, replay))
    }

    /// Queues a record.
    pub(crate) fn push(&mut self, record: &Record) -> Result<(), StoreError> {
        match record {
            Record::Entry(entry) => self.last = self.last.max(entry.index),
            Record::Hard(hard) => self.hard = *hard,
            Record::Begin(..) | Record::Truncate(_) => {}
        }
        add(&mut self.buffer, record, self.active.path())?;
        if self.buffer.len() >= BUFFER_BYTES {
            self.flush()?;
        }
        Ok(())
    }

    /// Hands queued records to the operating system.
    fn flush(&mut self) -> Result<(), StoreError> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        self.dirty = true;
        self.active.write(&self.buffer)?;
        self.buffer.clear();
        Ok(())
    }

    /// Makes all records durable; returns whether a sync was needed.
    pub(crate) fn sync(&mut self) -> Result<bool, StoreError> {
        self.flush()?;
        if !self.dirty {
            return Ok(false);
        }
        self.active.sync()?;
        self.dirty = false;
        Ok(true)
    }

    /// Bytes in the active segment.
    pub(crate) fn len(&self) -> u64 {
        self.active.len()
    }

    /// Begins a new segment.
    pub(crate) fn roll(&mut self) -> Result<(), StoreError> {
        self.sync()?;
        let next = begin(&self.disk, self.number + 1, self.hard)?;
        let full = std::mem::replace(&mut self.active, next);
        self.older.push_back(Segment {
            path: full.path().to_owned(),
            last: self.last,
        });
        self.number += 1;
        self.last = 0;
        Ok(())
    }

    /// Removes the oldest segments whose entries a snapshot up to `index` covers.
    ///
    /// The hard state survives since each segment begins with it.
    pub(crate) fn compact(&mut self, index: u64) -> Result<usize, StoreError> {
        let mut removed = 0;
        while self.older.front().is_some_and(|s| s.last <= index)
            && let Some(segment) = self.older.pop_front()
        {
            self.disk.remove(&segment.path)?;
            removed += 1;
        }
        if removed > 0 {
            self.disk.sync_folder()?;
        }
        Ok(removed)
    }
}

/// Queued bytes that are written without waiting for a sync.
const BUFFER_BYTES: usize = 1024 * 1024;

fn add(buffer: &mut Vec<u8>, record: &Record, path: &Path) -> Result<(), StoreError> {
    let content =
        serde_json::to_vec(record).map_err(|e| StoreError::io(path, "encode record", e.into()))?;
    record::encode(buffer, &content);
    Ok(())
}

/// Creates a segment whose first record is durable before the name is.
fn begin(disk: &Disk, number: u64, hard: HardState) -> Result<Appender, StoreError> {
    let path = disk.path(&name(number));
    let mut file = disk.create(&path)?;
    let mut bytes = Vec::new();
    add(&mut bytes, &Record::Begin(number, hard), &path)?;
    file.write(&bytes)?;
    file.sync()?;
    disk.sync_folder()?;
    Ok(file)
}

/// Replays one segment and returns the largest index of its entries.
fn read_segment(
    path: &Path,
    number: u64,
    scan: &record::Scan<'_>,
    replay: &mut Replay,
) -> Result<u64, StoreError> {
    let mut last = 0;
    for (i, (at, content)) in scan.records.iter().enumerate() {
        let corrupt = |why: String| StoreError::corrupt(path, *at, STEP, why);
        let record: Record = serde_json::from_slice(content).map_err(|e| corrupt(e.to_string()))?;
        let begins = matches!(record, Record::Begin(n, _) if n == number);
        if begins != (i == 0) {
            return Err(corrupt("a segment begins with its own number".to_owned()));
        }
        if let Record::Entry(entry) = &record {
            last = last.max(entry.index);
        }
        replay.take(record);
    }
    Ok(last)
}
