//! Endpoints of one service.

use std::collections::BTreeMap;

use zinnia_types::Time;
use zinnia_types::WorkerId;

use crate::Load;
use crate::RetrySettings;
use crate::budget::Budget;
use crate::call::Attempt;
use crate::fleet::Target;
use crate::queue::Queue;

/// A worker that runs the service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Endpoint {
    pub(crate) worker: WorkerId,
    pub(crate) generation: u64,
    pub(crate) slots: u32,
    pub(crate) max_connections: u32,
    pub(crate) active: u32,
    pub(crate) open: u32,
    /// The worker was full: nothing is sent to it before this time.
    pub(crate) full_until: Time,
    /// Calls of other VMs at the worker, and until when that is taken as true.
    foreign: (u32, Time),
    /// Copy of the worker's state, since a choice looks at many endpoints.
    pub(crate) target: Target,
}

impl Endpoint {
    /// The worker told that it held this many calls of all VMs.
    pub(crate) fn told(&mut self, held: u32, now: Time) {
        // Own calls that are under way to the worker are not among those it held.
        let calls = held.saturating_sub(self.open);
        self.foreign = (calls, now.after(FOREIGN_MS));
    }

    /// Calls of other VMs, as far as known.
    fn foreign(&self, now: Time) -> u32 {
        let (calls, until) = self.foreign;
        if now < until { calls } else { 0 }
    }

    /// Load as the policy sees it.
    pub(crate) fn load(&self, now: Time) -> Load {
        let health = &self.target.health;
        Load {
            slots: if health.proving { 1 } else { self.slots },
            max_connections: self.max_connections,
            active: self.active,
            open: self.open,
            usable: !self.target.leaving && !health.is_ejected(now) && self.full_until <= now,
        }
    }
}

/// One service: its endpoints and waiting calls.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub(crate) endpoints: Vec<Endpoint>,
    index: BTreeMap<WorkerId, usize>,
    pub(crate) queue: Queue,
    pub(crate) budget: Budget,
    /// Mean time in milliseconds from dispatch to answer, weighted towards recent ones.
    pub(crate) mean_ms: f64,
    /// Slots of all usable endpoints, calls that they hold, and when that was counted.
    room: (u64, u64, Time),
    /// Since when no worker runs the service.
    pub(crate) empty: Option<Time>,
}

/// What a worker told of other VMs' calls is forgotten after this many milliseconds.
///
/// It only serves to estimate waits. Choosing workers by it made waits longer at 70 and 95% load, since
/// it is about as old as a call is long, and several VMs attempt to the same worker.
const FOREIGN_MS: u64 = 200;
/// Age in milliseconds up to which a count of slots is good enough to estimate a wait.
const COUNT_MS: u64 = 50;
/// Weight of one answer in the mean: about the last 50 answers count.
const MEAN_WEIGHT: f64 = 0.02;

impl Service {
    pub(crate) fn new(settings: &RetrySettings) -> Self {
        Self {
            endpoints: Vec::new(),
            index: BTreeMap::new(),
            queue: Queue::default(),
            budget: Budget::new(settings),
            mean_ms: 0.0,
            room: (0, 0, Time(0)),
            empty: None,
        }
    }

    /// Adds an endpoint, or changes its bounds.
    pub(crate) fn add(
        &mut self,
        worker: WorkerId,
        generation: u64,
        slots: u32,
        max_connections: u32,
    ) {
        if let Some(end) = self.get_mut(worker) {
            end.slots = slots;
            end.max_connections = max_connections;
            return;
        }
        self.empty = None;
        self.index.insert(worker, self.endpoints.len());
        self.endpoints.push(Endpoint {
            worker,
            generation,
            slots,
            max_connections,
            active: 0,
            open: 0,
            full_until: Time(0),
            foreign: (0, Time(0)),
            target: Target::default(),
        });
    }

    pub(crate) fn remove(&mut self, worker: WorkerId, now: Time) {
        let Some(at) = self.index.remove(&worker) else {
            return;
        };
        self.endpoints.swap_remove(at);
        if let Some(moved) = self.endpoints.get(at) {
            self.index.insert(moved.worker, at);
        }
        if self.endpoints.is_empty() {
            self.empty = Some(now);
        }
    }

    pub(crate) fn get_mut(&mut self, worker: WorkerId) -> Option<&mut Endpoint> {
        let at = *self.index.get(&worker)?;
        self.endpoints.get_mut(at)
    }

    /// The endpoint of `attempt`, unless it went meanwhile.
    pub(crate) fn of(&mut self, attempt: &Attempt) -> Option<&mut Endpoint> {
        let end = self.get_mut(attempt.worker)?;
        (end.generation == attempt.generation).then_some(end)
    }

    /// Slots of all usable endpoints and the calls that they hold, at most [`COUNT_MS`] old.
    pub(crate) fn room(&mut self, now: Time) -> (u64, u64) {
        let (slots, held, at) = self.room;
        if slots > 0 && now.since(at) < COUNT_MS {
            return (slots, held);
        }
        let (mut slots, mut held) = (0, 0);
        for end in &self.endpoints {
            let load = end.load(now);
            if load.usable {
                slots += u64::from(load.slots);
                held += u64::from(load.open) + u64::from(end.foreign(now));
            }
        }
        self.room = (slots, held, now);
        (slots, held)
    }

    /// Takes an answer time into the mean.
    pub(crate) fn took(&mut self, ms: u64) {
        let ms = ms as f64;
        if self.mean_ms == 0.0 {
            self.mean_ms = ms;
        } else {
            self.mean_ms += (ms - self.mean_ms) * MEAN_WEIGHT;
        }
    }
}
