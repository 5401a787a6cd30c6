//! State that a member shares between its asynchronous tasks and the log thread.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::Notify;
use tokio::sync::mpsc;
use zinnia_peer::Links;
use zinnia_plan::Intake;
use zinnia_plan::Leader;
use zinnia_plan::LeaseTimes;
use zinnia_plan::RelayedHeartbeat;
use zinnia_plan::Reply;
use zinnia_plan::StartOrder;
use zinnia_plan::State;
use zinnia_raft::Node;
use zinnia_raft::PeerStatus;
use zinnia_raft::Role;
use zinnia_replica::Replica;
use zinnia_replica::clock;
use zinnia_types::Time;
use zinnia_types::VmId;

use crate::LeaderTime;
use crate::Settings;
use crate::heartbeat_relay::Receiver;
use crate::heartbeat_relay::heartbeat_receivers;
use crate::leader_memory::MessageMemory;
use crate::log_queue::LogQueue;
use crate::settlement::OpenSubmits;
use crate::settlement::RejectedIds;

/// Replicated state and, on the leader, its volatile state.
#[derive(Default)]
pub(crate) struct CellState {
    pub(crate) state: State,
    /// When this member applied the entries about leases.
    pub(crate) lease_times: LeaseTimes,
    pub(crate) leader: Option<Leader>,
    /// Jobs whose submission was proposed in this term and has no outcome yet.
    pub(crate) open_submits: OpenSubmits,
    /// Ids that this leader has answered as not accepted after the deadline of their submissions.
    pub(crate) rejected: RejectedIds,
    /// Processes that can query the placement policy, by peer address.
    pub(crate) policy_clients: BTreeMap<String, PolicyClient>,
}

impl CellState {
    /// Replaces the replicated state by one from a snapshot.
    pub(crate) fn restore(&mut self, state: State) {
        self.state = state;
        self.lease_times.clear();
    }
}

/// A process that can query the placement policy.
#[derive(Clone, Debug)]
pub(crate) struct PolicyClient {
    pub(crate) last_seen: Time,
    /// Policy time of the open queries, in milliseconds.
    pub(crate) load_ms: u64,
    /// Time until which it gets no queries, after one failed.
    pub(crate) blocked_until: Time,
}

/// Time without a message after which a process gets no more queries to the policy.
pub(crate) const POLICY_CLIENT_TIMEOUT_MS: u64 = 1_500;

impl PolicyClient {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            last_seen: now,
            load_ms: 0,
            blocked_until: Time(0),
        }
    }

    pub(crate) fn is_usable(&self, now: Time) -> bool {
        now >= self.blocked_until && now.since(self.last_seen) < POLICY_CLIENT_TIMEOUT_MS
    }
}

/// State that the tasks of a member of the replicated log share.
pub(crate) struct MemberContext {
    pub(crate) settings: Settings,
    pub(crate) id: VmId,
    pub(crate) cell: Mutex<CellState>,
    pub(crate) replica: OnceLock<Replica<Vec<Reply>>>,
    pub(crate) links: Links,
    pub(crate) runtime: tokio::runtime::Handle,
    /// Latest term in which this process was ready to lead.
    pub(crate) ready_term: AtomicU64,
    /// Records that wait for the next entry of the log.
    pub(crate) log_queue: LogQueue,
    /// Intake of new jobs by the leader's own time.
    pub(crate) intake: Mutex<Intake>,
    /// Wakes the planning loop of the leader.
    pub(crate) plan_wakeup: Notify,
    /// Wakes reads that wait for the end of a job.
    pub(crate) job_progress: Notify,
    /// Start orders of committed starts, to be sent to workers.
    pub(crate) start_orders: mpsc::UnboundedSender<StartOrder>,
    /// Peer addresses of processes that are not, or not yet, members.
    pub(crate) peer_addrs: Mutex<BTreeMap<VmId, String>>,
    /// When members last announced that they shut down.
    pub(crate) leaving: Mutex<BTreeMap<VmId, Time>>,
    /// Large messages of callers that are being handled.
    pub(crate) message_memory: MessageMemory,
    /// Wakes the leader's management of the membership.
    pub(crate) membership_wakeup: Notify,
}

/// Time after its last announcement for which a member counts as one that shuts down. A member that waits repeats
/// it in shorter intervals.
const LEAVING_MS: u64 = 1_000;

