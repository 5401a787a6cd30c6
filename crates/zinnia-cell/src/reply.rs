//! Replies to commands.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::Code;
use zinnia_types::DomainId;
use zinnia_types::JobId;
use zinnia_types::Outcome;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_types::VmId;

use crate::Allotment;
use crate::CallOutcome;
use crate::KeyId;
use crate::Owner;
use crate::VersionStamp;

/// Reply to a [`Command`](crate::Command).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The command was applied, or had no effect because its result was already in place.
    Done,
    /// The document was accepted.
    Document {
        /// Version stamp of the document.
        stamp: VersionStamp,
        /// Whether this is the reply to a resend.
        repeated: bool,
    },
    /// New acting owner of the domain.
    Owner(Owner),
    /// New allotment of the domain.
    Held(Allotment),
    /// The job was accepted.
    Accepted {
        /// Whether it had been accepted before.
        repeated: bool,
    },
    /// Dispatch records of non-repeatable tasks.
    Dispatched {
        /// Tasks recorded by this command, which may now start.
        fresh: Vec<u32>,
        /// Tasks that had been recorded before, each with the term of the acting owner that
        /// dispatched it; term 0 if the task ended without a dispatch record.
        known: Vec<(u32, u64)>,
    },
    /// Number of task outcomes by how they were handled.
    Ends {
        /// Outcomes recorded by this command.
        recorded: u32,
        /// Outcomes of tasks that already had one.
        known: u32,
        /// Outcomes that match no task of a live job.
        stray: u32,
    },
    /// The job has ended.
    Ended {
        /// The first recorded outcome.
        outcome: Outcome,
        /// Whether it had ended before.
        repeated: bool,
    },
    /// Jobs that this command marked as cancelled.
    Cancelled {
        /// Ids of the jobs, sorted.
        jobs: Vec<JobId>,
    },
    /// State of an at-most-once call.
    Call(CallState),
    /// The command was refused and changed nothing.
    Refused(Refusal),
}

/// State of an at-most-once call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallState {
    /// Recorded by this command; the call may now be dispatched.
    Fresh,
    /// Recorded before and without a known outcome; the call may have run.
    Unknown,
    /// Finished with this outcome.
    Finished(CallOutcome),
}

/// Reason why a command was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The log entry has already been applied.
    AlreadyApplied,
    /// The edit is not based on the version in force.
    DocumentConflict {
        /// Version that replaced the one on which the edit is based, if it is retained.
        winner: Option<Box<VersionStamp>>,
        /// Version in force, if there is one.
        current: Option<Box<VersionStamp>>,
    },
    /// The request id was used for another edit.
    RequestReused,
    /// The document cannot be serialised.
    BadDocument,
    /// The request id or call id is empty or too long.
    BadId,
    /// The key id has been granted with another hash or role.
    KeyConflict(KeyId),
    /// The key has been withdrawn.
    KeyWithdrawn(KeyId),
    /// The key has not been granted, or its role does not permit access to the team.
    KeyRefused(KeyId),
    /// The address is not of the form `ip:port`.
    BadAddress(String),
    /// The cell has no VM with this id.
    UnknownVm(VmId),
    /// The VM is the acting owner of this domain.
    ActingOwner(DomainId),
    /// The term is not the current term of the domain.
    StaleTerm {
        /// Current acting owner, if there is one.
        owner: Option<Owner>,
    },
    /// The allotment has changed since the proposer read it.
    StaleAllotment(Allotment),
    /// The unallotted part of the limit is smaller than the requested amount.
    OverLimit {
        /// Unallotted part of the limit.
        free: Resources,
    },
    /// The allotments exceed the limit; nothing can be taken until the excess is given back.
    Excess {
        /// Amount by which they exceed the limit.
        excess: Resources,
    },
    /// The allotment is smaller than the amount to give back.
    HoldsLess(Allotment),
    /// The document has no team of this name.
    UnknownTeam(TeamId),
    /// The job is not live.
    UnknownJob(JobId),
    /// The job id was accepted for another request.
    JobConflict(JobId),
    /// The job has no task with this index.
    UnknownTask(u32),
    /// The job is assigned to another domain.
    OtherDomain(DomainId),
    /// The job has been cancelled, so none of its tasks may start.
    JobCancelled(JobId),
    /// The job is pinned to its domain.
    Pinned,
    /// A non-repeatable task has been dispatched and has not ended.
    TaskDispatched(u32),
    /// The domain never had an acting owner.
    UnknownDomain(DomainId),
    /// The call id was used for another request.
    CallConflict,
    /// No call with this id is recorded.
    UnknownCall,
    /// The team has reached the number of recorded calls that the cell retains for it.
    CallsFull,
}

