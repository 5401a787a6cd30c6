//! Handle to the replicated log, and the callbacks that the log needs from the daemon.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::mpsc;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::sync::oneshot;
use tokio::sync::watch;
use zinnia_raft::Data;
use zinnia_raft::Entry;
use zinnia_raft::Event;
use zinnia_raft::Members;
use zinnia_raft::MembershipChange;
use zinnia_raft::Message;
use zinnia_raft::Node;
use zinnia_raft::RecoveredState;
use zinnia_raft::RejectReason;
use zinnia_raft::Role;
use zinnia_raft::Settings;
use zinnia_raft::Snapshot;
use zinnia_store::Store;
use zinnia_store::StoreError;
use zinnia_types::Time;
use zinnia_types::VmId;

use crate::disk::Disk;
use crate::disk_thread::Report;
use crate::thread::LogThread;

/// Callback that applies a committed entry and returns the reply to its command.
pub type ApplyFn<R> = Box<dyn Fn(&Entry) -> Option<R> + Send>;

/// Callback that opens the store again after a disk failure.
pub type ReopenFn = Box<dyn Fn() -> Result<(Store, RecoveredState), StoreError> + Send>;

/// Callbacks from the log thread to the rest of the daemon.
pub struct Hooks<R> {
    /// Sends a message to another node. Delivery is not guaranteed.
    pub send: Box<dyn Fn(VmId, Message) + Send>,
    /// Applies a committed entry to the application state.
    pub apply: ApplyFn<R>,
    /// Replaces the application state with a snapshot.
    pub install_snapshot: Box<dyn Fn(&Snapshot) + Send>,
    /// Serializes the application state after the last applied entry. `None` skips the compaction.
    pub take_snapshot: Box<dyn Fn() -> Option<String> + Send>,
    /// Opens the store again after a write failed. Without it, the disk stays offline.
    pub reopen: Option<ReopenFn>,
    /// Handles a change of role, term or leader.
    pub role_changed: Box<dyn Fn(Role, u64, Option<VmId>) + Send>,
}

/// Outcome of a proposal. If the outcome is unknown, there is no value of this type.
#[derive(Debug)]
pub enum ProposalOutcome<R> {
    /// The proposal is committed and applied.
    Applied {
        /// Log index of the entry.
        index: u64,
        /// Reply to the command; `None` for a membership change.
        reply: Option<R>,
    },
    /// The proposal is not in the log and will not be added.
    Rejected {
        /// Current leader, if known.
        leader: Option<VmId>,
        /// Reason for the rejection.
        reason: RejectReason,
    },
}

/// Input of the log thread.
pub(crate) enum Input<R> {
    Event(Event),
    Propose(Data, oneshot::Sender<ProposalOutcome<R>>),
    Change(MembershipChange, oneshot::Sender<ProposalOutcome<R>>),
    Bootstrap(Members, oneshot::Sender<bool>),
    Disk(Report),
    Stop(Option<oneshot::Sender<()>>),
}

/// Handle to the replicated log, which runs on its own thread.
pub struct Replica<R> {
    node: Arc<Mutex<Node>>,
    inputs: mpsc::Sender<Input<R>>,
    applied: watch::Receiver<u64>,
    disk_error: Arc<Mutex<Option<String>>>,
}

