//! Rules on the load and the departure of workers: invariants P1 and P8.

use std::collections::BTreeMap;

use zinnia_types::AttemptId;
use zinnia_types::Resources;
use zinnia_types::Time;
use zinnia_types::WorkerId;

use crate::EventKind;
use crate::Invariant;
use crate::checker::Context;
use crate::checker::Position;
use crate::violation::Finding;

#[derive(Debug)]
struct Worker {
    /// Index of the event with which the worker process started.
    start_event: usize,
    capacity: Resources,
    /// Resources of each running attempt, with the index of its start event.
    running: BTreeMap<AttemptId, (Resources, usize)>,
    /// When the worker began to leave, with the index of that event.
    leaving: Option<(Time, usize)>,
}

#[derive(Debug, Default)]
pub(crate) struct Workers {
    workers: BTreeMap<WorkerId, Worker>,
}

impl Workers {
    /// Updates the state of the worker that the event concerns and checks the rules.
    pub(crate) fn observe(
        &mut self,
        position: Position,
        event_kind: &EventKind,
        context: &Context,
    ) -> Result<(), Box<Finding>> {
        match event_kind {
            EventKind::WorkerUp { worker, capacity } => {
                let state = Worker {
                    start_event: position.index,
                    capacity: *capacity,
                    running: BTreeMap::new(),
                    leaving: None,
                };
                self.workers.insert(*worker, state);
                Ok(())
            }
            EventKind::WorkerDown { worker, .. } => {
                self.workers.remove(worker);
                Ok(())
            }
            EventKind::Leaving { worker } => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.leaving.get_or_insert((position.at, position.index));
                }
                Ok(())
            }
            EventKind::Started {
                worker,
                attempt,
                need,
                ..
            } => {
                self.check_not_leaving(position, *worker, context)?;
                self.on_started(position, *worker, *attempt, *need)
            }
            EventKind::Ended { worker, attempt } => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.running.remove(attempt);
                }
                Ok(())
            }
            EventKind::Sent { worker, .. } => self.check_not_leaving(position, *worker, context),
            _ => Ok(()),
        }
    }

    fn on_started(
        &mut self,
        position: Position,
        id: WorkerId,
        attempt: AttemptId,
        need: Resources,
    ) -> Result<(), Box<Finding>> {
        let Some(worker) = self.workers.get_mut(&id) else {
            let message = format!(
                "{id} started {attempt}, but the record has no running worker of this name"
            );
            return Finding::error(Invariant::P1, message, [position.index]);
        };
        worker.running.insert(attempt, (need, position.index));
        let load = worker.running.values();
        let load = load.fold(Resources::ZERO, |sum, (need, _)| sum + *need);
        if load.fits(&worker.capacity) {
            return Ok(());
        }
        let message = format!(
            "{id} has a capacity of {:?}, but its running tasks take {load:?}",
            worker.capacity
        );
        let start_events = worker.running.values().map(|&(_, index)| index);
        Finding::error(
            Invariant::P1,
            message,
            start_events.chain([worker.start_event]),
        )
    }

    fn check_not_leaving(
        &self,
        position: Position,
        id: WorkerId,
        context: &Context,
    ) -> Result<(), Box<Finding>> {
        let worker = self.workers.get(&id);
        let Some((left_at, index)) = worker.and_then(|w| w.leaving) else {
            return Ok(());
        };
        let elapsed = position.at.since(left_at);
        if elapsed <= context.settings.leave_ms {
            return Ok(());
        }
        let message = format!("{id} received new work {elapsed} ms after it began to leave");
        Finding::error(Invariant::P8, message, [index, position.index])
    }
}
