//! Where and how often tasks run: P2, and P6 and P7 for tasks.

use std::collections::BTreeMap;

use zinnia_types::AttemptId;
use zinnia_types::JobId;
use zinnia_types::WorkerId;

use crate::EventKind;
use crate::Invariant;
use crate::checker::Place;
use crate::violation::Found;

/// One start of a task.
#[derive(Clone, Copy, Debug)]
struct Start {
    worker: WorkerId,
    attempt: AttemptId,
    repeat: bool,
    n: usize,
}

#[derive(Debug, Default)]
struct Task {
    running: Option<Start>,
    last: Option<Start>,
    finished: Option<usize>,
}

#[derive(Debug, Default)]
pub(crate) struct Tasks {
    tasks: BTreeMap<(JobId, u32), Task>,
    /// First start of each attempt.
    started: BTreeMap<AttemptId, usize>,
    refused: BTreeMap<(WorkerId, AttemptId), usize>,
}

impl Tasks {
    pub(crate) fn observe(&mut self, place: Place, fact: &EventKind) -> Result<(), Box<Found>> {
        match fact {
            EventKind::Started {
                worker,
                attempt,
                repeat,
                ..
            } => {
                let start = Start {
                    worker: *worker,
                    attempt: *attempt,
                    repeat: *repeat,
                    n: place.n,
                };
                self.start(start)
            }
            EventKind::Ended { worker, attempt } => {
                if let Some(task) = self.tasks.get_mut(&(attempt.job, attempt.task))
                    && let Some(start) = task.running
                    && (start.worker, start.attempt) == (*worker, *attempt)
                {
                    task.running = None;
                }
                Ok(())
            }
            EventKind::WorkerUp { worker, .. } | EventKind::WorkerDown { worker, .. } => {
                self.stop(*worker);
                Ok(())
            }
            EventKind::StartRefused { worker, attempt } => self.refuse(place, *worker, *attempt),
            EventKind::TaskFinished { job, task } => {
                let entry = self.tasks.entry((*job, *task)).or_default();
                if let Some(n) = entry.finished {
                    let message = format!("the end of task {task} of {job} was recorded twice");
                    return Found::err(Invariant::P2, message, [n, place.n]);
                }
                entry.finished = Some(place.n);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn start(&mut self, start: Start) -> Result<(), Box<Found>> {
        let Start {
            worker, attempt, n, ..
        } = start;
        if let Some(&refused) = self.refused.get(&(worker, attempt)) {
            let message = format!("{worker} started {attempt} after it had refused it for good");
            return Found::err(Invariant::P6, message, [refused, n]);
        }
        let task = self.tasks.entry((attempt.job, attempt.task)).or_default();
        if let Some(other) = task.running {
            let message = format!(
                "{attempt} started on {worker} while {} runs on {}",
                other.attempt, other.worker
            );
            return Found::err(Invariant::P2, message, [other.n, n]);
        }
        if let Some(finished) = task.finished {
            let message = format!("{attempt} started after the end of its task was recorded");
            return Found::err(Invariant::P2, message, [finished, n]);
        }
        if let Some(last) = task.last.filter(|last| !last.repeat || !start.repeat) {
            let message = format!(
                "{attempt} must not be repeated, but ran as {}",
                last.attempt
            );
            return Found::err(Invariant::P7, message, [last.n, n]);
        }
        if let Some(&first) = self.started.get(&attempt) {
            let message = format!("{attempt} was started twice");
            return Found::err(Invariant::P2, message, [first, n]);
        }
        self.started.insert(attempt, n);
        task.running = Some(start);
        task.last = Some(start);
        Ok(())
    }

    fn refuse(
        &mut self,
        place: Place,
        worker: WorkerId,
        attempt: AttemptId,
    ) -> Result<(), Box<Found>> {
        let last = self.tasks.get(&(attempt.job, attempt.task));
        let last = last.and_then(|task| task.last);
        let ran = last.filter(|last| last.attempt == attempt && last.worker == worker);
        if let Some(ran) = ran {
            let message = format!("{worker} says that {attempt} did not run, but had started it");
            return Found::err(Invariant::P6, message, [ran.n, place.n]);
        }
        self.refused.insert((worker, attempt), place.n);
        Ok(())
    }

    /// Ends all that runs on a worker.
    fn stop(&mut self, worker: WorkerId) {
        for task in self.tasks.values_mut() {
            if task.running.is_some_and(|start| start.worker == worker) {
                task.running = None;
            }
        }
    }
}
