//! Command-line tool for operators and submitters, with a self-contained demo.
//!
//! The tool sends requests to a cell: a cluster of daemons on VMs, which schedules jobs on workers.
//! [`run`] takes the command line and the output streams as arguments, so that tests can call it in
//! process.

mod api;
mod args;
mod call;
mod client;
mod config;
mod demo;
mod failure;
mod jobs;
mod keys;
mod output;
mod request_id;
mod run;
mod views;

pub use failure::Failure;
pub use run::run;