/// Locks a mutex, ignoring poisoning.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<R: Send + 'static> Replica<R> {
    /// Starts the log thread with the state that the store recovered. The log is compacted once
    /// `compact_entries` entries are applied after the last snapshot, or fewer large ones.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be spawned.
    pub fn start(
        settings: Settings,
        store: Option<Store>,
        recovered: RecoveredState,
        compact_entries: u64,
        hooks: Hooks<R>,
    ) -> std::io::Result<Self> {
        if let Some(snapshot) = recovered.snapshot.as_ref()
            && !snapshot.data.is_empty()
        {
            (hooks.install_snapshot)(snapshot);
        }
        let snapshot_index = recovered.snapshot.as_ref().map_or(0, |s| s.index);
        let node = Arc::new(Mutex::new(Node::new(settings.clone(), recovered)));
        let (tx, rx) = mpsc::channel();
        let (applied_tx, applied_rx) = watch::channel(snapshot_index);
        let disk_error = Arc::new(Mutex::new(None));
        let reports = tx.clone();
        let report = move |report| {
            let _ = reports.send(Input::Disk(report));
        };
        let thread = LogThread {
            settings,
            node: Arc::clone(&node),
            disk: Disk::start(store, Box::new(report))?,
            hooks,
            compact_entries,
            uncompacted_bytes: 0,
            inputs: rx,
            applied: applied_tx,
            disk_error: Arc::clone(&disk_error),
            last_proposal: 0,
            pending: BTreeMap::new(),
            committed: BTreeMap::new(),
            queued_proposals: Vec::new(),
            written_vote: None,
            last_reopen: Time::default(),
        };
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || thread.run())?;
        Ok(Self {
            node,
            inputs: tx,
            applied: applied_rx,
            disk_error,
        })
    }

    /// Calls `f` with the Raft node.
    pub fn read<T>(&self, f: impl FnOnce(&Node) -> T) -> T {
        f(&lock(&self.node))
    }

    /// Queues a message from another node.
    pub fn receive(&self, from: VmId, message: Message) {
        let _ = self
            .inputs
            .send(Input::Event(Event::Receive { from, message }));
    }

    /// Proposes a command on this node. Returns `None` if the outcome is unknown after `limit`.
    pub async fn propose(&self, text: String, limit: Duration) -> Option<ProposalOutcome<R>> {
        let (tx, rx) = oneshot::channel();
        self.inputs
            .send(Input::Propose(Data::from(text), tx))
            .ok()?;
        tokio::time::timeout(limit, rx).await.ok()?.ok()
    }

    /// Proposes a membership change on this node. Returns `None` if the outcome is unknown after
    /// `limit`.
    pub async fn change(
        &self,
        change: MembershipChange,
        limit: Duration,
    ) -> Option<ProposalOutcome<R>> {
        let (tx, rx) = oneshot::channel();
        self.inputs.send(Input::Change(change, tx)).ok()?;
        tokio::time::timeout(limit, rx).await.ok()?.ok()
    }

    /// Bootstraps a new cell with `members`. Returns `false` if this node already has a log or its
    /// disk fails.
    pub async fn bootstrap(&self, members: Members) -> bool {
        let (tx, rx) = oneshot::channel();
        if self.inputs.send(Input::Bootstrap(members, tx)).is_err() {
            return false;
        }
        rx.await.unwrap_or(false)
    }

    /// Waits until this node has applied the entry at `index`. Returns `false` after `limit`.
    pub async fn wait_applied(&self, index: u64, limit: Duration) -> bool {
        let mut applied = self.applied.clone();
        let done = applied.wait_for(|&at| at >= index);
        matches!(tokio::time::timeout(limit, done).await, Ok(Ok(_)))
    }

    /// Index of the last applied entry.
    pub fn applied_index(&self) -> u64 {
        *self.applied.borrow()
    }

    /// Current term, if this node leads and has applied everything that was committed before the term.
    ///
    /// [`Node::is_ready`] alone is not sufficient. The node counts entries as applied when it emits
    /// them, and the log thread applies them later. A read in between would return a state older than
    /// an acknowledged write.
    pub fn ready_term(&self) -> Option<u64> {
        let ready = |n: &Node| n.is_ready().then(|| (n.term(), n.commit_index()));
        let (term, commit) = self.read(ready)?;
        (self.applied_index() >= commit).then_some(term)
    }

    /// Error that took the disk offline, if any.
    pub fn disk_error(&self) -> Option<String> {
        lock(&self.disk_error).clone()
    }

    /// Stops the log thread and releases the data folder.
    pub async fn stop(&self) {
        let (tx, rx) = oneshot::channel();
        if self.inputs.send(Input::Stop(Some(tx))).is_ok() {
            let _ = rx.await;
        }
    }

    /// State as JSON for diagnosis.
    pub fn dump(&self) -> Value {
        json!({
            "node": self.read(Node::dump),
            "applied": self.applied_index(),
            "fault": self.disk_error(),
        })
    }
}

impl<R> Drop for Replica<R> {
    fn drop(&mut self) {
        let _ = self.inputs.send(Input::Stop(None));
    }
}
