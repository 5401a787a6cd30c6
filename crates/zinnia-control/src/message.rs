//! Requests to the leader and its answers.

use serde::Deserialize;
use serde::Serialize;
use zinnia_plan::Document;
use zinnia_plan::Heartbeat;
use zinnia_plan::JobSpec;
use zinnia_plan::Status;

/// A caller's request at a queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerRequest {
    /// Host name that the caller used.
    pub host: String,
    /// Path that the caller used.
    pub path: String,
    /// Key that came with the request.
    pub key: Option<String>,
    /// What is asked.
    #[serde(rename = "view")]
    pub action: CallerAction,
}

/// What a caller asks at a queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallerAction {
    /// Accept a job, or why it could not be read.
    Submit(Result<JobSpec, String>),
    /// Cancel a job.
    Cancel,
    /// State of a job, or the number of jobs that wait.
    Get,
}

/// A request to the leader; all can be sent again without harm.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// From a caller.
    #[serde(rename = "ask")]
    Caller(CallerRequest),
    /// A new document from an operator.
    Publish {
        /// Bytes as sent.
        raw: String,
        /// Content.
        document: Document,
    },
    /// The document in force.
    Read,
    /// A worker's announcement.
    #[serde(rename = "beat")]
    Heartbeat(Heartbeat),
    /// A worker ends.
    Leave {
        /// Worker.
        worker: String,
        /// Begin of its life, if told.
        born: Option<i64>,
    },
}

impl Request {
    /// Whether it may change something.
    fn changes(&self) -> bool {
        match self {
            Self::Caller(ask) => ask.action != CallerAction::Get,
            Self::Publish { .. } | Self::Heartbeat(_) | Self::Leave { .. } => true,
            Self::Read => false,
        }
    }

    /// The answer for the caller; `reached` tells whether the outcome of an earlier attempt is not
    /// known. A refusal of a later attempt says nothing about that one, which may have been carried
    /// out under the document of its time.
    pub(crate) fn settle(&self, answer: Answer, reached: bool) -> Answer {
        let refused = matches!(answer, Answer::Busy(_) | Answer::NoKey | Answer::NoQueue);
        if reached && refused && self.changes() {
            Answer::Unknown
        } else {
            answer
        }
    }
}

/// The leader's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// Stored, or known before.
    Done,
    /// State of a job.
    Job {
        /// Where it stands.
        status: Status,
        /// Whether a task was started.
        begun: bool,
    },
    /// Number of jobs that wait.
    Pending(usize),
    /// Document in force, as sent.
    Document(String),
    /// There is no such job.
    Gone,
    /// There is no such queue.
    NoQueue,
    /// The key is unknown or missing.
    NoKey,
    /// The request makes no sense; why.
    Invalid(String),
    /// The id belongs to a job of another queue or team.
    Conflict,
    /// Not carried out; the caller may come back after this many milliseconds.
    Busy(u64),
    /// Whether it was carried out is not known.
    Unknown,
    /// This process does not lead; the address of the leader for other processes, if known.
    Elsewhere(Option<String>),
}

/// A process makes itself known to a member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// Address for other processes.
    pub peer: String,
    /// Address for workers and operators; empty for none.
    pub control: String,
    /// Whether the process keeps the log.
    pub member: bool,
}

/// Answer to a [`Hello`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Welcome {
    /// Leader's address for other processes.
    pub leader: Option<String>,
    /// Leader's address for workers and operators.
    pub control: Option<String>,
    /// Addresses for other processes of all members, with their ids.
    pub members: Vec<(zinnia_types::VmId, String)>,
    /// Whether the answering process leads and may answer reads.
    pub ready: bool,
}
