//! Deterministic simulation of a cell: VMs with disks, a faulty network and a clock that the caller
//! moves. Equal options and calls give equal runs.
//!
//! A [`InvariantChecker`] examines every action; the first violation stops the run and stays in
//! [`Simulation::verdict`]. Built with the feature `sim` only.

mod disk;
mod invariants;
mod membership;
mod simulation;
mod vm;

pub use disk::SimDisk;
pub use invariants::InvariantChecker;
pub use simulation::SimOptions;
pub use simulation::Simulation;
pub use simulation::member;
pub use vm::SimVm;
