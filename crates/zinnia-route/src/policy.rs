//! What varies between our routing and the baseline, as closures.

use std::fmt;

use rand::Rng;
use rand::rngs::SmallRng;

/// Load of one worker for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls that it runs at the same time; 1 while it proves itself after an ejection.
    pub slots: u32,
    /// Connections that it accepts.
    pub max_connections: u32,
    /// Dispatches that wait for an answer.
    pub active: u32,
    /// Connections in use, given-up dispatches included.
    pub open: u32,
    /// Whether it may get anything: it is not leaving, ejected or to be avoided.
    pub usable: bool,
}

impl Load {
    /// Whether a slot and a connection are free.
    pub fn is_free(&self) -> bool {
        self.usable && self.active < self.slots && self.open < self.max_connections
    }

    /// Whether `self` is less loaded than `other`, relative to the slots.
    pub fn is_below(&self, other: &Self) -> bool {
        let a = u64::from(self.open) * u64::from(other.slots);
        let b = u64::from(other.open) * u64::from(self.slots);
        a < b
    }
}

/// Loads of all workers of a service.
pub struct View<'a> {
    /// Number of workers.
    pub len: usize,
    /// Load of the worker with this index.
    pub load: &'a dyn Fn(usize) -> Load,
}

impl fmt::Debug for View<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list()
            .entries((0..self.len).map(|i| (self.load)(i)))
            .finish()
    }
}

/// What is known when a call asks for admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pressure {
    /// Waiting calls of the service.
    pub queued: usize,
    /// Of these, calls of the same team.
    pub own: usize,
    /// Slots of all usable workers of the service.
    pub slots: u64,
    /// Calls that these workers hold, those of other VMs included as far as known.
    pub held: u64,
    /// The team's part of the shares of all teams that wait, 0 to 1.
    pub part: f64,
    /// Recent mean time in milliseconds from dispatch to answer; 0 when unknown.
    pub mean_ms: f64,
    /// Time in milliseconds to the deadline of the call.
    pub left_ms: u64,
    /// Longest expected wait in milliseconds, from the settings.
    pub wait_ms: u64,
}

impl Pressure {
    /// Expected wait in milliseconds until the call gets a slot.
    ///
    /// Between teams the queue is fair: a team waits for its own calls at its part of the slots, but
    /// never longer than for all calls before it. At a worker that holds more calls than it has slots,
    /// since other VMs use it too, the excess part of the mean time is spent waiting there.
    pub fn expected_ms(&self) -> f64 {
        if self.slots == 0 {
            return 0.0;
        }
        let alone = self.queued as f64;
        let fair = self.own as f64 / self.part.max(1e-6);
        let here = alone.min(fair) / self.slots as f64;
        let excess = self.held.saturating_sub(self.slots) as f64;
        let there = excess / self.held.max(1) as f64;
        (here + there) * self.mean_ms
    }
}

type Pick = dyn Fn(&View<'_>, &mut SmallRng) -> Option<usize> + Send + Sync;
type Admit = dyn Fn(&Pressure) -> bool + Send + Sync;

/// Choice of workers and admission of calls.
pub struct Policy {
    /// Picks a worker, or none when the call is to wait.
    pub pick: Box<Pick>,
    /// Whether a call may wait; false refuses it at once.
    pub admit: Box<Admit>,
    /// Whether the queue bound, the retry budget and ejection apply.
    pub guarded: bool,
}

impl fmt::Debug for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Policy")
            .field("guarded", &self.guarded)
            .finish_non_exhaustive()
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            pick: Box::new(better_of_two),
            admit: Box::new(|p| p.expected_ms() <= p.wait_ms.min(p.left_ms) as f64),
            guarded: true,
        }
    }
}

impl Policy {
    /// Random choice and an unlimited queue, for comparison.
    pub fn baseline() -> Self {
        Self {
            pick: Box::new(any),
            admit: Box::new(|_| true),
            guarded: false,
        }
    }
}

/// The less loaded of two random workers; when neither is free, a scan for one that is.
fn better_of_two(view: &View<'_>, rng: &mut SmallRng) -> Option<usize> {
    if view.len == 0 {
        return None;
    }
    let a = rng.random_range(0..view.len);
    let b = rng.random_range(0..view.len);
    let (load_a, load_b) = ((view.load)(a), (view.load)(b));
    match (load_a.is_free(), load_b.is_free()) {
        (true, true) if load_b.is_below(&load_a) => Some(b),
        (true, _) => Some(a),
        (false, true) => Some(b),
        (false, false) => first_free(view, a),
    }
}

/// The first free worker from `start` on, cyclically.
fn first_free(view: &View<'_>, start: usize) -> Option<usize> {
    let cycle = (start..view.len).chain(0..start);
    cycle.into_iter().find(|i| (view.load)(*i).is_free())
}

/// Any worker with a free connection, whatever its load.
fn any(view: &View<'_>, rng: &mut SmallRng) -> Option<usize> {
    if view.len == 0 {
        return None;
    }
    let start = rng.random_range(0..view.len);
    let cycle = (start..view.len).chain(0..start);
    cycle.into_iter().find(|i| {
        let load = (view.load)(*i);
        load.usable && load.open < load.max_connections
    })
}
