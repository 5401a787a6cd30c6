//! Outputs of the router.

use serde::Serialize;
use zinnia_types::Code;
use zinnia_types::ExecutionStatus;
use zinnia_types::Time;
use zinnia_types::WorkerId;

use crate::CallId;

/// Output of [`crate::Router::step`]. Each call ends with exactly one `Deliver` or `Refuse`, unless it was
/// cancelled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "action")]
pub enum Action {
    /// Send the request to a worker.
    Dispatch {
        /// The call.
        id: CallId,
        /// Number of the attempt within the call, from 1; the events of the attempt carry it as `attempt`.
        turn: u32,
        /// The worker.
        worker: WorkerId,
    },
    /// Pass the answer of this attempt on to the caller.
    Deliver {
        /// The call.
        id: CallId,
        /// Number of the attempt that was answered.
        turn: u32,
    },
    /// Refuse the call with an error.
    Refuse {
        /// The call.
        id: CallId,
        /// Error code.
        code: Code,
        /// Whether any attempt ran.
        ran: ExecutionStatus,
    },
    /// Abort an attempt whose call was refused or cancelled: close its connection, then report
    /// [`crate::Event::Failed`].
    Abandon {
        /// The call.
        id: CallId,
        /// Number of the attempt.
        turn: u32,
    },
    /// A worker gets no calls until this time because of repeated failures.
    Eject {
        /// The worker.
        worker: WorkerId,
        /// End of the ejection.
        until: Time,
    },
}
