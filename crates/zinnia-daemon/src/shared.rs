//! State that all tasks of a running daemon share, and proposals to the log.

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
use zinnia_types::ExecutionStatus;
use zinnia_types::Time;
use zinnia_types::VmId;

use crate::call_router::CallRouter;
use crate::engine::Engine;
use crate::journal::Journal;
use crate::settings::Settings;
use crate::traffic::HttpTraffic;

/// Longest wait for this VM to apply the entries that the leader has committed.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a proposal is retried while no leader is known.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The replicated log, whose commands the cell answers.
pub type Replica = zinnia_replica::Replica<Reply>;

/// State that all tasks of a daemon share.
pub struct Shared {
    /// Settings of the daemon.
    pub settings: Settings,
    /// Replicated state and decisions.
    pub engine: Mutex<Engine>,
    /// The replicated log; set once while the daemon starts.
    pub replica: OnceLock<Replica>,
    /// File of the withdrawn keys; a VM without a disk has none.
    pub withdrawn_file: Mutex<Option<RecordFile>>,
    /// Journal of the jobs accepted in isolation.
    pub journal: Journal,
    /// Connections to the other daemons.
    pub links: Links,
    /// HTTP client for commands to workers.
    pub worker_client: Client,
    /// HTTP client for service calls and forwarded requests.
    pub call_client: Client,
    /// Peer addresses of other VMs, from their pings, probes and join requests.
    pub peer_addresses: Mutex<BTreeMap<VmId, String>>,
    /// Runtime on which tasks are spawned.
    pub runtime: Handle,
    /// Stops every background task when cancelled.
    pub shutdown: CancellationToken,
    /// Requests of callers in flight; a drain waits for them.
    pub in_flight: TaskTracker,
    /// Next id for calls and other objects that are local to this process.
    pub id_counter: AtomicU64,
    /// Router of service calls.
    pub routing: CallRouter,
    /// Start time of the last catch-up with the leader. It is locked while one runs, so that at
    /// most one runs at a time.
    pub last_catchup: tokio::sync::Mutex<Time>,
    /// Bytes transferred over HTTP.
    pub traffic: Arc<HttpTraffic>,
    /// Secret that authenticates calls forwarded by another daemon.
    pub hop_secret: String,
}

/// A command that was applied, as answered by the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Applied {
    /// Index of the command's log entry.
    pub index: u64,
    /// The cell's answer.
    pub reply: Reply,
}

