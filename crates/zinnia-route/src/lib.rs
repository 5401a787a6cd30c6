//! Request routing: admission control, load balancing, retries and outlier ejection.
//!
//! [`Router`] is a deterministic state machine without I/O: it turns events into actions, and the caller
//! supplies the time. The daemon performs the actions.

mod action;
mod call;
mod event;
mod health;
mod lifecycle;
mod policy;
mod queue;
mod retry_budget;
mod router;
mod service;
mod settings;
mod team;
mod workers;

pub use action::Action;
pub use event::AttemptError;
pub use event::CallId;
pub use event::Event;
pub use policy::AdmissionContext;
pub use policy::EndpointLoad;
pub use policy::EndpointLoads;
pub use policy::Policy;
pub use router::Router;
pub use settings::EjectionSettings;
pub use settings::QueueSettings;
pub use settings::RetrySettings;
pub use settings::Settings;
