//! I/O shell of the replicated log: a thread that owns the store and drives the Raft node.

pub mod clock;
mod replica;
mod thread;

pub use replica::ApplyFn;
pub use replica::Hooks;
pub use replica::ProposalOutcome;
pub use replica::ReopenFn;
pub use replica::Replica;
