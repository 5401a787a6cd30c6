//! Deterministic simulation of a cell: VMs with disks, an unreliable network and a virtual clock.
//! Equal options and calls produce equal runs.
//!
//! An [`InvariantChecker`] checks every action. The first violation stops the run and is returned by
//! [`Simulation::result`]. The module requires the feature `sim`.

mod actions;
mod disk;
mod invariants;
mod membership;
mod network;
mod options;
mod simulation;
mod vm;

pub use disk::SimDisk;
pub use invariants::InvariantChecker;
pub use options::SimOptions;
pub use simulation::Simulation;
pub use simulation::member;
pub use vm::SimVm;
