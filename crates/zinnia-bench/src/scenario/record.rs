//! The record of a scenario: what workers, callers and VMs saw, in one order.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::Instant;
use zinnia_check::Event;
use zinnia_check::Fact;
use zinnia_local::Cell;
use zinnia_types::Ran;
use zinnia_types::VmId;
use zinnia_types::WorkerId;
use zinnia_worker::WorkerEvent;

/// Longest wait for callers of a VM that has ended.
const SETTLE: Duration = Duration::from_secs(5);

/// Facts of callers and of the runner with their places; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    events: Arc<Mutex<Vec<(u64, Event)>>>,
}

impl Record {
    /// Adds a fact that is true from now on.
    pub(crate) fn add(&self, fact: Fact) {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        // Drawn under the lock, so that time and place agree.
        let place = zinnia_worker::next_sequence();
        let at = zinnia_worker::now();
        events.push((place, Event { at, fact }));
    }

    /// Waits until every caller of a VM that has ended has its answer or sees its connection closed.
    ///
    /// A caller that does not within the limit shows in the record.
    pub(crate) async fn settle(&self, vm: VmId) {
        let deadline = Instant::now() + SETTLE;
        while Instant::now() < deadline && self.is_open(vm) {
            tokio::time::sleep(super::POLL).await;
        }
    }

    fn is_open(&self, vm: VmId) -> bool {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let mut senders = Senders::default();
        for (_, event) in events.iter() {
            senders.observe(&event.fact);
        }
        let mut calls = senders.calls.values();
        calls.any(|vms| vms.get(&vm) == Some(&Stand::Open))
    }

    /// Everything that was seen so far.
    pub(crate) fn whole(&self, cell: &Cell) -> Vec<Event> {
        let mut all: Vec<(u64, Item)> = Vec::new();
        for record in cell.records() {
            all.push((record.sequence, Item::Worker(record)));
        }
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let own = events.iter().cloned();
        all.extend(own.map(|(place, event)| (place, Item::Own(event))));
        drop(events);
        all.sort_by_key(|(place, _)| *place);
        let mut senders = Senders::default();
        let mut whole = Vec::with_capacity(all.len());
        for (_, item) in all {
            match item {
                Item::Own(event) => {
                    senders.observe(&event.fact);
                    whole.push(event);
                }
                Item::Worker(record) => {
                    let at = record.at;
                    let fact = match record.event {
                        WorkerEvent::Called { id, request, .. } => {
                            senders.sent(record.worker, id.unwrap_or_default(), request)
                        }
                        WorkerEvent::Served { id, response, .. } => {
                            response.map(|response| Fact::Served {
                                call: id.unwrap_or_default(),
                                worker: record.worker,
                                response,
                            })
                        }
                        _ => cell.fact(record),
                    };
                    whole.extend(fact.map(|fact| Event { at, fact }));
                }
            }
        }
        whole
    }
}

enum Item {
    Own(Event),
    Worker(zinnia_worker::EventRecord),
}

/// How a VM stands to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stand {
    /// It said that the call did not run.
    NotRun,
    /// It answered, or its caller lost it.
    Closed,
    Open,
}

/// Finds the VM from which a worker got a call. A worker sees only the VM that passed the call on, so
/// the record names the VM that the caller asked: one that still works on the call if there is one.
#[derive(Debug, Default)]
struct Senders {
    calls: BTreeMap<String, BTreeMap<VmId, Stand>>,
}

impl Senders {
    fn observe(&mut self, fact: &Fact) {
        let (call, vm, stand) = match fact {
            Fact::Called { call, vm, .. } => (call, vm, Stand::Open),
            Fact::Refused {
                call,
                vm,
                ran: Ran::No,
                ..
            } => (call, vm, Stand::NotRun),
            Fact::Answered { call, vm, .. }
            | Fact::Refused { call, vm, .. }
            | Fact::Dropped { call, vm } => (call, vm, Stand::Closed),
            _ => return,
        };
        let vms = self.calls.entry(call.clone()).or_default();
        vms.insert(*vm, stand);
    }

    fn sent(&self, worker: WorkerId, call: String, request: u64) -> Option<Fact> {
        let vms = self.calls.get(&call);
        let best = vms.and_then(|vms| vms.iter().max_by_key(|(_, stand)| **stand));
        let vm = best.map_or(VmId(0), |(vm, _)| *vm);
        Some(Fact::Sent {
            call,
            vm,
            worker,
            request,
        })
    }
}
