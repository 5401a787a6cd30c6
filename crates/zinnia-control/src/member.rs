//! A member of the log: its store, and changes of the membership.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use serde_json::Value;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use zinnia_peer::Links;
use zinnia_plan::Intake;
use zinnia_raft::Members;
use zinnia_raft::MembershipChange;
use zinnia_raft::Node;
use zinnia_raft::RecoveredState;
use zinnia_raft::Snapshot;
use zinnia_replica::ProposalOutcome;
use zinnia_replica::Replica;
use zinnia_replica::clock;
use zinnia_store::Identity;
use zinnia_store::Store;
use zinnia_types::VmId;

use crate::Settings;
use crate::Transport;
use crate::context::CellState;
use crate::context::MemberContext;
use crate::leader_memory::MessageMemory;
use crate::log_hooks::hooks;
use crate::log_queue::LogQueue;
use crate::membership::Membership;
use crate::message::Hello;
use crate::message::LEAVE_METHOD;
use crate::message::LeaveReply;

/// Cluster name in the store.
pub(crate) const CLUSTER_NAME: &str = "zinnia";
/// Maximum size of a log entry. The largest is a document of 4 MiB, whose entry has the text and the
/// decoded document.
const MAX_ENTRY_BYTES: usize = 10 << 20;
/// Minimum interval between two messages with entries to a learner. The entries that arrive in this
/// time must stay below the lag at which a learner may be promoted.
const LEARNER_INTERVAL_MS: u64 = 50;
/// Interval between two checks of the membership.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two announcements of a member that shuts down.
const LEAVE_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of such an announcement.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a membership change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// A member of the replicated log.
pub struct Member {
    pub(crate) context: Arc<MemberContext>,
}

impl Member {
    /// Opens the store and starts the member's asynchronous tasks.
    pub(crate) fn start(settings: &Settings, transport: &Transport) -> Result<Self> {
        let dir = settings
            .data_dir
            .as_ref()
            .context("a member needs a data folder")?;
        let own = settings.peer_addr.to_string();
        let founds = settings.bootstrap && settings.seeds.contains(&own);
        let identity = Identity {
            id: if founds {
                Settings::founder_id(&own)
            } else {
                VmId(
                    getrandom::u64()
                        .map_err(|e| anyhow::anyhow!("cannot generate a random id: {e}"))?,
                )
            },
            cluster: CLUSTER_NAME.to_owned(),
        };
        let options = settings.store.clone();
        let (mut store, mut recovered) =
            Store::open_with(dir, &identity, options).context("cannot open the store")?;
        if store.is_new() && founds {
            write_initial_snapshot(settings, &mut store, &mut recovered)?;
        }
        let id = store.identity().id;
        tracing::info!(
            event = "store", id = %id, fresh = store.is_new(), founds,
            entries = recovered.entries.len(), commit = recovered.hard.commit, "store opened"
        );
        let (start_orders, order_receiver) = mpsc::unbounded_channel();
        let links = Links::new(settings.link_settings()?, id);
        let context = Arc::new(MemberContext {
            settings: settings.clone(),
            id,
            cell: Mutex::new(CellState::default()),
            replica: OnceLock::new(),
            links,
            ready_term: AtomicU64::new(0),
            runtime: tokio::runtime::Handle::current(),
            log_queue: LogQueue::default(),
            intake: Mutex::new(Intake::new(settings.plan.load.intake.clone())),
            plan_wakeup: Notify::new(),
            job_progress: Notify::new(),
            start_orders,
            peer_addrs: Mutex::default(),
            leaving: Mutex::default(),
            message_memory: MessageMemory::default(),
            membership_wakeup: Notify::new(),
        });
        let log = zinnia_raft::Settings {
            id,
            heartbeat_ms: settings.heartbeat_ms,
            election_min_ms: settings.election_ms.0,
            election_max_ms: settings.election_ms.1,
            lease_ms: settings.leader_lease_ms(),
            learner_interval_ms: LEARNER_INTERVAL_MS,
            max_entry_bytes: MAX_ENTRY_BYTES,
            // Only the leader answers requests, and only after it has applied all committed
            // entries.
            durable_commit: false,
            ..zinnia_raft::Settings::default()
        };
        let replica = Replica::start(
            log,
            Some(store),
            recovered,
            settings.compact_entries,
            hooks(&context),
        )
        .context("cannot start the log thread")?;
        let _ = context.replica.set(replica);
        tokio::spawn(crate::leader::run(
            Arc::clone(&context),
            transport.clone(),
            order_receiver,
        ));
        if settings.plan.load.bounded {
            tokio::spawn(crate::log_queue::run(Arc::clone(&context)));
            tokio::spawn(crate::load_monitor::run(Arc::clone(&context)));
        }
        tokio::spawn(manage_members(Arc::clone(&context)));
        Ok(Self { context })
    }

    /// Whether this member is the leader and may answer reads.
    pub fn is_leader(&self) -> bool {
        self.context.is_leader()
    }

    /// Stops the log thread and releases the data folder.
    pub async fn stop(&self) {
        if let Some(replica) = self.context.replica.get() {
            replica.stop().await;
        }
    }

