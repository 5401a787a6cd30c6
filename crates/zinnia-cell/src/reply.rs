//! Answers to commands.

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

/// Answer to a [`Command`](crate::Command).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// Applied, or already so.
    Done,
    /// The document is accepted.
    Document {
        /// Its version, hash and request.
        stamp: VersionStamp,
        /// Whether this is the answer to a resend.
        repeated: bool,
    },
    /// The domain has this acting owner now.
    Owner(Owner),
    /// The domain holds this part of the team's limit now.
    Held(Allotment),
    /// The job is accepted.
    Accepted {
        /// Whether it was accepted before.
        repeated: bool,
    },
    /// Dispatch records of tasks not to be repeated.
    Dispatched {
        /// Tasks recorded by this command, which may now be started.
        fresh: Vec<u32>,
        /// Tasks that were recorded before, each with the term of the acting owner who did.
        known: Vec<(u32, u64)>,
    },
    /// Task ends.
    Ends {
        /// Ends recorded by this command.
        recorded: u32,
        /// Ends of tasks whose end was recorded before.
        known: u32,
        /// Ends of jobs that are not live, or of tasks they do not have.
        stray: u32,
    },
    /// The job has ended.
    Ended {
        /// How; the first recorded outcome.
        outcome: Outcome,
        /// Whether it had ended before.
        repeated: bool,
    },
    /// Jobs that this command marked as cancelled.
    Cancelled {
        /// The jobs, in order of id.
        jobs: Vec<JobId>,
    },
    /// A request that must not be repeated.
    Call(CallState),
    /// Nothing was changed.
    Refused(Refusal),
}

/// What the log knows about a request that must not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallState {
    /// Recorded by this command; it may now be dispatched.
    Fresh,
    /// Recorded before, and no outcome is known; it may have run.
    Unknown,
    /// Finished with this outcome.
    Finished(CallOutcome),
}

/// Why a command changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The log index was applied before.
    AlreadyApplied,
    /// Another edit won.
    DocumentConflict {
        /// The edit that replaced the version edited from, if still in the history.
        winner: Option<Box<VersionStamp>>,
        /// What is in force, if anything.
        current: Option<Box<VersionStamp>>,
    },
    /// The request id stands for other content.
    RequestReused,
    /// The document cannot be serialised.
    BadDocument,
    /// The id of a request or a call is empty or too long.
    BadId,
    /// The key id is granted with another hash or role.
    KeyConflict(KeyId),
    /// The key is withdrawn.
    KeyWithdrawn(KeyId),
    /// The key is not granted, or not for this team.
    KeyRefused(KeyId),
    /// An address is not of the form `ip:port`.
    BadAddress(String),
    /// No such VM.
    UnknownVm(VmId),
    /// The VM is acting owner of a domain.
    ActingOwner(DomainId),
    /// The term is not that of the domain's acting owner.
    StaleTerm {
        /// The acting owner, if any.
        owner: Option<Owner>,
    },
    /// The allotment has changed since the decision was made.
    StaleAllotment(Allotment),
    /// The pool has not that much left.
    OverLimit {
        /// What is left.
        free: Resources,
    },
    /// The allotments exceed a lowered limit; nothing can be taken until this is given back.
    Excess {
        /// By how much.
        excess: Resources,
    },
    /// The domain holds less than it wants to give.
    HoldsLess(Allotment),
    /// The document has no such team.
    UnknownTeam(TeamId),
    /// The job is not live.
    UnknownJob(JobId),
    /// The id stands for other content.
    JobConflict(JobId),
    /// The job has fewer tasks.
    UnknownTask(u32),
    /// The job belongs to another domain.
    OtherDomain(DomainId),
    /// The job is cancelled, so nothing more is started.
    JobCancelled(JobId),
    /// The job is pinned to its domain.
    Pinned,
    /// A task that must not be repeated is dispatched and has not ended.
    TaskDispatched(u32),
    /// No acting owner was ever set for the domain.
    UnknownDomain(DomainId),
    /// The call id stands for other content.
    CallConflict,
    /// No such call is recorded.
    UnknownCall,
    /// As many calls are recorded as the cell retains for the team.
    CallsFull,
}

impl Refusal {
    /// Machine-readable code for callers.
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
            Self::AlreadyApplied => write!(f, "this log entry was applied before"),
            Self::DocumentConflict { winner, current } => {
                write!(f, "another edit won")?;
                if let Some(stamp) = winner.as_ref().or(current.as_ref()) {
                    write!(f, ": {stamp}")?;
                }
                Ok(())
            }
            Self::RequestReused => write!(f, "the request id stands for other content"),
            Self::BadDocument => write!(f, "the document cannot be serialised"),
            Self::BadId => write!(f, "an id has 1 to 128 bytes"),
            Self::KeyConflict(id) => write!(f, "key {id} is granted with other content"),
            Self::KeyWithdrawn(id) => write!(f, "key {id} is withdrawn"),
            Self::KeyRefused(id) => write!(f, "key {id} does not open this team"),
            Self::BadAddress(text) => write!(f, "{text:?} is not of the form ip:port"),
            Self::UnknownVm(id) => write!(f, "no VM {id} in the cell"),
            Self::ActingOwner(domain) => write!(f, "the VM is acting owner of domain {domain}"),
            Self::StaleTerm { owner: Some(owner) } => {
                write!(
                    f,
                    "the acting owner is VM {} in term {}",
                    owner.vm, owner.term
                )
            }
            Self::StaleTerm { owner: None } => write!(f, "the domain has no acting owner"),
            Self::StaleAllotment(held) => {
                write!(
                    f,
                    "the allotment has changed at log index {}",
                    held.log_index
                )
            }
            Self::OverLimit { free } => write!(f, "the pool has only {free:?} left"),
            Self::Excess { excess } => write!(f, "allotments exceed the limit by {excess:?}"),
            Self::HoldsLess(held) => write!(f, "the domain holds only {:?}", held.amount),
            Self::UnknownTeam(team) => write!(f, "the document has no team {team}"),
            Self::UnknownJob(job) => write!(f, "job {job} is not live"),
            Self::JobConflict(job) => write!(f, "job {job} was accepted with other content"),
            Self::UnknownTask(task) => write!(f, "the job has no task {task}"),
            Self::OtherDomain(domain) => write!(f, "the job belongs to domain {domain}"),
            Self::JobCancelled(job) => write!(f, "job {job} is cancelled"),
            Self::Pinned => write!(f, "the job is pinned to its domain"),
            Self::TaskDispatched(task) => write!(f, "task {task} is dispatched and has not ended"),
            Self::UnknownDomain(domain) => write!(f, "domain {domain} never had an acting owner"),
            Self::CallConflict => write!(f, "the call id stands for another request"),
            Self::UnknownCall => write!(f, "no such call is recorded"),
            Self::CallsFull => write!(f, "the cell retains no more recorded calls of the team"),
        }
    }
}

impl std::error::Error for Refusal {}
