//! Settings of the scheduler.

/// All scheduler settings by topic. Durations are in milliseconds of virtual time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Settings {
    /// Seed of the random numbers used for jitter.
    pub seed: u64,
    /// Settings of queue order, preemption and fairness.
    pub queue: QueueSettings,
    /// Settings of task retries.
    pub retry: RetrySettings,
    /// Settings of the quarantine of workers.
    pub health: HealthSettings,
}

/// Settings of queue order, preemption and fairness.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueSettings {
    /// A job without a due time should start within this many times its run time.
    pub max_stretch: u64,
    /// Lower bound of the time within which a job without a due time should start.
    pub min_wait: u64,
    /// Upper bound of the time within which a job without a due time should start. It limits how
    /// long such a job waits.
    pub max_wait: u64,
    /// How long a team must be below its share before attempts of other teams are checkpointed for
    /// it.
    pub reclaim_delay: u64,
    /// A team that is below its share by no more than this fraction of the total capacity does not
    /// cause preemption.
    pub share_tolerance: f64,
    /// How long capacity freed by preemption is held for its job or team.
    pub hold_timeout: u64,
    /// How long the capacity of a lost worker still counts as one that may come back, when no owned
    /// worker has the same capacity.
    pub shape_grace: u64,
    /// How long an attempt whose job is unknown may run before it is stopped.
    pub orphan_grace: u64,
    /// Minimum interval between two announcements of the amount that a team could use.
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

/// Settings of the retries of failed tasks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Delay before the first retry; doubled with each failure of the task.
    pub base_delay: u64,
    /// Maximum delay before a retry.
    pub max_delay: u64,
    /// Capacity of a team's retry token bucket.
    pub burst_size: u32,
    /// Interval at which a team's token bucket gains one retry.
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

/// Settings of the quarantine of workers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthSettings {
    /// Number of distinct jobs that must fail on a worker without a success before it is
    /// quarantined.
    pub failed_jobs: usize,
    /// Duration of the first quarantine; doubled each time the probe fails.
    pub base_quarantine: u64,
    /// Maximum duration of a quarantine.
    pub max_quarantine: u64,
    /// Maximum duration of a quarantine while no other worker of the failure domain is usable,
    /// since the queued jobs cannot run elsewhere.
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
