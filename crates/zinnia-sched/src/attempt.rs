//! State of attempts that may be running.

use zinnia_types::Class;
use zinnia_types::Name;
use zinnia_types::Resources;
use zinnia_types::Time;
use zinnia_types::Urgency;

use crate::action::StopReason;

/// State of an attempt. An attempt is removed once it is known not to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// It is placed, and its start is sent once the log has recorded its dispatch.
    Recording,
    /// Its start was sent and not yet answered.
    Starting,
    /// Its worker confirmed that it runs.
    Running,
    /// A stop or refusal was sent and not yet confirmed.
    Stopping,
}

/// An attempt that may be running, and its charge.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// Slot of its worker.
    pub(crate) worker: usize,
    /// Slot of the charged team.
    pub(crate) team: usize,
    /// Kind of its job, if the job is known.
    pub(crate) kind: Option<Name>,
    pub(crate) class: Class,
    pub(crate) urgency: Urgency,
    /// Whether its task may be repeated.
    pub(crate) repeat: bool,
    /// Resources that it was started with.
    pub(crate) need: Resources,
    /// Resources charged to the worker and the team. The memory is never less than the need or the
    /// observed peak.
    pub(crate) charge: Resources,
    /// Highest observed usage.
    pub(crate) peak_usage: Resources,
    pub(crate) state: AttemptState,
    /// Whether its worker confirmed that it ran.
    pub(crate) was_running: bool,
    /// When it was placed, confirmed as started, or adopted.
    pub(crate) start_time: Time,
    /// Estimated end; `None` for services.
    pub(crate) estimated_end: Option<Time>,
    /// Whether its worker has confirmed a lower processor limit.
    pub(crate) throttled: bool,
    /// Last requested processor limit. An attempt is throttled only once, so that a delayed answer
    /// cannot be mistaken for the answer to a later throttle.
    pub(crate) requested_cpu: Option<u64>,
    /// Whether it is not the current attempt of its task, or its job is unknown.
    pub(crate) detached: bool,
    /// Whether its stop saves a checkpoint, and the reason for the stop. `None` if no stop was
    /// requested or the attempt was refused.
    pub(crate) stop_request: Option<(bool, StopReason)>,
}

impl Attempt {
    /// Whether it can be checkpointed to make room for others.
    pub(crate) fn is_preemptible(&self) -> bool {
        self.class == Class::Batch && self.can_checkpoint()
    }

    /// Whether it can be checkpointed together with its whole gang.
    pub(crate) fn is_gang_preemptible(&self) -> bool {
        self.class == Class::Gang && self.can_checkpoint()
    }

    /// Whether it is running, repeatable and not urgent.
    fn can_checkpoint(&self) -> bool {
        let lower = self.urgency < Urgency::Urgent;
        self.repeat && lower && self.state == AttemptState::Running && !self.detached
    }
}
