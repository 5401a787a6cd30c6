//! Calls in flight and their attempts.

use zinnia_types::ExecutionStatus;
use zinnia_types::ServiceId;
use zinnia_types::TeamId;
use zinnia_types::Time;
use zinnia_types::WorkerId;

/// A call that has not been answered, refused or cancelled.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    pub(crate) team: TeamId,
    pub(crate) service: ServiceId,
    pub(crate) retryable: bool,
    pub(crate) deadline: Time,
    /// Number of attempts so far; the last one is open unless the call is queued.
    pub(crate) attempts: u32,
    /// Whether the call is in the queue.
    pub(crate) queued: bool,
    /// Whether any past attempt ran.
    pub(crate) ran: ExecutionStatus,
    /// Worker of the last failed attempt, avoided by the next one.
    pub(crate) avoid_worker: Option<WorkerId>,
}

/// An open attempt: a dispatch of a call to a worker that has not been reported as ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) service: ServiceId,
    pub(crate) worker: WorkerId,
    /// Distinguishes the endpoint from a later one of the same worker.
    pub(crate) generation: u64,
    pub(crate) dispatched_at: Time,
    /// Set once the call has ended before the attempt: its connection counts as open until this time.
    pub(crate) abandoned_until: Option<Time>,
    /// Whether part of the request has been sent.
    pub(crate) sent: bool,
}

impl Call {
    pub(crate) fn new(team: TeamId, service: ServiceId, retryable: bool, deadline: Time) -> Self {
        Self {
            team,
            service,
            retryable,
            deadline,
            attempts: 0,
            queued: true,
            ran: ExecutionStatus::NotRun,
            avoid_worker: None,
        }
    }
}
