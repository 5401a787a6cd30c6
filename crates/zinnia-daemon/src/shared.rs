//! What all parts of a running daemon share, and proposals to the log.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use zinnia_cell::Command;
use zinnia_cell::Reply;
use zinnia_http::Client;
use zinnia_peer::Links;
use zinnia_raft::Node;
use zinnia_raft::RejectReason;
use zinnia_replica::ProposalOutcome;
use zinnia_replica::clock;
use zinnia_store::RecordFile;
use zinnia_types::Code;
use zinnia_types::ErrorBody;
use zinnia_types::Ran;
use zinnia_types::Time;
use zinnia_types::VmId;

use crate::counted::Traffic;
use crate::engine::Engine;
use crate::journal::Journal;
use crate::routing::Routing;
use crate::settings::Settings;

/// Longest wait for this VM to apply what the leader has committed.
const CATCH_UP: Duration = Duration::from_secs(1);
/// Pause before a proposal is tried again while no leader is known.
const RETRY: Duration = Duration::from_millis(100);

/// The replicated log, whose commands the cell answers.
pub type Replica = zinnia_replica::Replica<Reply>;

/// Shared by all tasks of a daemon.
pub struct Shared {
    /// Settings as read.
    pub settings: Settings,
    /// Everything that decides.
    pub engine: Mutex<Engine>,
    /// The replicated log; set once at the start.
    pub replica: OnceLock<Replica>,
    /// Withdrawn keys on the disk of this VM, if it has one.
    pub withdrawn: Mutex<Option<RecordFile>>,
    /// Jobs accepted in isolation, on disk.
    pub journal: Journal,
    /// Links to other daemons.
    pub links: Links,
    /// Client for workers.
    pub workers: Client,
    /// Client for calls to services.
    pub calls: Client,
    /// Peer addresses of VMs, as pings and joins told them.
    pub addresses: Mutex<BTreeMap<VmId, String>>,
    /// Runtime on which tasks are spawned.
    pub runtime: Handle,
    /// Ends every background task.
    pub stop: CancellationToken,
    /// Requests of callers in flight, awaited by a drain.
    pub in_flight: TaskTracker,
    /// Numbers for calls and other local ids.
    pub numbers: AtomicU64,
    /// Routing of calls.
    pub routing: Routing,
    /// When the last catch-up with the leader began; at most one runs at a time.
    pub caught: tokio::sync::Mutex<Time>,
    /// Bytes over HTTP.
    pub traffic: Arc<Traffic>,
    /// Secret that marks calls passed on by another daemon.
    pub hop: String,
}

/// Answer to a proposal that was passed on to the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Applied {
    /// Index of the entry.
    pub index: u64,
    /// The cell's answer.
    pub reply: Reply,
}

impl Shared {
    /// Runs `f` on the engine at the present time and performs what it asks for.
    pub fn with_engine<T>(self: &Arc<Self>, f: impl FnOnce(&mut Engine, Time) -> T) -> T {
        let (result, pushes) = {
            let mut engine = self.engine.lock().unwrap_or_else(PoisonError::into_inner);
            let now = clock::now();
            engine.refresh(now);
            let result = f(&mut engine, now);
            let endpoints = &engine.endpoints;
            self.routing.sync(endpoints.version, || endpoints.list());
            (result, std::mem::take(&mut engine.pushes))
        };
        for push in pushes {
            crate::push::spawn(self, push);
        }
        result
    }

    /// The replicated log.
    pub fn replica(&self) -> Option<&Replica> {
        self.replica.get()
    }

    /// Id of this VM.
    pub fn id(&self) -> VmId {
        let engine = self.engine.lock().unwrap_or_else(PoisonError::into_inner);
        engine.me.vm.id
    }

