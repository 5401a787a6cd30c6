//! Failed writes and syncs, full disks, and crashes that lose what was not synced.

#![expect(
    clippy::expect_used,
    reason = "a broken test folder must stop the test"
)]

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

/// What a crash would leave of a folder.
#[derive(Default)]
struct Shadow {
    /// Operations seen, and the one that fails.
    ops: usize,
    fail_at: usize,
    /// Bytes that a failing write still adds.
    short: u64,
    /// Durable length of each file under its current name.
    synced: BTreeMap<PathBuf, u64>,
    /// Content to put back for names changed since the last sync of the folder; `None` for a file
    /// that did not exist.
    before: BTreeMap<PathBuf, Option<Vec<u8>>>,
}

impl Shadow {
    fn note(&mut self, path: &Path) {
        let old = fs::read(path).ok().map(|mut bytes| {
            let len = self.synced.get(path).copied().unwrap_or(0);
            bytes.truncate(usize::try_from(len).unwrap_or(usize::MAX));
            bytes
        });
        self.before.entry(path.to_owned()).or_insert(old);
    }

    fn pass(&mut self, op: &DiskOp) -> io::Result<u64> {
        self.ops += 1;
        let fails = self.ops == self.fail_at;
        if fails && !matches!(op, DiskOp::Write { .. }) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        match op {
            DiskOp::Create(path) => {
                self.note(path);
                self.synced.insert(path.clone(), 0);
            }
            DiskOp::Write { .. } => return Ok(if fails { self.short } else { u64::MAX }),
            DiskOp::Sync { file, len } => {
                self.synced.insert(file.clone(), *len);
            }
            DiskOp::Rename { from, to } => {
                self.note(to);
                self.note(from);
                let len = self.synced.remove(from).unwrap_or(0);
                self.synced.insert(to.clone(), len);
            }
            DiskOp::Remove(path) => self.note(path),
            DiskOp::SyncFolder => self.before.clear(),
        }
        Ok(u64::MAX)
    }

    /// Leaves `keep` percent of the unsynced bytes; names since the last sync of the folder are
    /// undone if `undo`.
    fn crash(&self, keep: u64, undo: bool) {
        for (path, synced) in &self.synced {
            let Ok(bytes) = fs::read(path) else { continue };
            let len = bytes.len() as u64;
            let left = synced + (len - synced.min(&len)) * keep / 100;
            let left = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
            fs::write(path, &bytes[..left]).expect("a write");
        }
        for (path, old) in self.before.iter().filter(|_| undo) {
            match old {
                Some(bytes) => fs::write(path, bytes).expect("a write"),
                None => drop(fs::remove_file(path)),
            }
        }
    }
}

fn open(dir: &Path, shadow: &Arc<Mutex<Shadow>>) -> Result<(Store, RecoveredState), StoreError> {
    let shadow = shadow.clone();
    let gate: DiskHook = Arc::new(move |op| match shadow.lock() {
        Ok(mut shadow) => shadow.pass(op),
        Err(_) => Err(io::ErrorKind::Other.into()),
    });
    let wanted = Identity {
        id: VmId(7),
        cluster: "coaster".to_owned(),
    };
    let options = StoreOptions {
        segment_bytes: 300,
        rotate_bytes: 100,
        disk_hook: Some(gate),
        ..StoreOptions::default()
    };
    Store::open_with(dir, &wanted, options)
}

/// A step of the log core as the shell performs it.
#[derive(Clone, Debug)]
enum Step {
    Entry,
    Overrule { back: u64 },
    Vote,
    Snapshot { back: u64 },
}

