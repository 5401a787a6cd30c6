//! A service: its endpoints and its queue.

use std::collections::BTreeMap;

use zinnia_types::Time;
use zinnia_types::WorkerId;

use crate::EndpointLoad;
use crate::RetrySettings;
use crate::call::Attempt;
use crate::queue::Queue;
use crate::retry_budget::RetryBudget;
use crate::workers::WorkerState;

/// A worker that serves the service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Endpoint {
    pub(crate) worker: WorkerId,
    /// Distinguishes the endpoint from an earlier one of the same worker.
    pub(crate) generation: u64,
    pub(crate) slots: u32,
    pub(crate) max_connections: u32,
    /// Attempts that wait for an answer.
    pub(crate) active_calls: u32,
    /// Connections in use, including those of abandoned attempts.
    pub(crate) open_connections: u32,
    /// The worker reported that it is busy and gets no calls before this time.
    pub(crate) busy_until: Time,
    /// Calls from other VMs that the worker has in flight, and when this report expires.
    remote_load: (u32, Time),
    /// Copy of the worker's state; avoids a map lookup per endpoint when a worker is selected.
    pub(crate) worker_state: WorkerState,
}

impl Endpoint {
    /// Records the calls in flight from all VMs that the worker reported.
    pub(crate) fn record_remote_load(&mut self, in_flight: u32, now: Time) {
        // Own requests that have not reached the worker yet are not part of the report.
        let calls = in_flight.saturating_sub(self.open_connections);
        self.remote_load = (calls, now.after(REMOTE_LOAD_TTL_MS));
    }

    /// Calls from other VMs by the last report; 0 once it has expired.
    fn remote_load(&self, now: Time) -> u32 {
        let (calls, until) = self.remote_load;
        if now < until { calls } else { 0 }
    }

    /// Load as input of the policy.
    pub(crate) fn load(&self, now: Time) -> EndpointLoad {
        let health = &self.worker_state.health;
        EndpointLoad {
            slots: if health.half_open { 1 } else { self.slots },
            max_connections: self.max_connections,
            active_calls: self.active_calls,
            open_connections: self.open_connections,
            eligible: !self.worker_state.draining
                && !health.is_ejected(now)
                && self.busy_until <= now,
        }
    }
}

/// Endpoints, queued calls and retry budget of a service.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub(crate) endpoints: Vec<Endpoint>,
    /// Position in `endpoints` by worker.
    index: BTreeMap<WorkerId, usize>,
    pub(crate) queue: Queue,
    pub(crate) budget: RetryBudget,
    /// Exponentially weighted mean latency in milliseconds from dispatch to answer.
    pub(crate) mean_ms: f64,
    /// Slots of all eligible endpoints, their calls in flight, and when they were counted.
    capacity: (u64, u64, Time),
    /// Time since which no worker serves the service.
    pub(crate) empty_since: Option<Time>,
}

/// Time in milliseconds after which a worker's report of calls from other VMs expires.
///
/// The report is used only to estimate waits. Selecting workers by it increased waits at 70% and 95%
/// load: the report is about as old as a call is long, so several VMs choose the same worker.
const REMOTE_LOAD_TTL_MS: u64 = 200;
/// Time in milliseconds for which a count of slots is reused to estimate waits.
const CAPACITY_TTL_MS: u64 = 50;
/// Weight of one answer in the mean latency; averages over about the last 50 answers.
const MEAN_WEIGHT: f64 = 0.02;

impl Service {
    pub(crate) fn new(settings: &RetrySettings) -> Self {
        Self {
            endpoints: Vec::new(),
            index: BTreeMap::new(),
            queue: Queue::default(),
            budget: RetryBudget::new(settings),
            mean_ms: 0.0,
            capacity: (0, 0, Time(0)),
            empty_since: None,
        }
    }

    /// Adds an endpoint or updates its limits.
    pub(crate) fn upsert(
        &mut self,
        worker: WorkerId,
        generation: u64,
        slots: u32,
        max_connections: u32,
    ) {
        if let Some(endpoint) = self.get_mut(worker) {
            endpoint.slots = slots;
            endpoint.max_connections = max_connections;
            return;
        }
        self.empty_since = None;
        self.index.insert(worker, self.endpoints.len());
        self.endpoints.push(Endpoint {
            worker,
            generation,
            slots,
            max_connections,
            active_calls: 0,
            open_connections: 0,
            busy_until: Time(0),
            remote_load: (0, Time(0)),
            worker_state: WorkerState::default(),
        });
    }

    pub(crate) fn remove(&mut self, worker: WorkerId, now: Time) {
        let Some(index) = self.index.remove(&worker) else {
            return;
        };
        self.endpoints.swap_remove(index);
        if let Some(moved) = self.endpoints.get(index) {
            self.index.insert(moved.worker, index);
        }
        if self.endpoints.is_empty() {
            self.empty_since = Some(now);
        }
    }

    pub(crate) fn get_mut(&mut self, worker: WorkerId) -> Option<&mut Endpoint> {
        let index = *self.index.get(&worker)?;
        self.endpoints.get_mut(index)
    }

    /// The endpoint of `attempt`, unless it was removed since the dispatch.
    pub(crate) fn endpoint_of(&mut self, attempt: &Attempt) -> Option<&mut Endpoint> {
        let endpoint = self.get_mut(attempt.worker)?;
        (endpoint.generation == attempt.generation).then_some(endpoint)
    }

    /// Slots of all eligible endpoints and their calls in flight, at most [`CAPACITY_TTL_MS`] old.
    pub(crate) fn capacity(&mut self, now: Time) -> (u64, u64) {
        let (slots, in_flight, counted_at) = self.capacity;
        if slots > 0 && now.since(counted_at) < CAPACITY_TTL_MS {
            return (slots, in_flight);
        }
        let (mut slots, mut in_flight) = (0, 0);
        for endpoint in &self.endpoints {
            let load = endpoint.load(now);
            if load.eligible {
                slots += u64::from(load.slots);
                in_flight +=
                    u64::from(load.open_connections) + u64::from(endpoint.remote_load(now));
            }
        }
        self.capacity = (slots, in_flight, now);
        (slots, in_flight)
    }

    /// Updates the mean latency with that of one answer.
    pub(crate) fn record_latency(&mut self, ms: u64) {
        let ms = ms as f64;
        if self.mean_ms == 0.0 {
            self.mean_ms = ms;
        } else {
            self.mean_ms += (ms - self.mean_ms) * MEAN_WEIGHT;
        }
    }
}
