//! Log entries, and the replies to applying them.

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::JobId;

use crate::Document;
use crate::JobSpec;
use crate::Resources;
use crate::Route;
use crate::TaskId;
use crate::UnansweredOrder;

/// A log entry: records that are applied together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The proposer's clock, in milliseconds since the Unix epoch.
    pub at_ms: i64,
    /// Upper bound, in milliseconds, of the leases that workers may have; `None` from a build that does
    /// not know it.
    #[serde(rename = "lease", default, skip_serializing_if = "Option::is_none")]
    pub lease_bound: Option<u64>,
    /// Workers whose leases the leader stops renewing, or renews again; `None` from a build that renews
    /// them without an entry.
    #[serde(rename = "renewals", default, skip_serializing_if = "Option::is_none")]
    pub lease_changes: Option<LeaseChanges>,
    /// Half-life of the past use of teams in milliseconds that applies from this entry on; 0 if past use does not
    /// count, `None` to leave it as it is.
    #[serde(rename = "past_use", default, skip_serializing_if = "Option::is_none")]
    pub past_use_ms: Option<u64>,
    /// Records, applied in this order.
    #[serde(rename = "list")]
    pub records: Vec<Record>,
}

impl Batch {
    /// Drops what no longer holds in the term of the entry. A leader that was elected again may have
    /// renewed leases since it proposed to stop renewing them.
    pub fn drop_outdated(&mut self, term: u64) {
        if let Some(changes) = &mut self.lease_changes
            && changes.term != term
        {
            changes.stopped.clear();
        }
    }
}

/// Workers whose leases the leader stops renewing, or renews again, and what became of start orders.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseChanges {
    /// Term of the leader.
    pub term: u64,
    /// Workers whose leases the leader has not renewed since it proposed this, and will not renew
    /// until an entry lists them in `resumed` or assigns a run to them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stopped: Vec<StoppedRenewal>,
    /// Workers whose leases may be renewed again.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub resumed: Vec<ResumedRenewal>,
    /// Runs of tasks that are to last whose start orders have been carried out.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub received: Vec<ReceivedRun>,
    /// Start orders that got no answer and may still be carried out.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unanswered: Vec<UnansweredOrder>,
}

/// A worker whose leases are not renewed any more.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoppedRenewal {
    /// Name of the worker.
    pub worker: String,
    /// Start time of its incarnation.
    pub born: i64,
    /// [`crate::Worker::permits`] when this was proposed. A later permit makes it void.
    pub permits: u64,
    /// Time, in milliseconds, after which its leases have certainly expired.
    pub wait_ms: u64,
    /// The same for the runs that an earlier incarnation received.
    pub received_ms: u64,
}

/// A worker whose leases may be renewed again.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumedRenewal {
    /// Name of the worker.
    pub worker: String,
    /// Start time of the incarnation that answers.
    pub born: i64,
}

/// A run whose start order has been carried out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceivedRun {
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run within the task.
    pub run: u32,
    /// Start time of the worker's incarnation that received it.
    pub born: i64,
}

impl LeaseChanges {
    /// Whether nothing is listed.
    pub fn is_empty(&self) -> bool {
        self.stopped.is_empty()
            && self.resumed.is_empty()
            && self.received.is_empty()
            && self.unanswered.is_empty()
    }
}

