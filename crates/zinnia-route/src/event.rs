//! Inputs of the router.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::ServiceId;
use zinnia_types::TeamId;
use zinnia_types::Time;
use zinnia_types::WorkerId;

/// Identifies a call within one VM. The user of the router assigns the ids and never reuses one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallId(pub u64);

impl fmt::Debug for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "call {}", self.0)
    }
}

/// Input of [`crate::Router::step`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A caller requests a call. Its key has already been checked.
    Call {
        /// Id of the call.
        id: CallId,
        /// Team that the call is charged to.
        team: TeamId,
        /// Requested service.
        service: ServiceId,
        /// Whether the call may be retried, so that it may run more than once.
        retryable: bool,
        /// Time at which the call is refused if it has no answer.
        deadline: Time,
    },
    /// The first byte of an attempt is about to be sent.
    Sent {
        /// Id of the call.
        id: CallId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The complete answer of the worker was received.
    Answered {
        /// Id of the call.
        id: CallId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt failed.
    Failed {
        /// Id of the call.
        id: CallId,
        /// Number of the attempt.
        attempt: u32,
        /// Cause.
        error: AttemptError,
    },
    /// The caller disconnected or cancelled the call.
    Cancelled {
        /// Id of the call.
        id: CallId,
    },
    /// A worker serves a service, or its limits for the service have changed.
    EndpointUpdated {
        /// The service.
        service: ServiceId,
        /// The worker.
        worker: WorkerId,
        /// Calls that the worker runs concurrently.
        slots: u32,
        /// Most concurrent connections that the worker accepts.
        max_connections: u32,
    },
    /// An answer reported how many calls of a service the worker had in flight, including the answered
    /// one. Must precede the [`Event::Answered`] or [`Event::Failed`] of that attempt.
    WorkerLoad {
        /// The service.
        service: ServiceId,
        /// The worker.
        worker: WorkerId,
        /// Running and queued calls at the worker, from all VMs.
        in_flight: u32,
    },
    /// A worker no longer serves a service.
    EndpointRemoved {
        /// The service.
        service: ServiceId,
        /// The worker.
        worker: WorkerId,
    },
    /// A worker is draining: it gets no new calls until [`Event::WorkerRemoved`].
    WorkerDraining {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker is lost or has shut down. Its open attempts still end by [`Event::Answered`] or
    /// [`Event::Failed`].
    WorkerRemoved {
        /// The worker.
        worker: WorkerId,
    },
    /// Limits of a team, from the document.
    TeamLimits {
        /// The team.
        team: TeamId,
        /// Most calls in flight, including queued ones.
        max_calls: u32,
        /// Weight of the team in the fair queue; at least 1.
        share: u32,
    },
    /// The router refuses new calls from now on; calls in flight finish.
    Drain,
    /// Time has passed; due at [`crate::Router::next_tick`].
    Tick,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptError {
    /// No byte was sent, for example because the connection was refused.
    NotSent,
    /// The worker rejected the call before running it because it was at capacity.
    Busy,
    /// The connection was lost after part of the request had been sent.
    #[serde(rename = "broken")]
    ConnectionLost,
    /// The worker ran the call and answered with an error.
    #[serde(rename = "error")]
    WorkerError,
}
