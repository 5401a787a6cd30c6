//! Event log of a scenario: the observations of workers, callers and VMs in one order.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::Instant;
use zinnia_check::Event;
use zinnia_check::EventKind;
use zinnia_local::Cell;
use zinnia_types::ExecutionStatus;
use zinnia_types::VmId;
use zinnia_types::WorkerId;
use zinnia_worker::WorkerEvent;

/// Maximum wait for the callers of a VM that has stopped.
const CALLERS_TIMEOUT: Duration = Duration::from_secs(5);

/// Observations of callers and of the scenario runner with their sequence numbers; clones share
/// them.
#[derive(Clone, Debug, Default)]
pub(crate) struct EventLog {
    events: Arc<Mutex<Vec<(u64, Event)>>>,
}

impl EventLog {
    /// Appends an event at the current time.
    pub(crate) fn add(&self, fact: EventKind) {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        // Both are taken under the lock, so that their orders agree.
        let sequence = zinnia_worker::next_sequence();
        let at = zinnia_worker::now();
        events.push((sequence, Event { at, kind: fact }));
    }

    /// Waits until every caller of a stopped VM has a response or sees the connection closed.
    ///
    /// If a caller still waits after [`CALLERS_TIMEOUT`], its call remains open in the log, and the
    /// check reports it.
    pub(crate) async fn wait_for_callers(&self, vm: VmId) {
        let deadline = Instant::now() + CALLERS_TIMEOUT;
        while Instant::now() < deadline && self.has_open_calls(vm) {
            tokio::time::sleep(super::POLL_INTERVAL).await;
        }
    }

    fn has_open_calls(&self, vm: VmId) -> bool {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let mut call_senders = CallSenders::default();
        for (_, event) in events.iter() {
            call_senders.observe(&event.kind);
        }
        let mut calls = call_senders.calls.values();
        calls.any(|vm_states| vm_states.get(&vm) == Some(&CallState::Open))
    }

    /// Returns all observations so far, with those of the workers, in the order of their sequence
    /// numbers.
    pub(crate) fn events(&self, cell: &Cell) -> Vec<Event> {
        let mut entries: Vec<(u64, Entry)> = Vec::new();
        for record in cell.event_records() {
            entries.push((record.sequence, Entry::Worker(record)));
        }
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let runner_events = events.iter().cloned();
        entries.extend(runner_events.map(|(sequence, event)| (sequence, Entry::Runner(event))));
        drop(events);
        entries.sort_by_key(|(sequence, _)| *sequence);
        let mut call_senders = CallSenders::default();
        let mut merged_events = Vec::with_capacity(entries.len());
        for (_, entry) in entries {
            match entry {
                Entry::Runner(event) => {
                    call_senders.observe(&event.kind);
                    merged_events.push(event);
                }
                Entry::Worker(record) => {
                    let at = record.at;
                    let fact = match record.event {
                        WorkerEvent::Called { id, request, .. } => {
                            call_senders.sent_event(record.worker, id.unwrap_or_default(), request)
                        }
                        WorkerEvent::Served { id, response, .. } => {
                            response.map(|response| EventKind::Served {
                                call: id.unwrap_or_default(),
                                worker: record.worker,
                                response,
                            })
                        }
                        _ => cell.checker_event_kind(record),
                    };
                    merged_events.extend(fact.map(|fact| Event { at, kind: fact }));
                }
            }
        }
        merged_events
    }
}

/// An observation before it is merged into the log.
enum Entry {
    Runner(Event),
    Worker(zinnia_worker::EventRecord),
}

/// State of a call at a VM; a greater state makes the VM a likelier sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CallState {
    /// The VM responded that the call did not run.
    NotRun,
    /// The VM responded, or the caller lost the connection.
    Closed,
    /// The caller still waits.
    Open,
}

/// Finds the VM whose caller sent a call. A worker sees only the VM that forwarded the call to it,
/// while the events to check name the VM that received it from the caller. If the call was sent to
/// several VMs, one that has not responded yet is chosen.
#[derive(Debug, Default)]
struct CallSenders {
    calls: BTreeMap<String, BTreeMap<VmId, CallState>>,
}

impl CallSenders {
    fn observe(&mut self, fact: &EventKind) {
        let (call, vm, state) = match fact {
            EventKind::Called { call, vm, .. } => (call, vm, CallState::Open),
            EventKind::Refused {
                call,
                vm,
                ran: ExecutionStatus::NotRun,
                ..
            } => (call, vm, CallState::NotRun),
            EventKind::Answered { call, vm, .. }
            | EventKind::Refused { call, vm, .. }
            | EventKind::Dropped { call, vm } => (call, vm, CallState::Closed),
            _ => return,
        };
        let vm_states = self.calls.entry(call.clone()).or_default();
        vm_states.insert(*vm, state);
    }

    fn sent_event(&self, worker: WorkerId, call: String, request: u64) -> Option<EventKind> {
        let vm_states = self.calls.get(&call);
        let sender =
            vm_states.and_then(|vm_states| vm_states.iter().max_by_key(|(_, state)| **state));
        let vm = sender.map_or(VmId(0), |(vm, _)| *vm);
        Some(EventKind::Sent {
            call,
            vm,
            worker,
            request,
        })
    }
}
