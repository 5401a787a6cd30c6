//! Periodic wake-ups of the daemon's background tasks.

use std::time::Duration;

use tokio::time::Interval;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use crate::shared::Shared;

/// Ticks at an interval until the daemon shuts down; missed ticks are skipped.
pub(crate) struct Ticker {
    interval: Interval,
    shutdown: CancellationToken,
}

impl Ticker {
    /// Creates a ticker whose first tick completes immediately.
    pub(crate) fn new(shared: &Shared, period: Duration) -> Self {
        let mut interval = tokio::time::interval(period);
        interval.set_missed_tick_behavior(MissedTickBehavior::Skip);
        Self {
            interval,
            shutdown: shared.shutdown.clone(),
        }
    }

    /// Waits for the next tick; returns false once the daemon shuts down.
    pub(crate) async fn tick(&mut self) -> bool {
        let next = self.interval.tick();
        self.shutdown.run_until_cancelled(next).await.is_some()
    }
}
