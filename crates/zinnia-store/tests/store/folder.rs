//! Lock, identity and record files of a data folder.

use std::fs;

use zinnia_store::ErrorCause;
use zinnia_store::Identity;
use zinnia_store::Store;

use crate::common::folder_with_data;
use crate::common::open_store;
use crate::common::temp_folder;

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
