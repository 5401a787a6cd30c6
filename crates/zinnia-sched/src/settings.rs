//! Settings of the scheduler.

/// All settings, nested by topic. Durations are in milliseconds of virtual time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Settings {
    /// Seed of the jitter.
    pub seed: u64,
    /// Queue order and fairness.
    pub queue: QueueSettings,
    /// Retries.
    pub retry: RetrySettings,
    /// Quarantine of workers.
    pub health: HealthSettings,
}

/// Queue order and fairness.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueSettings {
    /// A job without a due time should start within this many of its run times.
    pub max_stretch: u64,
    /// Least time after which a job without a due time should start.
    pub min_wait: u64,
    /// Longest time after which a job without a due time should start; bounds its wait.
    pub max_wait: u64,
    /// A team must be short of its share for this long before others are preempted for it.
    pub reclaim_delay: u64,
    /// Distance from the share below which nothing is preempted.
    pub share_tolerance: f64,
    /// How long room made for an urgent task is kept for it.
    pub hold_timeout: u64,
    /// How long a capacity that no worker has any more still counts as one that may come back.
    pub shape_grace: u64,
    /// How long an attempt without a known job may run before it is stopped.
    pub orphan_grace: u64,
    /// Least interval between two changes of a team's wanted amount.
    pub want_interval: u64,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            max_stretch: 4,
            min_wait: 10_000,
            max_wait: 1_800_000,
            reclaim_delay: 3_000,
            share_tolerance: 0.005,
            hold_timeout: 10_000,
            shape_grace: 60_000,
            orphan_grace: 60_000,
            want_interval: 1_000,
        }
    }
}

/// Retries of failed tasks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// First delay; doubled with each failure of the task.
    pub base_delay: u64,
    /// Longest delay.
    pub max_delay: u64,
    /// Retries that a team may have in a burst.
    pub burst_size: u32,
    /// A team earns one retry in this time.
    pub refill_interval: u64,
    /// A job that failed on this many healthy workers without any success is stopped.
    pub failed_workers: usize,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            base_delay: 500,
            max_delay: 60_000,
            burst_size: 100,
            refill_interval: 100,
            failed_workers: 4,
        }
    }
}

/// Quarantine of workers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthSettings {
    /// Failures of this many distinct jobs in a row put a worker into quarantine.
    pub failed_jobs: usize,
    /// First quarantine; doubled each time the probe fails.
    pub base_quarantine: u64,
    /// Longest quarantine.
    pub max_quarantine: u64,
    /// Longest quarantine while no other worker of the domain is in use: the work that waits has
    /// nowhere else to go.
    pub lone_quarantine: u64,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            failed_jobs: 3,
            base_quarantine: 30_000,
            max_quarantine: 1_800_000,
            lone_quarantine: 5_000,
        }
    }
}
