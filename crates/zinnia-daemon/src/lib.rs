//! The cell daemon: serves callers, workers, operators and the other daemons of its cell.
//!
//! Decisions are made by state machines without I/O in `zinnia-raft`, `zinnia-cell`, `zinnia-sched`
//! and `zinnia-route`. This crate feeds them with messages and time, and performs the I/O that they
//! ask for. [`Daemon::start`] runs one daemon.

pub mod api_error;
pub mod authority;
pub mod call_router;
pub mod domain_scheduler;
pub mod endpoints;
pub mod engine;
pub mod journal;
pub mod owned_worker;
pub mod peers;
pub mod settings;
pub mod shared;
pub mod telemetry;
pub mod traffic;
pub mod worker_command;

mod apply;
mod daemon;
mod http;
mod join;
mod leader;
mod proposals;
mod ticker;

pub use daemon::Daemon;
pub use settings::Settings;
