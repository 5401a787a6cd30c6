//! Ranking of workers for the tasks of a step.

use crate::capacity::WorkerCapacity;
use crate::placement::PlacementPass;
use crate::waiting::WaitingStep;
use crate::worker_index::WorkerIndex;

/// How well a worker suits a task, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Suitability {
    /// Whether the task is to last and the worker may have a long lease. If the worker is lost, the task
    /// runs again only after that lease.
    long_lease: bool,
    /// Whether the worker is slow after its start. Others are used while they have room.
    cold: bool,
    /// Whether the task's data is in another rack.
    pub(crate) data_remote: bool,
    /// Whether the task serves user requests and the worker runs best-effort tasks.
    pub(crate) mixed_load: bool,
    /// Distance from the first domain of the job. Keeping the tasks of a job in one failure domain
    /// means that only the loss of that domain delays the job. The first domain depends on the job
    /// id, so that jobs use different domains.
    domain: u64,
    /// Number of the step's waiting tasks for which the worker has no room; 0 unless the step is
    /// urgent. An urgent job on few workers is less likely to be delayed by the fault of one. Other
    /// steps fill the fullest workers, which leaves room for large tasks on the emptiest.
    overflow: usize,
    /// Free accelerators and processor time; the fullest worker comes first.
    pub(crate) free: (u64, u64),
}

impl<'a> PlacementPass<'a> {
    /// Workers whose total capacity suffices for a task of the step, best first.
    pub(crate) fn eligible_workers(&self, waiting: &WaitingStep<'_>) -> Vec<WorkerIndex> {
        self.ranked(waiting, self.pool_workers(waiting), |_| true)
    }

    /// Workers with enough free resources for a task of the step, best first.
    pub(crate) fn available_workers(&self, waiting: &WaitingStep<'_>) -> Vec<WorkerIndex> {
        self.available_among(waiting, self.pool_workers(waiting))
    }

    /// Those of `workers` with enough free resources for a task of the step, best first.
    pub(crate) fn available_among(
        &self,
        waiting: &WaitingStep<'_>,
        workers: impl Iterator<Item = WorkerIndex>,
    ) -> Vec<WorkerIndex> {
        let need = waiting.step.demand();
        self.ranked(waiting, workers, |c| c.unreserved().fits(&need))
    }

    /// All workers of the step's pool that accept tasks.
    fn pool_workers(&self, waiting: &WaitingStep<'_>) -> impl Iterator<Item = WorkerIndex> {
        let pool = self.capacities.pool(&waiting.queue.pool);
        pool.into_iter().flat_map(|p| p.workers.iter().copied())
    }

    /// Those of `workers` that match the requirements of the step and the predicate `pick`, best
    /// first.
    fn ranked(
        &self,
        waiting: &WaitingStep<'_>,
        workers: impl Iterator<Item = WorkerIndex>,
        pick: impl Fn(&WorkerCapacity<'a>) -> bool,
    ) -> Vec<WorkerIndex> {
        let suitable = |index| {
            let capacity = self.capacities.get(index).filter(|c| pick(c))?;
            Some((self.suitability(waiting, capacity)?, index))
        };
        let mut rows: Vec<_> = workers.filter_map(suitable).collect();
        rows.sort_unstable();
        rows.into_iter().map(|(_, index)| index).collect()
    }

    /// Compares a worker with others for a task of the step; `None` if it cannot run the task.
    pub(crate) fn suitability(
        &self,
        waiting: &WaitingStep<'_>,
        capacity: &WorkerCapacity<'_>,
    ) -> Option<Suitability> {
        let step = waiting.step;
        let incarnation = &capacity.worker.incarnation;
        let is_match = incarnation.resources.fits(&step.resources)
            && !(step.best_effort && capacity.services)
            && incarnation.pool == waiting.queue.pool
            && self.regions.allows(waiting.queue, &incarnation.domain)
            && (step.label.is_empty() || incarnation.labels.contains(&step.label));
        if !is_match {
            return None;
        }
        let domains = self.capacities.domains;
        let first_domain = waiting.id.job.0 % domains;
        Some(Suitability {
            long_lease: step.long_running && capacity.long_lease,
            cold: capacity.cold,
            data_remote: !step.data_rack.is_empty()
                && incarnation.rack() != Some(step.data_rack.as_str()),
            mixed_load: step.is_service() && capacity.best_effort,
            domain: (capacity.domain + first_domain) % domains,
            overflow: match waiting.queue.is_urgent() && !step.long_running {
                true => waiting.count.saturating_sub(capacity.slots(step)),
                false => 0,
            },
            free: (capacity.free.gpu, capacity.free.cpu),
        })
    }
}
