//! Thread that drives the Raft node.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::sync::watch;
use zinnia_raft::Action;
use zinnia_raft::Data;
use zinnia_raft::Entry;
use zinnia_raft::Event;
use zinnia_raft::HardState;
use zinnia_raft::Members;
use zinnia_raft::Node;
use zinnia_raft::Proposal;
use zinnia_raft::RecoveredState;
use zinnia_raft::RejectReason;
use zinnia_raft::Role;
use zinnia_raft::Settings;
use zinnia_raft::Snapshot;
use zinnia_store::StoreError;
use zinnia_types::Time;
use zinnia_types::VmId;

use crate::Hooks;
use crate::ProposalOutcome;
use crate::clock;
use crate::disk::Disk;
use crate::disk::Step;
use crate::disk_thread::Job;
use crate::disk_thread::Report;
use crate::replica::Input;
use crate::replica::lock;

/// Interval between attempts to reopen the store after a disk failure.
const REOPEN_INTERVAL_MS: u64 = 500;
/// Duration of one pass of the log thread from which a warning is logged.
const SLOW_PASS_MS: u64 = 100;

/// Maximum number of inputs per pass. Their entries share one write.
const MAX_BATCH_INPUTS: usize = 256;

/// Size of the applied entries after which the log is compacted, whatever their number. They stay in memory and on
/// disk until then.
const COMPACT_BYTES: usize = 32 << 20;

/// State of the log thread.
pub(crate) struct LogThread<R> {
    pub(crate) settings: Settings,
    pub(crate) node: Arc<Mutex<Node>>,
    pub(crate) disk: Disk,
    pub(crate) hooks: Hooks<R>,
    pub(crate) compact_entries: u64,
    /// Size of the entries that were applied after the last snapshot.
    pub(crate) uncompacted_bytes: usize,
    pub(crate) inputs: mpsc::Receiver<Input<R>>,
    pub(crate) applied: watch::Sender<u64>,
    pub(crate) disk_error: Arc<Mutex<Option<String>>>,
    /// Last assigned proposal id.
    pub(crate) last_proposal: u64,
    /// Reply channels of proposals without an outcome, by proposal id.
    pub(crate) pending: BTreeMap<u64, oneshot::Sender<ProposalOutcome<R>>>,
    /// Reply channels of committed proposals that are not applied yet, by log index.
    pub(crate) committed: BTreeMap<u64, oneshot::Sender<ProposalOutcome<R>>>,
    /// Proposals received but not yet passed to the node.
    pub(crate) queued_proposals: Vec<Proposal>,
    /// Last written term and vote. `None` at the start and after a failed write or sync.
    pub(crate) written_vote: Option<(u64, Option<VmId>)>,
    /// Time of the last attempt to reopen the store.
    pub(crate) last_reopen: Time,
}

impl<R> LogThread<R> {
    pub(crate) fn run(mut self) {
        let tick = Duration::from_millis((self.settings.heartbeat_ms / 4).max(1));
        loop {
            let first = self.inputs.recv_timeout(tick);
            let mut actions = Vec::new();
            match first {
                Ok(input) => {
                    if self.handle_input(input, &mut actions) {
                        return;
                    }
                }
                Err(mpsc::RecvTimeoutError::Timeout) => {}
                Err(mpsc::RecvTimeoutError::Disconnected) => return,
            }
            for _ in 1..MAX_BATCH_INPUTS {
                let Ok(input) = self.inputs.try_recv() else {
                    break;
                };
                if self.handle_input(input, &mut actions) {
                    return;
                }
            }
            self.submit_proposals(&mut actions);
            self.reopen_disk();
            self.step(Event::Tick, &mut actions);
            let began = clock::now();
            self.perform_all(actions);
            self.send_contact();
            let ms = clock::now().since(began);
            metrics::histogram!("zinnia_log_pass_ms").record(ms as f64);
            if ms >= SLOW_PASS_MS {
                tracing::warn!(event = "log", ms, "log pass was slow");
            }
        }
    }

