//! Health tracking and quarantine of workers on which tasks fail.

use std::collections::BTreeSet;

use zinnia_types::JobId;
use zinnia_types::Time;

use crate::settings::HealthSettings;

/// Maximum number of jobs remembered per worker as failing by their own fault.
const MAX_FAULTY_JOBS: usize = 1_024;

/// Failure record of one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Jobs that failed on this worker since its last success and are not known to fail by their
    /// own fault.
    pub(crate) failed_jobs: BTreeSet<JobId>,
    /// Jobs that failed on this worker while other jobs succeeded, so the fault is taken to be
    /// theirs.
    faulty_jobs: BTreeSet<JobId>,
    /// Number of quarantines since the last success.
    pub(crate) quarantine_count: u32,
    /// End of the current quarantine.
    pub(crate) quarantined_until: Option<Time>,
    /// Whether it runs a single probe task at a time until one succeeds.
    pub(crate) probing: bool,
}

impl Health {
    /// Whether a worker that runs `running` attempts may take another one.
    pub(crate) fn allows_tasks(&self, running: usize) -> bool {
        self.quarantined_until.is_none() && (!self.probing || running == 0)
    }

    /// Records a successful task. Returns whether this ends the quarantine.
    ///
    /// A success ends the quarantine even if the run began before it, since it shows that not every
    /// task fails on the worker. Failing runs are often shorter, so their ends are reported first.
    pub(crate) fn record_success(&mut self) -> bool {
        if self.faulty_jobs.len() >= MAX_FAULTY_JOBS {
            self.faulty_jobs.clear();
        }
        self.faulty_jobs.append(&mut self.failed_jobs);
        self.quarantine_count = 0;
        self.probing = false;
        self.quarantined_until.take().is_some()
    }

    /// Records a failed task of `job`. `succeeded_elsewhere` tells whether the job succeeded on
    /// another worker. Returns whether to quarantine this worker.
    pub(crate) fn record_failure(
        &mut self,
        job: JobId,
        succeeded_elsewhere: bool,
        settings: &HealthSettings,
    ) -> bool {
        if succeeded_elsewhere {
            self.faulty_jobs.remove(&job);
        }
        if self.faulty_jobs.contains(&job) {
            return false;
        }
        let is_new_job = self.failed_jobs.insert(job);
        // If the probe is a job that already failed here, its failure gives no new evidence against
        // the worker.
        let enough = if self.probing {
            is_new_job
        } else {
            self.failed_jobs.len() >= settings.failed_jobs
        };
        self.quarantined_until.is_none() && enough
    }

    /// Starts a quarantine and returns its end. `is_only_worker` tells that no other worker of the
    /// failure domain is usable.
    pub(crate) fn enter_quarantine(
        &mut self,
        is_only_worker: bool,
        settings: &HealthSettings,
        now: Time,
    ) -> Time {
        let wait = settings
            .base_quarantine
            .saturating_mul(1 << self.quarantine_count.min(16));
        let wait = wait.min(if is_only_worker {
            settings.lone_quarantine
        } else {
            settings.max_quarantine
        });
        let until = now.after(wait);
        self.quarantine_count += 1;
        self.quarantined_until = Some(until);
        until
    }

    /// Discards failures of a job that turned out to be at fault itself. Returns whether this ends
    /// the quarantine.
    pub(crate) fn clear_failure(&mut self, job: JobId, settings: &HealthSettings) -> bool {
        if !self.failed_jobs.remove(&job)
            || self.quarantined_until.is_none()
            || self.failed_jobs.len() >= settings.failed_jobs
        {
            return false;
        }
        self.quarantine_count = self.quarantine_count.saturating_sub(1);
        self.quarantined_until = None;
        true
    }

    /// Ends the quarantine; the next task on the worker is a probe.
    pub(crate) fn start_probing(&mut self) {
        self.quarantined_until = None;
        self.probing = true;
    }
}
