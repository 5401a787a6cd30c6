//! Voter 1 of three, whose disk can be paused or full. The test sends the messages of the others.

#![expect(clippy::expect_used, reason = "a failed fixture must stop the test")]
#![allow(dead_code, reason = "each test file uses only a part of this module")]

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::mpsc;
use std::time::Duration;

use zinnia_raft::Member;
use zinnia_raft::Members;
use zinnia_raft::Message;
use zinnia_raft::Payload;
use zinnia_raft::Settings;
use zinnia_raft::Snapshot;
use zinnia_replica::Hooks;
use zinnia_replica::Replica;
use zinnia_store::DiskOp;
use zinnia_store::Identity;
use zinnia_store::Store;
use zinnia_store::StoreOptions;
use zinnia_types::VmId;

/// Maximum wait for a message.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(10);
/// Time without a message after which it counts as not sent.
pub(crate) const ABSENCE_WINDOW: Duration = Duration::from_millis(300);

/// Disk whose syncs block while it is paused, and whose writes are refused while it is full.
#[derive(Default)]
pub(crate) struct PausableDisk {
    state: Mutex<DiskState>,
    changed: Condvar,
}

#[derive(Default)]
struct DiskState {
    paused: bool,
    /// Number of syncs that pass although the disk is paused.
    allowed: u32,
    /// Whether a sync is blocked.
    blocked: bool,
    /// Whether writes are refused after their first bytes.
    full: bool,
}

impl PausableDisk {
    fn state(&self) -> MutexGuard<'_, DiskState> {
        self.state.lock().expect("the lock is not poisoned")
    }

    fn wait_while(&self, mut condition: impl FnMut(&mut DiskState) -> bool) {
        let waited = self.changed.wait_while(self.state(), |s| condition(s));
        drop(waited.expect("the lock is not poisoned"));
    }

    pub(crate) fn set_paused(&self, paused: bool) {
        self.state().paused = paused;
        self.changed.notify_all();
    }

    pub(crate) fn set_full(&self, full: bool) {
        self.state().full = full;
    }

    /// Number of bytes that a write may write.
    fn writable_bytes(&self) -> u64 {
        if self.state().full { 5 } else { u64::MAX }
    }

    /// Lets the blocked sync of a paused disk pass.
    pub(crate) fn pass_one_sync(&self) {
        let mut state = self.state();
        state.allowed += 1;
        state.blocked = false;
        drop(state);
        self.changed.notify_all();
    }

    /// Waits until a sync is blocked.
    pub(crate) fn wait_for_sync(&self) {
        self.wait_while(|s| !s.blocked);
    }

    /// Blocks a sync while the disk is paused.
    fn sync(&self) {
        {
            let mut state = self.state();
            state.blocked = state.paused && state.allowed == 0;
        }
        self.changed.notify_all();
        self.wait_while(|s| s.paused && s.allowed == 0);
        let mut state = self.state();
        state.allowed = state.allowed.saturating_sub(1);
    }
}

pub(crate) struct TestVoter {
    pub(crate) replica: Arc<Replica<()>>,
    pub(crate) sent: mpsc::Receiver<(VmId, Message)>,
    pub(crate) disk: Arc<PausableDisk>,
    /// Indices of the entries in the order in which they were applied.
    pub(crate) applied: Arc<Mutex<Vec<u64>>>,
    _dir: tempfile::TempDir,
}

impl TestVoter {
    /// Starts voter 1 of three. The test sends the messages of the others.
    pub(crate) fn start() -> Self {
        Self::start_with(false)
    }

