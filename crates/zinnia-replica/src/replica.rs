//! The I/O shell of the replicated log: one thread that owns the store and steps the node.

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
use zinnia_raft::Action;
use zinnia_raft::Change;
use zinnia_raft::Data;
use zinnia_raft::Entry;
use zinnia_raft::Event;
use zinnia_raft::HardState;
use zinnia_raft::Members;
use zinnia_raft::Message;
use zinnia_raft::Node;
use zinnia_raft::Recovered;
use zinnia_raft::Refusal;
use zinnia_raft::Role;
use zinnia_raft::Settings;
use zinnia_raft::Snapshot;
use zinnia_store::Store;
use zinnia_store::StoreError;
use zinnia_types::Time;
use zinnia_types::VmId;

use crate::clock;

/// Pause between two attempts to use a disk again that failed.
const REOPEN_MS: u64 = 500;
/// Time of one pass of the log thread from which it is logged.
const SLOW_MS: u64 = 100;

/// Most inputs taken in before their entries are synced together.
const BATCH: usize = 256;

/// Applies a committed entry and returns the answer to its command.
pub type Apply<R> = Box<dyn Fn(&Entry) -> Option<R> + Send>;

/// Opens the store again.
pub type Reopen = Box<dyn Fn() -> Result<(Store, Recovered), StoreError> + Send>;

/// What the log thread asks of the rest of the daemon.
pub struct Hooks<R> {
    /// Sends a message to another node; it may be lost.
    pub send: Box<dyn Fn(VmId, Message) + Send>,
    /// Applies committed entries.
    pub apply: Apply<R>,
    /// Replaces the cell's state by a snapshot.
    pub install: Box<dyn Fn(&Snapshot) + Send>,
    /// Serialises the cell's state as of the last applied entry.
    pub snapshot: Box<dyn Fn() -> Option<String> + Send>,
    /// Opens the store again after a write failed; `None` leaves the disk out of use.
    pub reopen: Option<Reopen>,
    /// Reports a change of role, term or leader.
    pub role: Box<dyn Fn(Role, u64, Option<VmId>) + Send>,
}

/// How a proposal ended. No verdict at all means that the outcome is not known.
#[derive(Debug)]
pub enum Verdict<R> {
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
        why: Refusal,
    },
}

enum Input<R> {
    Event(Event),
    Propose(Data, oneshot::Sender<Verdict<R>>),
    Change(Change, oneshot::Sender<Verdict<R>>),
    Form(Members, oneshot::Sender<bool>),
    Stop(oneshot::Sender<()>),
}

/// Handle to the log thread.
pub struct Replica<R> {
    node: Arc<Mutex<Node>>,
    inputs: mpsc::Sender<Input<R>>,
    applied: watch::Receiver<u64>,
    fault: Arc<Mutex<Option<String>>>,
}

struct Thread<R> {
    settings: Settings,
    node: Arc<Mutex<Node>>,
    store: Option<Store>,
    hooks: Hooks<R>,
    compact: u64,
    inputs: mpsc::Receiver<Input<R>>,
    applied: watch::Sender<u64>,
    fault: Arc<Mutex<Option<String>>>,
    ctx: u64,
    open: BTreeMap<u64, oneshot::Sender<Verdict<R>>>,
    placed: BTreeMap<u64, oneshot::Sender<Verdict<R>>>,
    /// When a failed disk was last tried.
    tried: Time,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
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
        recovered: Recovered,
        compact: u64,
        hooks: Hooks<R>,
    ) -> std::io::Result<Self> {
        if let Some(snapshot) = recovered.snapshot.as_ref()
            && !snapshot.data.is_empty()
        {
            (hooks.install)(snapshot);
        }
        let first = recovered.snapshot.as_ref().map_or(0, |s| s.index);
        let node = Arc::new(Mutex::new(Node::new(settings.clone(), recovered)));
        let (tx, rx) = mpsc::channel();
        let (applied, watch) = watch::channel(first);
        let fault = Arc::new(Mutex::new(None));
        let thread = Thread {
            settings,
            node: Arc::clone(&node),
            store,
            hooks,
            compact,
            inputs: rx,
            applied,
            fault: Arc::clone(&fault),
            ctx: 0,
            open: BTreeMap::new(),
            placed: BTreeMap::new(),
            tried: Time::default(),
        };
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || thread.run())?;
        Ok(Self {
            node,
            inputs: tx,
            applied: watch,
            fault,
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
    pub async fn propose(&self, text: String, limit: Duration) -> Option<Verdict<R>> {
        let (tx, rx) = oneshot::channel();
        self.inputs
            .send(Input::Propose(Data::from(text), tx))
            .ok()?;
        tokio::time::timeout(limit, rx).await.ok()?.ok()
    }

    /// Proposes a change of members on this node.
    pub async fn change(&self, change: Change, limit: Duration) -> Option<Verdict<R>> {
        let (tx, rx) = oneshot::channel();
        self.inputs.send(Input::Change(change, tx)).ok()?;
        tokio::time::timeout(limit, rx).await.ok()?.ok()
    }

    /// Forms the cell with these members; false when this node has a log already or its disk fails.
    pub async fn form(&self, members: Members) -> bool {
        let (tx, rx) = oneshot::channel();
        if self.inputs.send(Input::Form(members, tx)).is_err() {
            return false;
        }
        rx.await.unwrap_or(false)
    }

    /// Waits until this node has applied the entry at `index`.
    pub async fn wait(&self, index: u64, limit: Duration) -> bool {
        let mut applied = self.applied.clone();
        let done = applied.wait_for(|&at| at >= index);
        matches!(tokio::time::timeout(limit, done).await, Ok(Ok(_)))
    }

    /// Index of the last applied entry.
    pub fn applied(&self) -> u64 {
        *self.applied.borrow()
    }

    /// Term of the own leadership, once all that was committed before it is applied here.
    ///
    /// The node counts entries as applied when it hands them to the log thread, which syncs and
    /// applies them later; a read in between would show a state older than what was acknowledged.
    pub fn ready_term(&self) -> Option<u64> {
        let ready = |n: &Node| n.is_ready().then(|| (n.term(), n.commit()));
        let (term, commit) = self.read(ready)?;
        (self.applied() >= commit).then_some(term)
    }

    /// Why the disk is out of use, if it is.
    pub fn fault(&self) -> Option<String> {
        lock(&self.fault).clone()
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
            "applied": self.applied(),
            "fault": self.fault(),
        })
    }
}

