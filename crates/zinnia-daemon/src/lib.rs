//! The cell daemon: serves callers, workers, operators and the other daemons of its cell.
//!
//! Decisions are made by state machines without I/O in `zinnia-raft`, `zinnia-cell`, `zinnia-sched`
//! and `zinnia-route`. This crate feeds them with messages and time, and performs the I/O that they
//! ask for. [`Daemon::start`] runs one daemon.
//!
//! # Terms
//!
//! - Cell: a group of VMs in several failure domains that replicate one Raft log. Each VM runs one
//!   daemon.
//! - Acting owner: the VM that schedules the jobs of a failure domain and owns its workers. It holds
//!   this role for a term.
//! - VM lease: the period after an answered ping during which a VM may act as acting owner. The leader
//!   of the log renews it.
//! - Isolation: the mode in which the acting owner of a failure domain without contact to the quorum
//!   keeps working for a limited period.
//! - Document: the versioned configuration of teams, job kinds and shifts, which operators edit.
//! - Allotment: the part of a team's limit that a failure domain may use.

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
pub mod silence;
pub mod telemetry;
pub mod traffic;
pub mod worker_command;

mod apply;
mod daemon;
mod data_folder;
mod http;
mod join;
mod leader;
mod proposals;
mod ticker;

pub use daemon::Daemon;
pub use settings::Settings;
