//! Failed writes and syncs, full disks, and crashes that lose unsynced data.

#![expect(clippy::expect_used, reason = "a failed fixture must stop the test")]

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use zinnia_raft::Data;
use zinnia_raft::Entry;
use zinnia_raft::HardState;
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

/// Disk that fails one operation and can simulate a crash, which loses unsynced data.
#[derive(Default)]
struct FaultyDisk {
    /// Number of operations so far.
    operations: usize,
    /// Number of the operation that fails, counted from 1.
    failing_operation: usize,
    /// Whether all operations fail that need room.
    full: bool,
    /// Bytes that a failing operation writes before the error.
    partial_bytes: u64,
    /// Durable length of each file by its current path.
    synced_len: BTreeMap<PathBuf, u64>,
    /// Durable content of each path that changed since the last sync of the folder. `None` for a
    /// file that did not exist.
    durable_content: BTreeMap<PathBuf, Option<Vec<u8>>>,
}

impl FaultyDisk {
    /// Stores the durable content of a path before its name changes.
    fn keep_durable_content(&mut self, path: &Path) {
        let content = fs::read(path).ok().map(|mut bytes| {
            let len = self.synced_len.get(path).copied().unwrap_or(0);
            bytes.truncate(usize::try_from(len).unwrap_or(usize::MAX));
            bytes
        });
        self.durable_content
            .entry(path.to_owned())
            .or_insert(content);
    }

    /// Records an operation. Returns the maximum number of bytes to write.
    fn on_operation(&mut self, op: &DiskOp) -> io::Result<u64> {
        self.operations += 1;
        let needs_room = matches!(op, DiskOp::Create(_) | DiskOp::Write { .. });
        let fails = self.operations == self.failing_operation || (self.full && needs_room);
        if fails && !matches!(op, DiskOp::Write { .. }) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        match op {
            DiskOp::Create(path) => {
                self.keep_durable_content(path);
                self.synced_len.insert(path.clone(), 0);
            }
            DiskOp::Write { .. } => return Ok(if fails { self.partial_bytes } else { u64::MAX }),
            DiskOp::Sync { file, len } => {
                self.synced_len.insert(file.clone(), *len);
            }
            DiskOp::Rename { from, to } => {
                self.keep_durable_content(to);
                self.keep_durable_content(from);
                let len = self.synced_len.remove(from).unwrap_or(0);
                self.synced_len.insert(to.clone(), len);
            }
            DiskOp::Remove(path) => self.keep_durable_content(path),
            DiskOp::SyncFolder => self.durable_content.clear(),
            // The crash keeps the data folder itself.
            DiskOp::SyncParent(_) => {}
        }
        Ok(u64::MAX)
    }

    /// Simulates a crash: keeps `kept_percent` percent of the unsynced bytes of each file and, with
    /// `undo_names`, undoes name changes since the last sync of the folder.
    fn crash(&self, kept_percent: u64, undo_names: bool) {
        for (path, synced_len) in &self.synced_len {
            let Ok(bytes) = fs::read(path) else { continue };
            let len = bytes.len() as u64;
            let kept = synced_len + (len - synced_len.min(&len)) * kept_percent / 100;
            let kept = usize::try_from(kept).unwrap_or(usize::MAX).min(bytes.len());
            fs::write(path, &bytes[..kept]).expect("the write succeeds");
        }
        for (path, content) in self.durable_content.iter().filter(|_| undo_names) {
            match content {
                Some(bytes) => fs::write(path, bytes).expect("the write succeeds"),
                None => drop(fs::remove_file(path)),
            }
        }
    }
}

fn open_store(
    dir: &Path,
    faulty_disk: &Arc<Mutex<FaultyDisk>>,
) -> Result<(Store, RecoveredState), StoreError> {
    let faulty_disk = faulty_disk.clone();
    let disk_hook: DiskHook = Arc::new(move |op| match faulty_disk.lock() {
        Ok(mut faulty_disk) => faulty_disk.on_operation(op),
        Err(_) => Err(io::ErrorKind::Other.into()),
    });
    let identity = Identity {
        id: VmId(7),
        cluster: "coaster".to_owned(),
    };
    let options = StoreOptions {
        segment_bytes: 300,
        rotate_bytes: 100,
        disk_hook: Some(disk_hook),
        ..StoreOptions::default()
    };
    Store::open_with(dir, &identity, options)
}

