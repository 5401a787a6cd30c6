//! Recovery of a data folder after restarts, torn writes, data corruption and lost files.

#![expect(clippy::expect_used, reason = "a failed fixture must stop the test")]

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;

use tempfile::TempDir;
use zinnia_raft::Data;
use zinnia_raft::Entry;
use zinnia_raft::HardState;
use zinnia_raft::Member;
use zinnia_raft::Members;
use zinnia_raft::Payload;
use zinnia_raft::RecoveredState;
use zinnia_raft::Snapshot;
use zinnia_store::DiskHook;
use zinnia_store::DiskOp;
use zinnia_store::ErrorCause;
use zinnia_store::Identity;
use zinnia_store::Store;
use zinnia_store::StoreError;
use zinnia_store::StoreOptions;
use zinnia_types::VmId;

fn test_identity() -> Identity {
    Identity {
        id: VmId(7),
        cluster: "coaster".to_owned(),
    }
}

fn open_store(dir: &Path) -> Result<(Store, RecoveredState), StoreError> {
    let options = StoreOptions {
        segment_bytes: 512,
        rotate_bytes: 128,
        ..StoreOptions::default()
    };
    Store::open_with(dir, &test_identity(), options)
}

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        payload: Payload::Data(Data::from(format!("{{\"n\":{index}}}"))),
    }
}

fn entries(from: u64, to: u64, term: u64) -> Vec<Entry> {
    (from..=to).map(|i| entry(i, term)).collect()
}

fn hard_state(term: u64, commit: u64) -> HardState {
    HardState {
        term,
        vote: Some(VmId(3)),
        commit,
    }
}

