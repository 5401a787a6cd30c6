//! Snapshot file.

use std::io;

use serde::Deserialize;
use serde::Serialize;
use zinnia_raft::Data;
use zinnia_raft::Members;
use zinnia_raft::Snapshot;

use crate::StoreError;
use crate::disk::DataFolder;
use crate::record;

const FILE_NAME: &str = "snapshot";
const READ_STEP: &str = "read snapshot";

/// First record of the file. The second record is the snapshot data.
#[derive(Serialize, Deserialize)]
struct SnapshotHeader {
    index: u64,
    term: u64,
    members: Members,
}

pub(crate) fn load(folder: &DataFolder) -> Result<Option<Snapshot>, StoreError> {
    let path = folder.file_path(FILE_NAME);
    let Some(bytes) = folder.read(&path, READ_STEP)? else {
        return Ok(None);
    };
    let scan = record::scan(&path, READ_STEP, &bytes)?;
    // The file is synced before it is renamed to its final name, so an incomplete file is corrupt
    // and not the result of an interrupted write.
    let [(header_offset, header), (data_offset, data)] = scan.records[..] else {
        let message = "expected two records";
        return Err(StoreError::corrupt(
            &path,
            scan.valid_bytes,
            READ_STEP,
            message,
        ));
    };
    let header: SnapshotHeader = serde_json::from_slice(header)
        .map_err(|e| StoreError::corrupt(&path, header_offset, READ_STEP, e.to_string()))?;
    let data = std::str::from_utf8(data)
        .map_err(|e| StoreError::corrupt(&path, data_offset, READ_STEP, e.to_string()))?;
    Ok(Some(Snapshot {
        index: header.index,
        term: header.term,
        members: header.members,
        data: Data::from(data),
    }))
}

pub(crate) fn save(folder: &DataFolder, snapshot: &Snapshot) -> Result<(), StoreError> {
    let path = folder.file_path(FILE_NAME);
    if u32::try_from(snapshot.data.len()).is_err() {
        let cause = io::ErrorKind::FileTooLarge.into();
        return Err(StoreError::io(&path, "encode snapshot", cause));
    }
    let header = SnapshotHeader {
        index: snapshot.index,
        term: snapshot.term,
        members: snapshot.members.clone(),
    };
    let header = serde_json::to_vec(&header)
        .map_err(|e| StoreError::io(&path, "encode snapshot", e.into()))?;
    let mut bytes =
        Vec::with_capacity(header.len() + snapshot.data.len() + 2 * record::HEADER_BYTES);
    record::encode(&mut bytes, &header);
    record::encode(&mut bytes, snapshot.data.as_str().as_bytes());
    folder.replace(&path, &bytes)
}
