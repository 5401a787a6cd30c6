//! Choices that can be exchanged: queue order, placement and the split between teams.

use std::collections::BTreeMap;

use zinnia_types::Class;
use zinnia_types::JobId;
use zinnia_types::RackId;
use zinnia_types::Resources;
use zinnia_types::Time;

use crate::fleet::Fleet;
use crate::settings::QueueSettings;

/// A task for which a worker is sought.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Its job.
    pub job: JobId,
    /// Slot of its team.
    pub(crate) team: usize,
    /// What it needs.
    pub need: Resources,
    /// Its placement policy.
    pub class: Class,
    /// When it should end by the estimate.
    pub expected_end: Option<Time>,
    /// Slots of workers on which the job failed.
    pub avoided_workers: &'a [usize],
    /// How many tasks of the job run in each rack; kept for services.
    pub rack_counts: &'a BTreeMap<RackId, u32>,
    /// Differs from request to request.
    pub spread_seed: u64,
}

/// A job for which a place in its team's queue is sought.
#[derive(Clone, Copy, Debug)]
pub struct QueuedJob {
    /// When it must be done, in milliseconds since the Unix epoch.
    pub due_ms: Option<i64>,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: i64,
    /// Learned run time of a task in milliseconds.
    pub runtime_ms: u64,
    /// OrderFn of arrival at this scheduler.
    pub seq: u64,
    /// Whether it can no longer be done in time.
    pub late: bool,
}

/// A team as the split sees it.
#[derive(Clone, Copy, Debug)]
pub struct TeamShare {
    /// Its share in the document.
    pub share: u32,
    /// Sum of the shares of all teams.
    pub total_shares: u64,
    /// Number of teams.
    pub team_count: usize,
}

/// What a team is entitled to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Part of the full cell that is the team's.
    pub fraction: f64,
    /// Whether it may also use what others leave unused.
    pub may_borrow: bool,
}

/// Finds a worker's slot for a task.
pub type PlacementFn = Box<dyn Fn(&Fleet, &PlacementRequest<'_>) -> Option<usize> + Send>;
/// Rank of a job in its team's queue; the lowest is first.
pub type OrderFn = Box<dyn Fn(&QueuedJob, &QueueSettings) -> i64 + Send>;
/// Quota of a team.
pub type SplitFn = Box<dyn Fn(&TeamShare) -> Quota + Send>;

/// The exchangeable choices.
pub struct Policy {
    /// Placement.
    pub place: PlacementFn,
    /// Queue order within a team.
    pub order: OrderFn,
    /// SplitFn of the cell between teams.
    pub split: SplitFn,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            place: Box::new(crate::place::best_fit),
            order: Box::new(least_slack),
            split: Box::new(weighted_quota),
        }
    }
}

impl Policy {
    /// First-fit placement, FIFO queue and equal split.
    pub fn baseline() -> Self {
        Self {
            place: Box::new(crate::place::first_fit),
            order: Box::new(fifo),
            split: Box::new(equal_quota),
        }
    }
}

/// By the latest start that is in time. A job without a due time gets one that grows with its run
/// time, so that short jobs wait little and none waits for ever.
pub fn least_slack(job: &QueuedJob, set: &QueueSettings) -> i64 {
    let run = i64::try_from(job.runtime_ms).unwrap_or(i64::MAX / 4);
    let patience = job
        .runtime_ms
        .saturating_mul(set.max_stretch)
        .clamp(set.min_wait, set.max_wait);
    let patience = i64::try_from(patience).unwrap_or(i64::MAX / 4);
    match job.due_ms {
        // A late job gives way to those that can still be in time, but not for ever.
        Some(due) if job.late => due.saturating_add(patience),
        // Half a run time more covers the spread of run times.
        Some(due) => due.saturating_sub(run.saturating_add(run / 2)),
        None => job.accepted_ms.saturating_add(patience),
    }
}

/// By arrival.
pub fn fifo(job: &QueuedJob, _: &QueueSettings) -> i64 {
    i64::try_from(job.seq).unwrap_or(i64::MAX)
}

/// By share, lending what is unused.
pub fn weighted_quota(team: &TeamShare) -> Quota {
    Quota {
        fraction: f64::from(team.share) / (team.total_shares.max(1) as f64),
        may_borrow: true,
    }
}

/// The same fixed part of the cell for each team, without lending.
pub fn equal_quota(team: &TeamShare) -> Quota {
    Quota {
        fraction: 1.0 / (team.team_count.max(1) as f64),
        may_borrow: false,
    }
}
