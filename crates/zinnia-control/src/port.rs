//! The calls to workers and to the outside policy, which an adapter implements.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use zinnia_plan::Call;
use zinnia_plan::Hold;
use zinnia_plan::Outcome;
use zinnia_plan::Report;
use zinnia_plan::StartCall;
use zinnia_plan::StepId;

/// Future of a call through the port.
pub type PortFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Workers that may run a step, each with its ticket; `None` when no usable answer came.
pub type Granted = Option<Vec<(String, String)>>;
/// A call through the port.
pub type PortCall<Q, A> = Arc<dyn Fn(Q) -> PortFuture<A> + Send + Sync>;

/// Calls to workers and to the outside policy.
#[derive(Clone)]
pub struct Port {
    /// Starts a run.
    pub start: PortCall<StartCall, Outcome>,
    /// Stops a run; whether the worker answered.
    pub stop: PortCall<Call, bool>,
    /// Asks for runs and renews the lease; `None` when no usable answer came.
    pub hold: PortCall<Hold, Option<Report>>,
    /// Asks the policy which of the workers may run a step.
    pub advise: PortCall<(StepId, Vec<String>), Granted>,
}

impl fmt::Debug for Port {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Port")
    }
}
