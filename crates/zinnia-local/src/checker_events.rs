//! Conversion of the event records of workers to events for the invariant checker.

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
    /// Events of all workers in the order in which they occurred, preceded by the limits of teams.
    ///
    /// Calls are omitted, because the checker takes those from the callers.
    pub fn checker_events(&self, limits: &BTreeMap<TeamId, Resources>) -> Vec<Event> {
        to_checker_events(self.event_records(), limits, |record| {
            self.checker_fact(record)
        })
    }

    /// Event records of all workers, stopped ones included, not sorted across workers.
    pub fn event_records(&self) -> Vec<EventRecord> {
        let handles = self.replaced_workers().chain(self.workers());
        handles.flat_map(zinnia_worker::Handle::records).collect()
    }

    /// Converts an event record to a fact for the checker; `None` for calls.
    pub fn checker_fact(&self, record: EventRecord) -> Option<EventKind> {
        let graceful = self.was_shut_down_gracefully(record.worker);
        to_fact(record, &self.capacities, graceful)
    }
}

/// Events of workers in the order in which they occurred, preceded by the limits of teams.
///
/// Every stop of a worker is reported as a kill, not as a graceful shutdown. Calls are omitted.
pub fn checker_events(
    records: Vec<EventRecord>,
    capacities: &BTreeMap<WorkerId, Resources>,
    limits: &BTreeMap<TeamId, Resources>,
) -> Vec<Event> {
    to_checker_events(records, limits, |record| to_fact(record, capacities, false))
}

fn to_checker_events(
    mut records: Vec<EventRecord>,
    limits: &BTreeMap<TeamId, Resources>,
    to_fact: impl Fn(EventRecord) -> Option<EventKind>,
) -> Vec<Event> {
    records.sort_by_key(|r| r.sequence);
    let start = records.first().map_or(0, |r| r.at.0);
    let limit_event =
        |(&team, &limit): (&TeamId, &Resources)| Event::new(start, EventKind::Limit { team, limit });
    let mut events: Vec<Event> = limits.iter().map(limit_event).collect();
    for record in records {
        let at = record.at.0;
        events.extend(to_fact(record).map(|fact| Event::new(at, fact)));
    }
    events
}

fn to_fact(
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
