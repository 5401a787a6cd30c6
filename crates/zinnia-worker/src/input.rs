//! Inputs of the driver.

use serde_json::Value;
use tokio::sync::oneshot;
use zinnia_agent::Command;
use zinnia_agent::Reply;
use zinnia_agent::SendOutcome;
use zinnia_types::AttemptId;
use zinnia_types::Resources;
use zinnia_types::worker::AttemptEnd;

/// Message to the driver.
#[derive(Debug)]
pub(crate) enum DriverInput {
    /// A command of an owner, with the channel for the reply.
    Command(Command, oneshot::Sender<Reply>),
    /// A VM has answered a message, or the message has failed.
    SendCompleted {
        message_id: u64,
        outcome: SendOutcome,
    },
    /// A task has exited.
    Exited { attempt: AttemptId, end: AttemptEnd },
    /// The resource usage of a task was sampled.
    Usage {
        attempt: AttemptId,
        usage: Resources,
    },
    /// The worker leaves: it refuses starts and tells its owner.
    Leave,
    /// Pauses announcements and heartbeats while true.
    PauseHeartbeats(bool),
    /// Requests a dump of the agent.
    Dump(oneshot::Sender<Value>),
    /// Requests a notice when no task or call is left and the owner has acknowledged all reports
    /// and the leaving.
    WaitDrained(oneshot::Sender<()>),
}
