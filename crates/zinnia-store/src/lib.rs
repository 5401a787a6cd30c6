//! Durable journal, snapshots and identity of one VM.
//!
//! A [`Store`] owns one data folder. Everything is durable only once synced; after any failed write
//! or sync the store refuses further writes, and the folder must be opened again, which goes back to
//! what was synced.

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
