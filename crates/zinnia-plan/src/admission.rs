//! Decides whether the leader accepts a new job.
//!
//! The decision answers the load of jobs that exceed the capacity of the workers, or the limit of
//! their team, for so long that they would be of no use when they end.

use crate::Backlog;
use crate::Document;
use crate::JobSpec;
use crate::Queue;

/// Limits of what the leader accepts.
#[derive(Clone, Debug)]
pub struct AdmissionSettings {
    /// Jobs that have not ended above which new jobs are refused.
    pub max_live_jobs: usize,
    /// Shortest and longest delay in milliseconds after which a refused caller may try again.
    pub retry_after_ms: (u64, u64),
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            max_live_jobs: 10_000,
            retry_after_ms: (1_000, 30_000),
        }
    }
}

/// Load of the leader when it decides on a new job.
#[derive(Clone, Copy, Debug)]
pub struct Load<'a> {
    /// Number of jobs that have not ended.
    pub live_jobs: usize,
    /// Work that waits in front of the workers.
    pub backlog: &'a Backlog,
}

/// Why a new job is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// There are too many jobs that have not ended.
    TooManyJobs,
    /// The job would end too late to be of use.
    Backlog,
    /// The leader is asked to take in more than it can start and end in its own time, and the team more than its
    /// share of that.
    LeaderTime,
}

impl RefusalReason {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::TooManyJobs => "too_many_jobs",
            Self::Backlog => "backlog",
            Self::LeaderTime => "leader_time",
        }
    }
}

/// Refusal of a new job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the job is refused.
    pub reason: RefusalReason,
    /// When the caller may try again.
    pub retry_after_ms: u64,
}

/// Returns the refusal of a job that exceeds its team's share of the intake for `retry_after_ms`.
pub fn intake_refusal(settings: &AdmissionSettings, retry_after_ms: u64) -> Refusal {
    let (min_ms, max_ms) = settings.retry_after_ms;
    Refusal {
        reason: RefusalReason::LeaderTime,
        retry_after_ms: retry_after_ms.clamp(min_ms, max_ms),
    }
}

/// Returns why a new job is refused, or `None` to accept it.
pub fn refuse_job(
    settings: &AdmissionSettings,
    load: Load<'_>,
    document: &Document,
    queue: &Queue,
    team: &str,
    spec: &JobSpec,
) -> Option<Refusal> {
    let (min_ms, max_ms) = settings.retry_after_ms;
    let refusal = |reason, retry_after_ms: u64| {
        Some(Refusal {
            reason,
            retry_after_ms: retry_after_ms.clamp(min_ms, max_ms),
        })
    };
    if load.live_jobs >= settings.max_live_jobs {
        return refusal(RefusalReason::TooManyJobs, min_ms);
    }
    let limit_ms = wait_limit_ms(queue, spec);
    let excess_ms = load.backlog.excess_ms(document, queue, team, limit_ms);
    if excess_ms > 0 {
        return refusal(RefusalReason::Backlog, excess_ms);
    }
    None
}

/// Longest estimated wait with which a job is accepted: half of the time that it may wait before it
/// expires. Run times are rough estimates, some runs fail and are repeated, and running tasks delay
/// the first starts.
fn wait_limit_ms(queue: &Queue, spec: &JobSpec) -> u64 {
    queue.expiry_ms(spec).saturating_sub(spec.estimate_ms()) / 2
}
