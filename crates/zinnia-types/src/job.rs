//! Job submissions, accepted jobs and their outcomes.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::DomainId;
use crate::JobId;
use crate::Name;
use crate::Resources;
use crate::TeamId;

/// Policy for placing the tasks of a job on workers.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Long-running tasks that serve calls. They are spread over racks and failure domains.
    Service,
    /// Independent tasks that run to completion. They are packed densely onto workers (bin
    /// packing).
    Batch,
    /// Tasks that are started together: either all of them or none (gang scheduling).
    Gang,
}

/// How soon a job must start.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "lowercase")]
pub enum Urgency {
    /// May be checkpointed and stopped, or throttled, to free resources for other jobs.
    Low,
    /// The default.
    #[default]
    Normal,
    /// Must start within 1.5 s. Less urgent tasks are checkpointed or throttled if that is
    /// necessary.
    Urgent,
}

/// A job submission. Absent fields are taken from the kind of work in the document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRequest {
    /// Name of the job, 1 to 128 bytes, unique within the team. It is the idempotency key: a
    /// repeated submission refers to the same job.
    pub name: String,
    /// Name of the kind of work in the document.
    pub kind: Name,
    /// Number of tasks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tasks: Option<u32>,
    /// Resources that each task needs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub need: Option<Resources>,
    /// Expected run time of a task in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub runtime_ms: Option<u64>,
    /// Shift whose next start is the deadline of the job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shift: Option<Name>,
    /// Failure domain to which the job is pinned; absent if the cell may choose it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub domain: Option<DomainId>,
    /// Whether a task that may already have run may be run again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeat: Option<bool>,
    /// Opaque data that is passed to the worker; at most 16 KiB of JSON.
    #[serde(default, skip_serializing_if = "Value::is_null")]
    pub payload: Value,
}

/// An accepted job, with the defaults of its kind filled in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Id, derived from the team and the name.
    pub id: JobId,
    /// Team that submitted the job and is charged for it.
    pub team: TeamId,
    /// Name of the job, unique within the team.
    pub name: String,
    /// Name of the kind of work.
    pub kind: Name,
    /// Policy for placing the tasks.
    pub class: Class,
    /// How soon the job must start.
    pub urgency: Urgency,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task needs.
    pub need: Resources,
    /// Expected run time of a task in milliseconds; 0 for services.
    pub runtime_ms: u64,
    /// Number of retries of a failed task before the job fails.
    pub retries: u32,
    /// Whether a task that may already have run may be run again.
    pub repeat: bool,
    /// Deadline of the job in milliseconds since the Unix epoch.
    pub due_ms: Option<i64>,
    /// Time at which the job was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: i64,
    /// Whether the job is pinned to `domain`.
    pub pinned: bool,
    /// Failure domain whose acting owner schedules the job.
    pub domain: DomainId,
    /// Opaque data that is passed to the worker.
    #[serde(default, skip_serializing_if = "Value::is_null")]
    pub payload: Value,
}

/// Final state of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum Outcome {
    /// All tasks completed successfully.
    Done,
    /// A task failed and has no retries left, or the job failed on every worker on which it was
    /// tried.
    Failed {
        /// Reason of the failure.
        why: String,
    },
    /// The team cancelled the job.
    Cancelled,
    /// The cell can never provide the resources that the job requests.
    NeverFits {
        /// The requested resource that is too large.
        why: String,
    },
    /// A task that must not be repeated was lost, and it is not known whether it ran.
    Unknown {
        /// Which task was lost and how.
        why: String,
    },
}
