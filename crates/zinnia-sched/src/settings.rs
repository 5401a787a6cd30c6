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
    pub stretch: u64,
    /// Least time after which a job without a due time should start.
    pub patience_min: u64,
    /// Longest time after which a job without a due time should start; bounds its wait.
    pub patience_max: u64,
    /// A team must be short of its share for this long before others are preempted for it.
    pub reclaim_after: u64,
    /// Distance from the share below which nothing is preempted.
    pub reclaim_gap: f64,
    /// How long room made for an urgent task is kept for it.
    pub hold: u64,
    /// How long a capacity that no worker has any more still counts as one that may come back.
    pub fleet_grace: u64,
    /// How long an attempt without a known job may run before it is stopped.
    pub orphan_grace: u64,
    /// Least interval between two changes of a team's wanted amount.
    pub want_every: u64,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            stretch: 4,
            patience_min: 10_000,
            patience_max: 1_800_000,
            reclaim_after: 3_000,
            reclaim_gap: 0.005,
            hold: 10_000,
            fleet_grace: 60_000,
            orphan_grace: 60_000,
            want_every: 1_000,
        }
    }
}

/// Retries of failed tasks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// First delay; doubled with each failure of the task.
    pub base: u64,
    /// Longest delay.
    pub max: u64,
    /// Retries that a team may have in a burst.
    pub burst: u32,
    /// A team earns one retry in this time.
    pub earn: u64,
    /// A job that failed on this many healthy workers without any success is stopped.
    pub workers: usize,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            base: 500,
            max: 60_000,
            burst: 100,
            earn: 100,
            workers: 4,
        }
    }
}

/// Quarantine of workers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthSettings {
    /// Failures of this many distinct jobs in a row put a worker into quarantine.
    pub jobs: usize,
    /// First quarantine; doubled each time the probe fails.
    pub base: u64,
    /// Longest quarantine.
    pub max: u64,
    /// Longest quarantine while no other worker of the domain is in use: the work that waits has
    /// nowhere else to go.
    pub lone: u64,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            jobs: 3,
            base: 30_000,
            max: 1_800_000,
            lone: 5_000,
        }
    }
}
