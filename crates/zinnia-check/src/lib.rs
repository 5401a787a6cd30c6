//! Checks the invariants of a cell against a record of observed events.
//!
//! Tests, scenario runners and the demo record what workers, callers and operators observe, in the
//! order of virtual time. [`check`] or a [`Checker`] then reports the first violated invariant,
//! with the events that led to the violation.

mod calls;
mod checker;
mod documents;
mod event;
mod invariant;
mod keys;
mod limits;
mod quorum_contact;
mod recorder;
mod settings;
mod tasks;
mod violation;
mod workers;

pub use checker::Checker;
pub use checker::check;
pub use event::Event;
pub use event::EventKind;
pub use invariant::Invariant;
pub use recorder::Recorder;
pub use settings::Settings;
pub use violation::Violation;
