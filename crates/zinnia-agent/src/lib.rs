//! Worker agent: finds an owner for the worker, holds its leases and admits, stops and fences tasks.
//!
//! [`Agent`] is a deterministic state machine without I/O. The caller passes in events with the
//! current time and performs the returned actions. `zinnia-worker` is such a caller.

mod action;
mod agent;
mod command;
mod event;
mod jitter;
mod owner;
mod report_queue;
mod search;
mod settings;
mod tasks;
mod tombstones;

pub use action::Action;
pub use action::ControlReply;
pub use action::Message;
pub use action::Reply;
pub use agent::Agent;
pub use event::Command;
pub use event::Event;
pub use event::SendOutcome;
pub use settings::ReportSettings;
pub use settings::SearchSettings;
pub use settings::Settings;
pub use settings::TombstoneSettings;