impl MemberContext {
    pub(crate) fn cell_state(&self) -> MutexGuard<'_, CellState> {
        self.cell.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn intake(&self) -> MutexGuard<'_, Intake> {
        self.intake.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn read<T>(&self, f: impl FnOnce(&Node) -> T) -> Option<T> {
        self.replica.get().map(|r| r.read(f))
    }

    /// Whether this process is the leader and may answer reads.
    pub(crate) fn is_leader(&self) -> bool {
        self.leading_term().is_some()
    }

    /// Returns the term in which this process is the leader and may answer reads. Without a valid
    /// leader lease another leader may already be active.
    pub(crate) fn leading_term(&self) -> Option<u64> {
        let term = self.term()?;
        // One view of the node: a follower has contact with a quorum through another leader.
        let leads = |n: &Node| {
            n.role() == Role::Leader && n.term() == term && n.has_quorum_contact(clock::now())
        };
        self.read(leads)?.then_some(term)
    }

    /// Reads the clock of the leader, if that is this process.
    pub(crate) fn leader_time(&self) -> Option<LeaderTime> {
        let term = self.leading_term()?;
        Some(LeaderTime {
            term,
            at: clock::now(),
        })
    }

    /// Returns the term in which this process is the leader, once everything committed before is
    /// applied.
    ///
    /// The leader then stays ready for the rest of its term. Its later entries are acknowledged
    /// only after they are applied, so a read never misses an acknowledged one, even if newer
    /// entries are still being written to disk.
    fn term(&self) -> Option<u64> {
        let replica = self.replica.get()?;
        if let Some(ready) = replica.ready_term() {
            self.ready_term.store(ready, Ordering::Relaxed);
        }
        let term = replica.read(|n| (n.role() == Role::Leader).then(|| n.term()))?;
        (self.ready_term.load(Ordering::Relaxed) == term).then_some(term)
    }

    /// Addresses of the members that receive the heartbeats of workers for this leader; empty if it
    /// receives them itself.
    pub(crate) fn heartbeat_addrs(&self) -> Vec<String> {
        let workers = {
            let cell = self.cell_state();
            cell.leader.as_ref().map_or(0, Leader::worker_count)
        };
        let others = self.read(|n| {
            let receiver = |p: PeerStatus| {
                Some(Receiver {
                    addr: n.members().get(p.id)?.http.clone(),
                    silent_ms: p.silent_ms,
                })
            };
            n.peers()
                .into_iter()
                .filter_map(receiver)
                .collect::<Vec<_>>()
        });
        let max_direct = self.settings.max_direct_workers;
        heartbeat_receivers(workers, max_direct, &others.unwrap_or_default())
    }

    /// Records heartbeats that another member has answered.
    pub(crate) fn record_heartbeats(&self, list: &[RelayedHeartbeat]) {
        let now = clock::now();
        let mut cell = self.cell_state();
        let cell = &mut *cell;
        if let Some(leader) = cell.leader.as_mut() {
            for relayed in list {
                leader.relayed_heartbeat(&cell.state, relayed, now);
            }
        }
    }

    pub(crate) fn address(&self, vm: VmId) -> Option<String> {
        let known = self.read(|n| n.members().get(vm).map(|m| m.peer.clone()));
        known.flatten().or_else(|| {
            let peer_addrs = self
                .peer_addrs
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            peer_addrs.get(&vm).cloned()
        })
    }

    pub(crate) fn record_address(&self, vm: VmId, addr: &str) {
        let mut peer_addrs = self
            .peer_addrs
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        peer_addrs.insert(vm, addr.to_owned());
    }

    pub(crate) fn record_leaving(&self, id: VmId) {
        let mut leaving = self.leaving.lock().unwrap_or_else(PoisonError::into_inner);
        leaving.insert(id, clock::now());
    }

    /// Members that have announced that they shut down.
    pub(crate) fn leaving_members(&self) -> BTreeSet<VmId> {
        let now = clock::now();
        let mut leaving = self.leaving.lock().unwrap_or_else(PoisonError::into_inner);
        leaving.retain(|_, at| now.since(*at) < LEAVING_MS);
        leaving.keys().copied().collect()
    }

    /// Returns the leader's addresses for other processes and for workers.
    pub(crate) fn leader(&self) -> Option<(String, String)> {
        self.read(|n| {
            let member = n.members().get(n.leader()?)?;
            Some((member.peer.clone(), member.http.clone()))
        })?
    }
}
