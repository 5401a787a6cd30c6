//! I/O shell of the replicated log: a thread that drives the Raft node, and one
//! that owns the store.

pub mod clock;
mod disk;
mod disk_thread;
mod replica;
mod thread;

pub use replica::ApplyFn;
pub use replica::Hooks;
pub use replica::ProposalOutcome;
pub use replica::ReopenFn;
pub use replica::Replica;
