//! Outlier detection: consecutive failures of a worker and its ejection.

use zinnia_types::Time;

use crate::AttemptError;
use crate::EjectionSettings;

/// Recent results of the calls to a worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    /// Consecutive failures, also by refused connections.
    failures: u32,
    /// Refused connections since the last success.
    refused_connections: u32,
    /// Consecutive successes.
    successes: u32,
    /// Ejections, reset after enough consecutive successes.
    ejections: u32,
    /// End of the current or last ejection.
    pub(crate) ejected_until: Time,
    /// The worker was ejected and no call has succeeded since, so it gets one call at a time.
    pub(crate) half_open: bool,
}

impl Health {
    pub(crate) fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    pub(crate) fn record_success(&mut self, settings: &EjectionSettings) {
        self.failures = 0;
        self.refused_connections = 0;
        self.half_open = false;
        self.successes = self.successes.saturating_add(1);
        if self.successes >= settings.reset_successes {
            self.ejections = 0;
        }
    }

    /// Records a failure. Returns whether the worker should be ejected.
    pub(crate) fn record_failure(
        &mut self,
        error: AttemptError,
        settings: &EjectionSettings,
    ) -> bool {
        match error {
            // A worker at capacity is healthy.
            AttemptError::Busy => return false,
            AttemptError::NotSent => {
                self.refused_connections = self.refused_connections.saturating_add(1);
            }
            AttemptError::ConnectionLost | AttemptError::WorkerError => {}
        }
        self.failures = self.failures.saturating_add(1);
        self.successes = 0;
        self.half_open
            || self.failures >= settings.failures
            || self.refused_connections >= settings.refused_connections
    }

    /// Ejects the worker, for twice as long as the last time, and returns the end of the ejection.
    pub(crate) fn eject(&mut self, settings: &EjectionSettings, now: Time) -> Time {
        let duration_ms = settings
            .base_ms
            .saturating_mul(1 << self.ejections.min(20))
            .min(settings.max_ms);
        self.ejections = self.ejections.saturating_add(1);
        self.failures = 0;
        self.refused_connections = 0;
        self.half_open = true;
        self.ejected_until = now.after(duration_ms);
        self.ejected_until
    }
}
