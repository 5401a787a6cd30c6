//! Fixtures: entries, snapshots and data folders.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use tempfile::TempDir;
use zinnia_raft::Data;
use zinnia_raft::Entry;
use zinnia_raft::HardState;
use zinnia_raft::Member;
use zinnia_raft::Members;
use zinnia_raft::Payload;
use zinnia_raft::RecoveredState;
use zinnia_raft::Snapshot;
use zinnia_store::Identity;
use zinnia_store::Store;
use zinnia_store::StoreError;
use zinnia_store::StoreOptions;
use zinnia_types::VmId;

pub(crate) fn test_identity() -> Identity {
    Identity {
        id: VmId(7),
        cluster: "coaster".to_owned(),
    }
}

pub(crate) fn open_store(dir: &Path) -> Result<(Store, RecoveredState), StoreError> {
    let options = StoreOptions {
        segment_bytes: 512,
        rotate_bytes: 128,
        ..StoreOptions::default()
    };
    Store::open_with(dir, &test_identity(), options)
}

pub(crate) fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        payload: Payload::Data(Data::from(format!("{{\"n\":{index}}}"))),
    }
}

pub(crate) fn entries(from: u64, to: u64, term: u64) -> Vec<Entry> {
    (from..=to).map(|i| entry(i, term)).collect()
}

pub(crate) fn hard_state(term: u64, commit: u64) -> HardState {
    HardState {
        term,
        vote: Some(VmId(3)),
        commit,
    }
}

pub(crate) fn snapshot(index: u64, term: u64) -> Snapshot {
    let member = Member {
        id: VmId(3),
        peer: "10.0.0.3:7000".to_owned(),
        http: String::new(),
        voter: true,
    };
    Snapshot {
        index,
        term,
        members: Members::from(vec![member]),
        data: Data::from(format!("state at {index} ü")),
    }
}

pub(crate) fn temp_folder() -> TempDir {
    tempfile::tempdir().expect("a temporary folder is created")
}

pub(crate) fn files_with_prefix(dir: &Path, prefix: &str) -> Vec<PathBuf> {
    let mut paths: Vec<PathBuf> = fs::read_dir(dir)
        .expect("the folder can be read")
        .map(|file| file.expect("the folder can be read").path())
        .filter(|p| {
            p.file_name()
                .is_some_and(|n| n.to_string_lossy().starts_with(prefix))
        })
        .collect();
    paths.sort();
    paths
}

pub(crate) fn recovered_state(
    hard: HardState,
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
) -> RecoveredState {
    RecoveredState {
        hard,
        snapshot,
        entries,
    }
}

/// Creates a folder with at least two segments, a snapshot and a record file.
pub(crate) fn folder_with_data() -> TempDir {
    let dir = temp_folder();
    let (mut store, _) = open_store(dir.path()).expect("the store opens in a new folder");
    store
        .save_snapshot(&snapshot(1, 0))
        .expect("the snapshot is saved");
    for entry in entries(2, 12, 1) {
        store
            .persist(Some(&hard_state(1, 1)), None, &[entry])
            .expect("the write succeeds");
    }
    let (mut withdrawn_keys, _) = store.withdrawn_keys().expect("the record file opens");
    withdrawn_keys
        .append(&["k1", "k2"])
        .expect("the write succeeds");
    assert!(files_with_prefix(dir.path(), "journal-").len() >= 2);
    dir
}
