//! The state as operators see it.

use serde_json::Value;
use serde_json::json;

use crate::scheduler::Scheduler;

/// Workers listed in one dump.
const MAX_DUMPED_WORKERS: usize = 2_000;

pub(crate) fn dump(s: &Scheduler) -> Value {
    let teams: Vec<Value> = s
        .teams
        .list
        .iter()
        .map(|t| {
            json!({
                "team": t.id,
                "allotment": t.allot,
                "used": t.used,
                "queued_need": t.queued,
                "queued_jobs": t.lanes.len(),
                "part": t.portion.fraction,
                "share_used": t.used.dominant(&s.fleet.total),
            })
        })
        .collect();
    let workers: Vec<Value> = s
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
    let reservation = s
        .reservation
        .as_ref()
        .map(|r| json!({ "job": r.job, "workers": r.workers.len(), "start": r.start }));
    json!({
        "active": s.active,
        "term": s.term,
        "jobs": s.jobs.len(),
        "queued_jobs": s.queued(),
        "attempts": s.attempts.len(),
        "unreported_workers": s.fleet.unreported_workers.len(),
        "capacity": s.fleet.total,
        "teams": teams,
        "workers": workers,
        "reservation": reservation,
        "counters": s.counters(),
    })
}
