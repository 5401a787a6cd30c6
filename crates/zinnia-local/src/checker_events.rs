//! What workers saw, as facts for the invariant checker.

use std::collections::BTreeMap;

use zinnia_check::Event;
use zinnia_check::EventKind;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_types::WorkerId;
use zinnia_worker::EventRecord;
use zinnia_worker::WorkerEvent;

use crate::Cell;

impl Cell {
    /// The record of all workers in order of time, after the limits of the teams in force.
    ///
    /// Calls are left out: callers add what they saw themselves.
    pub fn checker_events(&self, limits: &BTreeMap<TeamId, Resources>) -> Vec<Event> {
        collect(self.event_records(), limits, |record| {
            self.checker_fact(record)
        })
    }

    /// What all workers observed, those that were ended included; in no order.
    pub fn event_records(&self) -> Vec<EventRecord> {
        let all = self.retired().chain(self.workers());
        all.flat_map(zinnia_worker::Handle::records).collect()
    }

    /// The fact that an observation shows; none for calls.
    pub fn checker_fact(&self, record: EventRecord) -> Option<EventKind> {
        let graceful = self.is_graceful(record.worker);
        fact(record, &self.capacities, graceful)
    }
}

/// Records of workers in order of time, after the limits of the teams in force; every worker counts
/// as killed at its end.
pub fn checker_events(
    records: Vec<EventRecord>,
    capacities: &BTreeMap<WorkerId, Resources>,
    limits: &BTreeMap<TeamId, Resources>,
) -> Vec<Event> {
    collect(records, limits, |record| fact(record, capacities, false))
}

fn collect(
    mut records: Vec<EventRecord>,
    limits: &BTreeMap<TeamId, Resources>,
    fact: impl Fn(EventRecord) -> Option<EventKind>,
) -> Vec<Event> {
    records.sort_by_key(|r| r.sequence);
    let first = records.first().map_or(0, |r| r.at.0);
    let limit = |(&team, &limit): (&TeamId, &Resources)| {
        Event::new(first, EventKind::Limit { team, limit })
    };
    let mut events: Vec<Event> = limits.iter().map(limit).collect();
    for record in records {
        let at = record.at.0;
        events.extend(fact(record).map(|fact| Event::new(at, fact)));
    }
    events
}

fn fact(
    record: EventRecord,
    capacities: &BTreeMap<WorkerId, Resources>,
    graceful: bool,
) -> Option<EventKind> {
    let worker = record.worker;
    match record.event {
        WorkerEvent::Up { .. } => Some(EventKind::WorkerUp {
            worker,
            capacity: capacities.get(&worker).copied().unwrap_or_default(),
        }),
        WorkerEvent::Down => Some(EventKind::WorkerDown { worker, graceful }),
        WorkerEvent::Started {
            attempt,
            team,
            need,
            repeat,
        } => Some(EventKind::Started {
            worker,
            attempt,
            team,
            need,
            repeat,
        }),
        WorkerEvent::Ended { attempt, .. } => Some(EventKind::Ended { worker, attempt }),
        WorkerEvent::Called { .. } | WorkerEvent::Served { .. } => None,
    }
}
