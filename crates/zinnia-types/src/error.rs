//! Error bodies of HTTP responses to callers, workers and operators.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Machine-readable reason of an error response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed or violates a rule of the document.
    BadRequest,
    /// The body exceeds the size limit.
    TooLarge,
    /// The API key is missing, unknown or withdrawn.
    KeyRefused,
    /// The API key is valid but does not permit this route or team.
    Forbidden,
    /// The job, service, version or route does not exist.
    NotFound,
    /// A concurrent edit was accepted first, or the id is already used for different content.
    Conflict,
    /// The cell can never provide the resources that the job requests.
    NeverFits,
    /// The request would exceed the team's limit.
    OverLimit,
    /// A queue or all slots are full; the caller may retry later.
    Overloaded,
    /// The deadline of the request passed.
    Timeout,
    /// No quorum, no owner of the worker or no peer can be reached.
    Unavailable,
    /// The process is shutting down and accepts no new requests.
    Draining,
    /// The command carries an owner epoch that is older than the worker's.
    StaleEpoch,
    /// An internal error.
    Internal,
}

impl Code {
    /// Returns the HTTP status code of the response.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::KeyRefused => 401,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::Conflict | Self::StaleEpoch => 409,
            Self::TooLarge => 413,
            Self::NeverFits => 422,
            Self::OverLimit | Self::Overloaded => 429,
            Self::Internal => 500,
            Self::Unavailable | Self::Draining => 503,
            Self::Timeout => 504,
        }
    }
}

/// Whether a request that ended with an error was executed. A caller may safely resend a request
/// that was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionStatus {
    /// The request was not run, and this submission of it will not be run later.
    #[serde(rename = "no")]
    NotRun,
    /// The request was run.
    #[serde(rename = "yes")]
    Ran,
    /// The request may have been run; the process cannot tell.
    Unknown,
}

/// JSON body of every error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Machine-readable reason.
    pub code: Code,
    /// Human-readable description of the error, in one sentence.
    pub message: String,
    /// Processing step that failed, such as `admit` or `dispatch`.
    pub step: String,
    /// Process or worker at which the error occurred; empty if it is not known.
    pub peer: String,
    /// Whether the request was executed.
    pub ran: ExecutionStatus,
}

impl ErrorBody {
    /// Creates an error for a request that was not run, without a peer.
    pub fn new(code: Code, step: &str, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            step: step.to_owned(),
            peer: String::new(),
            ran: ExecutionStatus::NotRun,
        }
    }

    /// Sets the process or worker at which the error occurred.
    #[must_use]
    pub fn peer(self, peer: impl Into<String>) -> Self {
        Self {
            peer: peer.into(),
            ..self
        }
    }

    /// Sets whether the request was executed.
    #[must_use]
    pub fn ran(self, ran: ExecutionStatus) -> Self {
        Self { ran, ..self }
    }
}

impl fmt::Display for ErrorBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.step, self.message)?;
        if !self.peer.is_empty() {
            write!(f, " (at {})", self.peer)?;
        }
        match self.ran {
            ExecutionStatus::NotRun => write!(f, " [not run]"),
            ExecutionStatus::Ran => write!(f, " [ran]"),
            ExecutionStatus::Unknown => write!(f, " [may have run]"),
        }
    }
}

impl std::error::Error for ErrorBody {}
