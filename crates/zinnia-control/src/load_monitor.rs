//! Measures how far the leader's own work is delayed, which decides on the intake of new jobs.
//!
//! The measure is the time by which a task wakes up later than it asked to: it grows with what waits for the
//! process's processor time, whatever the cause, and needs no accounting of the operating system. Each member
//! measures, so that the limit is known when it begins to lead; only the leader's limit has an effect.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use zinnia_replica::clock;

use crate::context::MemberContext;

/// Interval between two measurements.
const INTERVAL: Duration = Duration::from_millis(20);
/// Longest delay that one measurement counts with. A suspension of the process is no load.
const MAX_SAMPLE_MS: f64 = 400.0;
/// Weight of a measurement in the average. Single pauses, such as a slow disk, do not limit the intake.
const SAMPLE_WEIGHT: f64 = 1.0 / 8.0;
/// Interval between two reports while the intake is limited.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Measures until the process ends.
pub(crate) async fn run(context: Arc<MemberContext>) {
    let mut average_ms = 0.0;
    let mut was_limited = false;
    let mut last_report = Instant::now();
    loop {
        let started = Instant::now();
        tokio::time::sleep(INTERVAL).await;
        let delay_ms = started.elapsed().saturating_sub(INTERVAL).as_secs_f64() * 1e3;
        average_ms += (delay_ms.min(MAX_SAMPLE_MS) - average_ms) * SAMPLE_WEIGHT;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the average lies between 0 and the longest sample"
        )]
        let typical_ms = average_ms as u64;
        let limit = {
            let mut intake = context.intake();
            intake.record_delay(typical_ms, clock::now());
            intake.limit_per_s()
        };
        let is_due = last_report.elapsed() >= REPORT_INTERVAL;
        if is_due {
            last_report = Instant::now();
            metrics::gauge!("zinnia_leader_delay_ms").set(average_ms);
            metrics::gauge!("zinnia_intake_limit_per_s").set(limit.unwrap_or(0.0));
        }
        if limit.is_some() != was_limited || (is_due && limit.is_some()) {
            tracing::info!(
                event = "intake",
                limited = limit.is_some(),
                limit_per_s = limit,
                delay_ms = typical_ms,
                "intake of new jobs by the leader's own time"
            );
        }
        was_limited = limit.is_some();
    }
}
