//! Polls the running VMs and records the documents in force, the tasks that finished and whether
//! each VM has contact with a quorum.

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
use zinnia_check::EventKind;
use zinnia_daemon::shared::Shared;
use zinnia_types::JobId;
use zinnia_types::Outcome;
use zinnia_types::Time;
use zinnia_types::VmId;

use super::event_log::EventLog;

/// Interval between two polls of all VMs.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The running VMs and their connectivity; clones share the state.
#[derive(Clone, Default)]
pub(crate) struct VmMonitor {
    state: Arc<Mutex<State>>,
}

/// State of a [`VmMonitor`].
#[derive(Default)]
struct State {
    vms: BTreeMap<VmId, Vm>,
    /// Tasks whose end is in the event log.
    recorded_ends: BTreeSet<(JobId, u32)>,
    /// Highest document version that each VM had in force, including before a restart.
    highest_versions: BTreeMap<VmId, u64>,
}

/// A running VM.
struct Vm {
    shared: Arc<Shared>,
    /// Whether the network and the state of the other VMs let it reach a quorum.
    connected: bool,
    /// Whether it is reachable according to the event log.
    reachable: bool,
    /// When it became reachable.
    reachable_since: Time,
    /// Document version in force according to the event log.
    version: u64,
}

impl VmMonitor {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts to watch a VM that has started. It counts as reachable once the cell has it as a
    /// member.
    pub(crate) fn watch(&self, shared: Arc<Shared>, event_log: &EventLog) {
        let id = shared.id();
        event_log.add(EventKind::Unreachable { vm: id });
        let vm = Vm {
            shared,
            connected: false,
            reachable: false,
            reachable_since: Time::default(),
            version: 0,
        };
        self.lock().vms.insert(id, vm);
    }

    /// Stops watching a VM.
    pub(crate) fn unwatch(&self, vm: VmId) {
        self.lock().vms.remove(&vm);
    }

    /// Updates which VMs can reach a quorum, and records at once those that no longer can.
    pub(crate) fn update_connectivity(&self, connected: &BTreeSet<VmId>, event_log: &EventLog) {
        for (id, vm) in &mut self.lock().vms {
            vm.connected = connected.contains(id);
            if vm.reachable && !vm.connected {
                vm.reachable = false;
                event_log.add(EventKind::Unreachable { vm: *id });
            }
        }
    }

    /// Polls all VMs until the task is aborted.
    pub(crate) async fn run(self, event_log: EventLog) {
        loop {
            self.poll(&event_log);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn poll(&self, event_log: &EventLog) {
        let mut state = self.lock();
        let State {
            vms,
            recorded_ends,
            highest_versions,
        } = &mut *state;
        let document_delay_ms = zinnia_check::Settings::default().document_ms;
        for (id, vm) in vms.iter_mut() {
            let (stamp, is_member, finished_tasks) = vm.shared.with_engine(|engine, _| {
                let stamp = engine.cell.document().map(|(stamp, _)| stamp.clone());
                (
                    stamp,
                    engine.cell.vm(*id).is_some(),
                    finished_tasks(&engine.cell),
                )
            });
            if vm.connected && is_member && !vm.reachable {
                vm.reachable = true;
                vm.reachable_since = zinnia_worker::now();
                event_log.add(EventKind::Reachable { vm: *id });
            }
            let highest = highest_versions.entry(*id).or_default();
            // A restarted VM first catches up with the version that it had. Older versions are
            // recorded only if it has not done so within the time in which a document must take
            // effect.
            let overdue =
                vm.reachable && zinnia_worker::now().since(vm.reachable_since) > document_delay_ms;
            let changed = stamp.filter(|s| s.version != vm.version);
            if let Some(stamp) = changed.filter(|s| s.version >= *highest || overdue) {
                vm.version = stamp.version;
                *highest = stamp.version;
                event_log.add(EventKind::InForce {
                    vm: *id,
                    version: stamp.version,
                    digest: document_digest(&stamp.hash.to_string()),
                });
            }
            for (job, task) in finished_tasks {
                if recorded_ends.insert((job, task)) {
                    event_log.add(EventKind::TaskFinished { job, task });
                }
            }
        }
    }
}

/// Tasks that are recorded as done in the state of the cell.
fn finished_tasks(cell: &zinnia_cell::Cell) -> Vec<(JobId, u32)> {
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

/// Digest of the hash of a document, as recorded in the event log.
pub(crate) fn document_digest(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}
