//! Actions that the agent requests from its caller.

use zinnia_types::AttemptId;
use zinnia_types::worker::Announce;
use zinnia_types::worker::Heartbeat;
use zinnia_types::worker::StartReply;
use zinnia_types::worker::StopReply;
use zinnia_types::worker::Task;

/// Output of [`crate::Agent::step`].
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to a VM and pass its outcome back as [`crate::Event::SendCompleted`].
    Send {
        /// Id of the message, repeated in the event.
        message_id: u64,
        /// Address of the VM as `ip:port`.
        addr: String,
        /// The message.
        message: Message,
    },
    /// Answer a command of the owner.
    Reply {
        /// Id from [`crate::Event::Command`].
        command_id: u64,
        /// The answer.
        reply: Reply,
    },
    /// Start a task. Its exit is passed back as [`crate::Event::Exited`].
    Run {
        /// The attempt.
        attempt: AttemptId,
        /// The task to run.
        task: Box<Task>,
    },
    /// Stop a task. Its exit is passed back as [`crate::Event::Exited`].
    Stop {
        /// The attempt.
        attempt: AttemptId,
        /// Whether to save a checkpoint first.
        checkpoint: bool,
    },
    /// Stop these tasks at once because the task lease has expired. Each exit is passed back as
    /// [`crate::Event::Exited`].
    Fence {
        /// The attempts to stop.
        attempts: Vec<AttemptId>,
    },
    /// Limit the CPU of a running task.
    Throttle {
        /// The attempt.
        attempt: AttemptId,
        /// CPU limit in thousandths of a core.
        cpu: u64,
    },
    /// Save a checkpoint of a task, which keeps running.
    Checkpoint {
        /// The attempt.
        attempt: AttemptId,
    },
}

/// Message to a VM.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// `POST /v1/workers/announce`.
    Announce(Box<Announce>),
    /// `POST /v1/workers/heartbeat`.
    Heartbeat(Heartbeat),
}

/// Answer to a command of the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Answer to a start.
    Start(StartReply),
    /// Answer to a stop.
    Stop(StopReply),
    /// Answer to a throttle or a checkpoint command.
    Control(ControlReply),
}

/// Answer to a throttle or a checkpoint command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlReply {
    /// The command is carried out.
    Done,
    /// The epoch of the command is not that of the current owner.
    StaleEpoch,
    /// The attempt does not run on this worker, or is stopping.
    NotRunning,
}
