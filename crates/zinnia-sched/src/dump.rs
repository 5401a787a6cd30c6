//! The scheduler state as JSON for operators.

use serde_json::Value;
use serde_json::json;

use crate::scheduler::Scheduler;

/// Maximum number of workers listed in one dump.
const MAX_DUMPED_WORKERS: usize = 2_000;

pub(crate) fn dump(scheduler: &Scheduler) -> Value {
    let teams: Vec<Value> = scheduler
        .teams
        .list
        .iter()
        .map(|t| {
            json!({
                "team": t.id,
                "allotment": t.allotment,
                "used": t.used,
                "queued_need": t.queued_need,
                "queued_jobs": t.queue.len(),
                "part": t.quota.fraction,
                "share_used": t.used.dominant_share(&scheduler.fleet.total),
            })
        })
        .collect();
    let workers: Vec<Value> = scheduler
        .fleet
        .workers
        .iter()
        .filter(|w| w.owned)
        .take(MAX_DUMPED_WORKERS)
        .map(|w| {
            json!({
                "worker": w.id,
                "rack": w.rack,
                "epoch": w.epoch,
                "capacity": w.capacity,
                "used": w.used,
                "attempts": w.attempts.len(),
                "silent": w.silent,
                "leaving": w.leaving,
                "quarantined": w.health.quarantined_until,
                "probing": w.health.probing,
                "held_for": w.hold.map(|h| h.holder),
            })
        })
        .collect();
    let reservation = scheduler
        .reservation
        .as_ref()
        .map(|r| json!({ "job": r.job, "workers": r.workers.len(), "start": r.start }));
    json!({
        "active": scheduler.active,
        "term": scheduler.term,
        "jobs": scheduler.jobs.len(),
        "queued_jobs": scheduler.queued(),
        "attempts": scheduler.attempts.len(),
        "unreported_workers": scheduler.fleet.unreported_workers.len(),
        "capacity": scheduler.fleet.total,
        "teams": teams,
        "workers": workers,
        "reservation": reservation,
        "counters": scheduler.counters(),
    })
}
