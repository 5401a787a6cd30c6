//! Watches the running VMs: documents in force, ends in the log, contact with the quorum.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use zinnia_cell::TaskOutcome;
use zinnia_check::Fact;
use zinnia_daemon::shared::Shared;
use zinnia_types::JobId;
use zinnia_types::Outcome;
use zinnia_types::Time;
use zinnia_types::VmId;

use super::record::Record;

/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// The running VMs and their contact; clones share them.
#[derive(Clone, Default)]
pub(crate) struct Monitor {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    vms: BTreeMap<VmId, Vm>,
    finished: BTreeSet<(JobId, u32)>,
    /// Versions that VMs had in force, over restarts.
    held: BTreeMap<VmId, u64>,
}

struct Vm {
    shared: Arc<Shared>,
    /// Whether no cut and no dead VM keeps it from the quorum.
    linked: bool,
    /// Whether the record says that it is reachable.
    reachable: bool,
    /// When it became so.
    since: Time,
    /// Version in force as the record says.
    version: u64,
}

impl Monitor {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Watches a VM that has started; it counts as reachable once the cell lists it.
    pub(crate) fn started(&self, shared: Arc<Shared>, record: &Record) {
        let id = shared.id();
        record.add(Fact::Unreachable { vm: id });
        let vm = Vm {
            shared,
            linked: false,
            reachable: false,
            since: Time::default(),
            version: 0,
        };
        self.lock().vms.insert(id, vm);
    }

    /// No longer watches a VM.
    pub(crate) fn stopped(&self, vm: VmId) {
        self.lock().vms.remove(&vm);
    }

    /// Tells which VMs have links to a quorum; contact that is lost is recorded at once.
    pub(crate) fn link(&self, linked: &BTreeSet<VmId>, record: &Record) {
        for (id, vm) in &mut self.lock().vms {
            vm.linked = linked.contains(id);
            if vm.reachable && !vm.linked {
                vm.reachable = false;
                record.add(Fact::Unreachable { vm: *id });
            }
        }
    }

    /// Looks at all VMs until it is aborted.
    pub(crate) async fn run(self, record: Record) {
        loop {
            self.look(&record);
            tokio::time::sleep(LOOK).await;
        }
    }

    fn look(&self, record: &Record) {
        let mut state = self.lock();
        let State {
            vms,
            finished,
            held,
        } = &mut *state;
        let lag = zinnia_check::Settings::default().document_ms;
        for (id, vm) in vms.iter_mut() {
            let (stamp, listed, ends) = vm.shared.with_engine(|b, _| {
                let stamp = b.cell.document().map(|(stamp, _)| stamp.clone());
                (stamp, b.cell.vm(*id).is_some(), ends(&b.cell))
            });
            if vm.linked && listed && !vm.reachable {
                vm.reachable = true;
                vm.since = zinnia_worker::now();
                record.add(Fact::Reachable { vm: *id });
            }
            let before = held.entry(*id).or_default();
            // A VM that was started again catches up with its earlier version first, within the time
            // in which a document takes effect.
            let late = vm.reachable && zinnia_worker::now().since(vm.since) > lag;
            let fresh = stamp.filter(|s| s.version != vm.version);
            if let Some(stamp) = fresh.filter(|s| s.version >= *before || late) {
                vm.version = stamp.version;
                *before = stamp.version;
                record.add(Fact::InForce {
                    vm: *id,
                    version: stamp.version,
                    digest: hashed(&stamp.hash.to_string()),
                });
            }
            for (job, task) in ends {
                if finished.insert((job, task)) {
                    record.add(Fact::TaskFinished { job, task });
                }
            }
        }
    }
}

/// Tasks whose good end is in the log.
fn ends(cell: &zinnia_cell::Cell) -> Vec<(JobId, u32)> {
    let mut all = Vec::new();
    for live in cell.live_jobs() {
        let done = live
            .ends
            .iter()
            .filter(|(_, end)| **end == TaskOutcome::Done);
        all.extend(done.map(|(&task, _)| (live.job.id, task)));
    }
    for ended in cell.ended_jobs().filter(|e| e.outcome == Outcome::Done) {
        all.extend((0..ended.tasks).map(|task| (ended.id, task)));
    }
    all
}

/// Digest of a document's hash.
pub(crate) fn hashed(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}
