//! Errors of calls between daemons.

use std::fmt;

use zinnia_types::ErrorBody;

/// Step of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallStep {
    /// Serialize the request and check its size.
    Encode,
    /// Open and authenticate the connection.
    Connect,
    /// Wait for the answer.
    Answer,
    /// Process the request in the handler of the peer.
    Handle,
    /// Deserialize the answer.
    Decode,
}

impl CallStep {
    /// Returns the name of the step for logs and error bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Encode => "encode",
            Self::Connect => "connect",
            Self::Answer => "answer",
            Self::Handle => "handle",
            Self::Decode => "decode",
        }
    }
}

/// Error of a call to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerError {
    /// Failed step.
    pub step: CallStep,
    /// Address of the peer as `ip:port`.
    pub peer: String,
    /// Whether the peer may have received the request or a part of it.
    pub maybe_sent: bool,
    /// Whether the timeout of the call expired.
    pub timed_out: bool,
    /// Human-readable description.
    pub message: String,
    /// Error returned by the handler of the peer, if `step` is [`CallStep::Handle`].
    pub handler_error: Option<Box<ErrorBody>>,
}

impl PeerError {
    pub(crate) fn new(
        step: CallStep,
        peer: &str,
        maybe_sent: bool,
        message: impl Into<String>,
    ) -> Self {
        Self {
            step,
            peer: peer.to_owned(),
            maybe_sent,
            timed_out: false,
            message: message.into(),
            handler_error: None,
        }
    }

    pub(crate) fn timeout(step: CallStep, peer: &str, maybe_sent: bool) -> Self {
        Self {
            timed_out: true,
            ..Self::new(step, peer, maybe_sent, "the timeout of the call expired")
        }
    }

    pub(crate) fn from_handler(peer: &str, body: ErrorBody) -> Self {
        Self {
            handler_error: Some(Box::new(body.clone())),
            ..Self::new(CallStep::Handle, peer, true, body.to_string())
        }
    }
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let step = self.step.as_str();
        write!(f, "{step}: {} (peer {}", self.message, self.peer)?;
        f.write_str(if self.maybe_sent { ")" } else { ", not sent)" })
    }
}

impl std::error::Error for PeerError {}
