//! Crashes of workers, and the tasks that may have caused them.

use std::mem;

use zinnia_types::JobId;

use crate::State;
use crate::Status;
use crate::Task;
use crate::TaskId;
use crate::Worker;

/// Least number of runs of a task that may end by a crash of their worker. With the last one the job is
/// given up, since each further run would take one more worker out of use. It is not given up before as many
/// crashes as its queue allows failed attempts: a crash shows less than a failed run that the task is at fault.
const MIN_CRASHES: usize = 3;
/// Longest time between the start of a task that crashes its worker and the last start there. The
/// task crashes the worker as it starts; other tasks may still be assigned to the worker until its
/// silence is noticed, which takes 2.6 s at most. A longer time puts more other tasks under suspicion.
const MAX_DELAY_MS: i64 = 3_000;
/// Longest time from the start of a task until the crash that it causes is known: the leases of the
/// worker have expired, also after a change of the leader, or its next incarnation has registered.
const MAX_NOTICE_MS: i64 = 30_000;

/// Longest time from the assignment of a run until its start order is answered or given up. A run that
/// is released earlier was refused and has not begun, while a lease lasts longer.
const MAX_ORDER_MS: i64 = 3_000;

impl Task {
    /// Whether the current run began so recently that it may still crash its worker.
    pub(crate) fn is_young(&self, at_ms: i64) -> bool {
        self.worker.is_some() && self.started_ms + MAX_DELAY_MS > at_ms
    }
}

impl State {
    /// Whether a run of this task ended by a crash of its worker that the task may have caused.
    pub(crate) fn is_suspect(&self, id: TaskId) -> bool {
        !self.crashed.is_empty() && self.crashes(id) > 0
    }

    /// Number of crashes that a task, or its gang, may have caused.
    fn crashes(&self, id: TaskId) -> usize {
        let key = self.crash_key(id);
        self.crashed.range((key, 0)..=(key, u32::MAX)).count()
    }

    /// Number of crashes at which a job is given up.
    fn max_crashes(&self, id: JobId) -> usize {
        let queue = self.jobs.get(&id).and_then(|j| self.queue_of(j));
        let attempts = queue.map_or(0, |q| usize::try_from(q.max_attempts).unwrap_or(0));
        attempts.max(MIN_CRASHES)
    }

    /// The task under which crashes are counted. Any member of a gang may be the cause of a crash, so
    /// that the gang counts as a whole.
    fn crash_key(&self, id: TaskId) -> TaskId {
        match self.step(id) {
            Some(step) if step.gang => TaskId { index: 0, ..id },
            _ => id,
        }
    }

    /// Whether a run may be the cause if its worker has crashed. A task that crashes its worker does
    /// so soon after its start, so that the worker starts nothing much later.
    fn may_have_crashed(&self, worker: &Worker, id: TaskId, run: u32) -> bool {
        let since_ms = (worker.last_start_ms - MAX_DELAY_MS).max(self.at_ms - MAX_NOTICE_MS);
        // A later start belongs to the previous incarnation, since a new one begins without any.
        let started_at = since_ms..=worker.last_start_ms;
        self.task(id)
            .is_some_and(|t| t.run == run && started_at.contains(&t.started_ms))
    }

    /// Keeps a run that is about to be released: if the incarnation turns out to have crashed, the run
    /// may be the cause.
    pub(crate) fn keep_released(&mut self, id: TaskId, run: u32) {
        let name = self.task(id).and_then(|t| t.worker.as_ref()).cloned();
        let Some(name) = name else {
            return;
        };
        let was_refused = self
            .task(id)
            .is_none_or(|t| self.at_ms - t.started_ms < MAX_ORDER_MS);
        let is_suspect = self
            .workers
            .get(&name)
            .is_some_and(|w| !w.left && self.may_have_crashed(w, id, run));
        if !was_refused
            && is_suspect
            && let Some(worker) = self.workers.get_mut(&name)
        {
            worker.released.push((id, run));
        }
    }

    /// Counts the crash of an incarnation for each task that may have caused it. Returns the tasks
    /// whose jobs are given up.
    pub(crate) fn record_crash(&mut self, name: &str) -> Vec<TaskId> {
        let Some(worker) = self.workers.get_mut(name) else {
            return Vec::new();
        };
        let mut suspects = mem::take(&mut worker.released);
        let Some(worker) = self.workers.get(name) else {
            return Vec::new();
        };
        // A draining worker was about to shut down.
        if worker.left || worker.draining {
            return Vec::new();
        }
        let may_have_crashed =
            |(id, run): &&(TaskId, u32)| self.may_have_crashed(worker, *id, *run);
        suspects.extend(worker.runs.iter().filter(may_have_crashed));
        let mut given_up = Vec::new();
        for (id, run) in suspects {
            let is_open = self
                .jobs
                .get(&id.job)
                .is_some_and(|j| j.status == Status::Open);
            if !is_open || self.task(id).is_none_or(|t| t.done) {
                continue;
            }
            // A set of runs, since several members of a gang may lose their workers in one run, and
            // the worker of an earlier run may return after that of a later one.
            self.crashed.insert((self.crash_key(id), run));
            if self.crashes(id) >= self.max_crashes(id.job) {
                self.end_job(id.job, Status::Failed);
                given_up.push(id);
            }
        }
        given_up
    }

    /// Clears the crashes of a task if the run that ends lasted too long for a cause of crashes.
    pub(crate) fn clear_survivor(&mut self, id: TaskId, started_ms: i64) {
        if self.crashed.is_empty() || self.at_ms - started_ms <= MAX_NOTICE_MS {
            return;
        }
        let key = self.crash_key(id);
        self.crashed.retain(|(task, _)| *task != key);
    }

    /// Removes the crashes of a job that has ended.
    pub(crate) fn clear_crashes(&mut self, id: JobId) {
        self.crashed.retain(|(task, _)| task.job != id);
    }
}
