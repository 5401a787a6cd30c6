//! Attempts that may be running.

use zinnia_types::Class;
use zinnia_types::Name;
use zinnia_types::Resources;
use zinnia_types::Time;
use zinnia_types::Urgency;

use crate::action::StopReason;

/// What is known about an attempt. An attempt is dropped once it is known not to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// It has its place; the log has not yet recorded its dispatch, so it was not sent.
    Recording,
    /// Its start was sent and has no answer yet.
    Starting,
    /// It runs.
    Running,
    /// It was told to stop, or to be refused, and has not confirmed this.
    Stopping,
}

/// An attempt that may be running, and what is charged for it.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// Slot of its worker.
    pub(crate) worker: usize,
    /// Slot of the charged team.
    pub(crate) team: usize,
    /// Kind of work, when its job is known.
    pub(crate) kind: Option<Name>,
    pub(crate) class: Class,
    pub(crate) urgency: Urgency,
    pub(crate) repeat: bool,
    /// What it was started with.
    pub(crate) need: Resources,
    /// What counts as used on the worker and by the team: never less memory than needed or seen.
    pub(crate) charge: Resources,
    /// Largest usage seen.
    pub(crate) peak_usage: Resources,
    pub(crate) state: AttemptState,
    /// Whether its worker confirmed that it ran.
    pub(crate) was_running: bool,
    /// When it was decided or adopted.
    pub(crate) start_time: Time,
    /// When it should end by the estimate; `None` for services.
    pub(crate) estimated_end: Option<Time>,
    /// Whether its worker has confirmed a lower processor share.
    pub(crate) throttled: bool,
    /// The processor share last asked for. An attempt is throttled once, so that an answer that
    /// arrives late cannot be taken for that to a later throttle.
    pub(crate) requested_cpu: Option<u64>,
    /// Whether the task counts another attempt as its current one, or its job is unknown.
    pub(crate) detached: bool,
    /// How it was told to stop: with or without a checkpoint, or `None` by refusal.
    pub(crate) stop_request: Option<(bool, StopReason)>,
}

impl Attempt {
    /// Whether it may be checkpointed to make room for others.
    pub(crate) fn is_preemptible(&self) -> bool {
        self.class == Class::Batch && self.can_checkpoint()
    }

    /// Whether it may be checkpointed together with its whole gang.
    pub(crate) fn is_gang_preemptible(&self) -> bool {
        self.class == Class::Gang && self.can_checkpoint()
    }

    fn can_checkpoint(&self) -> bool {
        let lower = self.urgency < Urgency::Urgent;
        self.repeat && lower && self.state == AttemptState::Running && !self.detached
    }
}
