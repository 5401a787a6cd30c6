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

type Granted = Vec<(String, String)>;

/// Calls to workers and to the outside policy.
#[derive(Clone)]
pub struct Port {
    /// Starts a run.
    pub start: Arc<dyn Fn(StartCall) -> PortFuture<Outcome> + Send + Sync>,
    /// Stops a run; whether the worker answered.
    pub stop: Arc<dyn Fn(Call) -> PortFuture<bool> + Send + Sync>,
    /// Asks for runs and renews the lease; `None` when no usable answer came.
    pub hold: Arc<dyn Fn(Hold) -> PortFuture<Option<Report>> + Send + Sync>,
    /// Asks the policy which of the workers may run a step; `None` when no usable answer came.
    pub advise: Arc<dyn Fn(StepId, Vec<String>) -> PortFuture<Option<Granted>> + Send + Sync>,
}

impl fmt::Debug for Port {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Port")
    }
}
