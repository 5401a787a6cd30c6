//! Health of one worker and its ejection.

use zinnia_types::Time;

use crate::AttemptError;
use crate::EjectSettings;

/// Recent results of a worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    failures: u32,
    refused: u32,
    successes: u32,
    ejections: u32,
    /// End of the present or last ejection.
    pub(crate) until: Time,
    /// The worker was ejected and has not succeeded since: it gets one call at a time.
    pub(crate) proving: bool,
}

impl Health {
    pub(crate) fn is_ejected(&self, now: Time) -> bool {
        now < self.until
    }

    pub(crate) fn succeeded(&mut self, settings: &EjectSettings) {
        self.failures = 0;
        self.refused = 0;
        self.proving = false;
        self.successes = self.successes.saturating_add(1);
        if self.successes >= settings.calm {
            self.ejections = 0;
        }
    }

    /// Notes a failure. Returns whether the worker should be ejected.
    pub(crate) fn failed(&mut self, error: AttemptError, settings: &EjectSettings) -> bool {
        match error {
            // A full worker works.
            AttemptError::Busy => return false,
            AttemptError::NotSent => self.refused = self.refused.saturating_add(1),
            AttemptError::ConnectionLost | AttemptError::WorkerError => {}
        }
        self.failures = self.failures.saturating_add(1);
        self.successes = 0;
        self.proving || self.failures >= settings.failures || self.refused >= settings.refused
    }

    /// Ejects the worker, each time for twice as long.
    pub(crate) fn eject(&mut self, settings: &EjectSettings, now: Time) -> Time {
        let ms = settings
            .first_ms
            .saturating_mul(1 << self.ejections.min(20))
            .min(settings.limit_ms);
        self.ejections = self.ejections.saturating_add(1);
        self.failures = 0;
        self.refused = 0;
        self.proving = true;
        self.until = now.after(ms);
        self.until
    }
}