    /// Processes one input. Returns `true` if the thread must stop.
    fn handle_input(&mut self, input: Input<R>, actions: &mut Vec<Action>) -> bool {
        match input {
            Input::Event(event) => self.step(event, actions),
            // The node is discarded, so that no answer of it would follow.
            Input::Propose(_, tx) | Input::Change(_, tx) if self.is_offline() => {
                let _ = tx.send(ProposalOutcome::Rejected {
                    leader: None,
                    reason: RejectReason::NotLeader,
                });
            }
            Input::Propose(data, tx) => {
                let proposal_id = self.register(tx);
                self.queued_proposals.push(Proposal { proposal_id, data });
            }
            Input::Change(change, tx) => {
                self.submit_proposals(actions);
                let proposal_id = self.register(tx);
                self.step(
                    Event::ChangeMembers {
                        proposal_id,
                        change,
                    },
                    actions,
                );
            }
            Input::Bootstrap(members, tx) => {
                let _ = tx.send(self.bootstrap(members));
            }
            Input::Disk(Report::Synced(job)) => self.disk.record_synced(job, clock::now()),
            Input::Disk(Report::Failed(error)) => {
                // They are those of the node that is discarded.
                actions.clear();
                self.take_disk_offline(&error);
            }
            Input::Stop(tx) => {
                self.disk.close();
                if let Some(tx) = tx {
                    let _ = tx.send(());
                }
                return true;
            }
        }
        false
    }

    /// Passes all queued proposals to the node at once, so that they share a sync.
    fn submit_proposals(&mut self, actions: &mut Vec<Action>) {
        if !self.queued_proposals.is_empty() {
            let list = std::mem::take(&mut self.queued_proposals);
            self.step(Event::Propose(list), actions);
        }
    }

    /// Stores the reply channel of a proposal and returns the id of the proposal.
    fn register(&mut self, tx: oneshot::Sender<ProposalOutcome<R>>) -> u64 {
        self.last_proposal += 1;
        self.pending.retain(|_, tx| !tx.is_closed());
        self.pending.insert(self.last_proposal, tx);
        self.last_proposal
    }

    /// Whether the disk is offline after a failed write.
    fn is_offline(&self) -> bool {
        lock(&self.disk_error).is_some()
    }

    /// Passes an event to the node, unless the disk is offline.
    fn step(&mut self, event: Event, actions: &mut Vec<Action>) {
        if !self.is_offline() {
            actions.extend(lock(&self.node).step(event, clock::now()));
        }
    }

    /// Performs actions and those that follow from them, as far as they need not wait for the disk.
    ///
    /// The actions go first: a step that has become due may make the node emit entries to apply that
    /// come after theirs.
    fn perform_all(&mut self, actions: Vec<Action>) {
        self.dispatch(actions);
        self.perform_due();
        let mut actions = Vec::new();
        self.compact_if_due(&mut actions);
        self.dispatch(actions);
    }

    /// Performs the steps whose writes are synced, and the actions that follow from them.
    fn perform_due(&mut self) {
        while let Some(step) = self.disk.next_due() {
            match step {
                Step::Perform(action) => self.perform_action(action),
                Step::ReportSync(index) => {
                    let mut actions = Vec::new();
                    self.step(Event::Synced { index }, &mut actions);
                    self.dispatch(actions);
                }
            }
        }
    }