    /// Data for a state dump.
    pub fn dump(&self) -> Value {
        let cell = self.context.cell_state();
        serde_json::json!({
            "log": self.context.replica.get().map(Replica::dump),
            "jobs": cell.state.jobs.len(),
            "live": cell.state.live.len(),
            "workers": cell.state.workers,
            "usage": cell.state.usage,
            "evacuated": cell.state.evacuated_domains().collect::<Vec<_>>(),
            "shares": cell.leader.as_ref().map(|l| l.team_shares(&cell.state, clock::wall_ms())),
            "contacts": cell.leader.as_ref().map(zinnia_plan::Leader::dump),
            "queries": cell.leader.as_ref().map(crate::policy_queries::dump),
        })
    }
}

/// Writes the initial snapshot with the seeds as voters; all founding members derive the same one.
fn write_initial_snapshot(
    settings: &Settings,
    store: &mut Store,
    recovered: &mut RecoveredState,
) -> Result<()> {
    let member = |addr: &String| zinnia_raft::Member {
        id: Settings::founder_id(addr),
        peer: addr.clone(),
        http: String::new(),
        voter: true,
    };
    let members: Vec<_> = settings.seeds.iter().map(member).collect();
    let snapshot = Snapshot::initial(Members::from(members));
    store
        .save_snapshot(&snapshot)
        .context("cannot save the initial snapshot")?;
    recovered.snapshot = Some(snapshot);
    Ok(())
}

/// Adds a process to the members, or updates its addresses if they have changed.
pub(crate) fn update_member(context: &Arc<MemberContext>, vm: VmId, hello: &Hello) {
    if context.leaving_members().contains(&vm) {
        return;
    }
    let unchanged = context.read(|n| {
        n.has_pending_change()
            || n.members()
                .get(vm)
                .is_some_and(|m| m.peer == hello.peer && m.http == hello.control)
    });
    if unchanged.unwrap_or(true) {
        return;
    }
    let change = MembershipChange::Add(zinnia_raft::Member {
        id: vm,
        peer: hello.peer.clone(),
        http: hello.control.clone(),
        voter: false,
    });
    let context = Arc::clone(context);
    tokio::spawn(async move { apply_change(&context, change).await });
}

/// Proposes a membership change. Returns whether it is applied.
async fn apply_change(context: &MemberContext, change: MembershipChange) -> bool {
    let Some(replica) = context.replica.get() else {
        return false;
    };
    let text = format!("{change:?}");
    let verdict = replica.change(change, CHANGE_TIMEOUT).await;
    tracing::info!(event = "members", change = text, outcome = ?verdict, "membership change finished");
    matches!(verdict, Some(ProposalOutcome::Applied { .. }))
}

/// Changes the membership while this process leads.
async fn manage_members(context: Arc<MemberContext>) {
    loop {
        let wakeup = context.membership_wakeup.notified();
        let _ = tokio::time::timeout(CHECK_INTERVAL, wakeup).await;
        // A change may require the next one: between the removal of a voter and the promotion of the
        // learner that takes its place, the cell tolerates no further loss.
        while context.is_leader()
            && let Some(change) = next_change(&context)
            && apply_change(&context, change).await
        {}
    }
}

fn next_change(context: &MemberContext) -> Option<MembershipChange> {
    let is_pending = context.read(Node::has_pending_change)?;
    match is_pending {
        true => None,
        false => read_membership(context, |m| m.next_change(&context.settings))?,
    }
}

/// Calls `f` with what this process knows of the members, as their leader.
fn read_membership<T>(context: &MemberContext, f: impl FnOnce(&Membership<'_>) -> T) -> Option<T> {
    let leaving = context.leaving_members();
    context.read(|n| {
        f(&Membership {
            members: n.members(),
            peers: &n.peers(),
            own: context.id,
            leaving: &leaving,
        })
    })
}

impl Member {
    /// Hands the vote of this member over before the process shuts down, if another member can take it. Returns
    /// once that is done, or after `limit`.
    pub(crate) async fn leave(&self, limit: Duration) {
        let context = &self.context;
        let is_voter = || context.read(|n| n.members().is_voter(context.id));
        let started = Instant::now();
        while is_voter() == Some(true) && started.elapsed() < limit {
            if !may_hand_over(context).await {
                break;
            }
            tokio::time::sleep(LEAVE_INTERVAL).await;
        }
        tracing::info!(
            event = "leave",
            voter = is_voter(),
            ms = started.elapsed().as_millis(),
            "this member shuts down"
        );
    }
}

/// Announces to the leader that this member shuts down. Returns whether to wait for its vote to be handed over.
async fn may_hand_over(context: &MemberContext) -> bool {
    if context.is_leader() {
        return record_leaving(context, context.id);
    }
    let Some((leader, _)) = context.leader() else {
        // The members that are left may need this vote to elect one.
        return true;
    };
    let answer = context
        .links
        .call_with_timeout::<_, LeaveReply>(&leader, LEAVE_METHOD, &(), LEAVE_TIMEOUT)
        .await;
    match answer {
        Ok(reply) => reply.wait,
        // A leader of an earlier build does not know the method.
        Err(error) => error.handler_error.is_none(),
    }
}

/// Records that a member is about to shut down. Returns whether it should wait until its vote is handed over.
pub(crate) fn record_leaving(context: &MemberContext, id: VmId) -> bool {
    context.record_leaving(id);
    let wait = read_membership(context, |m| m.can_hand_over(id, &context.settings));
    context.membership_wakeup.notify_one();
    wait.unwrap_or(false)
}
