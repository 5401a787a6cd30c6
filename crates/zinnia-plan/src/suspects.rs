//! Keeps tasks under which a worker has crashed apart from other young tasks, so that the cause of the next crash
//! can be told.

use crate::State;
use crate::TaskId;
use crate::capacity::Capacities;
use crate::placement::PlacementPass;
use crate::worker_index::WorkerIndex;
use crate::worker_index::WorkerIndices;

/// Marks the workers on which a young run may cause a crash again.
pub(crate) fn mark_suspects(
    capacities: &mut Capacities<'_>,
    indices: &WorkerIndices,
    state: &State,
    wall_ms: i64,
) {
    for &(first, _) in &state.crashed {
        let members = match state.step(first) {
            Some(step) if step.gang => step.count,
            _ => 1,
        };
        for index in first.index..first.index + members {
            let task = state.task(TaskId { index, ..first });
            let young = task.filter(|t| t.is_young(wall_ms));
            let worker = young.and_then(|t| indices.get(t.worker.as_ref()?));
            if let Some(capacity) = worker.and_then(|w| capacities.get_mut(w)) {
                capacity.suspect = true;
            }
        }
    }
}

/// What shares a worker with a task, if one of them is a suspect. If the worker crashes, all of them
/// count as the cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Mixture {
    /// No task is a suspect, or no other one is young.
    #[default]
    None,
    /// The task is a suspect, and other ones are young.
    Other,
    /// A young suspect.
    Suspect,
}

impl PlacementPass<'_> {
    /// How hard it would be to tell which task is the cause if the worker crashes after one more
    /// start. A suspect is a task under which a worker has crashed.
    pub(crate) fn mixture(&self, is_suspect: bool, worker: WorkerIndex) -> Mixture {
        let Some(capacity) = self.capacities.get(worker) else {
            return Mixture::None;
        };
        let is_young = |(id, _): &(TaskId, u32)| {
            let task = self.state.task(*id);
            task.is_some_and(|t| t.is_young(self.wall_ms))
        };
        if capacity.suspect {
            Mixture::Suspect
        } else if is_suspect && (capacity.starts || capacity.worker.runs.iter().any(is_young)) {
            Mixture::Other
        } else {
            Mixture::None
        }
    }

    /// Records whether a task that is started on the worker is a suspect.
    pub(crate) fn mark_suspect(&mut self, is_suspect: bool, worker: WorkerIndex) {
        if let Some(capacity) = self.capacities.get_mut(worker) {
            capacity.suspect |= is_suspect;
        }
    }
}
