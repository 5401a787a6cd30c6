//! The life of workers in the replicated state: incarnations appear, deregister and end.
//!
//! The runs of an incarnation stay assigned until it is certain that they do not go on.

use crate::Incarnation;
use crate::State;
use crate::TaskId;
use crate::Worker;

impl State {
    /// Stores the capacity that the current incarnation reports. Its runs stay, also if they use more.
    pub(crate) fn update_capacity(&mut self, incarnation: &Incarnation, sequence: u64) {
        // Heartbeats can overtake each other, and an older one would bring an old capacity back.
        if let Some(current) = self.workers.get_mut(&incarnation.worker)
            && current.incarnation.born == incarnation.born
            && current.sequence < sequence
        {
            current.incarnation.resources = incarnation.resources;
            current.sequence = sequence;
        }
    }

    /// Registers an incarnation. Returns the tasks whose jobs are given up because the previous
    /// incarnation has crashed.
    pub(crate) fn add_incarnation(
        &mut self,
        incarnation: &Incarnation,
        sequence: u64,
    ) -> Vec<TaskId> {
        let old = self.workers.get(&incarnation.worker);
        if old.is_some_and(|w| w.incarnation.born >= incarnation.born) {
            return Vec::new();
        }
        let given_up = self.record_crash(&incarnation.worker);
        // Orders to the previous incarnation may have reached this one. Its runs stay assigned
        // until the worker has reported which of them are active.
        let previous = self.workers.remove(&incarnation.worker);
        let replaced_ms = previous.as_ref().map(|_| self.at_ms);
        let previous = previous.unwrap_or_default();
        let worker = Worker {
            incarnation: incarnation.clone(),
            replaced_ms,
            sequence,
            runs: previous.runs,
            used: previous.used,
            best_effort: previous.best_effort,
            services: previous.services,
            ..Worker::default()
        };
        self.workers.insert(incarnation.worker.clone(), worker);
        given_up
    }

    /// Marks an incarnation as about to end.
    ///
    /// A deregistration does not show that the runs have ended: its acknowledgement may be lost, and the
    /// worker goes on with them until it gives up waiting for one.
    pub(crate) fn deregister(&mut self, worker: &str, born: i64) {
        if let Some(current) = self.workers.get_mut(worker)
            && current.incarnation.born == born
        {
            current.left = true;
            current.released.clear();
        }
    }

    /// Returns the worker if a deregistration refers to its current incarnation. Without the start of the
    /// incarnation that is the case if the worker drains: a drain comes before each deregistration, and a
    /// late deregistration must not stop the next incarnation.
    pub fn deregistering(&self, worker: &str, born: Option<i64>) -> Option<&Worker> {
        let current = self.workers.get(worker)?;
        let is_current = match born {
            Some(born) => current.incarnation.born == born,
            None => current.draining || current.left,
        };
        is_current.then_some(current)
    }

    /// Number of runs of an incarnation that may go on after it has deregistered; `None` if it has not.
    pub fn runs_after_deregistration(&self, worker: &str, born: i64) -> Option<usize> {
        let current = self.workers.get(worker)?;
        (current.incarnation.born == born && current.left).then_some(current.runs.len())
    }

    /// Marks an incarnation as ended whose address another worker has. Returns the tasks whose jobs are given
    /// up because it has crashed.
    pub(crate) fn replace_incarnation(&mut self, worker: &str, born: i64) -> Vec<TaskId> {
        let current = self.workers.get(worker);
        if current.is_none_or(|w| w.incarnation.born != born) {
            return Vec::new();
        }
        let given_up = self.record_crash(worker);
        self.end_incarnation(worker, born);
        given_up
    }

    /// Marks an incarnation as ended and releases its runs.
    pub(crate) fn end_incarnation(&mut self, worker: &str, born: i64) {
        let Some(current) = self.workers.get_mut(worker) else {
            return;
        };
        if current.incarnation.born != born {
            return;
        }
        current.left = true;
        current.released.clear();
        let runs: Vec<(TaskId, u32)> = current.runs.iter().copied().collect();
        for (task, run) in runs {
            self.release_run(task, run, "");
        }
    }
}
