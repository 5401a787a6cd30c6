//! Recovery of the written state, and compaction of the journal.

use zinnia_raft::HardState;
use zinnia_raft::RecoveredState;
use zinnia_store::Store;
use zinnia_store::StoreError;

use crate::common::entries;
use crate::common::entry;
use crate::common::files_with_prefix;
use crate::common::hard_state;
use crate::common::open_store;
use crate::common::recovered_state;
use crate::common::snapshot;
use crate::common::temp_folder;

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
