//! Rules on where and how often tasks run: invariant P2, and P6 and P7 for tasks.

use std::collections::BTreeMap;

use zinnia_types::AttemptId;
use zinnia_types::JobId;
use zinnia_types::WorkerId;

use crate::EventKind;
use crate::Invariant;
use crate::checker::Position;
use crate::violation::Finding;

/// Start of an attempt to run a task.
#[derive(Clone, Copy, Debug)]
struct Start {
    worker: WorkerId,
    attempt: AttemptId,
    /// Whether the task may be run again.
    repeat: bool,
    event_index: usize,
}

#[derive(Debug, Default)]
struct Task {
    /// Start of the attempt that runs.
    running: Option<Start>,
    last_start: Option<Start>,
    /// Index of the event that recorded the end of the task.
    finished: Option<usize>,
}

#[derive(Debug, Default)]
pub(crate) struct Tasks {
    tasks: BTreeMap<(JobId, u32), Task>,
    /// Index of the start event of each attempt.
    first_starts: BTreeMap<AttemptId, usize>,
    /// Index of the event with which a worker refused an attempt permanently.
    refused_starts: BTreeMap<(WorkerId, AttemptId), usize>,
}

impl Tasks {
    /// Updates the tasks that the event concerns and checks the rules.
    pub(crate) fn observe(
        &mut self,
        position: Position,
        event_kind: &EventKind,
    ) -> Result<(), Box<Finding>> {
        match event_kind {
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
                    event_index: position.index,
                };
                self.on_started(start)
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
                self.end_all_on(*worker);
                Ok(())
            }
            EventKind::StartRefused { worker, attempt } => {
                self.on_start_refused(position, *worker, *attempt)
            }
            EventKind::TaskFinished { job, task } => {
                let entry = self.tasks.entry((*job, *task)).or_default();
                if let Some(index) = entry.finished {
                    let message = format!("the end of task {task} of {job} was recorded twice");
                    return Finding::error(Invariant::P2, message, [index, position.index]);
                }
                entry.finished = Some(position.index);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn on_started(&mut self, start: Start) -> Result<(), Box<Finding>> {
        let Start {
            worker,
            attempt,
            event_index: index,
            ..
        } = start;
        if let Some(&refused) = self.refused_starts.get(&(worker, attempt)) {
            let message = format!("{worker} started {attempt} after it had refused it permanently");
            return Finding::error(Invariant::P6, message, [refused, index]);
        }
        let task = self.tasks.entry((attempt.job, attempt.task)).or_default();
        if let Some(other) = task.running {
            let message = format!(
                "{attempt} started on {worker} while {} runs on {}",
                other.attempt, other.worker
            );
            return Finding::error(Invariant::P2, message, [other.event_index, index]);
        }
        if let Some(finished) = task.finished {
            let message = format!("{attempt} started after the end of its task was recorded");
            return Finding::error(Invariant::P2, message, [finished, index]);
        }
        if let Some(last) = task.last_start.filter(|last| !last.repeat || !start.repeat) {
            let message = format!(
                "{attempt} runs a task that must not be repeated and that ran before as {}",
                last.attempt
            );
            return Finding::error(Invariant::P7, message, [last.event_index, index]);
        }
        if let Some(&first) = self.first_starts.get(&attempt) {
            let message = format!("{attempt} was started twice");
            return Finding::error(Invariant::P2, message, [first, index]);
        }
        self.first_starts.insert(attempt, index);
        task.running = Some(start);
        task.last_start = Some(start);
        Ok(())
    }

    fn on_start_refused(
        &mut self,
        position: Position,
        worker: WorkerId,
        attempt: AttemptId,
    ) -> Result<(), Box<Finding>> {
        let last = self.tasks.get(&(attempt.job, attempt.task));
        let last = last.and_then(|task| task.last_start);
        let ran = last.filter(|last| last.attempt == attempt && last.worker == worker);
        if let Some(ran) = ran {
            let message = format!("{worker} refused {attempt} as not run, but had started it");
            return Finding::error(Invariant::P6, message, [ran.event_index, position.index]);
        }
        self.refused_starts
            .insert((worker, attempt), position.index);
        Ok(())
    }

    /// Marks all tasks on a worker as not running.
    fn end_all_on(&mut self, worker: WorkerId) {
        for task in self.tasks.values_mut() {
            if task.running.is_some_and(|start| start.worker == worker) {
                task.running = None;
            }
        }
    }
}
