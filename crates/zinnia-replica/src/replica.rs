//! Handle to the replicated log, and what it asks of the rest of the daemon.

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

use crate::thread::LogThread;

/// Applies a committed entry and returns the answer to its command.
pub type ApplyFn<R> = Box<dyn Fn(&Entry) -> Option<R> + Send>;

/// Opens the store again.
pub type ReopenFn = Box<dyn Fn() -> Result<(Store, RecoveredState), StoreError> + Send>;

/// What the log thread asks of the rest of the daemon.
pub struct Hooks<R> {
    /// Sends a message to another node; it may be lost.
    pub send: Box<dyn Fn(VmId, Message) + Send>,
    /// Applies committed entries.
    pub apply: ApplyFn<R>,
    /// Replaces the cell's state by a snapshot.
    pub install_snapshot: Box<dyn Fn(&Snapshot) + Send>,
    /// Serialises the cell's state as of the last applied entry.
    pub take_snapshot: Box<dyn Fn() -> Option<String> + Send>,
    /// Opens the store again after a write failed; `None` leaves the disk out of use.
    pub reopen: Option<ReopenFn>,
    /// Reports a change of role, term or leader.
    pub role_changed: Box<dyn Fn(Role, u64, Option<VmId>) + Send>,
}

/// How a proposal ended. No verdict at all means that the outcome is not known.
#[derive(Debug)]
pub enum ProposalOutcome<R> {
    /// Committed and applied.
    Applied {
        /// Index of the entry.
        index: u64,
        /// The answer to the command; `None` for a change of members.
        reply: Option<R>,
    },
    /// Not in the log, and never will be.
    Rejected {
        /// The leader, if known.
        leader: Option<VmId>,
        /// Why.
        reason: RejectReason,
    },
}

pub(crate) enum Input<R> {
    Event(Event),
    Propose(Data, oneshot::Sender<ProposalOutcome<R>>),
    Change(MembershipChange, oneshot::Sender<ProposalOutcome<R>>),
    Bootstrap(Members, oneshot::Sender<bool>),
    Stop(oneshot::Sender<()>),
}

/// Handle to the log thread.
pub struct Replica<R> {
    node: Arc<Mutex<Node>>,
    inputs: mpsc::Sender<Input<R>>,
    applied: watch::Receiver<u64>,
    disk_error: Arc<Mutex<Option<String>>>,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<R: Send + 'static> Replica<R> {
    /// Starts the log thread; `recovered` is what the store found.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
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
        let thread = LogThread {
            settings,
            node: Arc::clone(&node),
            store,
            hooks,
            compact_entries,
            inputs: rx,
            applied: applied_tx,
            disk_error: Arc::clone(&disk_error),
            last_proposal: 0,
            pending: BTreeMap::new(),
            committed: BTreeMap::new(),
            queued_proposals: Vec::new(),
            written_vote: None,
            reopen_tried: Time::default(),
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

    /// Reads the node's state.
    pub fn read<T>(&self, f: impl FnOnce(&Node) -> T) -> T {
        f(&lock(&self.node))
    }

    /// Passes a message of another node on.
    pub fn receive(&self, from: VmId, message: Message) {
        let _ = self
            .inputs
            .send(Input::Event(Event::Receive { from, message }));
    }

    /// Proposes a command on this node; `None` when the outcome is not known in time.
    pub async fn propose(&self, text: String, limit: Duration) -> Option<ProposalOutcome<R>> {
        let (tx, rx) = oneshot::channel();
        self.inputs
            .send(Input::Propose(Data::from(text), tx))
            .ok()?;
        tokio::time::timeout(limit, rx).await.ok()?.ok()
    }

    /// Proposes a change of members on this node.
    pub async fn change(
        &self,
        change: MembershipChange,
        limit: Duration,
    ) -> Option<ProposalOutcome<R>> {
        let (tx, rx) = oneshot::channel();
        self.inputs.send(Input::Change(change, tx)).ok()?;
        tokio::time::timeout(limit, rx).await.ok()?.ok()
    }

    /// Forms the cell with these members; false when this node has a log already or its disk fails.
    pub async fn bootstrap(&self, members: Members) -> bool {
        let (tx, rx) = oneshot::channel();
        if self.inputs.send(Input::Bootstrap(members, tx)).is_err() {
            return false;
        }
        rx.await.unwrap_or(false)
    }

    /// Waits until this node has applied the entry at `index`.
    pub async fn wait_applied(&self, index: u64, limit: Duration) -> bool {
        let mut applied = self.applied.clone();
        let done = applied.wait_for(|&at| at >= index);
        matches!(tokio::time::timeout(limit, done).await, Ok(Ok(_)))
    }

    /// Index of the last applied entry.
    pub fn applied_index(&self) -> u64 {
        *self.applied.borrow()
    }

    /// Term of the own leadership, once all that was committed before it is applied here.
    ///
    /// The node counts entries as applied when it hands them to the log thread, which syncs and
    /// applies them later; a read in between would show a state older than what was acknowledged.
    pub fn ready_term(&self) -> Option<u64> {
        let ready = |n: &Node| n.is_ready().then(|| (n.term(), n.commit_index()));
        let (term, commit) = self.read(ready)?;
        (self.applied_index() >= commit).then_some(term)
    }

    /// Why the disk is out of use, if it is.
    pub fn disk_error(&self) -> Option<String> {
        lock(&self.disk_error).clone()
    }

    /// Stops the thread and releases the data folder.
    pub async fn stop(&self) {
        let (tx, rx) = oneshot::channel();
        if self.inputs.send(Input::Stop(tx)).is_ok() {
            let _ = rx.await;
        }
    }

    /// State for a dump.
    pub fn dump(&self) -> Value {
        json!({
            "node": self.read(Node::dump),
            "applied": self.applied_index(),
            "fault": self.disk_error(),
        })
    }
}
