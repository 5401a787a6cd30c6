//! Tests of the cell state machine, with scripted and with random commands.

#![expect(clippy::unwrap_used, reason = "a test fails at the first error")]

mod build;
mod config;
mod escrow;
mod limits;
mod plan;
mod random;
mod retention;
#[path = "../../examples/cell_escrow/rounds.rs"]
mod rounds;
mod silence;
mod work;
