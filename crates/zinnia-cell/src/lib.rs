//! Replicated state of a cell: documents, keys, limits, ownership and accepted jobs.
//!
//! A cell is a group of VMs in several failure domains that replicate one Raft log. Each domain
//! has an acting owner: the VM that currently schedules its tasks, usually a VM of the domain
//! itself. Each change of the acting owner starts a new term, which fences the previous owner.
//!
//! [`Cell`] is the state machine of the log. [`Cell::apply`] is deterministic: it reads no clock
//! and performs no I/O, so every VM that applies the same log holds the same state. Commands carry
//! a wall-clock timestamp where they need one.
//!
//! [`plan`](mod@plan) decides which membership and ownership changes the leader of the log
//! proposes. [`escrow`] decides how acting owners move parts of team limits between domains.

mod calls;
mod cell;
mod command;
mod digest;
mod documents;
mod dump;
pub mod escrow;
mod jobs;
mod keys;
mod limits;
mod members;
mod names;
pub mod plan;
mod reply;
mod retention;
mod rows;
mod silence;
mod view;

pub use calls::CallOutcome;
pub use cell::Cell;
pub use cell::RestoreError;
pub use command::Command;
pub use command::JobFilter;
pub use command::KeyRole;
pub use command::TaskEnd;
pub use command::TaskOutcome;
pub use command::Vm;
pub use digest::Digest;
pub use documents::DocumentVersion;
pub use documents::VersionStamp;
pub use jobs::EndedJob;
pub use jobs::JobState;
pub use jobs::LiveJob;
pub use keys::KeyError;
pub use keys::KeyGrant;
pub use keys::KeyHash;
pub use keys::KeyId;
pub use keys::WithdrawnDigest;
pub use limits::Allotment;
pub use members::Owner;
pub use plan::Contact;
pub use plan::Liveness;
pub use plan::Plan;
pub use plan::VoterReplacement;
pub use plan::hand_back_domains;
pub use plan::plan;
pub use reply::CallState;
pub use reply::Refusal;
pub use reply::Reply;
pub use retention::Retention;
pub use silence::LeaseChanges;
pub use silence::Silence;
