//! Free capacity of workers and pools, updated during a placement pass.

use std::collections::BTreeMap;

use crate::Resources;
use crate::Step;
use crate::Worker;
use crate::worker_index::WorkerIndex;

/// Free capacity of a worker.
pub(crate) struct WorkerCapacity<'a> {
    /// Name of the worker.
    pub(crate) name: &'a str,
    pub(crate) worker: &'a Worker,
    /// Index of its failure domain, in the order of the names.
    pub(crate) domain: u64,
    /// Resources that no run uses.
    pub(crate) free: Resources,
    /// Resources that tasks to last use, which no other task can wait for.
    pub(crate) lasting: Resources,
    /// Resources reserved for waiting gangs; they may still be in use.
    pub(crate) reserved: Resources,
    /// Free resources that are not covered by an open query to the placement policy.
    pub(crate) unqueried: Resources,
    /// Whether the worker runs best-effort tasks, and tasks that serve user requests.
    pub(crate) best_effort: bool,
    pub(crate) services: bool,
    /// Whether a young run is that of a task under which a worker has crashed.
    pub(crate) suspect: bool,
    /// Whether the worker may have a lease that outlasts those of this leader.
    pub(crate) long_lease: bool,
    /// Whether the worker is slow after its start.
    pub(crate) cold: bool,
    /// Whether the pass starts a task on the worker.
    pub(crate) starts: bool,
}

impl WorkerCapacity<'_> {
    /// Free resources that are not reserved for a gang.
    pub(crate) fn unreserved(&self) -> Resources {
        self.free.minus(&self.reserved)
    }

    /// Resources that will be free once all tasks that end have ended, less what is reserved.
    pub(crate) fn attainable(&self) -> Resources {
        let total = self.worker.incarnation.resources;
        total.minus(&self.lasting).minus(&self.reserved)
    }

    /// Number of tasks of the step for which there are enough resources.
    pub(crate) fn slots(&self, step: &Step) -> usize {
        let fitting = self.unreserved().count_of(&step.demand());
        let slots = fitting.min(u64::from(step.max_per_worker()));
        usize::try_from(slots).unwrap_or(usize::MAX)
    }
}

/// Free capacity of the workers of a pool that accept tasks.
#[derive(Default)]
pub(crate) struct PoolCapacity {
    pub(crate) workers: Vec<WorkerIndex>,
    pub(crate) free: Resources,
    pub(crate) total: Resources,
}

/// Free capacity of all workers that accept tasks.
pub(crate) struct Capacities<'a> {
    /// By number of the worker; `None` for workers that accept no tasks.
    workers: Vec<Option<WorkerCapacity<'a>>>,
    pools: BTreeMap<&'a str, PoolCapacity>,
    /// Number of failure domains; 1 if there is no worker.
    pub(crate) domains: u64,
}

impl<'a> Capacities<'a> {
    /// Creates an empty table for `count` workers.
    pub(crate) fn new(count: usize) -> Self {
        let mut workers = Vec::new();
        workers.resize_with(count, || None);
        Self {
            workers,
            pools: BTreeMap::new(),
            domains: 1,
        }
    }

    /// Adds a worker that accepts tasks.
    pub(crate) fn insert(&mut self, index: WorkerIndex, name: &'a str, worker: &'a Worker) {
        let total = worker.incarnation.resources;
        let free = total.minus(&worker.used);
        let pool = self.pools.entry(&worker.incarnation.pool).or_default();
        pool.workers.push(index);
        pool.free = pool.free.plus(&free);
        pool.total = pool.total.plus(&total);
        let capacity = WorkerCapacity {
            name,
            worker,
            domain: 0,
            free,
            lasting: Resources::default(),
            reserved: Resources::default(),
            unqueried: free,
            best_effort: worker.best_effort > 0,
            services: worker.services > 0,
            suspect: false,
            long_lease: false,
            cold: false,
            starts: false,
        };
        if let Some(entry) = self.workers.get_mut(index.position()) {
            *entry = Some(capacity);
        }
    }

    /// Assigns an index to each failure domain, after all workers were added.
    pub(crate) fn number_domains(&mut self) {
        let mut numbers: BTreeMap<&str, u64> = BTreeMap::new();
        for capacity in self.workers.iter().flatten() {
            numbers.insert(&capacity.worker.incarnation.domain, 0);
        }
        for (index, number) in (0..).zip(numbers.values_mut()) {
            *number = index;
        }
        for capacity in self.workers.iter_mut().flatten() {
            let found = numbers.get(capacity.worker.incarnation.domain.as_str());
            capacity.domain = found.copied().unwrap_or_default();
        }
        self.domains = numbers.len().max(1) as u64;
    }

    pub(crate) fn get(&self, index: WorkerIndex) -> Option<&WorkerCapacity<'a>> {
        self.workers.get(index.position())?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, index: WorkerIndex) -> Option<&mut WorkerCapacity<'a>> {
        self.workers.get_mut(index.position())?.as_mut()
    }

    pub(crate) fn pool(&self, name: &str) -> Option<&PoolCapacity> {
        self.pools.get(name)
    }

    /// Takes resources from a worker and its pool.
    pub(crate) fn take(&mut self, index: WorkerIndex, demand: &Resources) {
        let Some(capacity) = self.get_mut(index) else {
            return;
        };
        capacity.free = capacity.free.minus(demand);
        capacity.unqueried = capacity.unqueried.minus(demand);
        let worker: &'a Worker = capacity.worker;
        if let Some(pool) = self.pools.get_mut(worker.incarnation.pool.as_str()) {
            pool.free = pool.free.minus(demand);
        }
    }
}