    /// Submits the writes among the actions of a pass. Performs the actions that may precede their
    /// sync, and defers the others until it is complete.
    fn dispatch(&mut self, actions: Vec<Action>) {
        let now = clock::now();
        let blocks = !self.may_send_early(&actions);
        let mut last_index = None;
        for action in actions {
            match action {
                Action::Persist {
                    hard,
                    truncate,
                    entries,
                } => {
                    let vote = hard.map(|h| (h.term, h.vote));
                    let is_new_vote = vote.is_some() && vote != self.written_vote;
                    self.written_vote = vote.or(self.written_vote);
                    let index = entries.last().map(|e| e.index);
                    last_index = Some(index.or(last_index).unwrap_or(0));
                    let job = Job::Persist {
                        hard,
                        truncate,
                        entries,
                    };
                    self.disk.submit(job, now);
                    if is_new_vote {
                        self.disk.mark_vote();
                    }
                }
                Action::SaveSnapshot { snapshot } => {
                    self.disk.submit(Job::SaveSnapshot(snapshot), now);
                }
                Action::InstallSnapshot { snapshot } => {
                    self.disk.submit(Job::SaveSnapshot(snapshot.clone()), now);
                    let install = Action::InstallSnapshot { snapshot };
                    self.disk.defer(Step::Perform(install), true);
                }
                action if action.may_precede_sync() && !blocks => {
                    if self.disk.is_blocked() {
                        self.disk.defer_blocked(Step::Perform(action));
                    } else {
                        self.perform_action(action);
                    }
                }
                action => self.disk.defer(Step::Perform(action), blocks),
            }
        }
        if let Some(index) = last_index {
            self.disk.defer(Step::ReportSync(index), blocks);
        }
    }

    /// Shows the leader that this node is alive while a write takes long.
    fn send_contact(&mut self) {
        let limit_ms = self.settings.heartbeat_ms;
        if let Some((to, message)) = self.disk.contact_reply(limit_ms, clock::now()) {
            (self.hooks.send)(to, message);
        }
    }

    /// Whether some actions may be performed before the sync: the actions install no snapshot and
    /// change neither role, term nor vote, and the commit index need not be durable before entries
    /// are applied.
    fn may_send_early(&self, actions: &[Action]) -> bool {
        actions.iter().all(|action| match action {
            Action::RoleChanged { .. } | Action::InstallSnapshot { .. } => false,
            Action::Persist {
                hard: Some(hard), ..
            } => !self.settings.durable_commit && self.written_vote == Some((hard.term, hard.vote)),
            _ => true,
        })
    }

    fn perform_action(&mut self, action: Action) {
        match action {
            // Their writes are submitted by `dispatch`.
            Action::Persist { .. } | Action::SaveSnapshot { .. } => {}
            Action::InstallSnapshot { snapshot } => self.install(&snapshot),
            Action::Send { to, message } => (self.hooks.send)(to, message),
            Action::Committed { proposal_id, index } => {
                if let Some(tx) = self.pending.remove(&proposal_id) {
                    self.committed.insert(index, tx);
                }
            }
            Action::Apply { entries } => self.apply(&entries),
            Action::Rejected {
                proposal_id,
                leader,
                reason,
            } => {
                if let Some(tx) = self.pending.remove(&proposal_id) {
                    let _ = tx.send(ProposalOutcome::Rejected { leader, reason });
                }
            }
            Action::RoleChanged { role, term, leader } => {
                (self.hooks.role_changed)(role, term, leader);
            }
        }
    }

    /// Replaces the application state, unless it is as new already.
    fn install(&mut self, snapshot: &Snapshot) {
        if snapshot.index > *self.applied.borrow() {
            (self.hooks.install_snapshot)(snapshot);
            self.applied.send_replace(snapshot.index);
        }
    }

    /// Applies entries. After a disk failure, the application keeps its state, which has only
    /// committed entries, and the node emits those after its snapshot again.
    fn apply(&mut self, entries: &[Entry]) {
        let applied = *self.applied.borrow();
        for entry in entries.iter().filter(|e| e.index > applied) {
            let reply = (self.hooks.apply)(entry);
            self.uncompacted_bytes += entry.size_estimate();
            if let Some(tx) = self.committed.remove(&entry.index) {
                let index = entry.index;
                let _ = tx.send(ProposalOutcome::Applied { index, reply });
            }
            self.applied.send_replace(entry.index);
        }
    }

