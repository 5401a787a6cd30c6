//! Errors of the client.

use std::fmt;

use zinnia_types::Code;
use zinnia_types::ErrorBody;
use zinnia_types::ExecutionStatus;

/// Why a request has no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request was sent, for example because the connection was refused.
    NotSent {
        /// The server, as `ip:port`.
        addr: String,
        /// Cause.
        cause: String,
    },
    /// The server may have received the request.
    NoResponse {
        /// The server, as `ip:port`.
        addr: String,
        /// Cause.
        cause: String,
    },
}

impl SendError {
    /// Whether certainly no part of the request was sent.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent { .. })
    }

    /// Whether the server ran the request.
    pub fn ran(&self) -> ExecutionStatus {
        match self {
            Self::NotSent { .. } => ExecutionStatus::NotRun,
            Self::NoResponse { .. } => ExecutionStatus::Unknown,
        }
    }

    /// Converts the error to an error body that names `step`.
    pub fn to_error_body(&self, step: &str) -> ErrorBody {
        let (Self::NotSent { addr, .. } | Self::NoResponse { addr, .. }) = self;
        ErrorBody::new(Code::Unavailable, step, self.to_string())
            .peer(addr)
            .ran(self.ran())
    }
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent { addr, cause } => write!(f, "request to {addr} was not sent: {cause}"),
            Self::NoResponse { addr, cause } => write!(f, "no answer from {addr}: {cause}"),
        }
    }
}

impl std::error::Error for SendError {}
