//! Pluggable policies: placement, queue order and quotas of teams.

use std::collections::BTreeMap;

use zinnia_types::Class;
use zinnia_types::JobId;
use zinnia_types::RackId;
use zinnia_types::Resources;
use zinnia_types::Time;

use crate::fleet::Fleet;
use crate::settings::QueueSettings;

/// A task to be placed on a worker.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The job of the task.
    pub job: JobId,
    /// Slot of the team that owns the job.
    pub(crate) team: usize,
    /// Resources that the task needs.
    pub need: Resources,
    /// Class of the job: batch, gang or service.
    pub class: Class,
    /// Estimated end of the task; `None` if it has none.
    pub expected_end: Option<Time>,
    /// Slots of workers on which the job failed before.
    pub avoided_workers: &'a [usize],
    /// Number of running tasks of the job in each rack; only counted for services.
    pub rack_counts: &'a BTreeMap<RackId, u32>,
    /// Varies between requests, so that the search starts at different racks.
    pub spread_seed: u64,
}

/// A job to be ranked in its team's queue.
#[derive(Clone, Copy, Debug)]
pub struct QueuedJob {
    /// Due time in milliseconds since the Unix epoch.
    pub due_ms: Option<i64>,
    /// Time of acceptance in milliseconds since the Unix epoch.
    pub accepted_ms: i64,
    /// Estimated run time of a task in milliseconds.
    pub runtime_ms: u64,
    /// Arrival number at this scheduler.
    pub seq: u64,
    /// Whether it can no longer finish by its due time.
    pub late: bool,
}

/// A team's share, as input to [`SplitFn`].
#[derive(Clone, Copy, Debug)]
pub struct TeamShare {
    /// Share of the team in the document.
    pub share: u32,
    /// Sum of the shares of all teams.
    pub total_shares: u64,
    /// Number of teams.
    pub team_count: usize,
}

/// The capacity that a team is entitled to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Fraction of the total capacity, from 0 to 1.
    pub fraction: f64,
    /// Whether the team may also borrow capacity that other teams leave unused.
    pub may_borrow: bool,
}

/// Returns the slot of a worker for the task, or `None` if no worker accepts it.
pub type PlacementFn = Box<dyn Fn(&Fleet, &PlacementRequest<'_>) -> Option<usize> + Send>;
/// Returns the rank of a job in its team's queue; the lowest rank is served first.
pub type OrderFn = Box<dyn Fn(&QueuedJob, &QueueSettings) -> i64 + Send>;
/// Returns the quota of a team.
pub type SplitFn = Box<dyn Fn(&TeamShare) -> Quota + Send>;

/// The policies that a scheduler uses.
pub struct Policy {
    /// Placement of tasks on workers.
    pub place: PlacementFn,
    /// Order of the jobs in a team's queue.
    pub order: OrderFn,
    /// Split of the capacity between teams.
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
    /// First-fit placement, FIFO queues and an equal split, as a baseline for comparison.
    pub fn baseline() -> Self {
        Self {
            place: Box::new(crate::place::first_fit),
            order: Box::new(fifo),
            split: Box::new(equal_quota),
        }
    }
}

/// Ranks jobs by least slack: the latest start that still meets the due time. A job without a due
/// time gets one that grows with its run time, so that short jobs wait briefly and none waits
/// forever.
pub fn least_slack(job: &QueuedJob, settings: &QueueSettings) -> i64 {
    let run = i64::try_from(job.runtime_ms).unwrap_or(i64::MAX / 4);
    let max_delay = job
        .runtime_ms
        .saturating_mul(settings.max_stretch)
        .clamp(settings.min_wait, settings.max_wait);
    let max_delay = i64::try_from(max_delay).unwrap_or(i64::MAX / 4);
    match job.due_ms {
        // A job that cannot meet its due time is ranked after those that still can, but does not
        // wait forever.
        Some(due) if job.late => due.saturating_add(max_delay),
        // An extra half of the estimated run time allows for its variance.
        Some(due) => due.saturating_sub(run.saturating_add(run / 2)),
        None => job.accepted_ms.saturating_add(max_delay),
    }
}

/// Ranks jobs by arrival.
pub fn fifo(job: &QueuedJob, _: &QueueSettings) -> i64 {
    i64::try_from(job.seq).unwrap_or(i64::MAX)
}

/// Splits the capacity in proportion to the shares. Teams may borrow unused capacity.
pub fn weighted_quota(team: &TeamShare) -> Quota {
    Quota {
        fraction: f64::from(team.share) / (team.total_shares.max(1) as f64),
        may_borrow: true,
    }
}

/// Gives each team the same fixed fraction, without borrowing.
pub fn equal_quota(team: &TeamShare) -> Quota {
    Quota {
        fraction: 1.0 / (team.team_count.max(1) as f64),
        may_borrow: false,
    }
}
