//! Invariants of a cell, checked over a record of observed events.
//!
//! Tests, scenario runners and the demo append what workers, callers and operators saw, in the
//! order of virtual time, and [`check`] or a [`Checker`] names the first invariant that is
//! violated with the events that led to it.

mod calls;
mod checker;
mod documents;
mod event;
mod invariant;
mod keys;
mod limits;
mod reach;
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
