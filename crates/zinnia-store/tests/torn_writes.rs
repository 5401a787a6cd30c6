//! Recovery from a power loss on a disk that may tear unsynced writes.

#![expect(clippy::expect_used, reason = "a failed fixture must stop the test")]

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use tempfile::TempDir;
use zinnia_raft::Data;
use zinnia_raft::Entry;
use zinnia_raft::HardState;
use zinnia_raft::Payload;
use zinnia_raft::RecoveredState;
use zinnia_store::Identity;
use zinnia_store::Store;
use zinnia_store::StoreError;
use zinnia_store::StoreOptions;
use zinnia_types::VmId;

fn open_store(dir: &Path, torn_writes: bool) -> Result<(Store, RecoveredState), StoreError> {
    let identity = Identity {
        id: VmId(7),
        cluster: "coaster".to_owned(),
    };
    let options = StoreOptions {
        torn_writes,
        ..StoreOptions::default()
    };
    Store::open_with(dir, &identity, options)
}

fn entry(index: u64) -> Entry {
    Entry {
        index,
        term: 1,
        payload: Payload::Data(Data::from(format!("{{\"n\":{index}}}"))),
    }
}

fn hard_state(commit: u64) -> HardState {
    HardState {
        term: 1,
        vote: None,
        commit,
    }
}

/// Creates a folder with six journal entries. Returns it with the path of the segment and the
/// segment length after the first three entries.
fn folder_with_six_entries() -> (TempDir, PathBuf, usize) {
    let dir = TempDir::new().expect("a temporary folder is created");
    let (mut store, _) = open_store(dir.path(), true).expect("the store opens in a new folder");
    let first: Vec<Entry> = (1..=3).map(entry).collect();
    store
        .persist(Some(&hard_state(2)), None, &first)
        .expect("the write succeeds");
    let path = fs::read_dir(dir.path())
        .expect("the folder can be read")
        .map(|file| file.expect("the folder can be read").path())
        .find(|path| path.to_string_lossy().contains("journal-"))
        .expect("the journal has a segment");
    let len = fs::metadata(&path).expect("the segment has metadata").len();
    let last: Vec<Entry> = (4..=6).map(entry).collect();
    store
        .persist(None, None, &last)
        .expect("the write succeeds");
    let len = usize::try_from(len).expect("the length fits");
    (dir, path, len)
}

/// Guards against a VM that does not start after a power loss, because an unsynced write is torn
/// and a later unsynced write reached the disk.
#[test]
fn torn_write_before_a_complete_write_is_truncated() {
    let (dir, path, synced_len) = folder_with_six_entries();
    let bytes = fs::read(&path).expect("the segment can be read");
    for offset in synced_len..bytes.len() {
        let mut torn = bytes.clone();
        torn[offset] ^= 0x10;
        fs::write(&path, &torn).expect("the write succeeds");
        assert!(
            open_store(dir.path(), false).is_err(),
            "without torn_writes, byte {offset}"
        );
        let (mut store, recovered) =
            open_store(dir.path(), true).expect("the synced entries are complete");
        assert!(recovered.entries.len() >= 3, "byte {offset}");
        assert_eq!(recovered.hard, hard_state(2), "byte {offset}");
        let next = entry(recovered.entries.len() as u64 + 1);
        store
            .persist(None, None, &[next])
            .expect("the write succeeds");
        drop(store);
        let (_, reopened) = open_store(dir.path(), false).expect("the torn write was removed");
        assert_eq!(
            reopened.entries.len(),
            recovered.entries.len() + 1,
            "byte {offset}"
        );
    }
}
