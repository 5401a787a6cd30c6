//! Entries of the log and what applying them answers.

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::JobId;

use crate::Document;
use crate::JobSpec;
use crate::Resources;
use crate::TaskId;

/// One entry: records that are applied together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The proposer's clock, in milliseconds since the Unix epoch.
    pub at_ms: i64,
    /// Records.
    pub list: Vec<Record>,
}

/// A change of the state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A document, as sent and as understood.
    Document {
        /// Bytes as sent, which readers get back.
        raw: String,
        /// Content.
        document: Document,
    },
    /// A job is accepted.
    Submit {
        /// Its id, chosen by the caller.
        id: JobId,
        /// Queue.
        queue: String,
        /// Team; empty for a public queue without a key.
        team: String,
        /// Job.
        spec: JobSpec,
    },
    /// A job is cancelled.
    Cancel(JobId),
    /// A life of a worker is known.
    Join(Incarnation),
    /// A life of a worker gets no new tasks, since it is about to leave.
    Drain {
        /// Worker.
        worker: String,
        /// Begin of the life.
        born: i64,
    },
    /// A life of a worker is over; nothing of it runs any more.
    Left {
        /// Worker.
        worker: String,
        /// Begin of the life.
        born: i64,
    },
    /// Tasks are to start; each is valid only if it is still due.
    Start(Vec<Start>),
    /// A worker listed ends.
    Ends {
        /// Worker.
        worker: String,
        /// Begin of its life.
        born: i64,
        /// Number of the last end of the list.
        upto: u64,
        /// Ends.
        list: Vec<End>,
    },
    /// Runs that are certain not to run and to have listed no end.
    Void(Vec<(TaskId, u32, String)>),
}

/// One life of a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnation {
    /// Worker.
    pub worker: String,
    /// When the life began, in milliseconds since the Unix epoch.
    pub born: i64,
    /// `ip:port`.
    pub addr: String,
    /// Pool.
    pub pool: String,
    /// Failure domain.
    pub domain: String,
    /// Capacity.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// Kind and rack.
    pub labels: Vec<String>,
}

impl Incarnation {
    /// Rack, which is the last label.
    pub fn rack(&self) -> Option<&str> {
        self.labels.last().map(String::as_str)
    }
}

/// A run of a task on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Worker.
    pub worker: String,
    /// Begin of its life.
    pub born: i64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// The task is complete.
    Done,
    /// By its own fault or the worker's.
    Failed,
    /// On our order.
    Stopped,
    /// The worker's lease ran out.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not come.
    Alone,
}

/// An end as a worker lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Its number in this life.
    pub number: u64,
    /// Task.
    pub task: TaskId,
    /// Run.
    pub run: u32,
    /// How.
    #[serde(rename = "how")]
    pub reason: EndReason,
    /// Saved progress; empty for none.
    #[serde(rename = "saved", default, skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
}

/// Answer to a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Applied, or known before.
    Done,
    /// The starts that are valid.
    Started(Vec<Start>),
    /// The job id belongs to another queue or team.
    Conflict,
    /// There is no such job.
    Unknown,
}
