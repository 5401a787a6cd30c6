//! The cell daemon: serves callers, workers, operators and peers.
//!
//! The decisions are made by the cores below (`zinnia-raft`, `zinnia-cell`, `zinnia-sched`,
//! `zinnia-route`); this crate performs the I/O. [`Daemon::start`] runs one daemon.

pub mod acting;
pub mod authority;
pub mod counted;
pub mod endpoints;
pub mod engine;
pub mod journal;
pub mod owned;
pub mod peers;
pub mod push;
pub mod reject;
pub mod routing;
pub mod settings;
pub mod shared;
pub mod telemetry;

mod apply;
mod daemon;
mod flush;
mod http;
mod join;
mod lead;
mod ticker;

pub use daemon::Daemon;
pub use settings::Settings;
