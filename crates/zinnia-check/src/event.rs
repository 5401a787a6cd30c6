//! What a record holds.

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

/// One observation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// When, in virtual time; events are recorded in this order.
    pub at: Time,
    /// What.
    #[serde(flatten)]
    pub kind: EventKind,
}

impl Event {
    /// An observation at `ms` milliseconds.
    pub fn new(ms: u64, kind: EventKind) -> Self {
        Self { at: Time(ms), kind }
    }
}

/// What was observed, always by the one who cannot be wrong about it: a worker about what it runs,
/// a caller about what it got, a VM about what it accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "fact")]
pub enum EventKind {
    /// A worker process started, with nothing running.
    WorkerUp {
        /// The worker.
        worker: WorkerId,
        /// What it has.
        capacity: Resources,
    },
    /// A worker process ended, and with it everything it ran.
    WorkerDown {
        /// The worker.
        worker: WorkerId,
        /// Whether it was shut down gracefully and not killed.
        graceful: bool,
    },
    /// A worker is leaving.
    Leaving {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker started an attempt.
    Started {
        /// The worker.
        worker: WorkerId,
        /// The attempt.
        attempt: AttemptId,
        /// Team that is charged.
        team: TeamId,
        /// What it takes.
        need: Resources,
        /// Whether it may be run again.
        repeat: bool,
    },
    /// An attempt no longer runs on its worker, for whatever reason.
    Ended {
        /// The worker.
        worker: WorkerId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// A worker refused an attempt for good.
    StartRefused {
        /// The worker.
        worker: WorkerId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// The log newly recorded the end of a task.
    TaskFinished {
        /// The job.
        job: JobId,
        /// Index of the task.
        task: u32,
    },
    /// A caller sent a request to a VM.
    Called {
        /// Request id, unique in the cell; a resend has the same one.
        call: String,
        /// The VM.
        vm: VmId,
        /// Whether it may be run again.
        repeat: bool,
        /// Digest of the request.
        request: u64,
    },
    /// A worker received a request and began to run it.
    Sent {
        /// Request id.
        call: String,
        /// The VM from which it came.
        vm: VmId,
        /// The worker.
        worker: WorkerId,
        /// Digest of the request as it was received.
        request: u64,
    },
    /// A worker has produced the response to a request.
    Served {
        /// Request id.
        call: String,
        /// The worker.
        worker: WorkerId,
        /// Digest of the whole response.
        response: u64,
    },
    /// A caller got an answer from the VM that it had called.
    Answered {
        /// Request id.
        call: String,
        /// The VM.
        vm: VmId,
        /// Digest of the response as it arrived.
        response: u64,
    },
    /// A caller got a refusal from the VM that it had called.
    Refused {
        /// Request id.
        call: String,
        /// The VM.
        vm: VmId,
        /// Reason.
        code: Code,
        /// What it says about whether the request ran.
        ran: ExecutionStatus,
    },
    /// A caller lost the connection to the VM before it got an answer.
    Dropped {
        /// Request id.
        call: String,
        /// The VM.
        vm: VmId,
    },
    /// A key was granted.
    Granted {
        /// Key id.
        key: String,
        /// Team that it opens; absent for an operator key.
        team: Option<TeamId>,
    },
    /// A withdrawal was accepted.
    Withdrawn {
        /// Key id.
        key: String,
    },
    /// A kind of work is open to all or no longer is.
    Opened {
        /// The kind.
        kind: Name,
        /// Team that is charged; absent when a key is required.
        team: Option<TeamId>,
    },
    /// A VM accepted work.
    Accepted {
        /// The VM.
        vm: VmId,
        /// Team that is charged.
        team: TeamId,
        /// Kind of work.
        kind: Name,
        /// Key that came with it.
        key: Option<String>,
    },
    /// The limit of a team in the document changed.
    Limit {
        /// The team.
        team: TeamId,
        /// The limit.
        limit: Resources,
    },
    /// A document was accepted.
    Document {
        /// Version.
        version: u64,
        /// Digest of the document.
        digest: u64,
    },
    /// A VM put a document in force.
    InForce {
        /// The VM.
        vm: VmId,
        /// Version.
        version: u64,
        /// Digest of the document.
        digest: u64,
    },
    /// A VM started, or was reconnected to the quorum.
    Reachable {
        /// The VM.
        vm: VmId,
    },
    /// A VM lost contact with the quorum or was paused.
    Unreachable {
        /// The VM.
        vm: VmId,
    },
    /// A VM was killed.
    Killed {
        /// The VM.
        vm: VmId,
    },
    /// A VM began a graceful shutdown.
    Drain {
        /// The VM.
        vm: VmId,
    },
    /// A VM completed a graceful shutdown.
    Drained {
        /// The VM.
        vm: VmId,
    },
}
