//! Requests to the leader and their answers.

use serde::Deserialize;
use serde::Serialize;
use zinnia_plan::Document;
use zinnia_plan::Heartbeat;
use zinnia_plan::JobSpec;
use zinnia_plan::Status;

use crate::deadline::LeaderTime;

/// Method name of the messages of the log.
pub(crate) const RAFT_METHOD: &str = "raft";

/// Method name of the announcement of a member that shuts down.
pub(crate) const LEAVE_METHOD: &str = "leave";

/// A request from a caller of a queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerRequest {
    /// Host name that the caller used.
    pub host: String,
    /// Path that the caller used.
    pub path: String,
    /// API key of the request.
    pub key: Option<String>,
    /// Requested action.
    #[serde(rename = "view")]
    pub action: CallerAction,
    /// When the process that forwards the request gives it up, on the leader's clock. The leader does not carry
    /// out a change that arrives later. `None` from a build that does not tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<LeaderTime>,
}

/// Action that a caller requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallerAction {
    /// Accept a job, or report why its description could not be decoded.
    Submit(Result<JobSpec, String>),
    /// Cancel a job.
    Cancel,
    /// Return the state of a job, or the number of pending jobs of the queue.
    Get,
}

/// A request to take a failure domain out of service, or back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationRequest {
    /// Name of the domain.
    pub domain: String,
    /// Whether it is to be out of service.
    pub evacuated: bool,
    /// As in [`CallerRequest::deadline`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<LeaderTime>,
}

/// A request to the leader. All requests are idempotent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// A request from a caller of a queue.
    #[serde(rename = "ask")]
    Caller(CallerRequest),
    /// Asks for the outcome of a submission whose deadline has passed, without carrying it out.
    Settle(CallerRequest),
    /// An operator publishes a document.
    Publish {
        /// Text of the document as received.
        raw: String,
        /// Decoded content.
        document: Document,
    },
    /// Returns the current document.
    Read,
    /// A worker's heartbeat.
    #[serde(rename = "beat")]
    Heartbeat(Heartbeat),
    /// An operator takes a failure domain out of service, or back.
    Evacuate(EvacuationRequest),
    /// A worker shuts down.
    Leave {
        /// Name of the worker.
        worker: String,
        /// Start time of its incarnation, if known.
        born: Option<i64>,
    },
}

impl Request {
    /// Whether the request may change the state.
    fn is_write(&self) -> bool {
        match self {
            Self::Caller(request) => request.action != CallerAction::Get,
            Self::Publish { .. } | Self::Heartbeat(_) | Self::Leave { .. } | Self::Evacuate(_) => {
                true
            }
            Self::Read | Self::Settle(_) => false,
        }
    }

    /// Whether the request submits a job.
    pub(crate) fn is_submission(&self) -> bool {
        matches!(self, Self::Caller(r) if matches!(r.action, CallerAction::Submit(Ok(_))))
    }

    /// Sets the deadline, if the request may be carried out too late.
    pub(crate) fn set_deadline(&mut self, deadline: Option<LeaderTime>) {
        match self {
            Self::Caller(request) if request.action != CallerAction::Get => {
                request.deadline = deadline;
            }
            Self::Evacuate(request) => request.deadline = deadline,
            _ => {}
        }
    }

    /// Whether each attempt must have expired before the next one begins and before the request is answered.
    /// The next request of the same client may be the opposite one, which a copy of this one must not undo.
    pub(crate) fn has_exclusive_attempts(&self) -> bool {
        matches!(self, Self::Evacuate(_))
    }

    /// Returns the answer for the caller. `maybe_applied` tells whether an earlier attempt may have
    /// been carried out. In that case a refusal of a later attempt does not show that the request
    /// had no effect: the earlier attempt may have been accepted under the document of that time.
    pub(crate) fn final_answer(&self, answer: Answer, maybe_applied: bool) -> Answer {
        let refused = matches!(
            answer,
            Answer::Busy(_) | Answer::NoKey | Answer::NoQueue | Answer::NoDomain
        );
        if maybe_applied && refused && self.is_write() {
            Answer::Unknown
        } else {
            answer
        }
    }
}

/// The leader's answer to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The request is carried out, or had been carried out before.
    Done,
    /// State of a job.
    Job {
        /// Status of the job.
        status: Status,
        /// Whether any task of the job was ever started.
        begun: bool,
    },
    /// Number of jobs that have not started yet.
    Pending(usize),
    /// Text of the current document as received.
    Document(String),
    /// The job does not exist. A submission of it that was sent before a cancellation is not carried out.
    Gone,
    /// The job was cancelled before its submission arrived; it is not accepted.
    Cancelled,
    /// No queue matches the host and path.
    NoQueue,
    /// The cell has no failure domain of this name.
    NoDomain,
    /// The API key is unknown or missing.
    NoKey,
    /// The request is invalid for this reason.
    Invalid(String),
    /// The id belongs to a job of another queue or team.
    Conflict,
    /// The request was not carried out; the caller may retry after this many milliseconds.
    Busy(u64),
    /// The request may have been carried out.
    Unknown,
    /// This process is not the leader; the leader's peer address, if known.
    Elsewhere(Option<String>),
    /// The request arrived after its deadline, or with one on another clock, and was not carried out. The
    /// leader's clock shows this time.
    Expired(LeaderTime),
}

/// Introduces a process to a member, at regular intervals.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// Peer address of the process.
    pub peer: String,
    /// Address for workers and operators; empty for none.
    pub control: String,
    /// Whether the process is a member of the log.
    pub member: bool,
}

/// Answer to a [`Hello`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HelloReply {
    /// Leader's peer address.
    pub leader: Option<String>,
    /// Leader's address for workers and operators.
    pub control: Option<String>,
    /// Addresses of the members that receive the heartbeats of workers; empty if the leader does.
    #[serde(default)]
    pub heartbeat_addrs: Vec<String>,
    /// Ids and peer addresses of all members.
    pub members: Vec<(zinnia_types::VmId, String)>,
    /// Whether the answering process is the leader and may answer reads.
    pub ready: bool,
    /// The leader's clock, if the answering process is the leader.
    #[serde(default)]
    pub clock: Option<LeaderTime>,
}

/// Answer to a member that announces that it shuts down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaveReply {
    /// Whether the member should wait, since its vote can be handed over.
    pub wait: bool,
}