fn snapshot(index: u64, term: u64) -> Snapshot {
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

fn temp_folder() -> TempDir {
    tempfile::tempdir().expect("a temporary folder is created")
}

fn files_with_prefix(dir: &Path, prefix: &str) -> Vec<PathBuf> {
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

fn recovered_state(
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

/// Guards against a recovered state that differs from the written state.
#[test]
fn written_state_is_recovered() {
    struct Case {
        name: &'static str,
        write: fn(&mut Store) -> Result<(), StoreError>,
        expected: RecoveredState,
    }
    let cases = [
        Case {
            name: "no writes",
            write: |_| Ok(()),
            expected: RecoveredState::default(),
        },
        Case {
            name: "entries and hard state",
            write: |s| s.persist(Some(&hard_state(2, 1)), None, &entries(1, 3, 2)),
            expected: recovered_state(hard_state(2, 1), None, entries(1, 3, 2)),
        },
        Case {
            name: "truncated entries",
            write: |s| {
                s.persist(None, None, &entries(1, 5, 1))?;
                s.persist(Some(&hard_state(2, 2)), Some(3), &entries(3, 4, 2))
            },
            expected: recovered_state(
                hard_state(2, 2),
                None,
                [entries(1, 2, 1), entries(3, 4, 2)].concat(),
            ),
        },
        Case {
            name: "snapshot before the last entry",
            write: |s| {
                s.persist(None, None, &entries(1, 5, 1))?;
                s.save_snapshot(&snapshot(3, 1))
            },
            expected: recovered_state(HardState::default(), Some(snapshot(3, 1)), entries(4, 5, 1)),
        },
        Case {
            name: "snapshot after the last entry, then entries after the snapshot",
            write: |s| {
                s.persist(None, None, &entries(1, 5, 1))?;
                s.save_snapshot(&snapshot(9, 2))?;
                s.persist(Some(&hard_state(2, 9)), None, &entries(10, 11, 2))
            },
            expected: recovered_state(hard_state(2, 9), Some(snapshot(9, 2)), entries(10, 11, 2)),
        },
        Case {
            name: "500 entries in many segments",
            write: |s| {
                for entry in entries(1, 500, 1) {
                    s.persist(Some(&hard_state(1, entry.index)), None, &[entry])?;
                }
                s.save_snapshot(&snapshot(490, 1))
            },
            expected: recovered_state(
                hard_state(1, 500),
                Some(snapshot(490, 1)),
                entries(491, 500, 1),
            ),
        },
    ];
    for case in cases {
        let dir = temp_folder();
        let (mut store, recovered) =
            open_store(dir.path()).expect("the store opens in a new folder");
        assert!(store.is_new());
        assert_eq!(recovered, RecoveredState::default());
        (case.write)(&mut store).expect("the write succeeds");
        drop(store);
        for _ in 0..2 {
            let (store, recovered) = open_store(dir.path()).expect(case.name);
            assert!(!store.is_new());
            assert_eq!(recovered, case.expected, "{}", case.name);
        }
    }
}

/// Guards against a journal that grows without bound, and against a vote lost by the removal of
/// segments.
#[test]
fn compaction_bounds_the_journal_and_keeps_the_vote() {
    let dir = temp_folder();
    let (mut store, _) = open_store(dir.path()).expect("the store opens in a new folder");
    store
        .persist(Some(&hard_state(5, 0)), None, &[])
        .expect("the write succeeds");
    for i in 1..=2_000 {
        store
            .persist(None, None, &[entry(i, 5)])
            .expect("the write succeeds");
        if i % 100 == 0 {
            store
                .save_snapshot(&snapshot(i, 5))
                .expect("the snapshot is saved");
            assert!(files_with_prefix(dir.path(), "journal-").len() <= 2);
        }
    }
    drop(store);
    let (_, recovered) = open_store(dir.path()).expect("the store opens");
    assert_eq!(recovered.hard, hard_state(5, 0));
    assert!(recovered.entries.is_empty());
}

/// Opens a store and records its disk operations.
fn open_with_recorded_ops(dir: &Path) -> (Store, Arc<Mutex<Vec<DiskOp>>>) {
    let ops = Arc::new(Mutex::new(Vec::new()));
    let hook_ops = ops.clone();
    let disk_hook: DiskHook = Arc::new(move |op| {
        hook_ops
            .lock()
            .expect("the lock is not poisoned")
            .push(op.clone());
        Ok(u64::MAX)
    });
    let options = StoreOptions {
        disk_hook: Some(disk_hook),
        ..StoreOptions::default()
    };
    let (store, _) = Store::open_with(dir, &test_identity(), options).expect("the store opens");
    (store, ops)
}

/// Guards against an empty segment that is removed when the store opens and reappears after a
/// crash. The previous segment would count as closed, and an incomplete record in it would be an
/// error.
#[test]
fn removal_of_an_empty_segment_is_durable() {
    let dir = temp_folder();
    drop(open_store(dir.path()).expect("the store opens in a new folder"));
    let empty_segment = dir.path().join("journal-0000000000000002");
    fs::write(&empty_segment, "").expect("the write succeeds");
    let (_store, ops) = open_with_recorded_ops(dir.path());
    let ops = ops.lock().expect("the lock is not poisoned");
    let remove = ops
        .iter()
        .position(|op| *op == DiskOp::Remove(empty_segment.clone()));
    let folder_sync = ops.iter().rposition(|op| *op == DiskOp::SyncFolder);
    assert!(remove.is_some() && remove < folder_sync, "{ops:?}");
}

/// Guards against the loss of a whole new data folder with the power, because its name in the parent
/// folder is not durable.
#[test]
fn a_new_data_folder_is_durable() {
    struct Case {
        name: &'static str,
        path: &'static str,
        synced: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "the folder exists",
            path: "",
            synced: &[],
        },
        Case {
            name: "the folder is new",
            path: "data",
            synced: &[""],
        },
        Case {
            name: "two folders are new",
            path: "vm/data",
            synced: &["vm", ""],
        },
    ];
    for case in cases {
        let dir = temp_folder();
        let (_store, ops) = open_with_recorded_ops(&dir.path().join(case.path));
        let ops = ops.lock().expect("the lock is not poisoned");
        let synced: Vec<_> = ops
            .iter()
            .filter_map(|op| match op {
                DiskOp::SyncParent(parent) => Some(parent.clone()),
                _ => None,
            })
            .collect();
        let expected: Vec<_> = case.synced.iter().map(|d| dir.path().join(d)).collect();
        assert_eq!(synced, expected, "{}", case.name);
    }
}

/// Guards against a segment that is closed before its records are durable. A crash could leave an
/// incomplete record in it, which is allowed only in the last segment.
#[test]
fn closed_segments_are_durable() {
    let dir = temp_folder();
    let (mut store, ops) = open_with_recorded_ops(dir.path());
    store
        .append(&entries(1, 40_000, 1))
        .expect("the write succeeds");
    store
        .save_snapshot(&snapshot(1, 1))
        .expect("the snapshot is saved");
    let ops = ops.lock().expect("the lock is not poisoned");
    let first = dir.path().join("journal-0000000000000001");
    let second = dir.path().join("journal-0000000000000002");
    let len = fs::metadata(&first)
        .expect("the segment has metadata")
        .len();
    let first_sync = ops.iter().position(|op| {
        *op == DiskOp::Sync {
            file: first.clone(),
            len,
        }
    });
    let second_create = ops
        .iter()
        .position(|op| *op == DiskOp::Create(second.clone()));
    assert!(
        len > 1_000_000 && first_sync.is_some() && first_sync < second_create,
        "{first_sync:?} {second_create:?}"
    );
}

/// Creates a folder with at least two segments, a snapshot and a record file.
fn folder_with_data() -> TempDir {
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

/// Guards against an incomplete last record that prevents the store from opening or that loses the
/// complete records before it.
#[test]
fn torn_tail_is_truncated() {
    let dir = folder_with_data();
    let (_, complete) = open_store(dir.path()).expect("the store opens");
    let path = files_with_prefix(dir.path(), "journal-")
        .pop()
        .expect("the journal has a segment");
    let bytes = fs::read(&path).expect("the segment can be read");
    let mut previous_count = complete.entries.len();
    for len in (0..bytes.len()).rev() {
        fs::write(&path, &bytes[..len]).expect("the write succeeds");
        let (mut store, recovered) =
            open_store(dir.path()).expect("an incomplete record is truncated");
        let count = recovered.entries.len();
        assert!(count <= previous_count, "a shorter file has more entries");
        assert_eq!(
            recovered.entries,
            complete.entries[..count],
            "truncated to {len}"
        );
        previous_count = count;
        // Write a record that may be shorter than the incomplete one. No bytes of the incomplete
        // record may remain after it.
        store
            .persist(None, Some(13), &[])
            .expect("the write succeeds");
        drop(store);
        let (_, reopened) = open_store(dir.path()).expect("the incomplete record was removed");
        assert_eq!(reopened.entries, recovered.entries, "truncated to {len}");
    }
    assert!(previous_count < complete.entries.len());
}

/// Guards against undetected data corruption. Each changed byte of each file must give an error
/// with file, offset and step.
#[test]
fn corrupt_bytes_are_detected() {
    let dir = folder_with_data();
    let prefixes = ["journal-", "snapshot", "identity", "records-"];
    for path in prefixes
        .iter()
        .flat_map(|prefix| files_with_prefix(dir.path(), prefix))
    {
        let bytes = fs::read(&path).expect("the file can be read");
        for changed_offset in 0..bytes.len() {
            let mut corrupt = bytes.clone();
            corrupt[changed_offset] ^= 0x10;
            fs::write(&path, &corrupt).expect("the write succeeds");
            let result = open_store(dir.path()).and_then(|(s, _)| s.withdrawn_keys().map(drop));
            let error = result.expect_err("the corrupt file is rejected");
            assert!(error.is_corrupt(), "{error}");
            assert_eq!(error.file, path);
            assert!(
                error.offset.is_some_and(|o| o <= changed_offset as u64),
                "{error}, changed byte {changed_offset}"
            );
            assert!(error.step.starts_with("read "), "{error}");
        }
        fs::write(&path, &bytes).expect("the write succeeds");
    }
    assert!(open_store(dir.path()).is_ok());
}

/// Guards against opening a folder with lost or corrupt data, or of another cell. With lost data, a
/// VM could vote twice in a term.
#[test]
fn inconsistent_folders_are_rejected() {
    struct Case {
        name: &'static str,
        modify: fn(&Path),
        expected: fn(&ErrorCause) -> bool,
    }
    let is_corrupt = |c: &ErrorCause| matches!(c, ErrorCause::Corrupt(_));
    let cases = [
        Case {
            name: "missing identity",
            modify: |dir| fs::remove_file(dir.join("identity")).expect("the file is removed"),
            expected: is_corrupt,
        },
        Case {
            name: "only a snapshot",
            modify: |dir| {
                let prefixes = ["identity", "journal-", "records-"];
                for path in prefixes
                    .iter()
                    .flat_map(|prefix| files_with_prefix(dir, prefix))
                {
                    fs::remove_file(path).expect("the file is removed");
                }
            },
            expected: is_corrupt,
        },
        Case {
            name: "only record files",
            modify: |dir| {
                for path in ["identity", "journal-", "snapshot"]
                    .iter()
                    .flat_map(|prefix| files_with_prefix(dir, prefix))
                {
                    fs::remove_file(path).expect("the file is removed");
                }
            },
            expected: is_corrupt,
        },
        Case {
            name: "missing journal",
            modify: |dir| {
                for path in files_with_prefix(dir, "journal-") {
                    fs::remove_file(path).expect("the file is removed");
                }
            },
            expected: is_corrupt,
        },
        Case {
            name: "missing snapshot",
            modify: |dir| fs::remove_file(dir.join("snapshot")).expect("the file is removed"),
            expected: is_corrupt,
        },
        Case {
            name: "missing first segment",
            modify: |dir| {
                fs::remove_file(&files_with_prefix(dir, "journal-")[0])
                    .expect("the file is removed");
            },
            expected: is_corrupt,
        },
        Case {
            name: "closed segment with an incomplete last record",
            modify: |dir| {
                let path = &files_with_prefix(dir, "journal-")[0];
                let bytes = fs::read(path).expect("the segment can be read");
                fs::write(path, &bytes[..bytes.len() - 1]).expect("the write succeeds");
            },
            expected: is_corrupt,
        },
        Case {
            name: "zeros after the last record",
            modify: |dir| {
                let path = files_with_prefix(dir, "journal-")
                    .pop()
                    .expect("the journal has a segment");
                let mut bytes = fs::read(&path).expect("the segment can be read");
                bytes.extend([0; 64]);
                fs::write(path, bytes).expect("the write succeeds");
            },
            expected: is_corrupt,
        },
        Case {
            name: "folder of another cell",
            modify: |dir| {
                fs::remove_dir_all(dir).expect("the folder is removed");
                let other = Identity {
                    cluster: "consortium".to_owned(),
                    ..test_identity()
                };
                Store::open(dir, &other).expect("the store opens in a new folder");
            },
            expected: |c| matches!(c, ErrorCause::ClusterMismatch { .. }),
        },
    ];
    for case in cases {
        let dir = folder_with_data();
        (case.modify)(dir.path());
        let error = open_store(dir.path()).map(drop).expect_err(case.name);
        assert!((case.expected)(&error.cause), "{}: {error}", case.name);
    }
}

/// Guards against two stores that open the same folder, and against VM ids that change or repeat.
#[test]
fn folder_is_locked_and_keeps_its_identity() {
    let dir = temp_folder();
    let first = Identity::generate("coaster").expect("the system provides random bytes");
    let second = Identity::generate("coaster").expect("the system provides random bytes");
    assert_ne!(first.id, second.id);
    let (store, _) = Store::open(dir.path(), &first).expect("the store opens in a new folder");
    let error = Store::open(dir.path(), &second)
        .map(drop)
        .expect_err("the locked folder is rejected");
    assert!(matches!(error.cause, ErrorCause::Locked), "{error}");
    drop(store);
    // A process that stops while it saves a snapshot leaves a temporary file.
    let temp_file = dir.path().join("snapshot.tmp");
    fs::write(&temp_file, "part").expect("the write succeeds");
    let (store, _) = Store::open(dir.path(), &second).expect("the store opens");
    assert!(!temp_file.exists(), "temporary files are not removed");
    assert_eq!(
        store.identity(),
        &first,
        "an existing folder keeps its identity"
    );
}

/// Guards against a record file that loses records or restores replaced ones. A lost id of a
/// withdrawn key would make the key valid again.
#[test]
fn record_file_keeps_appended_and_replaced_records() {
    let dir = folder_with_data();
    let open_record_file = || {
        let (store, _) = open_store(dir.path()).expect("the store opens");
        store.withdrawn_keys().expect("the record file opens")
    };
    let (mut file, texts) = open_record_file();
    assert_eq!(texts, ["k1", "k2"]);
    file.append(&["k3"]).expect("the write succeeds");
    let path = dir.path().join("records-withdrawn");
    let bytes = fs::read(&path).expect("the file can be read");
    fs::write(&path, &bytes[..bytes.len() - 1]).expect("the write succeeds");
    let (mut file, texts) = open_record_file();
    assert_eq!(texts, ["k1", "k2"], "an incomplete record is truncated");
    file.append(&["k4"]).expect("the write succeeds");
    assert_eq!(open_record_file().1, ["k1", "k2", "k4"]);
    file.replace(&["k9"]).expect("the write succeeds");
    file.append(&["k10"]).expect("the write succeeds");
    assert_eq!(open_record_file().1, ["k9", "k10"]);
}
