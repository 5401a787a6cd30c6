//! Errors of calls between daemons.

use std::fmt;

use zinnia_types::ErrorBody;

/// The step at which a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallStep {
    /// Serialising the request, or checking its size.
    Encode,
    /// Opening the connection, authentication included.
    Connect,
    /// Waiting for the answer.
    Answer,
    /// The peer's handler refused.
    Handle,
    /// Deserialising the answer.
    Decode,
}

impl CallStep {
    /// The step as a word for logs and error bodies.
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

/// Why a call to a peer failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerError {
    /// The step that failed.
    pub step: CallStep,
    /// `ip:port` of the peer.
    pub peer: String,
    /// Whether the peer may have received anything of the request.
    pub maybe_sent: bool,
    /// Whether the time for the call ran out.
    pub timed_out: bool,
    /// One sentence for people.
    pub message: String,
    /// The handler's refusal, when `step` is [`CallStep::Handle`].
    pub refusal: Option<Box<ErrorBody>>,
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
            refusal: None,
        }
    }

    pub(crate) fn timeout(step: CallStep, peer: &str, maybe_sent: bool) -> Self {
        Self {
            timed_out: true,
            ..Self::new(
                step,
                peer,
                maybe_sent,
                "no answer within the time for the call",
            )
        }
    }

    pub(crate) fn refused(peer: &str, body: ErrorBody) -> Self {
        Self {
            refusal: Some(Box::new(body.clone())),
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
