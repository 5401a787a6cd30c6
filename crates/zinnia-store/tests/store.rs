//! What a folder gives back after restarts, damage and misuse.

#![expect(
    clippy::expect_used,
    reason = "a broken test folder must stop the test"
)]

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

fn wanted() -> Identity {
    Identity {
        id: VmId(7),
        cluster: "coaster".to_owned(),
    }
}

fn open(dir: &Path) -> Result<(Store, RecoveredState), StoreError> {
    let options = StoreOptions {
        segment_bytes: 512,
        rotate_bytes: 128,
        ..StoreOptions::default()
    };
    Store::open_with(dir, &wanted(), options)
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

fn hard(term: u64, commit: u64) -> HardState {
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

fn folder() -> TempDir {
    tempfile::tempdir().expect("a folder")
}

fn files(dir: &Path, prefix: &str) -> Vec<PathBuf> {
    let mut found: Vec<PathBuf> = fs::read_dir(dir)
        .expect("a folder")
        .map(|item| item.expect("a file").path())
        .filter(|p| {
            p.file_name()
                .is_some_and(|n| n.to_string_lossy().starts_with(prefix))
        })
        .collect();
    found.sort();
    found
}

fn state(hard: HardState, snapshot: Option<Snapshot>, entries: Vec<Entry>) -> RecoveredState {
    RecoveredState {
        hard,
        snapshot,
        entries,
    }
}

/// Guards against state that differs after a restart.
#[test]
fn reopen() {
    struct Case {
        name: &'static str,
        write: fn(&mut Store) -> Result<(), StoreError>,
        want: RecoveredState,
    }
    let cases = [
        Case {
            name: "nothing",
            write: |_| Ok(()),
            want: RecoveredState::default(),
        },
        Case {
            name: "entries and hard state",
            write: |s| s.persist(Some(&hard(2, 1)), None, &entries(1, 3, 2)),
            want: state(hard(2, 1), None, entries(1, 3, 2)),
        },
        Case {
            name: "overruled entries",
            write: |s| {
                s.persist(None, None, &entries(1, 5, 1))?;
                s.persist(Some(&hard(2, 2)), Some(3), &entries(3, 4, 2))
            },
            want: state(
                hard(2, 2),
                None,
                [entries(1, 2, 1), entries(3, 4, 2)].concat(),
            ),
        },
        Case {
            name: "snapshot within the log",
            write: |s| {
                s.persist(None, None, &entries(1, 5, 1))?;
                s.save_snapshot(&snapshot(3, 1))
            },
            want: state(HardState::default(), Some(snapshot(3, 1)), entries(4, 5, 1)),
        },
        Case {
            name: "snapshot ahead of the log and entries after it",
            write: |s| {
                s.persist(None, None, &entries(1, 5, 1))?;
                s.save_snapshot(&snapshot(9, 2))?;
                s.persist(Some(&hard(2, 9)), None, &entries(10, 11, 2))
            },
            want: state(hard(2, 9), Some(snapshot(9, 2)), entries(10, 11, 2)),
        },
        Case {
            name: "500 entries over many segments",
            write: |s| {
                for entry in entries(1, 500, 1) {
                    s.persist(Some(&hard(1, entry.index)), None, &[entry])?;
                }
                s.save_snapshot(&snapshot(490, 1))
            },
            want: state(hard(1, 500), Some(snapshot(490, 1)), entries(491, 500, 1)),
        },
    ];
    for case in cases {
        let dir = folder();
        let (mut store, found) = open(dir.path()).expect("a new folder");
        assert!(store.is_new());
        assert_eq!(found, RecoveredState::default());
        (case.write)(&mut store).expect("a write");
        drop(store);
        for _ in 0..2 {
            let (store, found) = open(dir.path()).expect(case.name);
            assert!(!store.is_new());
            assert_eq!(found, case.want, "{}", case.name);
        }
    }
}

/// Guards against a journal that grows without bound, and against a lost vote when it is cut.
#[test]
fn compaction() {
    let dir = folder();
    let (mut store, _) = open(dir.path()).expect("a new folder");
    store
        .persist(Some(&hard(5, 0)), None, &[])
        .expect("a write");
    for i in 1..=2_000 {
        store.persist(None, None, &[entry(i, 5)]).expect("a write");
        if i % 100 == 0 {
            store.save_snapshot(&snapshot(i, 5)).expect("a snapshot");
            assert!(files(dir.path(), "journal-").len() <= 2);
        }
    }
    drop(store);
    let (_, found) = open(dir.path()).expect("a folder");
    assert_eq!(found.hard, hard(5, 0));
    assert!(found.entries.is_empty());
}

/// Opens a folder and records the operations on it.
fn open_recorded(dir: &Path) -> (Store, Arc<Mutex<Vec<DiskOp>>>) {
    let ops = Arc::new(Mutex::new(Vec::new()));
    let seen = ops.clone();
    let gate: DiskHook = Arc::new(move |op| {
        seen.lock().expect("a lock").push(op.clone());
        Ok(u64::MAX)
    });
    let options = StoreOptions {
        disk_hook: Some(gate),
        ..StoreOptions::default()
    };
    let (store, _) = Store::open_with(dir, &wanted(), options).expect("a folder");
    (store, ops)
}

/// Guards against a segment that was begun, removed at a start and back after a crash: the segment
/// before it would then count as closed, and a torn record in it stop the start.
#[test]
fn removal_of_a_begun_segment_is_durable() {
    let dir = folder();
    drop(open(dir.path()).expect("a new folder"));
    let begun = dir.path().join("journal-0000000000000002");
    fs::write(&begun, "").expect("a write");
    let (_store, ops) = open_recorded(dir.path());
    let ops = ops.lock().expect("a lock");
    let removed = ops
        .iter()
        .position(|op| *op == DiskOp::Remove(begun.clone()));
    let synced = ops.iter().rposition(|op| *op == DiskOp::SyncFolder);
    assert!(removed.is_some() && removed < synced, "{ops:?}");
}

/// Guards against a segment closed before its records are durable: a crash would leave it torn, and
/// only the last segment may be.
#[test]
fn closed_segments_are_durable() {
    let dir = folder();
    let (mut store, ops) = open_recorded(dir.path());
    store.append(&entries(1, 40_000, 1)).expect("a write");
    store.save_snapshot(&snapshot(1, 1)).expect("a snapshot");
    let ops = ops.lock().expect("a lock");
    let first = dir.path().join("journal-0000000000000001");
    let second = dir.path().join("journal-0000000000000002");
    let len = fs::metadata(&first).expect("a segment").len();
    let durable = ops.iter().position(|op| {
        *op == DiskOp::Sync {
            file: first.clone(),
            len,
        }
    });
    let begun = ops
        .iter()
        .position(|op| *op == DiskOp::Create(second.clone()));
    assert!(
        len > 1_000_000 && durable.is_some() && durable < begun,
        "{durable:?} {begun:?}"
    );
}

/// A folder with two segments, a snapshot and a record file.
fn filled() -> TempDir {
    let dir = folder();
    let (mut store, _) = open(dir.path()).expect("a new folder");
    store.save_snapshot(&snapshot(1, 0)).expect("a snapshot");
    for entry in entries(2, 12, 1) {
        store
            .persist(Some(&hard(1, 1)), None, &[entry])
            .expect("a write");
    }
    let (mut keys, _) = store.withdrawn_keys().expect("a file");
    keys.append(&["k1", "k2"]).expect("a write");
    assert!(files(dir.path(), "journal-").len() >= 2);
    dir
}

/// Guards against a torn last record that stops the start or takes synced records with it.
#[test]
fn torn_tail() {
    let dir = filled();
    let (_, whole) = open(dir.path()).expect("a folder");
    let path = files(dir.path(), "journal-").pop().expect("a segment");
    let bytes = fs::read(&path).expect("a segment");
    let mut seen = whole.entries.len();
    for len in (0..bytes.len()).rev() {
        fs::write(&path, &bytes[..len]).expect("a write");
        let (mut store, found) = open(dir.path()).expect("a torn record is dropped");
        let count = found.entries.len();
        assert!(count <= seen, "a shorter file gives more");
        assert_eq!(found.entries, whole.entries[..count], "cut at {len}");
        seen = count;
        // A record shorter than the torn one must not leave the rest of it behind.
        store.persist(None, Some(13), &[]).expect("a write");
        drop(store);
        let (_, again) = open(dir.path()).expect("nothing of the torn record is left");
        assert_eq!(again.entries, found.entries, "cut at {len}");
    }
    assert!(seen < whole.entries.len());
}

/// Guards against damage that goes unnoticed: each single changed byte of each file is refused with
/// file, offset and step.
#[test]
fn damage() {
    let dir = filled();
    let names = ["journal-", "snapshot", "identity", "records-"];
    for path in names.iter().flat_map(|n| files(dir.path(), n)) {
        let bytes = fs::read(&path).expect("a file");
        for at in 0..bytes.len() {
            let mut bad = bytes.clone();
            bad[at] ^= 0x10;
            fs::write(&path, &bad).expect("a write");
            let opened = open(dir.path()).and_then(|(s, _)| s.withdrawn_keys().map(drop));
            let error = opened.expect_err("damage is refused");
            assert!(error.is_corrupt(), "{error}");
            assert_eq!(error.file, path);
            assert!(
                error.offset.is_some_and(|o| o <= at as u64),
                "{error}, changed {at}"
            );
            assert!(error.step.starts_with("read "), "{error}");
        }
        fs::write(&path, &bytes).expect("a write");
    }
    assert!(open(dir.path()).is_ok());
}

/// Guards against folders that look usable and are not: a lost file must not make a VM vote twice.
#[test]
fn refusals() {
    struct Case {
        name: &'static str,
        spoil: fn(&Path),
        want: fn(&ErrorCause) -> bool,
    }
    let corrupt = |c: &ErrorCause| matches!(c, ErrorCause::Corrupt(_));
    let cases = [
        Case {
            name: "identity lost",
            spoil: |dir| fs::remove_file(dir.join("identity")).expect("a file"),
            want: corrupt,
        },
        Case {
            name: "only the snapshot left",
            spoil: |dir| {
                let names = ["identity", "journal-", "records-"];
                for path in names.iter().flat_map(|n| files(dir, n)) {
                    fs::remove_file(path).expect("a file");
                }
            },
            want: corrupt,
        },
        Case {
            name: "only record files left",
            spoil: |dir| {
                for path in ["identity", "journal-", "snapshot"]
                    .iter()
                    .flat_map(|n| files(dir, n))
                {
                    fs::remove_file(path).expect("a file");
                }
            },
            want: corrupt,
        },
        Case {
            name: "journal lost",
            spoil: |dir| {
                for path in files(dir, "journal-") {
                    fs::remove_file(path).expect("a file");
                }
            },
            want: corrupt,
        },
        Case {
            name: "snapshot lost",
            spoil: |dir| fs::remove_file(dir.join("snapshot")).expect("a file"),
            want: corrupt,
        },
        Case {
            name: "first segment lost",
            spoil: |dir| fs::remove_file(&files(dir, "journal-")[0]).expect("a file"),
            want: corrupt,
        },
        Case {
            name: "earlier segment ends inside a record",
            spoil: |dir| {
                let path = &files(dir, "journal-")[0];
                let bytes = fs::read(path).expect("a segment");
                fs::write(path, &bytes[..bytes.len() - 1]).expect("a write");
            },
            want: corrupt,
        },
        Case {
            name: "zeros after the last record",
            spoil: |dir| {
                let path = files(dir, "journal-").pop().expect("a segment");
                let mut bytes = fs::read(&path).expect("a segment");
                bytes.extend([0; 64]);
                fs::write(path, bytes).expect("a write");
            },
            want: corrupt,
        },
        Case {
            name: "folder of another cell",
            spoil: |dir| {
                fs::remove_dir_all(dir).expect("a folder");
                let other = Identity {
                    cluster: "consortium".to_owned(),
                    ..wanted()
                };
                Store::open(dir, &other).expect("a new folder");
            },
            want: |c| matches!(c, ErrorCause::ClusterMismatch { .. }),
        },
    ];
    for case in cases {
        let dir = filled();
        (case.spoil)(dir.path());
        let error = open(dir.path()).map(drop).expect_err(case.name);
        assert!((case.want)(&error.cause), "{}: {error}", case.name);
    }
}

/// Guards against two processes on one folder, and against an id that changes or is reused.
#[test]
fn identity() {
    let dir = folder();
    let first = Identity::generate("coaster").expect("random bytes");
    let second = Identity::generate("coaster").expect("random bytes");
    assert_ne!(first.id, second.id);
    let (store, _) = Store::open(dir.path(), &first).expect("a new folder");
    let error = Store::open(dir.path(), &second)
        .map(drop)
        .expect_err("a locked folder");
    assert!(matches!(error.cause, ErrorCause::Locked), "{error}");
    drop(store);
    // A process that died while it saved a snapshot leaves this behind.
    let rest = dir.path().join("snapshot.tmp");
    fs::write(&rest, "part").expect("a write");
    let (store, _) = Store::open(dir.path(), &second).expect("a folder");
    assert!(!rest.exists(), "unfinished files pile up");
    assert_eq!(store.identity(), &first, "an existing folder keeps its id");
}

/// Guards against withdrawn keys that come back.
#[test]
fn records() {
    let dir = filled();
    let read = || {
        let (store, _) = open(dir.path()).expect("a folder");
        store.withdrawn_keys().expect("a file")
    };
    let (mut file, texts) = read();
    assert_eq!(texts, ["k1", "k2"]);
    file.append(&["k3"]).expect("a write");
    let path = dir.path().join("records-withdrawn");
    let bytes = fs::read(&path).expect("a file");
    fs::write(&path, &bytes[..bytes.len() - 1]).expect("a write");
    let (mut file, texts) = read();
    assert_eq!(texts, ["k1", "k2"], "a torn record is dropped");
    file.append(&["k4"]).expect("a write");
    assert_eq!(read().1, ["k1", "k2", "k4"]);
    file.replace(&["k9"]).expect("a write");
    file.append(&["k10"]).expect("a write");
    assert_eq!(read().1, ["k9", "k10"]);
}