/// Write that a Raft node requests from the store.
#[derive(Clone, Debug)]
enum StoreWrite {
    /// Append one entry.
    Append,
    /// Remove the last `count` entries, but none that the snapshot covers.
    Truncate { count: u64 },
    /// Save a new term and vote.
    SaveVote,
    /// Save a snapshot that leaves up to `retained` entries after it.
    SaveSnapshot { retained: u64 },
}

/// Performs a write on the model and then on the store.
fn perform_write(
    store: &mut Store,
    model: &mut RecoveredState,
    write: &StoreWrite,
) -> Result<(), StoreError> {
    let snapshot_index = model.snapshot.as_ref().map_or(0, |s| s.index);
    let last_index = snapshot_index + model.entries.len() as u64;
    match write {
        StoreWrite::Append => {
            let entry = Entry {
                index: last_index + 1,
                term: model.hard.term,
                payload: Payload::Data(Data::from("content of an entry")),
            };
            model.entries.push(entry.clone());
            store.persist(None, None, &[entry])
        }
        StoreWrite::Truncate { count } => {
            let from = last_index.saturating_sub(*count).max(snapshot_index) + 1;
            model.entries.retain(|e| e.index < from);
            store.persist(None, Some(from), &[])
        }
        StoreWrite::SaveVote => {
            model.hard.term += 1;
            model.hard.vote = Some(VmId(model.hard.term));
            let hard_state: HardState = model.hard;
            store.persist(Some(&hard_state), None, &[])
        }
        StoreWrite::SaveSnapshot { retained } => {
            let index = last_index.saturating_sub(*retained).max(snapshot_index + 1);
            let last_entry = model.entries.iter().find(|e| e.index == index);
            let snapshot = Snapshot {
                index,
                term: last_entry.map_or(model.hard.term, |e| e.term),
                members: Members::default(),
                data: Data::from(format!("state at {index}")),
            };
            model.entries.retain(|e| e.index > index);
            model.snapshot = Some(snapshot.clone());
            store.save_snapshot(&snapshot)
        }
    }
}

#[derive(Clone, Debug)]
struct Crash {
    failing_operation: usize,
    partial_bytes: u64,
    kept_percent: u64,
    undo_names: bool,
}

/// Performs `writes` before each crash, reopening the folder in between, and checks each recovered
/// state.
fn check_recovery(writes: &[StoreWrite], crashes: &[Crash]) {
    let dir = tempfile::tempdir().expect("a temporary folder is created");
    let mut model = RecoveredState::default();
    // States that may be recovered: that after the last successful write, and that after a failed
    // write whose bytes reached the disk nevertheless.
    let mut allowed = vec![model.clone()];
    for crash in crashes {
        let faulty_disk = Arc::new(Mutex::new(FaultyDisk {
            failing_operation: crash.failing_operation,
            partial_bytes: crash.partial_bytes,
            ..FaultyDisk::default()
        }));
        for path in fs::read_dir(dir.path()).expect("the folder can be read") {
            let path = path.expect("the folder can be read").path();
            let len = fs::metadata(&path).expect("the file has metadata").len();
            faulty_disk
                .lock()
                .expect("the lock is not poisoned")
                .synced_len
                .insert(path, len);
        }
        if let Ok((mut store, recovered)) = open_store(dir.path(), &faulty_disk) {
            assert!(
                allowed.contains(&recovered),
                "recovered {recovered:?}\nallowed {allowed:?}"
            );
            model = recovered;
            allowed = vec![model.clone()];
            for write in writes {
                let result = perform_write(&mut store, &mut model, write);
                allowed.push(model.clone());
                if let Err(error) = result {
                    assert!(error.is_full(), "{error}");
                    let later = store
                        .persist(None, None, &[])
                        .expect_err("a write after a failed write is rejected");
                    assert!(matches!(later.cause, ErrorCause::NeedsReopen), "{later}");
                    break;
                }
                allowed = vec![model.clone()];
            }
        }
        faulty_disk
            .lock()
            .expect("the lock is not poisoned")
            .crash(crash.kept_percent, crash.undo_names);
    }
    let faulty_disk = Arc::new(Mutex::new(FaultyDisk::default()));
    let (_, recovered) =
        open_store(dir.path(), &faulty_disk).expect("the store opens when the disk works again");
    assert!(
        allowed.contains(&recovered),
        "recovered {recovered:?}\nallowed {allowed:?}"
    );
}

fn any_write() -> impl Strategy<Value = StoreWrite> {
    prop_oneof![
        6 => Just(StoreWrite::Append),
        1 => (0..4_u64).prop_map(|count| StoreWrite::Truncate { count }),
        2 => Just(StoreWrite::SaveVote),
        1 => (0..6_u64).prop_map(|retained| StoreWrite::SaveSnapshot { retained }),
    ]
}