impl<R> Thread<R> {
    fn run(mut self) {
        let tick = Duration::from_millis((self.settings.heartbeat_ms / 4).max(1));
        loop {
            let first = self.inputs.recv_timeout(tick);
            let mut actions = Vec::new();
            match first {
                Ok(input) => {
                    if self.take(input, &mut actions) {
                        return;
                    }
                }
                Err(mpsc::RecvTimeoutError::Timeout) => {}
                Err(mpsc::RecvTimeoutError::Disconnected) => return,
            }
            for _ in 1..BATCH {
                let Ok(input) = self.inputs.try_recv() else {
                    break;
                };
                if self.take(input, &mut actions) {
                    return;
                }
            }
            self.reopen();
            self.step(Event::Tick, &mut actions);
            let began = clock::now();
            self.settle(actions);
            let ms = clock::now().since(began);
            metrics::histogram!("zinnia_log_pass_ms").record(ms as f64);
            if ms >= SLOW_MS {
                tracing::warn!(event = "disk", ms, "the log waited long for its disk");
            }
        }
    }

    /// Takes one input in; true when the thread must end.
    fn take(&mut self, input: Input<R>, actions: &mut Vec<Action>) -> bool {
        match input {
            Input::Event(event) => self.step(event, actions),
            Input::Propose(data, tx) => {
                let ctx = self.register(tx);
                self.step(Event::Propose { ctx, data }, actions);
            }
            Input::Change(change, tx) => {
                let ctx = self.register(tx);
                self.step(Event::Change { ctx, change }, actions);
            }
            Input::Form(members, tx) => {
                let _ = tx.send(self.form(members));
            }
            Input::Stop(tx) => {
                self.store = None;
                let _ = tx.send(());
                return true;
            }
        }
        false
    }

    fn register(&mut self, tx: oneshot::Sender<Verdict<R>>) -> u64 {
        self.ctx += 1;
        self.open.retain(|_, tx| !tx.is_closed());
        self.open.insert(self.ctx, tx);
        self.ctx
    }

    fn step(&mut self, event: Event, actions: &mut Vec<Action>) {
        if lock(&self.fault).is_none() {
            actions.extend(lock(&self.node).step(event, clock::now()));
        }
    }

    /// Performs actions until none are left.
    fn settle(&mut self, mut actions: Vec<Action>) {
        while !actions.is_empty() {
            match self.perform(actions) {
                Ok(Some(index)) => {
                    actions = Vec::new();
                    self.step(Event::Synced { index }, &mut actions);
                }
                Ok(None) => actions = Vec::new(),
                Err(e) => {
                    self.fail(&e);
                    return;
                }
            }
            self.maybe_compact(&mut actions);
        }
    }

    /// Performs actions in order; returns the last index written, 0 when only hard state was written.
    ///
    /// Without snapshots among them all writes come first and share one sync: a message may leave
    /// later than its place in the order, but never before the write that it depends on.
    fn perform(&mut self, actions: Vec<Action>) -> Result<Option<u64>, StoreError> {
        let plain = !actions
            .iter()
            .any(|a| matches!(a, Action::Save { .. } | Action::Install { .. }));
        let mut last = None;
        if plain {
            let mut synced = false;
            for action in &actions {
                synced |= self.write(action, false, &mut last)?;
            }
            if synced && let Some(store) = self.store.as_mut() {
                store.sync()?;
            }
        }
        for action in actions {
            if !plain {
                self.write(&action, true, &mut last)?;
            }
            self.act(action)?;
        }
        Ok(last)
    }

