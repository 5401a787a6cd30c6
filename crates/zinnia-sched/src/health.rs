//! Quarantine of workers that fail what they start.

use std::collections::BTreeSet;

use zinnia_types::JobId;
use zinnia_types::Time;

use crate::settings::HealthSettings;

/// Jobs that a worker's record holds at most as failing by their own fault.
const MOST_UNFIT: usize = 1_024;

/// Health of one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Jobs that failed here since the last success, and nowhere else without a success.
    pub(crate) fails: BTreeSet<JobId>,
    /// Jobs that failed here while others succeeded; they fail by their own fault.
    unfit: BTreeSet<JobId>,
    /// Quarantines since the last success.
    pub(crate) rounds: u32,
    /// End of the current quarantine.
    pub(crate) until: Option<Time>,
    /// Whether it runs one task at a time until one succeeds.
    pub(crate) probing: bool,
}

impl Health {
    /// Whether a worker that runs `running` attempts may get another.
    pub(crate) fn is_open(&self, running: usize) -> bool {
        self.until.is_none() && (!self.probing || running == 0)
    }

    /// A task ended well. Returns whether this ends the quarantine.
    ///
    /// A run that began before the quarantine shows that the worker does not fail everything: runs
    /// that fail are often the shorter ones, so their ends come first.
    pub(crate) fn succeed(&mut self) -> bool {
        if self.unfit.len() >= MOST_UNFIT {
            self.unfit.clear();
        }
        self.unfit.append(&mut self.fails);
        self.rounds = 0;
        self.probing = false;
        self.until.take().is_some()
    }

    /// A task of `job` failed, of which `sound` tells whether it ended well elsewhere. Returns
    /// whether the worker should enter a quarantine.
    pub(crate) fn fail(&mut self, job: JobId, sound: bool, set: &HealthSettings) -> bool {
        if sound {
            self.unfit.remove(&job);
        }
        if self.unfit.contains(&job) {
            return false;
        }
        let new = self.fails.insert(job);
        // A probe that fails with a job that failed here before tells nothing new.
        let enough = if self.probing {
            new
        } else {
            self.fails.len() >= set.jobs
        };
        self.until.is_none() && enough
    }

    /// Enters a quarantine and returns its end. `lone` tells that no other worker could do the work.
    pub(crate) fn enter(&mut self, lone: bool, set: &HealthSettings, now: Time) -> Time {
        let wait = set.base.saturating_mul(1 << self.rounds.min(16));
        let wait = wait.min(if lone { set.lone } else { set.max });
        let until = now.after(wait);
        self.rounds += 1;
        self.until = Some(until);
        until
    }

    /// The failures of `job` were its own fault. Returns whether this ends the quarantine.
    pub(crate) fn forgive(&mut self, job: JobId, set: &HealthSettings) -> bool {
        if !self.fails.remove(&job) || self.until.is_none() || self.fails.len() >= set.jobs {
            return false;
        }
        self.rounds = self.rounds.saturating_sub(1);
        self.until = None;
        true
    }

    /// The quarantine is over: the next task is a probe.
    pub(crate) fn probe(&mut self) {
        self.until = None;
        self.probing = true;
    }
}
