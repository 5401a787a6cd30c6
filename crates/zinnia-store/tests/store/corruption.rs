//! Recovery of a data folder after torn writes, data corruption and lost files.

use std::fs;
use std::path::Path;

use zinnia_store::ErrorCause;
use zinnia_store::Identity;
use zinnia_store::Store;

use crate::common::files_with_prefix;
use crate::common::folder_with_data;
use crate::common::open_store;
use crate::common::test_identity;

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