    /// Starts voter 1 of three, which applies entries only after the commit index is on disk if
    /// `durable_commit` is set.
    pub(crate) fn start_with(durable_commit: bool) -> Self {
        let dir = tempfile::tempdir().expect("a temporary folder");
        let disk = Arc::new(PausableDisk::default());
        let gate = Arc::clone(&disk);
        let options = StoreOptions {
            disk_hook: Some(Arc::new(move |op| {
                match op {
                    DiskOp::Sync { .. } => gate.sync(),
                    DiskOp::Write { .. } => return Ok(gate.writable_bytes()),
                    _ => {}
                }
                Ok(u64::MAX)
            })),
            ..StoreOptions::default()
        };
        let wanted = Identity {
            id: VmId(1),
            cluster: "cell".to_owned(),
        };
        let (mut store, mut recovered) =
            Store::open_with(dir.path(), &wanted, options.clone()).expect("the store opens");
        let member = |id| Member {
            id: VmId(id),
            peer: format!("127.0.0.1:{id}"),
            http: String::new(),
            voter: true,
        };
        let members: Vec<Member> = (1..=3).map(member).collect();
        let first = Snapshot::initial(Members::from(members));
        store.save_snapshot(&first).expect("the snapshot is saved");
        recovered.snapshot = Some(first);
        let folder = dir.path().to_owned();
        let (tx, sent) = mpsc::channel();
        let applied = Arc::<Mutex<Vec<u64>>>::default();
        let applier = Arc::clone(&applied);
        let hooks = Hooks {
            send: Box::new(move |to, message| {
                let _ = tx.send((to, message));
            }),
            apply: Box::new(move |entry| {
                let mut indices = applier.lock().expect("the lock is not poisoned");
                indices.push(entry.index);
                Some(())
            }),
            install_snapshot: Box::new(|_| {}),
            take_snapshot: Box::new(|| None),
            reopen: Some(Box::new(move || {
                Store::open_with(&folder, &wanted, options.clone())
            })),
            role_changed: Box::new(|_, _, _| {}),
        };
        let settings = Settings {
            id: VmId(1),
            heartbeat_ms: 20,
            election_min_ms: 200,
            election_max_ms: 300,
            durable_commit,
            ..Settings::default()
        };
        let replica = Replica::start(settings, Some(store), recovered, 1_000, hooks)
            .expect("the log thread starts");
        Self {
            replica: Arc::new(replica),
            sent,
            disk,
            applied,
            _dir: dir,
        }
    }

    /// Returns the next message to voter 2 that `accepts` selects, or `None` after `limit`. Replies to
    /// all messages before it.
    pub(crate) fn next_message(
        &self,
        limit: Duration,
        accepts: impl Fn(&Message) -> bool,
    ) -> Option<Message> {
        let end = std::time::Instant::now() + limit;
        loop {
            let left = end.saturating_duration_since(std::time::Instant::now());
            let (to, message) = self.sent.recv_timeout(left).ok()?;
            if to == VmId(2) && accepts(&message) {
                return Some(message);
            }
            self.reply(&message);
        }
    }

    /// Starts the voter and makes it the leader.
    pub(crate) fn elected() -> Self {
        let voter = Self::start();
        let is_append = |m: &Message| matches!(m, Message::Append(a) if a.commit > 0);
        let first_commit = voter
            .next_message(TIMEOUT, is_append)
            .expect("the leader sends a commit index");
        voter.reply(&first_commit);
        voter
    }

    /// Replies as both other voters to all messages until `limit` has passed.
    pub(crate) fn reply_to_all(&self, limit: Duration) {
        let end = std::time::Instant::now() + limit;
        loop {
            let left = end.saturating_duration_since(std::time::Instant::now());
            let Ok((to, message)) = self.sent.recv_timeout(left) else {
                return;
            };
            self.reply_as(to, &message);
        }
    }

    /// Returns the next reply to a message of the leader that `accepts` selects, or `None` after
    /// `limit`. Other messages are dropped.
    pub(crate) fn next_reply(
        &self,
        limit: Duration,
        accepts: impl Fn(&Message) -> bool,
    ) -> Option<Message> {
        let end = std::time::Instant::now() + limit;
        loop {
            let left = end.saturating_duration_since(std::time::Instant::now());
            let (_, message) = self.sent.recv_timeout(left).ok()?;
            if matches!(message, Message::AppendReply { .. }) && accepts(&message) {
                return Some(message);
            }
        }
    }

    /// Replies as voter 2, which grants every vote and accepts every entry.
    pub(crate) fn reply(&self, message: &Message) {
        self.reply_as(VmId(2), message);
    }

    fn reply_as(&self, from: VmId, message: &Message) {
        let reply = match message {
            Message::PreVote { term, .. } => Message::VoteReply {
                term: *term,
                pre: true,
                granted: true,
            },
            Message::Vote { term, .. } => Message::VoteReply {
                term: *term,
                pre: false,
                granted: true,
            },
            Message::Append(append) => Message::AppendReply {
                term: append.term,
                ok: true,
                index: append.prev + append.entries.len() as u64,
                hint: 0,
                sent: append.sent,
            },
            _ => return,
        };
        self.replica.receive(from, reply);
    }
}

/// Whether the message has entries with data.
pub(crate) fn carries_data(message: &Message) -> bool {
    let data = |e: &zinnia_raft::Entry| matches!(e.payload, Payload::Data(_));
    matches!(message, Message::Append(append) if append.entries.iter().any(data))
}
