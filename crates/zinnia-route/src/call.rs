//! Calls in flight and their dispatches.

use zinnia_types::Ran;
use zinnia_types::ServiceId;
use zinnia_types::TeamId;
use zinnia_types::Time;
use zinnia_types::WorkerId;

/// A call that was neither answered nor refused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    pub(crate) team: TeamId,
    pub(crate) service: ServiceId,
    pub(crate) retryable: bool,
    pub(crate) deadline: Time,
    /// Dispatches so far; the last one is under way unless the call waits.
    pub(crate) attempts: u32,
    /// Whether it waits in the queue.
    pub(crate) waits: bool,
    /// What is known of its past dispatches.
    pub(crate) ran: Ran,
    /// Worker of the last failed dispatch.
    pub(crate) avoid: Option<WorkerId>,
}

/// A dispatch without a known end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) service: ServiceId,
    pub(crate) worker: WorkerId,
    /// Distinguishes endpoints of a worker that went and came back.
    pub(crate) generation: u64,
    pub(crate) begun: Time,
    /// The caller no longer waits for it; its connection counts until this time.
    pub(crate) given_up: Option<Time>,
    /// A byte has left.
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
            waits: true,
            ran: Ran::No,
            avoid: None,
        }
    }
}
