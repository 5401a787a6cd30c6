//! The I/O shell of the replicated log: one thread that owns the store and steps the node.

pub mod clock;
mod replica;
mod thread;

pub use replica::ApplyFn;
pub use replica::Hooks;
pub use replica::ProposalOutcome;
pub use replica::ReopenFn;
pub use replica::Replica;