    /// A number that was not given out before in this process.
    pub fn number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }

    /// Peer address of a VM.
    pub fn address(&self, vm: VmId) -> Option<String> {
        let known = self
            .replica()
            .and_then(|r| r.read(|n| n.members().get(vm).map(|m| m.peer.clone())));
        known.or_else(|| {
            let addresses = self
                .addresses
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            addresses.get(&vm).cloned()
        })
    }

    /// Notes the peer address of a VM.
    pub fn note_address(&self, vm: VmId, addr: &str) {
        let mut addresses = self
            .addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        addresses.insert(vm, addr.to_owned());
    }

    /// Waits until this VM has applied what the leader had committed, so that an answer such as "no
    /// such team" is not due to this VM lagging. Does nothing while no leader is in reach.
    ///
    /// Requests that wait at the same time share one question to the leader, so that a flood of
    /// unknown keys does not become a flood of questions.
    pub async fn catch_up(&self) {
        let asked = clock::now();
        let mut caught = self.caught.lock().await;
        if *caught > asked {
            return;
        }
        let began = clock::now();
        let leader = self.replica().and_then(|r| r.read(Node::leader));
        let addr = leader
            .filter(|&l| l != self.id())
            .and_then(|l| self.address(l));
        if let (Some(addr), Some(replica)) = (addr, self.replica())
            && let Ok(Some(commit)) = self
                .links
                .call::<_, Option<u64>>(&addr, "commit", &())
                .await
        {
            replica.wait_applied(commit, CATCH_UP).await;
        }
        // A strictly later reading, so that a request of the same millisecond asks for itself.
        *caught = began;
    }

    /// Refuses proposals while the disk is out of use: this VM would learn of no outcome.
    fn check_disk(&self) -> Result<(), ErrorBody> {
        if self.replica().and_then(Replica::disk_error).is_none() {
            return Ok(());
        }
        let text = "the disk of this VM takes no more writes; ask another VM";
        Err(ErrorBody::new(Code::Unavailable, "propose", text))
    }

    /// Proposes a command and waits until it is applied on this VM.
    ///
    /// # Errors
    ///
    /// `ran: no` when the command is certainly not in the log, `ran: unknown` when it may still
    /// come into force.
    pub async fn propose(&self, command: &Command) -> Result<Reply, ErrorBody> {
        self.check_disk()?;
        let limit = Duration::from_millis(self.settings.replication.propose_ms);
        let text = serde_json::to_string(command)
            .map_err(|e| ErrorBody::new(Code::Internal, "propose", e.to_string()))?;
        let deadline = tokio::time::Instant::now() + limit;
        loop {
            let last = match self.propose_once(&text, limit).await {
                Ok(applied) => {
                    // The caller reads its own write on this VM.
                    if let Some(replica) = self.replica() {
                        replica.wait_applied(applied.index, limit).await;
                    }
                    return Ok(applied.reply);
                }
                Err(body) if body.ran == Ran::No && body.code == Code::Unavailable => body,
                Err(body) => return Err(body),
            };
            if tokio::time::Instant::now() + RETRY >= deadline {
                return Err(last);
            }
            tokio::time::sleep(RETRY).await;
        }
    }

    async fn propose_once(&self, text: &str, limit: Duration) -> Result<Applied, ErrorBody> {
        let not_leader = match self.propose_here(text, limit).await {
            Ok(applied) => return Ok(applied),
            Err(Missed::NotLeader(leader)) => leader,
            Err(Missed::Refused(body)) => return Err(body),
        };
        let unknown_leader = || ErrorBody::new(Code::Unavailable, "propose", "no leader is known");
        let leader = not_leader.ok_or_else(unknown_leader)?;
        let addr = self.address(leader).ok_or_else(unknown_leader)?;
        let answer = self
            .links
            .call_with_timeout::<_, Applied>(&addr, "propose", text, limit)
            .await;
        answer.map_err(|e| match e.handler_error {
            Some(body) => *body,
            None => {
                let ran = if e.maybe_sent { Ran::Unknown } else { Ran::No };
                let code = if e.timed_out {
                    Code::Timeout
                } else {
                    Code::Unavailable
                };
                ErrorBody::new(code, "propose", e.to_string())
                    .at(addr)
                    .ran(ran)
            }
        })
    }

    /// Proposes on this VM as the leader.
    pub async fn propose_here(&self, text: &str, limit: Duration) -> Result<Applied, Missed> {
        let Some(replica) = self.replica() else {
            return Err(Missed::NotLeader(None));
        };
        self.check_disk().map_err(Missed::Refused)?;
        let me = self.id();
        match replica.propose(text.to_owned(), limit).await {
            Some(ProposalOutcome::Applied {
                index,
                reply: Some(reply),
            }) => Ok(Applied { index, reply }),
            Some(ProposalOutcome::Applied { reply: None, .. }) => Err(Missed::Refused(
                ErrorBody::new(Code::Internal, "propose", "the entry is no command"),
            )),
            Some(ProposalOutcome::Rejected {
                leader,
                reason: why,
            }) => match why {
                RejectReason::NotLeader => Err(Missed::NotLeader(leader.filter(|&l| l != me))),
                RejectReason::TooLarge => Err(Missed::Refused(ErrorBody::new(
                    Code::TooLarge,
                    "propose",
                    "the command is larger than a log message may be",
                ))),
                _ => Err(Missed::Refused(ErrorBody::new(
                    Code::Unavailable,
                    "propose",
                    format!("the log does not take the command now: {why:?}"),
                ))),
            },
            None => Err(Missed::Refused(
                ErrorBody::new(
                    Code::Timeout,
                    "propose",
                    "no majority confirmed the command in time",
                )
                .ran(Ran::Unknown),
            )),
        }
    }
}

/// Why a proposal on this VM brought no answer of the cell.
pub enum Missed {
    /// Another VM leads, if one is known.
    NotLeader(Option<VmId>),
    /// Refused or of unknown outcome.
    Refused(ErrorBody),
}