impl Refusal {
    /// Machine-readable error code for callers.
    pub fn code(&self) -> Code {
        match self {
            Self::DocumentConflict { .. }
            | Self::RequestReused
            | Self::KeyConflict(_)
            | Self::ActingOwner(_)
            | Self::StaleAllotment(_)
            | Self::JobConflict(_)
            | Self::JobCancelled(_)
            | Self::TaskDispatched(_)
            | Self::CallConflict => Code::Conflict,
            Self::BadDocument
            | Self::BadId
            | Self::BadAddress(_)
            | Self::UnknownTask(_)
            | Self::Pinned => Code::BadRequest,
            Self::KeyWithdrawn(_) | Self::KeyRefused(_) => Code::KeyRefused,
            Self::StaleTerm { .. } | Self::OtherDomain(_) => Code::StaleEpoch,
            Self::OverLimit { .. } | Self::Excess { .. } | Self::HoldsLess(_) => Code::OverLimit,
            Self::UnknownVm(_)
            | Self::UnknownTeam(_)
            | Self::UnknownJob(_)
            | Self::UnknownDomain(_)
            | Self::UnknownCall => Code::NotFound,
            Self::CallsFull => Code::Overloaded,
            Self::AlreadyApplied => Code::Internal,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AlreadyApplied => write!(f, "the log entry has already been applied"),
            Self::DocumentConflict { winner, current } => {
                write!(f, "another edit was applied first")?;
                if let Some(stamp) = winner.as_ref().or(current.as_ref()) {
                    write!(f, ": {stamp}")?;
                }
                Ok(())
            }
            Self::RequestReused => write!(f, "the request id was used for another edit"),
            Self::BadDocument => write!(f, "the document cannot be serialised"),
            Self::BadId => write!(f, "the id must have 1 to 128 bytes"),
            Self::KeyConflict(id) => {
                write!(f, "key {id} has been granted with another hash or role")
            }
            Self::KeyWithdrawn(id) => write!(f, "key {id} is withdrawn"),
            Self::KeyRefused(id) => write!(f, "key {id} gives no access to this team"),
            Self::BadAddress(text) => write!(f, "{text:?} is not of the form ip:port"),
            Self::UnknownVm(id) => write!(f, "the cell has no VM {id}"),
            Self::ActingOwner(domain) => write!(f, "the VM is the acting owner of domain {domain}"),
            Self::StaleTerm { owner: Some(owner) } => {
                write!(
                    f,
                    "the acting owner is VM {} in term {}",
                    owner.vm, owner.term
                )
            }
            Self::StaleTerm { owner: None } => write!(f, "the domain has no acting owner"),
            Self::StaleAllotment(allotment) => {
                write!(
                    f,
                    "the allotment has changed at log index {}",
                    allotment.log_index
                )
            }
            Self::OverLimit { free } => write!(f, "only {free:?} of the limit is unallotted"),
            Self::Excess { excess } => write!(f, "the allotments exceed the limit by {excess:?}"),
            Self::HoldsLess(allotment) => write!(
                f,
                "the allotment of the domain is only {:?}",
                allotment.amount
            ),
            Self::UnknownTeam(team) => write!(f, "the document has no team {team}"),
            Self::UnknownJob(job) => write!(f, "job {job} is not live"),
            Self::JobConflict(job) => write!(f, "job {job} was accepted for another request"),
            Self::UnknownTask(task) => write!(f, "the job has no task {task}"),
            Self::OtherDomain(domain) => write!(f, "the job is assigned to domain {domain}"),
            Self::JobCancelled(job) => write!(f, "job {job} is cancelled"),
            Self::Pinned => write!(f, "the job is pinned to its domain"),
            Self::TaskDispatched(task) => {
                write!(f, "task {task} has been dispatched and has not ended")
            }
            Self::UnknownDomain(domain) => write!(f, "domain {domain} never had an acting owner"),
            Self::CallConflict => write!(f, "the call id was used for another request"),
            Self::UnknownCall => write!(f, "no call with this id is recorded"),
            Self::CallsFull => write!(f, "the team has reached its number of recorded calls"),
        }
    }
}

impl std::error::Error for Refusal {}
