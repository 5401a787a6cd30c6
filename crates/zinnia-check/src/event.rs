//! Events of a record.

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::AttemptId;
use zinnia_types::Code;
use zinnia_types::ExecutionStatus;
use zinnia_types::JobId;
use zinnia_types::Name;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_types::Time;
use zinnia_types::VmId;
use zinnia_types::WorkerId;

/// An observed event with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Time of the observation in virtual time. Events are recorded in the order of time.
    pub at: Time,
    /// What was observed.
    #[serde(flatten)]
    pub kind: EventKind,
}

impl Event {
    /// Creates an event at `ms` milliseconds.
    pub fn new(ms: u64, kind: EventKind) -> Self {
        Self { at: Time(ms), kind }
    }
}

/// Kind of an event, with its details.
///
/// Each event is recorded by the process that knows it first-hand: a worker records what it runs, a
/// caller what it received, and a VM what it accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "fact")]
pub enum EventKind {
    /// A worker process started. It runs no tasks yet.
    WorkerUp {
        /// Name of the worker.
        worker: WorkerId,
        /// Total resources of the worker.
        capacity: Resources,
    },
    /// A worker process ended, and with it all its tasks and requests.
    WorkerDown {
        /// Name of the worker.
        worker: WorkerId,
        /// Whether the worker was shut down gracefully rather than killed.
        graceful: bool,
    },
    /// A worker began to leave the cell.
    Leaving {
        /// Name of the worker.
        worker: WorkerId,
    },
    /// A worker started an attempt.
    Started {
        /// Name of the worker.
        worker: WorkerId,
        /// Id of the attempt.
        attempt: AttemptId,
        /// Team that is charged for the work.
        team: TeamId,
        /// Resources that the attempt takes.
        need: Resources,
        /// Whether the work may be run again.
        repeat: bool,
    },
    /// An attempt no longer runs on its worker, for any reason.
    Ended {
        /// Name of the worker.
        worker: WorkerId,
        /// Id of the attempt.
        attempt: AttemptId,
    },
    /// A worker refused an attempt permanently: it did not run and never will.
    StartRefused {
        /// Name of the worker.
        worker: WorkerId,
        /// Id of the attempt.
        attempt: AttemptId,
    },
    /// The replicated log recorded that a task has finished.
    TaskFinished {
        /// Id of the job.
        job: JobId,
        /// Index of the task within the job, from 0.
        task: u32,
    },
    /// A caller sent a request to a VM.
    Called {
        /// Request id, unique in the cell; a resent request keeps its id.
        call: String,
        /// Id of the VM.
        vm: VmId,
        /// Whether the work may be run again.
        repeat: bool,
        /// Digest of the request as it was sent.
        request: u64,
    },
    /// A worker received a request and began to run it.
    Sent {
        /// Request id.
        call: String,
        /// Id of the VM that forwarded the request.
        vm: VmId,
        /// Name of the worker.
        worker: WorkerId,
        /// Digest of the request as it was received.
        request: u64,
    },
    /// A worker produced the response to a request.
    Served {
        /// Request id.
        call: String,
        /// Name of the worker.
        worker: WorkerId,
        /// Digest of the complete response.
        response: u64,
    },
    /// A caller received a response from the VM that it had called.
    Answered {
        /// Request id.
        call: String,
        /// Id of the VM.
        vm: VmId,
        /// Digest of the response as it was received.
        response: u64,
    },
    /// A caller received an error from the VM that it had called.
    Refused {
        /// Request id.
        call: String,
        /// Id of the VM.
        vm: VmId,
        /// Reason of the error.
        code: Code,
        /// What the error states about the execution of the request.
        ran: ExecutionStatus,
    },
    /// A caller lost the connection to the VM before it received an answer.
    Dropped {
        /// Request id.
        call: String,
        /// Id of the VM.
        vm: VmId,
    },
    /// An API key was granted.
    Granted {
        /// Key id.
        key: String,
        /// Team that the key belongs to; absent for an operator key.
        team: Option<TeamId>,
    },
    /// The withdrawal of a key was accepted.
    Withdrawn {
        /// Key id.
        key: String,
    },
    /// Work of a kind is accepted without a key from now on, or no longer is.
    Opened {
        /// Name of the kind.
        kind: Name,
        /// Team that is charged for work without a key; absent if a key is required.
        team: Option<TeamId>,
    },
    /// A VM accepted work.
    Accepted {
        /// Id of the VM.
        vm: VmId,
        /// Team that is charged for the work.
        team: TeamId,
        /// Name of the kind of work.
        kind: Name,
        /// Id of the key with which the work was submitted.
        key: Option<String>,
    },
    /// The limit of a team in the document changed.
    Limit {
        /// Name of the team.
        team: TeamId,
        /// The new limit.
        limit: Resources,
    },
    /// A new version of the document was accepted.
    Document {
        /// Version of the document.
        version: u64,
        /// Digest of the document.
        digest: u64,
    },
    /// A VM put a version of the document in force.
    InForce {
        /// Id of the VM.
        vm: VmId,
        /// Version of the document.
        version: u64,
        /// Digest of the document.
        digest: u64,
    },
    /// A VM started, or regained contact with the quorum.
    Reachable {
        /// Id of the VM.
        vm: VmId,
    },
    /// A VM lost contact with the quorum or was paused.
    Unreachable {
        /// Id of the VM.
        vm: VmId,
    },
    /// A VM was killed.
    Killed {
        /// Id of the VM.
        vm: VmId,
    },
    /// A VM began a graceful shutdown.
    Drain {
        /// Id of the VM.
        vm: VmId,
    },
    /// A VM completed a graceful shutdown.
    Drained {
        /// Id of the VM.
        vm: VmId,
    },
}