    /// Writes what an action persists; returns whether a sync is owed.
    fn write(
        &mut self,
        action: &Action,
        sync: bool,
        last: &mut Option<u64>,
    ) -> Result<bool, StoreError> {
        let Action::Persist {
            hard,
            truncate,
            entries,
        } = action
        else {
            return Ok(false);
        };
        let index = entries.last().map(|e| e.index);
        *last = Some(index.or(*last).unwrap_or(0));
        let Some(store) = self.store.as_mut() else {
            return Ok(false);
        };
        if sync {
            store.persist(hard.as_ref(), *truncate, entries)?;
            return Ok(false);
        }
        if let Some(from) = truncate {
            store.truncate(*from)?;
        }
        store.append(entries)?;
        if let Some(hard) = hard {
            store.save_hard(hard)?;
        }
        Ok(true)
    }

    fn act(&mut self, action: Action) -> Result<(), StoreError> {
        match action {
            Action::Persist { .. } => {}
            Action::Save { snapshot } => {
                if let Some(store) = self.store.as_mut() {
                    store.save_snapshot(&snapshot)?;
                }
            }
            Action::Install { snapshot } => {
                if let Some(store) = self.store.as_mut() {
                    store.save_snapshot(&snapshot)?;
                }
                (self.hooks.install)(&snapshot);
                self.applied.send_replace(snapshot.index);
            }
            Action::Send { to, message } => (self.hooks.send)(to, message),
            Action::Accepted { ctx, index } => {
                if let Some(tx) = self.open.remove(&ctx) {
                    self.placed.insert(index, tx);
                }
            }
            Action::Apply { entries } => self.apply(&entries),
            Action::Rejected { ctx, leader, why } => {
                if let Some(tx) = self.open.remove(&ctx) {
                    let _ = tx.send(Verdict::Rejected { leader, why });
                }
            }
            Action::Role { role, term, leader } => (self.hooks.role)(role, term, leader),
        }
        Ok(())
    }

    fn apply(&mut self, entries: &[Entry]) {
        for entry in entries {
            let reply = (self.hooks.apply)(entry);
            if let Some(tx) = self.placed.remove(&entry.index) {
                let index = entry.index;
                let _ = tx.send(Verdict::Applied { index, reply });
            }
            self.applied.send_replace(entry.index);
        }
    }

    fn maybe_compact(&mut self, actions: &mut Vec<Action>) {
        let index = *self.applied.borrow();
        let due = self.node_compacted() + self.compact <= index;
        if due && let Some(text) = (self.hooks.snapshot)() {
            let data = Data::from(text);
            self.step(Event::Compact { index, data }, actions);
        }
    }

    fn node_compacted(&self) -> u64 {
        lock(&self.node).compacted()
    }

    /// Starts the node from the initial members; the caller got them from the other voters.
    fn form(&mut self, members: Members) -> bool {
        let blank = {
            let node = lock(&self.node);
            node.compacted() == 0 && node.members().is_empty()
        };
        if !blank {
            return false;
        }
        let snapshot = Snapshot::initial(members);
        if let Some(store) = self.store.as_mut()
            && let Err(e) = store.save_snapshot(&snapshot)
        {
            self.fail(&e);
            return false;
        }
        let recovered = Recovered {
            hard: HardState::default(),
            snapshot: Some(snapshot),
            entries: Vec::new(),
        };
        *lock(&self.node) = Node::new(self.settings.clone(), recovered);
        true
    }

    /// Takes the disk out of use: the node neither votes nor acknowledges any more.
    ///
    /// Open proposals get no verdict, so that their outcome counts as unknown.
    fn fail(&mut self, error: &StoreError) {
        tracing::error!(event = "disk", step = "persist", %error, "disk fails; the VM leaves the quorum");
        metrics::counter!("zinnia_disk_failures_total").increment(1);
        *lock(&self.fault) = Some(error.to_string());
        self.open.clear();
        self.placed.clear();
        if self.hooks.reopen.is_some() {
            // What the node knows beyond the disk must not count any more.
            *lock(&self.node) = Node::new(self.settings.clone(), Recovered::default());
            self.store = None;
            self.tried = clock::now();
            (self.hooks.role)(Role::Learner, 0, None);
        }
    }

    /// Goes on from what the disk holds, once a failed disk works again.
    fn reopen(&mut self) {
        let now = clock::now();
        let Some(reopen) = self.hooks.reopen.as_ref() else {
            return;
        };
        if lock(&self.fault).is_none() || now.since(self.tried) < REOPEN_MS {
            return;
        }
        self.tried = now;
        match reopen() {
            Ok((store, recovered)) => {
                tracing::info!(
                    event = "disk",
                    entries = recovered.entries.len(),
                    "disk works again"
                );
                (self.hooks.install)(&recovered.snapshot.clone().unwrap_or_default());
                let first = recovered.snapshot.as_ref().map_or(0, |s| s.index);
                self.applied.send_replace(first);
                *lock(&self.node) = Node::new(self.settings.clone(), recovered);
                self.store = Some(store);
                *lock(&self.fault) = None;
            }
            Err(error) => tracing::warn!(event = "disk", %error, "disk is still out of use"),
        }
    }
}
