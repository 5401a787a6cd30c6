//! Journal: numbered segment files of records.

use std::collections::VecDeque;
use std::path::Path;
use std::path::PathBuf;

use zinnia_raft::HardState;

use crate::StoreError;
use crate::disk::AppendFile;
use crate::disk::DataFolder;
use crate::record;
use crate::replay::JournalRecord;
use crate::replay::JournalReplay;

const READ_STEP: &str = "read journal";
const SEGMENT_PREFIX: &str = "journal-";

/// Closed segment. It is complete and synced.
#[derive(Debug)]
struct ClosedSegment {
    path: PathBuf,
    /// Highest log index in the segment, or 0 if it has no entries.
    last_index: u64,
}

/// Journal that is open for appending.
#[derive(Debug)]
pub(crate) struct Journal {
    folder: DataFolder,
    closed: VecDeque<ClosedSegment>,
    active: AppendFile,
    active_number: u64,
    /// Highest log index in the active segment, or 0 if it has no entries.
    last_index: u64,
    hard_state: HardState,
    /// Encoded records that are not yet written to the file.
    buffer: Vec<u8>,
    /// Whether the active segment has written records that are not yet synced.
    unsynced: bool,
}

fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:016x}")
}

/// Returns the numbers of the segments in the folder, sorted.
pub(crate) fn segment_numbers(folder: &DataFolder) -> Result<Vec<u64>, StoreError> {
    let names = folder.file_names()?;
    let number = |name: &String| u64::from_str_radix(name.strip_prefix(SEGMENT_PREFIX)?, 16).ok();
    Ok(names.iter().filter_map(number).collect())
}

/// Returns whether no segment has a record after its header.
pub(crate) fn has_only_headers(folder: &DataFolder, numbers: &[u64]) -> Result<bool, StoreError> {
    for number in numbers {
        let path = folder.file_path(&segment_name(*number));
        let bytes = folder.read(&path, READ_STEP)?.unwrap_or_default();
        if record::scan(&path, READ_STEP, &bytes)?.records.len() > 1 {
            return Ok(false);
        }
    }
    Ok(true)
}

impl Journal {
    /// Creates a journal with its first segment.
    pub(crate) fn create(folder: &DataFolder) -> Result<Self, StoreError> {
        Ok(Self {
            folder: folder.clone(),
            closed: VecDeque::new(),
            active: create_segment(folder, 1, HardState::default())?,
            active_number: 1,
            last_index: 0,
            hard_state: HardState::default(),
            buffer: Vec::new(),
            unsynced: false,
        })
    }

    /// Reads all segments and opens the last one for appending.
    ///
    /// An incomplete record at the end of the last segment is truncated. With `torn_writes`, the
    /// last segment is also truncated at its first corrupt record.
    pub(crate) fn open(
        folder: &DataFolder,
        numbers: &[u64],
        torn_writes: bool,
    ) -> Result<(Self, JournalReplay), StoreError> {
        let mut replay = JournalReplay::default();
        let mut closed = VecDeque::new();
        let mut active = None;
        for (i, number) in numbers.iter().enumerate() {
            let is_last = i + 1 == numbers.len();
            let path = folder.file_path(&segment_name(*number));
            let bytes = folder.read(&path, READ_STEP)?.unwrap_or_default();
            let scan = match record::scan(&path, READ_STEP, &bytes) {
                Err(_) if torn_writes && is_last => {
                    record::scan_valid_prefix(&path, READ_STEP, &bytes)?
                }
                scan => scan?,
            };
            if scan.is_torn(&bytes) && !is_last {
                let message = "a closed segment ends with an incomplete record";
                return Err(StoreError::corrupt(
                    &path,
                    scan.valid_bytes,
                    READ_STEP,
                    message,
                ));
            }
            if scan.records.is_empty() && is_last && i > 0 {
                // The process stopped before the segment header was synced, so the segment holds no
                // data. Sync the removal: if the file reappeared after a crash, the previous
                // segment would count as closed, and an incomplete record in it would be reported
                // as corrupt.
                folder.remove(&path)?;
                folder.sync_folder()?;
                continue;
            }
            if scan.records.is_empty() {
                let message = "the segment has no header";
                return Err(StoreError::corrupt(&path, 0, READ_STEP, message));
            }
            let last_index = replay_segment(&path, *number, &scan, &mut replay)?;
            if let Some((segment, _, _)) = active.replace((
                ClosedSegment { path, last_index },
                scan.valid_bytes,
                *number,
            )) {
                closed.push_back(segment);
            }
        }
        let Some((segment, valid_bytes, active_number)) = active else {
            let message = "the journal has no segment";
            return Err(StoreError::corrupt(folder.dir(), 0, READ_STEP, message));
        };
        let journal = Self {
            folder: folder.clone(),
            closed,
            active: folder.append(&segment.path, valid_bytes)?,
            active_number,
            last_index: segment.last_index,
            hard_state: replay.hard_state,
            buffer: Vec::new(),
            unsynced: false,
        };
        Ok((journal, replay))
    }

