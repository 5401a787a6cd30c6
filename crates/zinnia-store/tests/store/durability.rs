//! Order of the disk operations that make files and folders durable.

use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;

use zinnia_store::DiskHook;
use zinnia_store::DiskOp;
use zinnia_store::Store;
use zinnia_store::StoreOptions;

use crate::common::entries;
use crate::common::open_store;
use crate::common::snapshot;
use crate::common::temp_folder;
use crate::common::test_identity;

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