    /// Compacts the log once enough entries, or large ones, are applied after the last snapshot.
    fn compact_if_due(&mut self, actions: &mut Vec<Action>) {
        let index = *self.applied.borrow();
        let is_due = {
            let node = lock(&self.node);
            let due = node.snapshot_index() + self.compact_entries <= index
                || self.uncompacted_bytes >= COMPACT_BYTES;
            // After a disk failure, the log may lack entries that are applied.
            due && node.applied_index() >= index && !self.is_offline()
        };
        if is_due && let Some(text) = (self.hooks.take_snapshot)() {
            let data = Data::from(text);
            self.uncompacted_bytes = 0;
            self.step(Event::Compact { index, data }, actions);
        }
    }

    /// Replaces an empty node with one that starts from the initial members. The caller has agreed on
    /// them with the other voters.
    fn bootstrap(&mut self, members: Members) -> bool {
        let is_blank = {
            let node = lock(&self.node);
            node.snapshot_index() == 0 && node.members().is_empty()
        };
        if !is_blank {
            return false;
        }
        let snapshot = Snapshot::initial(members);
        match self.disk.save_now(&snapshot) {
            Ok(true) => {}
            Ok(false) => return false,
            Err(e) => {
                self.take_disk_offline(&e);
                return false;
            }
        }
        let recovered = RecoveredState {
            hard: HardState::default(),
            snapshot: Some(snapshot),
            entries: Vec::new(),
        };
        self.written_vote = None;
        *lock(&self.node) = Node::new(self.settings.clone(), recovered);
        true
    }

    /// Takes the disk offline. The node no longer votes or acknowledges entries.
    ///
    /// Pending proposals get no outcome, because it is unknown.
    fn take_disk_offline(&mut self, error: &StoreError) {
        tracing::error!(event = "disk", step = "persist", %error, "disk write failed; this VM no longer takes part in the quorum");
        metrics::counter!("zinnia_disk_failures_total").increment(1);
        *lock(&self.disk_error) = Some(error.to_string());
        self.written_vote = None;
        self.disk.reset();
        self.pending.clear();
        self.committed.clear();
        if self.hooks.reopen.is_some() {
            // The log in memory may be ahead of the disk, so discard it. The members still serve to
            // find the other nodes.
            let members = lock(&self.node).members().clone();
            let recovered = RecoveredState {
                snapshot: Some(Snapshot::initial(members)),
                ..RecoveredState::default()
            };
            *lock(&self.node) = Node::new(self.settings.clone(), recovered);
            self.last_reopen = clock::now();
            (self.hooks.role_changed)(Role::Learner, 0, None);
        }
    }

    /// Tries to reopen the store after a disk failure and restarts the node from its state.
    fn reopen_disk(&mut self) {
        let now = clock::now();
        let Some(reopen) = self.hooks.reopen.as_ref() else {
            return;
        };
        if !self.is_offline() || now.since(self.last_reopen) < REOPEN_INTERVAL_MS {
            return;
        }
        self.last_reopen = now;
        let reopened = reopen().and_then(|(mut store, recovered)| {
            // Opening needs no room on the disk. A voter on a full disk would answer the leader and
            // fail again with the next entry.
            store.persist(Some(&recovered.hard), None, &[])?;
            Ok((store, recovered))
        });
        match reopened {
            Ok((store, recovered)) => {
                tracing::info!(
                    event = "disk",
                    entries = recovered.entries.len(),
                    "store reopened after a disk failure"
                );
                if let Some(snapshot) = recovered.snapshot.as_ref() {
                    self.install(snapshot);
                }
                *lock(&self.node) = Node::new(self.settings.clone(), recovered);
                self.disk.submit(Job::Open(Box::new(store)), now);
                *lock(&self.disk_error) = None;
            }
            Err(error) => {
                tracing::warn!(event = "disk", %error, "store cannot be reopened; the disk stays offline");
            }
        }
    }
}
