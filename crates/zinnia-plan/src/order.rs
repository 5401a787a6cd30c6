//! What a leader asks for, and the settings that it decides by.

use zinnia_types::Time;

use crate::PolicyQuery;
use crate::Record;
use crate::Start;
use crate::TaskId;

/// Times of the decisions, in milliseconds.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Longest lease that workers accept.
    pub max_lease_ms: u64,
    /// Lease that orders ask for.
    pub lease_ms: u64,
    /// Longest wait of a worker's answer for an end.
    pub poll_wait_ms: u64,
    /// Silence after which a worker gets no new tasks.
    pub silence_ms: u64,
    /// Pause between two stop orders for one run.
    pub retry_ms: u64,
    /// Time without progress after which a run counts as stuck.
    pub stuck_ms: u64,
    /// How long a worker that fails gets no new tasks.
    pub suspect_ms: u64,
    /// Distinct jobs that have to fail on a worker before it is suspected.
    pub suspect_jobs: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_lease_ms: 10_000,
            lease_ms: 9_000,
            poll_wait_ms: 1_500,
            silence_ms: 2_600,
            retry_ms: 400,
            stuck_ms: 2_500,
            suspect_ms: 5_000,
            suspect_jobs: 3,
        }
    }
}

/// How a start order ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The run is there.
    Accepted {
        /// The worker's clock.
        clock_ms: u64,
    },
    /// It certainly does not run because of this order.
    Refused {
        /// Whether the worker is to be left alone for a while.
        busy: bool,
        /// Whether the worker refused the policy's ticket.
        ticket: bool,
    },
    /// It may run now or later.
    Unknown,
}

/// A question to a worker for its runs, which also renews its lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poll {
    /// Worker.
    pub worker: String,
    /// Begin of its life.
    pub born: i64,
    /// `ip:port`.
    pub addr: String,
    /// Token.
    pub fence: u64,
    /// Number of the last end that is noted.
    pub acked_end: u64,
    /// Deadline of the lease on the worker's clock.
    pub deadline_ms: Option<u64>,
    /// How long the answer may wait for an end.
    pub wait_ms: u64,
    /// When it is sent.
    pub sent: Time,
}

/// An order about a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunOrder {
    /// Worker.
    pub worker: String,
    /// Begin of its life.
    pub born: i64,
    /// `ip:port`.
    pub addr: String,
    /// Token.
    pub fence: u64,
    /// Task.
    pub task: TaskId,
    /// Run.
    pub run: u32,
}

/// A start order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// Whom and what.
    pub common: RunOrder,
    /// Text of the job.
    pub text: String,
    /// Deadline of the lease on the worker's clock.
    pub deadline_ms: u64,
    /// Saved progress to go on from; empty for none.
    pub checkpoint: String,
    /// Ticket of the outside policy; empty without one.
    pub ticket: String,
}

/// What the leader wants done.
#[derive(Debug, Default)]
pub struct Plan {
    /// Records to propose.
    pub records: Vec<Record>,
    /// Tasks to start, proposed before they are sent.
    pub starts: Vec<Start>,
    /// Questions to the outside policy.
    pub queries: Vec<PolicyQuery>,
    /// Milliseconds of questions that may still be added.
    pub query_ms: u64,
    /// Questions to workers.
    pub polls: Vec<Poll>,
    /// Runs to stop.
    pub stops: Vec<RunOrder>,
}
