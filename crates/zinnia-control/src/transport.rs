//! The calls to workers and to the outside policy, which an adapter implements.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use zinnia_plan::Poll;
use zinnia_plan::Report;
use zinnia_plan::RunOrder;
use zinnia_plan::StartOrder;
use zinnia_plan::StartOutcome;
use zinnia_plan::StepId;

/// Future of a call through the port.
pub type TransportFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Workers that may run a step, each with its ticket; `None` when no usable answer came.
pub type PolicyTickets = Option<Vec<(String, String)>>;
/// A call through the port.
pub type TransportCall<Q, A> = Arc<dyn Fn(Q) -> TransportFuture<A> + Send + Sync>;

/// Calls to workers and to the outside policy.
#[derive(Clone)]
pub struct Transport {
    /// Starts a run.
    pub start: TransportCall<StartOrder, StartOutcome>,
    /// Stops a run; whether the worker answered.
    pub stop: TransportCall<RunOrder, bool>,
    /// Asks for runs and renews the lease; `None` when no usable answer came.
    pub poll: TransportCall<Poll, Option<Report>>,
    /// Asks the policy which of the workers may run a step.
    pub query_policy: TransportCall<(StepId, Vec<String>), PolicyTickets>,
}

impl fmt::Debug for Transport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Port")
    }
}
