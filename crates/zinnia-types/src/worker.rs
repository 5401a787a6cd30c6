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

/// What a worker is and has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerProfile {
    /// Unique name of the worker.
    pub worker: WorkerId,
    /// Random number drawn at each start of the worker process.
    pub boot: u64,
    /// `ip:port` at which the worker serves its owner.
    pub addr: String,
    /// Failure domain.
    pub domain: DomainId,
    /// Rack.
    pub rack: RackId,
    /// What the worker has.
    pub capacity: Resources,
}

/// A worker looks for an owner; `POST /v1/workers/announce`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announce {
    /// What the worker is and has.
    pub profile: WorkerProfile,
    /// Epoch that the owner gets if it accepts.
    pub epoch: Epoch,
    /// VMs that the worker could not reach since its last owner, as `ip:port`.
    #[serde(default)]
    pub unreachable: Vec<String>,
    /// Everything that the worker runs and every end not yet acknowledged.
    pub reports: Vec<AttemptReport>,
    /// Whether the worker is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// Answer to [`Announce`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum AnnounceReply {
    /// The VM is now the owner; leases count from when the announcement was sent.
    Accepted {
        /// The owner.
        owner: VmId,
        /// Owner lease in milliseconds.
        owner_ms: u64,
        /// Task lease in milliseconds.
        task_ms: u64,
        /// Addresses of the cell's VMs, those of the worker's failure domain first.
        vms: Vec<String>,
        /// Attempts that the worker must refuse from now on, and stop if they run.
        refuse: Vec<AttemptId>,
    },
    /// Another VM should own the worker.
    Redirect {
        /// Its `ip:port`.
        addr: String,
    },
}

/// Periodic message of a worker to its owner; `POST /v1/workers/heartbeat`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The worker.
    pub worker: WorkerId,
    /// Boot number of the worker process.
    pub boot: u64,
    /// Epoch under which the receiver owns the worker.
    pub epoch: Epoch,
    /// Increases by one with each heartbeat that carries new reports.
    pub seq: u64,
    /// Changes since the last acknowledged heartbeat.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub reports: Vec<AttemptReport>,
    /// Whether the worker is leaving.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

/// Answer to [`Heartbeat`] that renews the leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The sequence number up to which reports are taken over.
    pub seq: u64,
    /// Whether task leases are renewed; the owner lease always is.
    pub renew: bool,
    /// Attempts that the worker must refuse from now on, and stop if they run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub refuse: Vec<AttemptId>,
    /// Ends that are recorded for good, so that the worker may forget them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub forget: Vec<AttemptId>,
}

impl HeartbeatReply {
    /// The answer that renews the leases, takes all reports over and asks for nothing. It is sent as
    /// an empty answer with status 204.
    pub fn renewal(seq: u64) -> Self {
        Self {
            seq,
            renew: true,
            ..Self::default()
        }
    }
}

/// One change on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptReport {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its state.
    pub state: TaskState,
}

/// State of an attempt on its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum TaskState {
    /// It runs and uses `usage`, observed some time ago.
    Running {
        /// The task as it was started, so that a new owner can adopt it.
        task: Box<Task>,
        /// Observed usage.
        usage: Resources,
    },
    /// It ran and ended.
    Ended {
        /// How.
        end: AttemptEnd,
    },
    /// It does not run, and the worker will refuse any later start of it.
    Refused,
}

/// How an attempt that ran ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "end")]
pub enum AttemptEnd {
    /// Well, after `run_ms` milliseconds.
    Done {
        /// Run time in milliseconds.
        run_ms: u64,
    },
    /// It failed by itself.
    Failed {
        /// Exit status or reason.
        why: String,
    },
    /// Stopped on the owner's command, with or without a checkpoint.
    Stopped {
        /// Whether a checkpoint was saved, from which a later attempt goes on.
        checkpoint: bool,
    },
    /// Stopped by the worker because its task lease lapsed.
    Fenced,
}

/// What a worker needs to know to run a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Team that is charged.
    pub team: TeamId,
    /// Placement policy.
    pub class: Class,
    /// How soon it had to start.
    pub urgency: Urgency,
    /// Whether it may be run again if it may have run.
    pub repeat: bool,
    /// What it may use.
    pub need: Resources,
    /// Name under which calls reach it, for services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
    /// Passed on from the job.
    #[serde(default, skip_serializing_if = "Value::is_null")]
    pub payload: Value,
}

/// Owner starts an attempt; `POST /start` at the worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Owner epoch.
    pub epoch: Epoch,
    /// The attempt.
    pub attempt: AttemptId,
    /// What to run.
    pub task: Task,
}

/// Answer to [`Start`]. Any refusal means that the attempt does not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum StartReply {
    /// It runs, or already ran under this id.
    Started,
    /// The epoch is older than the worker's.
    StaleEpoch,
    /// The worker has not enough left.
    NoCapacity {
        /// What is left.
        free: Resources,
    },
    /// The worker is leaving.
    Leaving,
    /// The attempt was refused for good before.
    Refused,
}

/// Owner stops an attempt; `POST /stop` at the worker. The answer is [`StopReply`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// Owner epoch.
    pub epoch: Epoch,
    /// The attempt.
    pub attempt: AttemptId,
    /// Whether to save a checkpoint first.
    pub checkpoint: bool,
}

/// Answer to [`Stop`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum StopReply {
    /// It no longer runs and never will.
    Stopped {
        /// How it ended, or `None` when it never ran here.
        end: Option<AttemptEnd>,
    },
    /// It is saving a checkpoint; the end comes with a heartbeat.
    Stopping,
    /// The epoch is older than the worker's.
    StaleEpoch,
}

/// Owner limits the processor share of an attempt; `POST /throttle` at the worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Throttle {
    /// Owner epoch.
    pub epoch: Epoch,
    /// The attempt.
    pub attempt: AttemptId,
    /// Processor that it may use, in thousandths of a core.
    pub cpu: u64,
}
