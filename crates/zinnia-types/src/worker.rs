//! Messages between workers and daemons.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::AttemptId;
use crate::Class;
use crate::DomainId;
use crate::Epoch;
use crate::RackId;
use crate::Resources;
use crate::ServiceId;
use crate::TeamId;
use crate::Urgency;
use crate::VmId;
use crate::WorkerId;

/// Identity, address, location and capacity of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerProfile {
    /// Name of the worker, unique in the cell.
    pub worker: WorkerId,
    /// Random number generated at each start of the worker process, to tell restarts apart.
    pub boot: u64,
    /// Address (`ip:port`) at which the worker accepts commands of its owner.
    pub addr: String,
    /// Failure domain in which the worker runs.
    pub domain: DomainId,
    /// Rack in which the worker runs.
    pub rack: RackId,
    /// Total resources of the worker.
    pub capacity: Resources,
}

/// Request with which a worker without an owner asks a VM to become its owner;
/// `POST /v1/workers/announce`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announce {
    /// Identity, address, location and capacity of the worker.
    pub profile: WorkerProfile,
    /// Epoch of the ownership if the VM accepts.
    pub epoch: Epoch,
    /// Addresses (`ip:port`) of the VMs that the worker failed to reach since it lost its last
    /// owner.
    #[serde(default)]
    pub unreachable: Vec<String>,
    /// All running attempts, and all ended attempts that have not been acknowledged yet.
    pub reports: Vec<AttemptReport>,
    /// Whether the worker is leaving the cell and accepts no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// Answer to [`Announce`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum AnnounceReply {
    /// The VM is now the owner. The leases start at the time at which the announcement was sent.
    Accepted {
        /// Id of the VM that is the owner.
        owner: VmId,
        /// Duration of the owner lease in milliseconds.
        owner_ms: u64,
        /// Duration of the task leases in milliseconds.
        task_ms: u64,
        /// Addresses of the cell's VMs; those in the worker's failure domain come first.
        vms: Vec<String>,
        /// Attempts that the worker must refuse from now on, and must stop if they run.
        refuse: Vec<AttemptId>,
    },
    /// The worker should announce itself to another VM.
    Redirect {
        /// Address (`ip:port`) of the other VM.
        addr: String,
    },
}

/// Periodic request from a worker to its owner; `POST /v1/workers/heartbeat`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the worker.
    pub worker: WorkerId,
    /// Random number of the worker process; see [`WorkerProfile::boot`].
    pub boot: u64,
    /// Epoch under which the recipient owns the worker.
    pub epoch: Epoch,
    /// Sequence number, which increases by one with each heartbeat that contains new reports.
    pub seq: u64,
    /// State changes since the last acknowledged heartbeat.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub reports: Vec<AttemptReport>,
    /// Whether the worker is leaving the cell and accepts no new work.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

/// Answer to [`Heartbeat`], which renews the leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Sequence number up to which the owner has processed the reports.
    pub seq: u64,
    /// Whether the task leases are renewed. The owner lease is always renewed.
    pub renew: bool,
    /// Attempts that the worker must refuse from now on, and must stop if they run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub refuse: Vec<AttemptId>,
    /// Ended attempts whose outcome is stored durably, so that the worker may discard it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub forget: Vec<AttemptId>,
}

impl HeartbeatReply {
    /// Creates the answer that renews all leases, acknowledges all reports up to `seq` and contains
    /// no commands. It is sent as an empty response with status 204.
    pub fn renewal(seq: u64) -> Self {
        Self {
            seq,
            renew: true,
            ..Self::default()
        }
    }
}

/// State of one attempt, as its worker reports it to the owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptReport {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// State of the attempt.
    pub state: TaskState,
}

/// State of an attempt on its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum TaskState {
    /// The attempt runs.
    Running {
        /// The task as it was started, from which a new owner can take the attempt over.
        task: Box<Task>,
        /// Last measured resource usage; it may be some time old.
        usage: Resources,
    },
    /// The attempt ran and has ended.
    Ended {
        /// How the attempt ended.
        end: AttemptEnd,
    },
    /// The attempt does not run, and the worker will refuse every later request to start it.
    Refused,
}

/// Reason why an attempt that ran has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "end")]
pub enum AttemptEnd {
    /// The task completed successfully.
    Done {
        /// Run time in milliseconds.
        run_ms: u64,
    },
    /// The task failed.
    Failed {
        /// Exit status or error message.
        why: String,
    },
    /// The worker stopped the attempt on the owner's command.
    Stopped {
        /// Whether a checkpoint was saved, from which a later attempt can resume.
        checkpoint: bool,
    },
    /// The worker stopped the attempt because its task lease expired (fencing).
    Fenced,
}

/// Description of a task for the worker that runs it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Team that is charged for the task.
    pub team: TeamId,
    /// Policy by which the task was placed.
    pub class: Class,
    /// How soon the task had to start.
    pub urgency: Urgency,
    /// Whether the task may be run again if it may already have run.
    pub repeat: bool,
    /// Resources that the task may use.
    pub need: Resources,
    /// Name under which callers address the task; for services only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
    /// Opaque data from the job.
    #[serde(default, skip_serializing_if = "Value::is_null")]
    pub payload: Value,
}

/// Command of the owner to start an attempt; `POST /start` at the worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Epoch of the owner that sends the command.
    pub epoch: Epoch,
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Task to run.
    pub task: Task,
}

/// Answer to [`Start`]. With every answer other than `Started`, the attempt does not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum StartReply {
    /// The attempt has been started, now or by an earlier request with the same id.
    Started,
    /// The epoch of the command is older than the worker's.
    StaleEpoch,
    /// The free resources of the worker are not sufficient.
    NoCapacity {
        /// Free resources of the worker.
        free: Resources,
    },
    /// The worker is leaving the cell and accepts no new work.
    Leaving,
    /// The worker was ordered earlier to refuse the attempt, or has already refused it permanently.
    Refused,
}

/// Command of the owner to stop an attempt; `POST /stop` at the worker. The answer is
/// [`StopReply`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// Epoch of the owner that sends the command.
    pub epoch: Epoch,
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Whether to save a checkpoint first.
    pub checkpoint: bool,
}

/// Answer to [`Stop`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum StopReply {
    /// The attempt does not run and never will again.
    Stopped {
        /// How the attempt ended; `None` if it never ran on this worker.
        end: Option<AttemptEnd>,
    },
    /// The attempt is saving a checkpoint. A later heartbeat reports its end.
    Stopping,
    /// The epoch of the command is older than the worker's.
    StaleEpoch,
}

/// Command of the owner to limit the CPU usage of an attempt; `POST /throttle` at the worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Throttle {
    /// Epoch of the owner that sends the command.
    pub epoch: Epoch,
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// CPU that the attempt may use, in thousandths of a core.
    pub cpu: u64,
}