/// Performs a step on the model and then on the store.
fn perform(store: &mut Store, model: &mut RecoveredState, step: &Step) -> Result<(), StoreError> {
    let base = model.snapshot.as_ref().map_or(0, |s| s.index);
    let last = base + model.entries.len() as u64;
    match step {
        Step::Entry => {
            let entry = Entry {
                index: last + 1,
                term: model.hard.term,
                payload: Payload::Data(Data::from("content of an entry")),
            };
            model.entries.push(entry.clone());
            store.persist(None, None, &[entry])
        }
        Step::Overrule { back } => {
            let from = last.saturating_sub(*back).max(base) + 1;
            model.entries.retain(|e| e.index < from);
            store.persist(None, Some(from), &[])
        }
        Step::Vote => {
            model.hard.term += 1;
            model.hard.vote = Some(VmId(model.hard.term));
            let hard: HardState = model.hard;
            store.persist(Some(&hard), None, &[])
        }
        Step::Snapshot { back } => {
            let index = last.saturating_sub(*back).max(base + 1);
            let term = model.entries.iter().find(|e| e.index == index);
            let snapshot = Snapshot {
                index,
                term: term.map_or(model.hard.term, |e| e.term),
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
    fail_at: usize,
    short: u64,
    keep: u64,
    undo: bool,
}

fn check(steps: &[Step], crashes: &[Crash]) {
    let dir = tempfile::tempdir().expect("a folder");
    let mut model = RecoveredState::default();
    // What a start may find: the state of the last step that was reported as done, or that of a
    // step that failed and whose bytes reached the disk all the same.
    let mut allowed = vec![model.clone()];
    for crash in crashes {
        let shadow = Arc::new(Mutex::new(Shadow {
            fail_at: crash.fail_at,
            short: crash.short,
            ..Shadow::default()
        }));
        for path in fs::read_dir(dir.path()).expect("a folder") {
            let path = path.expect("a file").path();
            let len = fs::metadata(&path).expect("a file").len();
            shadow.lock().expect("a lock").synced.insert(path, len);
        }
        if let Ok((mut store, found)) = open(dir.path(), &shadow) {
            assert!(
                allowed.contains(&found),
                "found {found:?}\nallowed {allowed:?}"
            );
            model = found;
            allowed = vec![model.clone()];
            for step in steps {
                let done = perform(&mut store, &mut model, step);
                allowed.push(model.clone());
                if let Err(error) = done {
                    assert!(error.is_full(), "{error}");
                    let after = store.persist(None, None, &[]).expect_err("a failed store");
                    assert!(matches!(after.cause, ErrorCause::NeedsReopen), "{after}");
                    break;
                }
                allowed = vec![model.clone()];
            }
        }
        shadow.lock().expect("a lock").crash(crash.keep, crash.undo);
    }
    let shadow = Arc::new(Mutex::new(Shadow::default()));
    let (_, found) = open(dir.path(), &shadow).expect("a start after the faults ended");
    assert!(
        allowed.contains(&found),
        "found {found:?}\nallowed {allowed:?}"
    );
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => Just(Step::Entry),
        1 => (0..4_u64).prop_map(|back| Step::Overrule { back }),
        2 => Just(Step::Vote),
        1 => (0..6_u64).prop_map(|back| Step::Snapshot { back }),
    ]
}

fn crash() -> impl Strategy<Value = Crash> {
    let parts = (1..90_usize, 0..80_u64, 0..=100_u64, any::<bool>());
    parts.prop_map(|(fail_at, short, keep, undo)| Crash {
        fail_at,
        short,
        keep,
        undo,
    })
}

/// 64 fixed cases, so that each run gives the same verdict; `STORE_CASES` and `STORE_SEED` set
/// others for long runs.
fn config() -> ProptestConfig {
    let set = |name| {
        std::env::var(name)
            .ok()
            .and_then(|n: String| n.parse().ok())
    };
    ProptestConfig {
        cases: set("STORE_CASES").unwrap_or(64),
        rng_seed: RngSeed::Fixed(set("STORE_SEED").map_or(1, u64::from)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against synced data lost, or a start refused, after writes and syncs fail at any
    /// operation and a crash loses any part of what was not synced, several times in a row.
    #[test]
    fn survives_failed_operations(
        steps in prop::collection::vec(step(), 1..40),
        crashes in prop::collection::vec(crash(), 1..5),
    ) {
        check(&steps, &crashes);
    }
}

/// Guards against a first start that, interrupted at any operation, leaves an unusable folder.
#[test]
fn interrupted_first_start() {
    for fail_at in 1..20 {
        for (keep, undo) in [(0, true), (100, false), (50, false), (0, false)] {
            let crash = Crash {
                fail_at,
                short: 5,
                keep,
                undo,
            };
            check(&[Step::Vote, Step::Entry], &[crash]);
        }
    }
}
