//! Request routing decisions: admission, slots, retries and ejection.
//!
//! [`Router`] is a deterministic state machine: events go in, actions come out, and time is supplied
//! by the caller. The daemon performs the actions.

mod action;
mod budget;
mod call;
mod event;
mod fleet;
mod flow;
mod health;
mod policy;
mod queue;
mod router;
mod service;
mod settings;
mod team;

pub use action::Action;
pub use event::AttemptError;
pub use event::CallId;
pub use event::Event;
pub use policy::Load;
pub use policy::Policy;
pub use policy::Pressure;
pub use policy::View;
pub use router::Router;
pub use settings::EjectSettings;
pub use settings::QueueSettings;
pub use settings::RetrySettings;
pub use settings::Settings;
