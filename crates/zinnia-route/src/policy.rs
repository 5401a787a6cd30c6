//! Worker selection and admission, replaceable for comparison with a baseline.

use std::fmt;

use rand::Rng;
use rand::rngs::SmallRng;

/// Load of one worker for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Calls that it runs concurrently; 1 after an ejection until the first success.
    pub slots: u32,
    /// Most concurrent connections that it accepts.
    pub max_connections: u32,
    /// Attempts that wait for an answer.
    pub active_calls: u32,
    /// Connections in use, including those of abandoned attempts.
    pub open_connections: u32,
    /// Whether it may get calls: it is not draining, ejected, busy or to be avoided.
    pub eligible: bool,
}

impl EndpointLoad {
    /// Whether it has a free slot and a free connection.
    pub fn has_capacity(&self) -> bool {
        self.eligible
            && self.active_calls < self.slots
            && self.open_connections < self.max_connections
    }

    /// Whether it has fewer connections per slot than `other`.
    pub fn is_less_loaded(&self, other: &Self) -> bool {
        let a = u64::from(self.open_connections) * u64::from(other.slots);
        let b = u64::from(other.open_connections) * u64::from(self.slots);
        a < b
    }
}

/// Loads of all workers of a service.
pub struct EndpointLoads<'a> {
    /// Number of workers.
    pub len: usize,
    /// Load of the worker with this index.
    pub load: &'a dyn Fn(usize) -> EndpointLoad,
}

impl fmt::Debug for EndpointLoads<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list()
            .entries((0..self.len).map(|i| (self.load)(i)))
            .finish()
    }
}

/// Input of the admission decision for one call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionContext {
    /// Queued calls of the service.
    pub queued: usize,
    /// Queued calls of the same team.
    pub team_queued: usize,
    /// Slots of all eligible workers of the service.
    pub slots: u64,
    /// Calls in flight at these workers, including the reported ones from other VMs.
    pub in_flight: u64,
    /// The team's share divided by the shares of all teams with queued calls, 0 to 1.
    pub share_fraction: f64,
    /// Mean latency in milliseconds from dispatch to answer; 0 when unknown.
    pub mean_ms: f64,
    /// Time in milliseconds to the deadline of the call.
    pub remaining_ms: u64,
    /// Longest accepted wait in milliseconds, from the settings.
    pub wait_ms: u64,
}

impl AdmissionContext {
    /// Expected wait in milliseconds until the call gets a slot.
    ///
    /// The queue is fair between teams: a call waits until the earlier calls of its team are served by
    /// the team's fraction of the slots, and at most until all queued calls are served by all slots. A
    /// worker that other VMs use too may have more calls in flight than slots; the excess fraction of
    /// the mean latency is then spent in the worker's own queue.
    pub fn expected_wait_ms(&self) -> f64 {
        if self.slots == 0 {
            return 0.0;
        }
        let queued = self.queued as f64;
        let team_queued = self.team_queued as f64 / self.share_fraction.max(1e-6);
        let queue_wait = queued.min(team_queued) / self.slots as f64;
        let excess = self.in_flight.saturating_sub(self.slots) as f64;
        let worker_wait = excess / self.in_flight.max(1) as f64;
        (queue_wait + worker_wait) * self.mean_ms
    }
}

type Select = dyn Fn(&EndpointLoads<'_>, &mut SmallRng) -> Option<usize> + Send + Sync;
type Admit = dyn Fn(&AdmissionContext) -> bool + Send + Sync;

/// Worker selection and call admission.
pub struct Policy {
    /// Selects the index of a worker, or `None` to queue the call.
    pub select: Box<Select>,
    /// Whether a call is admitted to the queue; otherwise it is refused.
    pub admit: Box<Admit>,
    /// Whether the queue limit, the team limits, the retry budget and ejection apply.
    pub enforce_limits: bool,
}

impl fmt::Debug for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Policy")
            .field("guarded", &self.enforce_limits)
            .finish_non_exhaustive()
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            select: Box::new(power_of_two_choices),
            admit: Box::new(|c| c.expected_wait_ms() <= c.wait_ms.min(c.remaining_ms) as f64),
            enforce_limits: true,
        }
    }
}

impl Policy {
    /// Random selection and an unlimited queue, for comparison.
    pub fn baseline() -> Self {
        Self {
            select: Box::new(random_connectable),
            admit: Box::new(|_| true),
            enforce_limits: false,
        }
    }
}

/// The less loaded of two random workers; if neither has capacity, the next one that has.
fn power_of_two_choices(loads: &EndpointLoads<'_>, rng: &mut SmallRng) -> Option<usize> {
    if loads.len == 0 {
        return None;
    }
    let a = rng.random_range(0..loads.len);
    let b = rng.random_range(0..loads.len);
    let (load_a, load_b) = ((loads.load)(a), (loads.load)(b));
    match (load_a.has_capacity(), load_b.has_capacity()) {
        (true, true) if load_b.is_less_loaded(&load_a) => Some(b),
        (true, _) => Some(a),
        (false, true) => Some(b),
        (false, false) => first_with_capacity(loads, a),
    }
}

/// The first worker with capacity, searched cyclically from `start`.
fn first_with_capacity(loads: &EndpointLoads<'_>, start: usize) -> Option<usize> {
    let cycle = (start..loads.len).chain(0..start);
    cycle.into_iter().find(|i| (loads.load)(*i).has_capacity())
}

/// A random eligible worker with a free connection, regardless of its active calls.
fn random_connectable(loads: &EndpointLoads<'_>, rng: &mut SmallRng) -> Option<usize> {
    if loads.len == 0 {
        return None;
    }
    let start = rng.random_range(0..loads.len);
    let cycle = (start..loads.len).chain(0..start);
    cycle.into_iter().find(|i| {
        let load = (loads.load)(*i);
        load.eligible && load.open_connections < load.max_connections
    })
}
