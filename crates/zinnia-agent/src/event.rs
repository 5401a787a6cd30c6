//! Events that the caller passes to the agent.

use zinnia_types::AttemptId;
use zinnia_types::Code;
use zinnia_types::Epoch;
use zinnia_types::Resources;
use zinnia_types::worker::AnnounceReply;
use zinnia_types::worker::AttemptEnd;
use zinnia_types::worker::HeartbeatReply;
use zinnia_types::worker::Start;
use zinnia_types::worker::Stop;
use zinnia_types::worker::Throttle;

/// Input of [`crate::Agent::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A timer expired; due at [`crate::Agent::next_tick`].
    Tick,
    /// A message was answered or has failed.
    SendCompleted {
        /// Id from [`crate::Action::Send`].
        message_id: u64,
        /// The answer, or the lack of one.
        outcome: SendOutcome,
    },
    /// A command arrived. The same step answers it with [`crate::Action::Reply`].
    Command {
        /// Id chosen by the caller, repeated in the reply.
        command_id: u64,
        /// The command.
        command: Command,
    },
    /// A task exited, by itself or because of [`crate::Action::Stop`] or [`crate::Action::Fence`].
    Exited {
        /// The attempt.
        attempt: AttemptId,
        /// Result of the attempt.
        end: AttemptEnd,
    },
    /// The resource usage of a running task was sampled.
    Usage {
        /// The attempt.
        attempt: AttemptId,
        /// Resources in use.
        usage: Resources,
    },
    /// The worker shuts down gracefully: it accepts no further starts and tells its owner.
    Leave,
}

/// Outcome of an announcement or a heartbeat.
#[derive(Clone, Debug)]
pub enum SendOutcome {
    /// Answer to an announcement.
    Announce(AnnounceReply),
    /// Answer to a heartbeat.
    Heartbeat(HeartbeatReply),
    /// The VM answered with an error of this code.
    Error(Code),
    /// No answer arrived.
    NoResponse,
}

/// Command that an owner sends to the worker.
#[derive(Clone, Debug)]
pub enum Command {
    /// Start an attempt.
    Start(Start),
    /// Stop an attempt if it runs, and refuse any later start of it.
    Stop(Stop),
    /// Limit the CPU of an attempt.
    Throttle(Throttle),
    /// Save a checkpoint of an attempt, which keeps running.
    Checkpoint {
        /// Owner epoch.
        epoch: Epoch,
        /// The attempt.
        attempt: AttemptId,
    },
}
