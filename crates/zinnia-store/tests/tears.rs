//! A disk that leaves any part of the writes since the last sync at a loss of power.

#![expect(
    clippy::expect_used,
    reason = "a broken test folder must stop the test"
)]

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

fn open(dir: &Path, torn_writes: bool) -> Result<(Store, RecoveredState), StoreError> {
    let wanted = Identity {
        id: VmId(7),
        cluster: "coaster".to_owned(),
    };
    let options = StoreOptions {
        torn_writes,
        ..StoreOptions::default()
    };
    Store::open_with(dir, &wanted, options)
}

fn entry(index: u64) -> Entry {
    Entry {
        index,
        term: 1,
        payload: Payload::Data(Data::from(format!("{{\"n\":{index}}}"))),
    }
}

fn hard(commit: u64) -> HardState {
    HardState {
        term: 1,
        vote: None,
        commit,
    }
}

/// A folder whose journal has three synced entries, and three written after the last sync.
fn folder() -> (TempDir, PathBuf, usize) {
    let dir = TempDir::new().expect("a folder");
    let (mut store, _) = open(dir.path(), true).expect("a new folder");
    let synced: Vec<Entry> = (1..=3).map(entry).collect();
    store
        .persist(Some(&hard(2)), None, &synced)
        .expect("a write");
    let path = fs::read_dir(dir.path())
        .expect("a folder")
        .map(|f| f.expect("a file").path())
        .find(|p| p.to_string_lossy().contains("journal-"))
        .expect("a segment");
    let len = fs::metadata(&path).expect("a file").len();
    let later: Vec<Entry> = (4..=6).map(entry).collect();
    store.persist(None, None, &later).expect("a write");
    let len = usize::try_from(len).expect("a small file");
    (dir, path, len)
}

/// Guards against a member that refuses to start after a loss of power, because a later unsynced
/// write is there and an earlier one is torn.
#[test]
fn a_hole_in_the_unsynced_tail() {
    let (dir, path, synced) = folder();
    let bytes = fs::read(&path).expect("a segment");
    for at in synced..bytes.len() {
        let mut torn = bytes.clone();
        torn[at] ^= 0x10;
        fs::write(&path, &torn).expect("a write");
        assert!(
            open(dir.path(), false).is_err(),
            "without torn_writes, byte {at}"
        );
        let (mut store, found) = open(dir.path(), true).expect("the synced part is whole");
        assert!(found.entries.len() >= 3, "byte {at}");
        assert_eq!(found.hard, hard(2), "byte {at}");
        let next = entry(found.entries.len() as u64 + 1);
        store.persist(None, None, &[next]).expect("a write");
        drop(store);
        let (_, again) = open(dir.path(), false).expect("nothing of the torn write is left");
        assert_eq!(again.entries.len(), found.entries.len() + 1, "byte {at}");
    }
}
