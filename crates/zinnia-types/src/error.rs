//! Error bodies as callers, workers and operators see them.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Machine-readable reason of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed or breaks a rule of the document.
    BadRequest,
    /// The body exceeds the size limit.
    TooLarge,
    /// No key, an unknown key or a withdrawn key.
    KeyRefused,
    /// The key is valid but does not open this route or team.
    Forbidden,
    /// No such job, service, version or route.
    NotFound,
    /// Another edit won, or the id stands for other content.
    Conflict,
    /// The job can never run in this cell.
    NeverFits,
    /// The team's limit leaves no room.
    OverLimit,
    /// Queue or slots are full; retry later.
    Overloaded,
    /// The deadline passed.
    Timeout,
    /// No quorum, no owner or no peer is in reach.
    Unavailable,
    /// The process is draining.
    Draining,
    /// A command came from an owner whose epoch is older than the worker's.
    StaleEpoch,
    /// An internal error.
    Internal,
}

impl Code {
    /// HTTP status that goes with the code.
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

/// Whether a request that ended with an error was executed. A caller may safely resend a request that
/// was not run.
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

/// Body of every refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Machine-readable reason.
    pub code: Code,
    /// One sentence for people.
    pub message: String,
    /// The step at which the error arose, such as `admit` or `dispatch`.
    pub step: String,
    /// The process or worker at which the error arose.
    pub peer: String,
    /// Whether the work ran.
    pub ran: ExecutionStatus,
}

impl ErrorBody {
    /// A refusal before anything ran.
    pub fn new(code: Code, step: &str, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            step: step.to_owned(),
            peer: String::new(),
            ran: ExecutionStatus::NotRun,
        }
    }

    /// The same refusal with the peer at which it arose.
    #[must_use]
    pub fn peer(self, peer: impl Into<String>) -> Self {
        Self {
            peer: peer.into(),
            ..self
        }
    }

    /// The same refusal with another statement on whether the work ran.
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
