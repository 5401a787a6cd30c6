//! Data types that the crates of a cell share: identifiers, resources, the configuration document,
//! jobs, error bodies and the messages between workers and daemons.
//!
//! The types validate their data and do no I/O. The crate depends on no other crate of the
//! workspace.

mod document;
mod error;
mod id;
mod job;
mod jsonc;
mod lease;
mod name;
mod resources;
mod shift;
mod time;
pub mod worker;

pub use document::Document;
pub use document::Kind;
pub use document::Team;
pub use document::ValidationError;
pub use error::Code;
pub use error::ErrorBody;
pub use error::ExecutionStatus;
pub use id::AttemptId;
pub use id::Epoch;
pub use id::JobId;
pub use id::VmId;
pub use job::Class;
pub use job::Job;
pub use job::JobRequest;
pub use job::Outcome;
pub use job::Urgency;
pub use jsonc::JsoncError;
pub use jsonc::parse_jsonc;
pub use lease::LeaseSettings;
pub use name::DomainId;
pub use name::Name;
pub use name::NameError;
pub use name::RackId;
pub use name::ServiceId;
pub use name::TeamId;
pub use name::WorkerId;
pub use resources::Resources;
pub use shift::Day;
pub use shift::Shift;
pub use time::Time;
