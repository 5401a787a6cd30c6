//! Interface to the workers and the placement policy, implemented by the application.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use zinnia_plan::Poll;
use zinnia_plan::PollAnswer;
use zinnia_plan::RunOrder;
use zinnia_plan::StartOrder;
use zinnia_plan::StartOutcome;
use zinnia_plan::StepId;

/// Future of a call to a worker or to the policy.
pub type TransportFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Workers that may run a step, with their tickets; `None` without a valid answer.
pub type PolicyTickets = Option<Vec<(String, String)>>;
/// Function that makes a call to a worker or to the policy.
pub type TransportCall<Q, A> = Arc<dyn Fn(Q) -> TransportFuture<A> + Send + Sync>;

/// Functions that make the calls to workers and to the placement policy.
#[derive(Clone)]
pub struct Transport {
    /// Starts a run.
    pub start: TransportCall<StartOrder, StartOutcome>,
    /// Stops a run; returns whether the worker answered.
    pub stop: TransportCall<RunOrder, bool>,
    /// Polls a worker for its runs and renews its lease.
    pub poll: TransportCall<Poll, PollAnswer>,
    /// Queries the policy for the workers that may run a step.
    pub query_policy: TransportCall<(StepId, Vec<String>), PolicyTickets>,
}

impl fmt::Debug for Transport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Transport")
    }
}
