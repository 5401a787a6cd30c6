//! Load and leaving of workers: P1 and P8.

use std::collections::BTreeMap;

use zinnia_types::AttemptId;
use zinnia_types::Resources;
use zinnia_types::Time;
use zinnia_types::WorkerId;

use crate::EventKind;
use crate::Invariant;
use crate::checker::Context;
use crate::checker::Place;
use crate::violation::Found;

#[derive(Debug)]
struct Worker {
    up: usize,
    capacity: Resources,
    running: BTreeMap<AttemptId, (Resources, usize)>,
    leaving: Option<(Time, usize)>,
}

#[derive(Debug, Default)]
pub(crate) struct Workers {
    workers: BTreeMap<WorkerId, Worker>,
}

impl Workers {
    pub(crate) fn observe(
        &mut self,
        place: Place,
        fact: &EventKind,
        context: &Context,
    ) -> Result<(), Box<Found>> {
        match fact {
            EventKind::WorkerUp { worker, capacity } => {
                let fresh = Worker {
                    up: place.n,
                    capacity: *capacity,
                    running: BTreeMap::new(),
                    leaving: None,
                };
                self.workers.insert(*worker, fresh);
                Ok(())
            }
            EventKind::WorkerDown { worker, .. } => {
                self.workers.remove(worker);
                Ok(())
            }
            EventKind::Leaving { worker } => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.leaving.get_or_insert((place.at, place.n));
                }
                Ok(())
            }
            EventKind::Started {
                worker,
                attempt,
                need,
                ..
            } => {
                self.leaving(place, *worker, context)?;
                self.start(place, *worker, *attempt, *need)
            }
            EventKind::Ended { worker, attempt } => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.running.remove(attempt);
                }
                Ok(())
            }
            EventKind::Sent { worker, .. } => self.leaving(place, *worker, context),
            _ => Ok(()),
        }
    }

    fn start(
        &mut self,
        place: Place,
        id: WorkerId,
        attempt: AttemptId,
        need: Resources,
    ) -> Result<(), Box<Found>> {
        let Some(worker) = self.workers.get_mut(&id) else {
            let message = format!("{id} started {attempt}, but has no recorded capacity");
            return Found::err(Invariant::P1, message, [place.n]);
        };
        worker.running.insert(attempt, (need, place.n));
        let load = worker.running.values();
        let load = load.fold(Resources::ZERO, |sum, (need, _)| sum + *need);
        if load.fits(&worker.capacity) {
            return Ok(());
        }
        let message = format!("{id} has {:?} and carries {load:?}", worker.capacity);
        let events = worker.running.values().map(|&(_, n)| n);
        Found::err(Invariant::P1, message, events.chain([worker.up]))
    }

    fn leaving(&self, place: Place, id: WorkerId, context: &Context) -> Result<(), Box<Found>> {
        let worker = self.workers.get(&id);
        let Some((at, n)) = worker.and_then(|w| w.leaving) else {
            return Ok(());
        };
        let late = place.at.since(at);
        if late <= context.settings.leave_ms {
            return Ok(());
        }
        let message = format!("{id} got new work {late} ms after it began to leave");
        Found::err(Invariant::P8, message, [n, place.n])
    }
}
