//! Quarantine of workers that fail what they start.

use std::collections::BTreeSet;

use zinnia_types::JobId;
use zinnia_types::Time;

use crate::settings::HealthSettings;

/// Jobs that a worker's record holds at most as failing by their own fault.
const MAX_FAULTY_JOBS: usize = 1_024;

/// Health of one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Jobs that failed here since the last success, and nowhere else without a success.
    pub(crate) failed_jobs: BTreeSet<JobId>,
    /// Jobs that failed here while others succeeded; they fail by their own fault.
    faulty_jobs: BTreeSet<JobId>,
    /// Quarantines since the last success.
    pub(crate) quarantine_count: u32,
    /// End of the current quarantine.
    pub(crate) quarantined_until: Option<Time>,
    /// Whether it runs one task at a time until one succeeds.
    pub(crate) probing: bool,
}

impl Health {
    /// Whether a worker that runs `running` attempts may get another.
    pub(crate) fn allows_tasks(&self, running: usize) -> bool {
        self.quarantined_until.is_none() && (!self.probing || running == 0)
    }

    /// A task ended well. Returns whether this ends the quarantine.
    ///
    /// A run that began before the quarantine shows that the worker does not fail everything: runs
    /// that fail are often the shorter ones, so their ends come first.
    pub(crate) fn record_success(&mut self) -> bool {
        if self.faulty_jobs.len() >= MAX_FAULTY_JOBS {
            self.faulty_jobs.clear();
        }
        self.faulty_jobs.append(&mut self.failed_jobs);
        self.quarantine_count = 0;
        self.probing = false;
        self.quarantined_until.take().is_some()
    }

    /// A task of `job` failed, of which `succeeded_elsewhere` tells whether it ended well elsewhere. Returns
    /// whether the worker should enter a quarantine.
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
        // A probe that fails with a job that failed here before tells nothing new.
        let enough = if self.probing {
            is_new_job
        } else {
            self.failed_jobs.len() >= settings.failed_jobs
        };
        self.quarantined_until.is_none() && enough
    }

    /// Enters a quarantine and returns its end. `is_only_worker` tells that no other worker could do the work.
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

    /// The failures of `job` were its own fault. Returns whether this ends the quarantine.
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

    /// The quarantine is over: the next task is a probe.
    pub(crate) fn start_probing(&mut self) {
        self.quarantined_until = None;
        self.probing = true;
    }
}
