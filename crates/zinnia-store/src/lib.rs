//! Durable storage of one VM: Raft journal, snapshot, identity and record files.
//!
//! A [`Store`] has exclusive access to one data folder. Writes are durable after a sync. After a
//! failed write or sync, the store rejects further writes, and the folder must be opened again. The
//! reopened store contains at least all synced writes.

mod disk;
mod error;
mod identity;
mod journal;
mod record;
mod records;
mod replay;
mod snapshot;
mod store;

pub use disk::DiskHook;
pub use disk::DiskOp;
pub use error::ErrorCause;
pub use error::StoreError;
pub use identity::Identity;
pub use records::RecordFile;
pub use store::Store;
pub use store::StoreCounters;
pub use store::StoreOptions;