impl Shared {
    /// Runs `decide` on the engine with the present time, then updates the router's endpoints and
    /// sends the worker commands that it queued.
    pub fn with_engine<T>(self: &Arc<Self>, decide: impl FnOnce(&mut Engine, Time) -> T) -> T {
        let (result, worker_commands) = {
            let mut engine = self.engine.lock().unwrap_or_else(PoisonError::into_inner);
            let now = clock::now();
            engine.refresh_authority(now);
            let result = decide(&mut engine, now);
            let endpoints = &engine.endpoints;
            self.routing
                .sync_endpoints(endpoints.version, || endpoints.list());
            (result, std::mem::take(&mut engine.worker_commands))
        };
        for command in worker_commands {
            crate::worker_command::spawn(self, command);
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
        engine.identity.vm.id
    }

    /// Returns an id that is unique in this process.
    pub fn next_id(&self) -> u64 {
        self.id_counter.fetch_add(1, Ordering::Relaxed)
    }

    /// The peer address of a VM, if known.
    pub fn peer_address(&self, vm: VmId) -> Option<String> {
        let member = self
            .replica()
            .and_then(|r| r.read(|n| n.members().get(vm).map(|m| m.peer.clone())));
        member.or_else(|| {
            let peer_addresses = self
                .peer_addresses
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            peer_addresses.get(&vm).cloned()
        })
    }

    /// Records the peer address of a VM.
    pub fn record_address(&self, vm: VmId, addr: &str) {
        let mut peer_addresses = self
            .peer_addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        peer_addresses.insert(vm, addr.to_owned());
    }

    /// Waits until this VM has applied the entries that the leader has committed, so that an answer
    /// such as "no such team" is not caused by replication lag. Does nothing while no leader can be
    /// reached.
    ///
    /// Concurrent requests share one query to the leader. Many requests with unknown keys therefore
    /// cause few queries.
    pub async fn catch_up(&self) {
        let requested = clock::now();
        let mut last_catchup = self.last_catchup.lock().await;
        if *last_catchup > requested {
            return;
        }
        let began = clock::now();
        let leader = self.replica().and_then(|r| r.read(Node::leader));
        let addr = leader
            .filter(|&l| l != self.id())
            .and_then(|l| self.peer_address(l));
        if let (Some(addr), Some(replica)) = (addr, self.replica())
            && let Ok(Some(commit)) = self
                .links
                .call::<_, Option<u64>>(&addr, "commit", &())
                .await
        {
            replica.wait_applied(commit, CATCH_UP_TIMEOUT).await;
        }
        // A waiting request shares this catch-up only if it arrived strictly before the start: one
        // of the same millisecond may have arrived after the query.
        *last_catchup = began;
    }

    /// Refuses proposals after a disk failure, since this VM then applies no entries and would not
    /// learn the outcome.
    fn check_disk(&self) -> Result<(), ErrorBody> {
        if self.replica().and_then(Replica::disk_error).is_none() {
            return Ok(());
        }
        let text = "the disk of this VM has failed; ask another VM";
        Err(ErrorBody::new(Code::Unavailable, "propose", text))
    }

    /// Proposes a command and waits until it is applied on this VM.
    ///
    /// # Errors
    ///
    /// The refusal has `ran: no` when the command is certainly not in the log, and `ran: unknown`
    /// when it may still be applied.
    pub async fn propose(&self, command: &Command) -> Result<Reply, ErrorBody> {
        self.check_disk()?;
        let limit = Duration::from_millis(self.settings.replication.propose_ms);
        let text = serde_json::to_string(command)
            .map_err(|e| ErrorBody::new(Code::Internal, "propose", e.to_string()))?;
        let deadline = tokio::time::Instant::now() + limit;
        loop {
            let error = match self.propose_once(&text, limit).await {
                Ok(applied) => {
                    // The caller must see its own write on this VM.
                    if let Some(replica) = self.replica() {
                        replica.wait_applied(applied.index, limit).await;
                    }
                    return Ok(applied.reply);
                }
                Err(body)
                    if body.ran == ExecutionStatus::NotRun && body.code == Code::Unavailable =>
                {
                    body
                }
                Err(body) => return Err(body),
            };
            if tokio::time::Instant::now() + RETRY_DELAY >= deadline {
                return Err(error);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn propose_once(&self, text: &str, limit: Duration) -> Result<Applied, ErrorBody> {
        let leader = match self.propose_locally(text, limit).await {
            Ok(applied) => return Ok(applied),
            Err(ProposeError::NotLeader(leader)) => leader,
            Err(ProposeError::Refused(body)) => return Err(body),
        };
        let no_leader = || ErrorBody::new(Code::Unavailable, "propose", "no leader is known");
        let leader = leader.ok_or_else(no_leader)?;
        let addr = self.peer_address(leader).ok_or_else(no_leader)?;
        let answer = self
            .links
            .call_with_timeout::<_, Applied>(&addr, "propose", text, limit)
            .await;
        answer.map_err(|e| match e.handler_error {
            Some(body) => *body,
            None => {
                let ran = if e.maybe_sent {
                    ExecutionStatus::Unknown
                } else {
                    ExecutionStatus::NotRun
                };
                let code = if e.timed_out {
                    Code::Timeout
                } else {
                    Code::Unavailable
                };
                ErrorBody::new(code, "propose", e.to_string())
                    .peer(addr)
                    .ran(ran)
            }
        })
    }

    /// Proposes a command to the log if this VM is the leader.
    pub async fn propose_locally(
        &self,
        text: &str,
        limit: Duration,
    ) -> Result<Applied, ProposeError> {
        let Some(replica) = self.replica() else {
            return Err(ProposeError::NotLeader(None));
        };
        self.check_disk().map_err(ProposeError::Refused)?;
        let own_id = self.id();
        match replica.propose(text.to_owned(), limit).await {
            Some(ProposalOutcome::Applied {
                index,
                reply: Some(reply),
            }) => Ok(Applied { index, reply }),
            Some(ProposalOutcome::Applied { reply: None, .. }) => Err(ProposeError::Refused(
                ErrorBody::new(Code::Internal, "propose", "the log entry is not a command"),
            )),
            Some(ProposalOutcome::Rejected {
                leader,
                reason: why,
            }) => match why {
                RejectReason::NotLeader => {
                    Err(ProposeError::NotLeader(leader.filter(|&l| l != own_id)))
                }
                RejectReason::TooLarge => Err(ProposeError::Refused(ErrorBody::new(
                    Code::TooLarge,
                    "propose",
                    "the command exceeds the size limit of log messages",
                ))),
                _ => Err(ProposeError::Refused(ErrorBody::new(
                    Code::Unavailable,
                    "propose",
                    format!("the log cannot accept the command now: {why:?}"),
                ))),
            },
            None => Err(ProposeError::Refused(
                ErrorBody::new(
                    Code::Timeout,
                    "propose",
                    "no majority confirmed the command in time",
                )
                .ran(ExecutionStatus::Unknown),
            )),
        }
    }
}

/// Why a local proposal failed.
pub enum ProposeError {
    /// This VM is not the leader; holds the leader if known.
    NotLeader(Option<VmId>),
    /// The proposal was refused, or its outcome is unknown.
    Refused(ErrorBody),
}
