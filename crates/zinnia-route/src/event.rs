//! Inputs of the router.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::ServiceId;
use zinnia_types::TeamId;
use zinnia_types::Time;
use zinnia_types::WorkerId;

/// One call within one VM. The caller of the router numbers its calls and never uses a number twice.
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
    /// A caller wants an answer. Its key has been checked.
    Call {
        /// Number of the call.
        id: CallId,
        /// Team that is charged.
        team: TeamId,
        /// Service that is called.
        service: ServiceId,
        /// Whether the call may run twice.
        repeat: bool,
        /// Without an answer by then, the call is refused.
        deadline: Time,
    },
    /// The first byte of a dispatched call is about to leave.
    Sent {
        /// The call.
        id: CallId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The whole answer of the worker arrived.
    Answered {
        /// The call.
        id: CallId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// A dispatch brought no answer to pass on.
    Failed {
        /// The call.
        id: CallId,
        /// Number of the attempt.
        attempt: u32,
        /// What happened.
        fault: Fault,
    },
    /// The caller has gone.
    Cancelled {
        /// The call.
        id: CallId,
    },
    /// A worker runs a service.
    Endpoint {
        /// The service.
        service: ServiceId,
        /// The worker.
        worker: WorkerId,
        /// Calls that the worker runs at the same time.
        slots: u32,
        /// Connections that the worker accepts.
        connections: u32,
    },
    /// An answer told how many calls of a service a worker held, the answered one included. To be given
    /// before [`Event::Answered`] or [`Event::Failed`] of that dispatch.
    Load {
        /// The service.
        service: ServiceId,
        /// The worker.
        worker: WorkerId,
        /// Calls that ran or waited there, of all VMs.
        held: u32,
    },
    /// A worker runs a service no longer.
    Withdrawn {
        /// The service.
        service: ServiceId,
        /// The worker.
        worker: WorkerId,
    },
    /// A worker is leaving: it gets nothing new until it was [`Event::Gone`].
    Leaving {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker is lost or has ended. What was sent to it is still answered or failed by events.
    Gone {
        /// The worker.
        worker: WorkerId,
    },
    /// Limits of a team, from the document.
    Team {
        /// The team.
        team: TeamId,
        /// Most calls in flight, waiting ones included.
        calls: u32,
        /// Weight against other teams; at least 1.
        share: u32,
    },
    /// No new call is admitted from now on; those in flight finish.
    Drain,
    /// Time has passed; due at [`crate::Router::wake`].
    Tick,
}

/// Why a dispatch brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// No byte was sent, for example because the connection was refused.
    NotSent,
    /// The worker refused the call before it ran, for lack of room.
    Busy,
    /// The connection broke after something was sent.
    Broken,
    /// The worker ran the call and answered with an error.
    Error,
}
