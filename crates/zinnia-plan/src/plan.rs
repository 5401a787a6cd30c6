//! Actions that the leader requests, and the settings of its decisions.

use std::sync::Arc;

use zinnia_types::Time;

use crate::LeaseChanges;
use crate::LoadSettings;
use crate::OrderSettings;
use crate::PassCost;
use crate::PolicyQuery;
use crate::Preemption;
use crate::PreemptionSettings;
use crate::QueryBudget;
use crate::QuerySettings;
use crate::Record;
use crate::Regions;
use crate::Report;
use crate::SlowWorkerSettings;
use crate::Start;
use crate::TaskId;
use crate::WaitingSteps;

/// Timing and thresholds of the leader's decisions. Durations are in milliseconds.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Longest lease that a worker accepts.
    pub max_lease_ms: u64,
    /// Length of the lease that start orders and polls request. It bounds the time after which the
    /// tasks of a lost worker start elsewhere, also if the leader is lost with it.
    pub lease_ms: u64,
    /// Longest time that a worker may hold back the answer to a poll until a run ends.
    pub poll_wait_ms: u64,
    /// Maximum number of open polls of workers without runs. A new leader polls all workers; those with
    /// runs, whose leases must be renewed, are not delayed by the others.
    pub max_idle_polls: usize,
    /// Time without a message from a worker after which it gets no new tasks.
    pub silence_ms: u64,
    /// Interval between two stop orders for the same run, and delay before a failed poll is
    /// repeated.
    pub retry_ms: u64,
    /// Shortest time without progress after which a run counts as stalled. It must exceed the time in
    /// which a task reads its checkpoint.
    pub min_stall_ms: u64,
    /// Longest time without progress after which a run counts as stalled.
    pub max_stall_ms: u64,
    /// How long a worker gets no new tasks after it became suspect.
    pub suspect_ms: u64,
    /// Number of distinct jobs that must fail on a worker before it becomes suspect.
    pub suspect_jobs: usize,
    /// Order of waiting work.
    pub order: OrderSettings,
    /// Queries to the placement policy.
    pub queries: QuerySettings,
    /// Bounds on the leader's own work.
    pub load: LoadSettings,
    /// Preemption by urgent tasks.
    pub preemption: PreemptionSettings,
    /// Workers that are far slower than others.
    pub slow_workers: SlowWorkerSettings,
    /// Regions of the failure domains.
    pub regions: Regions,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_lease_ms: 10_000,
            lease_ms: 7_000,
            poll_wait_ms: 1_500,
            max_idle_polls: 128,
            silence_ms: 2_600,
            retry_ms: 400,
            min_stall_ms: 1_000,
            max_stall_ms: 2_500,
            suspect_ms: 5_000,
            suspect_jobs: 3,
            order: OrderSettings::default(),
            queries: QuerySettings::default(),
            load: LoadSettings::default(),
            preemption: PreemptionSettings::default(),
            slow_workers: SlowWorkerSettings::default(),
            regions: Regions::default(),
        }
    }
}

/// What to do with an order that is about to be sent.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfirmedStart {
    /// The order is to be sent.
    Send(StartOrder),
    /// The order must not be sent; the record is to be proposed, if there is one.
    HeldBack(Option<Record>),
}

/// Outcome of a start order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The worker runs the task.
    Accepted {
        /// Reading of the worker's clock.
        clock_ms: u64,
    },
    /// The worker did not start the run and will not do so because of this order.
    Refused {
        /// Whether the worker should get no new tasks for a while.
        busy: bool,
        /// Whether the worker rejected the ticket of the placement policy.
        ticket: bool,
    },
    /// The worker may have started the run, or may still do so.
    Unknown,
}

/// Answer to a poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollAnswer {
    /// The polled worker answered.
    Report(Report),
    /// Another worker answered at the address.
    OtherWorker,
    /// No valid answer arrived.
    None,
}

/// A long poll that asks a worker for the state of its runs and renews its lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poll {
    /// Name of the worker.
    pub worker: String,
    /// Start time of the worker's incarnation.
    pub born: i64,
    /// Address of the worker, as `ip:port`.
    pub addr: String,
    /// Fencing token.
    pub fence: u64,
    /// Number of the last run end that the replicated state contains.
    pub acked_end: u64,
    /// Deadline of the renewed lease on the worker's clock; `None` leaves the lease as it is.
    pub deadline_ms: Option<u64>,
    /// How long the worker may hold back the answer until a run ends.
    pub wait_ms: u64,
    /// Whether the worker has no runs, so that usually no further poll follows.
    pub is_idle: bool,
    /// Time of sending.
    pub sent_at: Time,
}

/// Worker, fencing token and run of an order. A stop order needs nothing else.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunOrder {
    /// Name of the worker.
    pub worker: String,
    /// Start time of the worker's incarnation.
    pub born: i64,
    /// Address of the worker, as `ip:port`.
    pub addr: String,
    /// Fencing token.
    pub fence: u64,
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run within the task.
    pub run: u32,
}

/// An order to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// Worker, fencing token and run.
    pub common: RunOrder,
    /// Job description for the worker, as submitted.
    pub text: Arc<str>,
    /// Deadline of the lease on the worker's clock.
    pub deadline_ms: u64,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// Ticket of the placement policy; empty if the queue has no policy.
    pub ticket: String,
}

/// A worker with runs that does not answer, so that its leases are not renewed any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SilentWorker {
    /// Name of the worker.
    pub worker: String,
    /// Start time of the worker's incarnation.
    pub born: i64,
    /// Number of runs that are assigned to it.
    pub runs: usize,
    /// Time since the worker's last message to this leader; `None` without any.
    pub silent_ms: Option<u64>,
    /// Longest time until its leases have expired.
    pub wait_ms: u64,
    /// Time since this leader's term began.
    pub term_age_ms: u64,
}

/// A worker whose runs are released because its leases have expired.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpiredLease {
    /// Name of the worker.
    pub worker: String,
    /// Start time of the worker's incarnation.
    pub born: i64,
    /// Number of released runs.
    pub runs: usize,
    /// Time since the worker's last message to this leader; `None` without any.
    pub silent_ms: Option<u64>,
    /// Time since this leader's term began.
    pub term_age_ms: u64,
}

/// Actions that the leader requests after one planning pass.
#[derive(Debug, Default)]
pub struct Plan {
    /// Records to propose to the log.
    pub records: Vec<Record>,
    /// Runs to start. The orders are sent only after these starts are committed.
    pub starts: Vec<Start>,
    /// Queries to the placement policy.
    pub queries: Vec<PolicyQuery>,
    /// Steps that wait after the pass; `None` if the pass could start no tasks.
    pub waiting: Option<WaitingSteps>,
    /// What the placement of waiting steps cost.
    pub cost: PassCost,
    /// Policy time that further queries of this pass may use.
    pub query_budget: QueryBudget,
    /// Polls to send to workers.
    pub polls: Vec<Poll>,
    /// Runs to stop.
    pub stops: Vec<RunOrder>,
    /// Runs in `stops` that make room for urgent tasks, without repeated orders.
    pub preempted: Vec<Preemption>,
    /// Changes of the renewal of leases, to be proposed to the log.
    pub lease_changes: LeaseChanges,
    /// Workers with runs that have stopped answering.
    pub silent: Vec<SilentWorker>,
    /// Workers whose leases have expired; `records` releases their runs.
    pub expired: Vec<ExpiredLease>,
}