fn any_crash() -> impl Strategy<Value = Crash> {
    let fields = (1..90_usize, 0..80_u64, 0..=100_u64, any::<bool>());
    fields.prop_map(
        |(failing_operation, partial_bytes, kept_percent, undo_names)| Crash {
            failing_operation,
            partial_bytes,
            kept_percent,
            undo_names,
        },
    )
}

/// Runs 64 cases from a fixed seed, so that results are reproducible. `STORE_CASES` and
/// `STORE_SEED` set the number of cases and the seed for longer runs.
fn config() -> ProptestConfig {
    let env_number = |name| {
        std::env::var(name)
            .ok()
            .and_then(|n: String| n.parse().ok())
    };
    ProptestConfig {
        cases: env_number("STORE_CASES").unwrap_or(64),
        rng_seed: RngSeed::Fixed(env_number("STORE_SEED").map_or(1, u64::from)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against lost synced data and against a store that does not open, after repeated
    /// crashes. Before each crash, at most one disk operation fails. The crash loses a part of the
    /// unsynced data.
    #[test]
    fn synced_data_survives_disk_failures_and_crashes(
        writes in prop::collection::vec(any_write(), 1..40),
        crashes in prop::collection::vec(any_crash(), 1..5),
    ) {
        check_recovery(&writes, &crashes);
    }
}

/// Guards against a data folder that cannot be opened after its initialization was interrupted by a
/// failed disk operation and a crash.
#[test]
fn folder_opens_after_interrupted_initialization() {
    for failing_operation in 1..20 {
        for (kept_percent, undo_names) in [(0, true), (100, false), (50, false), (0, false)] {
            let crash = Crash {
                failing_operation,
                partial_bytes: 5,
                kept_percent,
                undo_names,
            };
            check_recovery(&[StoreWrite::SaveVote, StoreWrite::Append], &[crash]);
        }
    }
}

/// Guards against a folder that cannot be opened, or that lost synced data, after its disk was full
/// and the store was opened several times meanwhile.
#[test]
fn folder_opens_again_after_its_disk_was_full() {
    struct Case {
        name: &'static str,
        /// Writes before the disk is full, each with a sync.
        synced: usize,
        refused: StoreWrite,
        partial_bytes: u64,
    }
    let case = |name, synced, refused, partial_bytes| Case {
        name,
        synced,
        refused,
        partial_bytes,
    };
    let cases = [
        case("nothing of an entry is written", 3, StoreWrite::Append, 0),
        case("a part of an entry is written", 3, StoreWrite::Append, 20),
        case("a vote", 3, StoreWrite::SaveVote, 5),
        case("a truncation", 3, StoreWrite::Truncate { count: 2 }, 13),
        case(
            "a snapshot",
            8,
            StoreWrite::SaveSnapshot { retained: 2 },
            30,
        ),
        case("an entry in a later segment", 20, StoreWrite::Append, 20),
    ];
    for case in cases {
        let name = case.name;
        let dir = tempfile::tempdir().expect("a temporary folder is created");
        let faulty_disk = Arc::new(Mutex::new(FaultyDisk {
            partial_bytes: case.partial_bytes,
            ..FaultyDisk::default()
        }));
        let set_full = |full| {
            let mut disk = faulty_disk.lock().expect("the lock is not poisoned");
            disk.full = full;
        };
        let (mut store, mut model) = open_store(dir.path(), &faulty_disk).expect("a new store");
        for _ in 0..case.synced {
            perform_write(&mut store, &mut model, &StoreWrite::Append).expect("the disk has room");
        }
        set_full(true);
        let error = perform_write(&mut store, &mut model.clone(), &case.refused)
            .expect_err("the disk is full");
        assert!(error.is_full(), "{name}: {error}");
        drop(store);
        for _ in 0..3 {
            let (mut store, recovered) =
                open_store(dir.path(), &faulty_disk).expect("opening needs no room");
            assert_eq!(recovered, model, "{name}");
            let probe = store.persist(Some(&model.hard), None, &[]);
            assert!(probe.is_err_and(|e| e.is_full()), "{name}");
        }
        set_full(false);
        for _ in 0..2 {
            let (mut store, recovered) =
                open_store(dir.path(), &faulty_disk).expect("the disk has room");
            assert_eq!(recovered, model, "{name}");
            perform_write(&mut store, &mut model, &case.refused).expect("the disk has room");
        }
    }
}
