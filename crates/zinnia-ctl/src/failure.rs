//! Errors of a command and their exit codes.

use std::fmt;
use std::io;

use serde_json::Value;
use zinnia_types::ErrorBody;

/// Error of a command; each variant has its own exit code.
#[derive(Clone, Debug)]
pub enum Failure {
    /// An error of the local system: a file cannot be read, the output cannot be written or no
    /// random number is available.
    Local(String),
    /// The command line, or a file that it names, is not valid.
    Usage(String),
    /// The cell refused the request. Nothing was changed unless [`ErrorBody::ran`] says otherwise.
    Refused {
        /// The error body of the response.
        body: ErrorBody,
        /// The response as received, with fields that [`ErrorBody`] does not have.
        raw: Value,
    },
    /// The VM did not respond, and nothing was changed.
    Unreachable(String),
    /// The request may have taken effect.
    Unknown(String),
    /// A step of the demo failed.
    Demo(String),
}

impl Failure {
    /// Exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Local(_) => 1,
            Self::Usage(_) => 2,
            Self::Refused { .. } => 3,
            Self::Unreachable(_) => 4,
            Self::Unknown(_) => 5,
            Self::Demo(_) => 6,
        }
    }

    /// A refusal that this tool decides without the cell.
    pub(crate) fn refused(body: ErrorBody) -> Self {
        let raw = serde_json::to_value(&body).unwrap_or_default();
        Self::Refused { body, raw }
    }
}

impl From<io::Error> for Failure {
    fn from(e: io::Error) -> Self {
        Self::Local(format!("cannot write the output: {e}"))
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Local(reason) => f.write_str(reason),
            Self::Usage(reason) => write!(f, "usage: {reason}"),
            Self::Refused { body, .. } => write!(f, "refused: {body}"),
            Self::Unreachable(reason) => write!(f, "unreachable: {reason}"),
            Self::Unknown(reason) => write!(f, "outcome unknown: {reason}"),
            Self::Demo(reason) => write!(f, "demo: {reason}"),
        }
    }
}

impl std::error::Error for Failure {}
