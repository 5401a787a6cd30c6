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
            self.checker_event_kind(record)
        })
    }

    /// Event records of all workers, stopped ones included, not sorted across workers.
    pub fn event_records(&self) -> Vec<EventRecord> {
        let handles = self.replaced_workers().chain(self.workers());
        handles.flat_map(zinnia_worker::Handle::records).collect()
    }

    /// Converts an event record to the kind of an event for the checker; `None` for calls.
    pub fn checker_event_kind(&self, record: EventRecord) -> Option<EventKind> {
        let graceful = self.was_shut_down_gracefully(record.worker);
        to_event_kind(record, &self.capacities, graceful)
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
    to_checker_events(records, limits, |record| {
        to_event_kind(record, capacities, false)
    })
}

fn to_checker_events(
    mut records: Vec<EventRecord>,
    limits: &BTreeMap<TeamId, Resources>,
    to_event_kind: impl Fn(EventRecord) -> Option<EventKind>,
) -> Vec<Event> {
    records.sort_by_key(|r| r.sequence);
    let start = records.first().map_or(0, |r| r.at.0);
    let limit_event = |(&team, &limit): (&TeamId, &Resources)| {
        Event::new(start, EventKind::Limit { team, limit })
    };
    let mut events: Vec<Event> = limits.iter().map(limit_event).collect();
    for record in records {
        let at = record.at.0;
        events.extend(to_event_kind(record).map(|kind| Event::new(at, kind)));
    }
    events
}

fn to_event_kind(
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