    /// Appends a record to the buffer. A large buffer is written to the file without a sync.
    pub(crate) fn push(&mut self, record: &JournalRecord) -> Result<(), StoreError> {
        match record {
            JournalRecord::Entry(entry) => self.last_index = self.last_index.max(entry.index),
            JournalRecord::HardState(hard) => self.hard_state = *hard,
            JournalRecord::SegmentHeader(..) | JournalRecord::Truncate(_) => {}
        }
        encode_record(&mut self.buffer, record, self.active.path())?;
        if self.buffer.len() >= MAX_BUFFER_BYTES {
            self.flush()?;
        }
        Ok(())
    }

    /// Writes the buffered records to the active segment without a sync.
    fn flush(&mut self) -> Result<(), StoreError> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        self.unsynced = true;
        self.active.write(&self.buffer)?;
        self.buffer.clear();
        Ok(())
    }

    /// Makes all records durable. Returns whether a sync was necessary.
    pub(crate) fn sync(&mut self) -> Result<bool, StoreError> {
        self.flush()?;
        if !self.unsynced {
            return Ok(false);
        }
        self.active.sync()?;
        self.unsynced = false;
        Ok(true)
    }

    /// Returns the size of the active segment in bytes.
    pub(crate) fn active_len(&self) -> u64 {
        self.active.len()
    }

    /// Syncs and closes the active segment, then creates the next one.
    pub(crate) fn rotate(&mut self) -> Result<(), StoreError> {
        self.sync()?;
        let next = create_segment(&self.folder, self.active_number + 1, self.hard_state)?;
        let previous = std::mem::replace(&mut self.active, next);
        self.closed.push_back(ClosedSegment {
            path: previous.path().to_owned(),
            last_index: self.last_index,
        });
        self.active_number += 1;
        self.last_index = 0;
        Ok(())
    }

    /// Removes the oldest closed segments whose entries a snapshot at `index` covers.
    ///
    /// The hard state is kept, because each segment header contains it.
    pub(crate) fn compact(&mut self, index: u64) -> Result<usize, StoreError> {
        let mut removed = 0;
        while self.closed.front().is_some_and(|s| s.last_index <= index)
            && let Some(segment) = self.closed.pop_front()
        {
            self.folder.remove(&segment.path)?;
            removed += 1;
        }
        if removed > 0 {
            self.folder.sync_folder()?;
        }
        Ok(removed)
    }
}

/// Buffer size from which records are written before the next sync.
const MAX_BUFFER_BYTES: usize = 1024 * 1024;

fn encode_record(
    buffer: &mut Vec<u8>,
    record: &JournalRecord,
    path: &Path,
) -> Result<(), StoreError> {
    let content =
        serde_json::to_vec(record).map_err(|e| StoreError::io(path, "encode record", e.into()))?;
    record::encode(buffer, &content);
    Ok(())
}

/// Creates a segment. Its header is synced before its file name.
fn create_segment(
    folder: &DataFolder,
    number: u64,
    hard_state: HardState,
) -> Result<AppendFile, StoreError> {
    let path = folder.file_path(&segment_name(number));
    let mut file = folder.create(&path)?;
    let mut bytes = Vec::new();
    encode_record(
        &mut bytes,
        &JournalRecord::SegmentHeader(number, hard_state),
        &path,
    )?;
    file.write(&bytes)?;
    file.sync()?;
    folder.sync_folder()?;
    Ok(file)
}

/// Replays a segment and returns the highest log index of its entries, or 0 without entries.
fn replay_segment(
    path: &Path,
    number: u64,
    scan: &record::RecordScan<'_>,
    replay: &mut JournalReplay,
) -> Result<u64, StoreError> {
    let mut last_index = 0;
    for (i, (offset, content)) in scan.records.iter().enumerate() {
        let corrupt = |message: String| StoreError::corrupt(path, *offset, READ_STEP, message);
        let record: JournalRecord =
            serde_json::from_slice(content).map_err(|e| corrupt(e.to_string()))?;
        let is_header = matches!(record, JournalRecord::SegmentHeader(n, _) if n == number);
        if is_header != (i == 0) {
            return Err(corrupt(
                "the segment header is missing, misplaced or has another segment number".to_owned(),
            ));
        }
        if let JournalRecord::Entry(entry) = &record {
            last_index = last_index.max(entry.index);
        }
        replay.apply(record);
    }
    Ok(last_index)
}