/// A change to the replicated state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// Publishes a document.
    Document {
        /// Text of the document as received. Readers get the same text back.
        raw: String,
        /// Decoded content.
        document: Document,
    },
    /// Accepts a job.
    Submit {
        /// Job id, chosen by the caller.
        id: JobId,
        /// Name of the queue.
        queue: String,
        /// Host and path prefix of the queue; `None` from a build that does not tell.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        route: Option<Route>,
        /// Name of the team; empty for a public queue without an API key.
        team: String,
        /// Description of the job.
        spec: JobSpec,
    },
    /// Cancels a job, also one whose submission has not arrived yet.
    Cancel(JobId),
    /// Registers a new incarnation of a worker, or the changed capacity of the current one.
    #[serde(rename = "join")]
    AddIncarnation {
        /// The incarnation.
        #[serde(flatten)]
        incarnation: Incarnation,
        /// Sequence number of its heartbeat; 0 from a build that does not tell.
        #[serde(default)]
        sequence: u64,
    },
    /// Excludes an incarnation from new tasks because it is about to shut down.
    Drain {
        /// Name of the worker.
        worker: String,
        /// Start time of the incarnation.
        born: i64,
    },
    /// Records that an incarnation has deregistered and will end. Its runs go on until they are stopped or
    /// it ends, so they stay assigned.
    Deregister {
        /// Name of the worker.
        worker: String,
        /// Start time of the incarnation.
        born: i64,
    },
    /// Marks an incarnation as ended because another worker answers at its address: none of its runs continues.
    Replaced {
        /// Name of the worker.
        worker: String,
        /// Start time of the incarnation.
        born: i64,
    },
    /// Marks an incarnation as ended: it is certain that none of its runs continues. Only in logs of earlier
    /// builds, which took a deregistration for the end.
    #[serde(rename = "left")]
    EndIncarnation {
        /// Name of the worker.
        worker: String,
        /// Start time of the incarnation.
        born: i64,
    },
    /// Takes a failure domain out of service, or back. Builds that do not know this record skip its entry.
    Evacuate {
        /// Name of the domain.
        domain: String,
        /// Whether it is out of service from now on.
        evacuated: bool,
    },
    /// Assigns tasks to workers. Starts that the state no longer allows are dropped.
    Start(Vec<Start>),
    /// Stores the run ends that a worker reported.
    Ends {
        /// Name of the worker.
        worker: String,
        /// Start time of the incarnation.
        born: i64,
        /// Number of the last end in the report.
        upto: u64,
        /// Reported ends.
        list: Vec<End>,
    },
    /// Removes runs from their workers without a result: it is certain that they neither run nor
    /// have reported an end. Each entry has the task, the run number and the latest checkpoint.
    #[serde(rename = "void")]
    Release(Vec<(TaskId, u32, String)>),
}

/// One incarnation of a worker: the time from a start of its process to its end.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnation {
    /// Name of the worker.
    pub worker: String,
    /// When the worker process started, in milliseconds since the Unix epoch. The time identifies
    /// the incarnation.
    pub born: i64,
    /// Address of the worker, as `ip:port`.
    pub addr: String,
    /// Name of the pool.
    pub pool: String,
    /// Failure domain of the worker.
    pub domain: String,
    /// Resource capacity of the worker.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// Labels that steps can require. The first is the kind of machine, the last the rack.
    pub labels: Vec<String>,
}

impl Incarnation {
    /// Returns the rack, which is the last label.
    pub fn rack(&self) -> Option<&str> {
        self.labels.last().map(String::as_str)
    }
}

/// Assignment of a run to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Task to start.
    pub task: TaskId,
    /// Number of the run within the task.
    pub run: u32,
    /// Name of the worker.
    pub worker: String,
    /// Start time of the worker's incarnation.
    pub born: i64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// The task is complete.
    Done,
    /// The task failed, or the worker failed to run it.
    Failed,
    /// The worker stopped the run after a stop order.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
}

/// The end of a run, as its worker reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Sequence number of the end within the worker's incarnation.
    pub number: u64,
    /// Task that the run belonged to.
    pub task: TaskId,
    /// Number of the run within the task.
    pub run: u32,
    /// How the run ended.
    #[serde(rename = "how")]
    pub reason: EndReason,
    /// Last checkpoint of the task; empty if there is none.
    #[serde(rename = "saved", default, skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
}

/// Reply to a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The record is applied, or had been applied before.
    Done,
    /// The incarnation is registered, or was before.
    Added {
        /// Tasks whose jobs are given up because too many workers have crashed under them.
        given_up: Vec<TaskId>,
    },
    /// The incarnation is marked as ended.
    Replaced {
        /// Tasks whose jobs are given up because too many workers have crashed under them.
        given_up: Vec<TaskId>,
    },
    /// The starts that the state allowed; the others are dropped.
    Started(Vec<Start>),
    /// The job id belongs to another queue or team.
    Conflict,
    /// No job with this id exists. A submission that arrives later is refused.
    Unknown,
    /// The job was cancelled before its submission arrived; it is not accepted.
    Cancelled,
    /// The record changes nothing, since the state can hold no more of its kind for this time.
    Busy {
        /// When the state can hold it, in milliseconds.
        retry_after_ms: u64,
    },
    /// The document has no queue at this host and path prefix any more; the job is not accepted.
    NoQueue,
}
