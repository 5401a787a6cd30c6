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
use zinnia_types::worker::Profile;

use crate::Digest;
use crate::KeyHash;
use crate::KeyId;

/// One entry of the log that changes the cell. Times are milliseconds since the Unix epoch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "do")]
pub enum Command {
    /// Puts a document in force if `from` is still the version in force.
    ///
    /// The proposer validates the document. Applying it must not, since the check reads the time
    /// zone database, which may differ between VMs.
    ApplyDocument {
        /// Request id; a resend with the same id gets the first answer.
        request: String,
        /// Version that was edited; 0 for the first document.
        from: u64,
        /// The new document.
        document: Document,
        /// When it was proposed.
        at_ms: i64,
    },
    /// Grants a key.
    GrantKey {
        /// Id, the public part of the key.
        id: KeyId,
        /// Hash of the whole key text.
        hash: KeyHash,
        /// What the key opens.
        role: KeyRole,
        /// Request id.
        request: String,
    },
    /// Withdraws keys for good, granted or not.
    WithdrawKeys {
        /// Ids of the keys.
        ids: Vec<KeyId>,
    },
    /// Adds a VM or replaces its addresses.
    JoinVm {
        /// The VM.
        vm: Vm,
    },
    /// Removes a VM that is not an acting owner.
    RemoveVm {
        /// The VM.
        id: VmId,
    },
    /// Changes the worker roster.
    Workers {
        /// Workers to add or replace.
        add: Vec<Profile>,
        /// Workers to remove.
        remove: Vec<WorkerId>,
    },
    /// Makes a VM the acting owner of a domain if `from_term` is still the domain's term.
    SetOwner {
        /// The domain.
        domain: DomainId,
        /// The new acting owner.
        vm: VmId,
        /// Current term of the domain; 0 when it never had an owner.
        from_term: u64,
    },
    /// Moves a part of a team's limit from the pool to a domain.
    ///
    /// `term` and `from` make a delayed or repeated proposal harmless.
    Take {
        /// The domain.
        domain: DomainId,
        /// The team.
        team: TeamId,
        /// How much.
        amount: Resources,
        /// Term of the domain's acting owner, who proposes this.
        term: u64,
        /// [`Allotment::log_index`](crate::Allotment::log_index) on which the decision is based.
        from: u64,
    },
    /// Returns a part of a team's limit from a domain to the pool; fields as in `Take`.
    Give {
        /// The domain.
        domain: DomainId,
        /// The team.
        team: TeamId,
        /// How much.
        amount: Resources,
        /// Term of the domain's acting owner, who proposes this.
        term: u64,
        /// [`Allotment::log_index`](crate::Allotment::log_index) on which the decision is based.
        from: u64,
    },
    /// Accepts a job.
    AcceptJob {
        /// The job with every default filled in.
        job: Box<Job>,
        /// Digest of the request as the caller sent it; a resend has the same one, even if the
        /// document or the time of day now give the job other defaults.
        request: Digest,
        /// Key that came with it. Absent for queues open to all, and for jobs that an isolated
        /// domain has accepted already, whose key may have been withdrawn since.
        key: Option<KeyId>,
    },
    /// Records that tasks not to be repeated are about to be started.
    Dispatch {
        /// The job.
        job: JobId,
        /// Indices of the tasks.
        tasks: Vec<u32>,
        /// Domain whose acting owner proposes this.
        domain: DomainId,
        /// Term of that acting owner.
        term: u64,
    },
    /// Records final ends of tasks.
    EndTasks {
        /// The ends.
        ends: Vec<TaskEnd>,
    },
    /// Records the end of a job.
    EndJob {
        /// The job.
        job: JobId,
        /// How it ended.
        outcome: Outcome,
        /// When it ended.
        at_ms: i64,
    },
    /// Marks jobs of a team as cancelled; their acting owner stops and ends them.
    Cancel {
        /// The team.
        team: TeamId,
        /// Which of its jobs.
        which: JobFilter,
        /// When it was proposed.
        at_ms: i64,
    },
    /// Moves a job that is not running to another domain.
    Rehome {
        /// The job.
        job: JobId,
        /// Domain that it leaves.
        from: DomainId,
        /// Domain that gets it.
        to: DomainId,
        /// Term of the acting owner of `from`, who proposes this.
        term: u64,
    },
    /// Records a request that must not be repeated, before it is dispatched.
    RecordCall {
        /// The team.
        team: TeamId,
        /// Request id, unique within the team.
        id: String,
        /// Digest of the request.
        hash: Digest,
        /// When it was proposed.
        at_ms: i64,
    },
    /// Records the outcome of a recorded request.
    FinishCall {
        /// The team.
        team: TeamId,
        /// Request id.
        id: String,
        /// HTTP status.
        status: u16,
        /// Response body.
        body: String,
    },
}

/// What a key opens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyRole {
    /// Work of one team.
    Team(TeamId),
    /// Operator routes.
    Operator,
}

/// An entry VM of the cell.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Id drawn when its data folder was created.
    pub id: VmId,
    /// Name for people.
    pub name: Name,
    /// Its failure domain.
    pub domain: DomainId,
    /// `ip:port` for callers, workers and operators.
    pub http: String,
    /// `ip:port` for other VMs.
    pub peer: String,
    /// Whether it has a disk for state.
    pub disk: bool,
}

impl fmt::Debug for Vm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}({:?} in {:?})", self.name, self.id, self.domain)
    }
}

/// Final end of a task, after which no other attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEnd {
    /// The job.
    pub job: JobId,
    /// Index of the task.
    pub task: u32,
    /// How it ended.
    pub finish: TaskOutcome,
}

/// How a task ended for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskOutcome {
    /// Well.
    Done,
    /// It failed and its retries are used up.
    Failed,
    /// It must not be repeated and was lost while it may have run.
    Unknown,
    /// It was stopped since its job was cancelled.
    Cancelled,
}

/// Which jobs of a team a cancellation addresses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobFilter {
    /// These jobs.
    Jobs(Vec<JobId>),
    /// All jobs that match every given condition.
    Matching {
        /// Start of the job's name; empty for any.
        prefix: String,
        /// Kind of work.
        kind: Option<Name>,
    },
}
