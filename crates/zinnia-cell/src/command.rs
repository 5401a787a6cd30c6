//! Commands of the replicated log.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::Document;
use zinnia_types::DomainId;
use zinnia_types::Job;
use zinnia_types::JobId;
use zinnia_types::Name;
use zinnia_types::Outcome;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_types::VmId;
use zinnia_types::WorkerId;
use zinnia_types::worker::WorkerProfile;

use crate::Digest;
use crate::KeyHash;
use crate::KeyId;
use crate::LeaseChanges;

/// A log entry that changes the cell. Times are milliseconds since the Unix epoch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "do")]
pub enum Command {
    /// Replaces the document if `from` is still the version in force.
    ///
    /// The proposer validates the document. Validation must not happen when the entry is applied,
    /// since it reads the time zone database, which may differ between VMs.
    ApplyDocument {
        /// Request id; a resend with the same id gets the first reply again.
        request: String,
        /// Version on which the edit is based; 0 for the first document.
        from: u64,
        /// The new document.
        document: Document,
        /// Time of the proposal.
        at_ms: i64,
    },
    /// Grants a key.
    GrantKey {
        /// Public id of the key.
        id: KeyId,
        /// Hash of the complete key text.
        hash: KeyHash,
        /// Access that the key gives.
        role: KeyRole,
        /// Request id.
        request: String,
    },
    /// Withdraws keys permanently, whether or not they have been granted.
    WithdrawKeys {
        /// Ids of the keys.
        ids: Vec<KeyId>,
    },
    /// Adds a VM to the cell, or updates its record.
    JoinVm {
        /// Record of the VM.
        vm: Vm,
    },
    /// Removes a VM; refused while it is the acting owner of a domain.
    RemoveVm {
        /// Id of the VM.
        id: VmId,
    },
    /// Changes the set of registered workers.
    Workers {
        /// Workers to add or replace.
        add: Vec<WorkerProfile>,
        /// Workers to remove.
        remove: Vec<WorkerId>,
        /// Changes of the workers whose task leases are renewed. Builds that do not know the field
        /// ignore it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        leases: Option<LeaseChanges>,
    },
    /// Makes a VM the acting owner of a domain if `from_term` is still the term of the domain.
    SetOwner {
        /// The domain.
        domain: DomainId,
        /// The new acting owner.
        vm: VmId,
        /// Current term of the domain; 0 if it never had an acting owner.
        from_term: u64,
        /// Workers that the proposing VM knows to be silent, whose task leases it renews only after
        /// an entry that resumes this. An acting owner proposes each term in which it acts itself.
        /// Builds that renew leases without an entry do not know the field.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        silent: Option<Vec<WorkerId>>,
    },
    /// Moves a part of a team's limit from the unallotted pool to a domain.
    ///
    /// `term` and `from` reject delayed and repeated proposals.
    Take {
        /// The domain.
        domain: DomainId,
        /// The team.
        team: TeamId,
        /// Resources to move.
        amount: Resources,
        /// Term of the acting owner of the domain, which proposes this.
        term: u64,
        /// [`Allotment::log_index`](crate::Allotment::log_index) on which the decision is based.
        from: u64,
    },
    /// Returns a part of a team's limit from a domain to the unallotted pool.
    Give {
        /// The domain.
        domain: DomainId,
        /// The team.
        team: TeamId,
        /// Resources to move.
        amount: Resources,
        /// Term of the acting owner of the domain, which proposes this.
        term: u64,
        /// [`Allotment::log_index`](crate::Allotment::log_index) on which the decision is based.
        from: u64,
    },
    /// Accepts a job.
    AcceptJob {
        /// The job with all defaults filled in.
        job: Box<Job>,
        /// Digest of the request as the caller sent it. A resend has the same digest, even if the
        /// document or the time of day now result in other defaults.
        request: Digest,
        /// Key of the request. Absent for queues that need no key, and for jobs that a domain
        /// accepted while it was isolated, whose key may have been withdrawn since.
        key: Option<KeyId>,
    },
    /// Records that non-repeatable tasks are about to start.
    Dispatch {
        /// The job.
        job: JobId,
        /// Indices of the tasks.
        tasks: Vec<u32>,
        /// Domain to which the job is assigned.
        domain: DomainId,
        /// Term of the acting owner of the domain, which proposes this.
        term: u64,
    },
    /// Records the final outcomes of tasks.
    EndTasks {
        /// Outcomes of the tasks.
        ends: Vec<TaskEnd>,
    },
    /// Records the end of a job.
    EndJob {
        /// The job.
        job: JobId,
        /// Outcome of the job.
        outcome: Outcome,
        /// Time of the end.
        at_ms: i64,
    },
    /// Marks jobs of a team as cancelled. The acting owner then stops their tasks and ends them.
    Cancel {
        /// The team.
        team: TeamId,
        /// Selects the jobs of the team.
        which: JobFilter,
        /// Time of the proposal.
        at_ms: i64,
    },
    /// Assigns a job to another domain; refused if it is pinned or has non-repeatable tasks in
    /// flight.
    Rehome {
        /// The job.
        job: JobId,
        /// Domain to which the job is currently assigned.
        from: DomainId,
        /// New domain of the job.
        to: DomainId,
        /// Term of the acting owner of `from`, which proposes this.
        term: u64,
    },
    /// Records an at-most-once call before it is dispatched.
    RecordCall {
        /// The team.
        team: TeamId,
        /// Id of the call, unique within the team.
        id: String,
        /// Digest of the request.
        hash: Digest,
        /// Time of the proposal.
        at_ms: i64,
    },
    /// Records the outcome of an at-most-once call.
    FinishCall {
        /// The team.
        team: TeamId,
        /// Id of the call.
        id: String,
        /// HTTP status.
        status: u16,
        /// Response body.
        body: String,
    },
}

/// Access that a key gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyRole {
    /// Access to the jobs and calls of one team.
    Team(TeamId),
    /// Access to the operator routes.
    Operator,
}

/// A VM of the cell, as other VMs, callers and workers reach it.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Random id, generated together with the data folder.
    pub id: VmId,
    /// Human-readable name.
    pub name: Name,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// `ip:port` that serves callers, workers and operators.
    pub http: String,
    /// `ip:port` that serves the other VMs.
    pub peer: String,
    /// Whether it has persistent storage, which voters need.
    pub disk: bool,
}

impl fmt::Debug for Vm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}({:?} in {:?})", self.name, self.id, self.domain)
    }
}

/// Final outcome of a task, after which there is no further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEnd {
    /// The job.
    pub job: JobId,
    /// Index of the task.
    pub task: u32,
    /// Outcome of the task.
    pub finish: TaskOutcome,
}

/// Final outcome of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskOutcome {
    /// The task succeeded.
    Done,
    /// The task failed and has no retries left.
    Failed,
    /// The task is non-repeatable and was lost after it may have started.
    Unknown,
    /// The task was stopped because its job was cancelled.
    Cancelled,
}

/// Selects the jobs of a team that a cancellation applies to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobFilter {
    /// The jobs with these ids.
    Jobs(Vec<JobId>),
    /// All jobs that match both conditions.
    Matching {
        /// Prefix of the job name; empty for any name.
        prefix: String,
        /// Kind of the job; `None` for any kind.
        kind: Option<Name>,
    },
}
