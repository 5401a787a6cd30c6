//! The worker's owner and the message that awaits an answer.

use serde::Serialize;
use zinnia_types::Epoch;
use zinnia_types::Time;
use zinnia_types::VmId;

/// The VM that owns the worker.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Owner {
    /// Address as `ip:port`.
    pub(crate) addr: String,
    /// Id of the VM; `None` if a command under the offered epoch arrived and the answer to the
    /// announcement, which carries the id, has not.
    pub(crate) vm: Option<VmId>,
    pub(crate) epoch: Epoch,
    /// Expiry of the owner lease.
    #[serde(rename = "until")]
    pub(crate) expiry: Time,
    /// When the next regular heartbeat is due.
    #[serde(rename = "beat")]
    pub(crate) next_heartbeat: Time,
    /// When the last heartbeat was sent; before the first one, when the accepted announcement was
    /// sent.
    #[serde(rename = "last")]
    pub(crate) last_heartbeat: Time,
}

/// A message that awaits an answer.
#[derive(Clone, Debug)]
pub(crate) struct PendingMessage {
    pub(crate) message_id: u64,
    pub(crate) addr: String,
    pub(crate) sent: Time,
    /// When the message counts as unanswered.
    pub(crate) deadline: Time,
    pub(crate) kind: MessageKind,
    /// Whether the message carries the leaving flag.
    pub(crate) leaving: bool,
}

/// Kind of a message that awaits an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MessageKind {
    /// Announcement that offers `epoch` to the VM.
    Announce { epoch: Epoch },
    /// Heartbeat with this sequence number.
    Heartbeat { seq: u64 },
}
