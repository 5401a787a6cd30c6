//! Waits and refusals under load, in virtual time: our routing beside the baseline.
//!
//! 35 workers of 8 slots serve one service with exponential run times of 20 ms on average. One worker
//! takes five times as long, one answers every call with an error after 1 ms. Callers give up
//! after 2 s; four of five calls may be repeated. The load is given in percent of 35 sound workers;
//! with the two bad ones the fleet has 95% of that. The calls are spread over one or six VMs, each
//! with its own router that sees its own dispatches and, in the variant `ours`, how many calls the
//! worker held at each answer.
//!
//! Run with `cargo run --release -p zinnia-route --example load`.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use zinnia_types::Code;
use zinnia_types::NameError;
use zinnia_types::ServiceId;
use zinnia_types::TeamId;
use zinnia_types::Time;
use zinnia_types::WorkerId;

use zinnia_route::Action;
use zinnia_route::AttemptError;
use zinnia_route::CallId;
use zinnia_route::Event;
use zinnia_route::Policy;
use zinnia_route::Router;
use zinnia_route::Settings;

const WORKERS: usize = 35;
const SLOTS: usize = 8;
const CONNECTIONS: usize = 64;
/// Mean run time in microseconds.
const RUN_US: f64 = 20_000.0;
/// Time in microseconds that the failing worker takes.
const FAIL_US: u64 = 1_000;
const SLOW: f64 = 5.0;
const DEADLINE_MS: u64 = 2_000;
/// Virtual length of a run in microseconds, and the part that is not counted.
const LENGTH_US: u64 = 60_000_000;
const WARM_US: u64 = 10_000_000;
const TEAMS: usize = 6;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrival,
    /// The dispatch ends on this worker.
    End {
        worker: usize,
        id: u64,
        attempt: u32,
    },
    Tick(usize),
}

#[derive(Default)]
struct Worker {
    running: Vec<(u64, u32)>,
    queue: VecDeque<(u64, u32)>,
}

/// One run.
struct World {
    routers: Vec<Router>,
    /// When the next tick of each router is due.
    ticks: Vec<u64>,
    rng: SmallRng,
    now: u64,
    heap: BinaryHeap<Reverse<(u64, u64, Due)>>,
    order: u64,
    workers: Vec<Worker>,
    ids: BTreeMap<WorkerId, usize>,
    names: Vec<WorkerId>,
    /// Whether answers carry the load of their worker.
    told: bool,
    faulty: bool,
    /// Arrival and start of the last run of each call in flight.
    calls: BTreeMap<u64, (u64, u64)>,
    next_id: u64,
    result: Outcome,
}

#[derive(Default)]
struct Outcome {
    calls: u64,
    waits: Vec<u64>,
    refused: BTreeMap<&'static str, u64>,
    steps: u64,
}

fn text(code: Code) -> &'static str {
    match code {
        Code::Overloaded => "overloaded",
        Code::Timeout => "timeout",
        Code::Internal => "error",
        _ => "other",
    }
}

impl World {
    fn new(vms: usize, variant: &Variant, faulty: bool, seed: u64) -> Result<Self, NameError> {
        let routers = (0..vms).map(|vm| {
            let settings = Settings {
                seed: seed + vm as u64,
                ..Settings::default()
            };
            Router::with_policy(settings, (variant.policy)())
        });
        let mut world = Self {
            routers: routers.collect(),
            ticks: vec![u64::MAX; vms],
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            heap: BinaryHeap::new(),
            order: 0,
            workers: (0..WORKERS).map(|_| Worker::default()).collect(),
            ids: BTreeMap::new(),
            names: Vec::new(),
            told: variant.told,
            faulty,
            calls: BTreeMap::new(),
            next_id: 0,
            result: Outcome::default(),
        };
        let service = ServiceId::new("quote")?;
        for n in 0..WORKERS {
            let worker = WorkerId::new(&format!("w{n}"))?;
            world.ids.insert(worker, n);
            world.names.push(worker);
            for vm in 0..vms {
                world.step(
                    vm,
                    Event::EndpointUpdated {
                        service,
                        worker,
                        slots: SLOTS as u32,
                        max_connections: CONNECTIONS as u32,
                    },
                );
            }
        }
        for n in 0..TEAMS {
            let team = TeamId::new(&format!("t{n}"))?;
            let (max_calls, share) = (100_000, 1);
            for vm in 0..vms {
                world.step(
                    vm,
                    Event::TeamLimits {
                        team,
                        max_calls,
                        share,
                    },
                );
            }
        }
        Ok(world)
    }

    fn at(&mut self, time: u64, due: Due) {
        self.order += 1;
        self.heap.push(Reverse((time, self.order, due)));
    }

    /// Exponentially distributed with this mean.
    fn random(&mut self, mean: f64) -> f64 {
        let u: f64 = self.rng.random_range(0.0..1.0);
        -mean * (1.0 - u).ln()
    }

    fn time(&self) -> Time {
        Time(self.now / 1_000)
    }

    fn step(&mut self, vm: usize, event: Event) {
        let mut events = VecDeque::from([event]);
        let now = self.time();
        while let Some(event) = events.pop_front() {
            self.result.steps += 1;
            for action in self.routers[vm].step(event, now) {
                events.extend(self.perform(action));
            }
        }
        let wake = self.routers[vm].next_tick(now).0 * 1_000;
        if wake < self.ticks[vm] || self.ticks[vm] <= self.now {
            self.ticks[vm] = wake;
            self.at(wake, Due::Tick(vm));
        }
    }

    /// The VM that has a call; numbers are dealt out in attempt.
    fn vm_of(&self, id: u64) -> usize {
        id as usize % self.routers.len()
    }

    fn perform(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Dispatch {
                id,
                turn: attempt,
                worker,
            } => {
                let at = *self.ids.get(&worker)?;
                let state = &mut self.workers[at];
                if state.running.len() + state.queue.len() >= CONNECTIONS {
                    let error = AttemptError::Busy;
                    return Some(Event::Failed { id, attempt, error });
                }
                state.queue.push_back((id.0, attempt));
                self.run_next(at);
            }
            Action::Abandon { id, turn: attempt } => {
                // A call that has begun runs to its end; one that waits is dropped with its connection.
                for state in &mut self.workers {
                    state.queue.retain(|w| *w != (id.0, attempt));
                }
                let error = AttemptError::ConnectionLost;
                return Some(Event::Failed { id, attempt, error });
            }
            Action::Deliver { id, .. } => {
                if let Some((arrived, began)) = self.calls.remove(&id.0)
                    && arrived >= WARM_US
                {
                    self.result.waits.push(began - arrived);
                }
            }
            Action::Refuse { id, code, .. } => {
                if let Some((arrived, _)) = self.calls.remove(&id.0)
                    && arrived >= WARM_US
                {
                    *self.result.refused.entry(text(code)).or_default() += 1;
                }
            }
            Action::Eject { .. } => {}
        }
        None
    }

    fn run_next(&mut self, at: usize) {
        while self.workers[at].running.len() < SLOTS {
            let Some((id, attempt)) = self.workers[at].queue.pop_front() else {
                return;
            };
            self.workers[at].running.push((id, attempt));
            if let Some(call) = self.calls.get_mut(&id) {
                call.1 = self.now;
            }
            let took = match at {
                0 if self.faulty => self.random(RUN_US * SLOW) as u64,
                1 if self.faulty => FAIL_US,
                _ => self.random(RUN_US) as u64,
            };
            let due = Due::End {
                worker: at,
                id,
                attempt,
            };
            self.at(self.now + took, due);
        }
    }

    fn run(mut self, load: f64) -> Result<Outcome, NameError> {
        let service = ServiceId::new("quote")?;
        let gap = RUN_US / (load * (WORKERS * SLOTS) as f64);
        // Fractions of a microsecond add up, so that short gaps are not rounded away.
        let mut next = 0.0;
        self.at(0, Due::Arrival);
        while let Some(Reverse((time, _, due))) = self.heap.pop() {
            self.now = time;
            match due {
                Due::Arrival => {
                    if time > LENGTH_US {
                        break;
                    }
                    let id = self.next_id;
                    self.next_id += 1;
                    self.calls.insert(id, (time, time));
                    self.result.calls += u64::from(time >= WARM_US);
                    let team = TeamId::new(&format!("t{}", self.rng.random_range(0..TEAMS)))?;
                    let retryable = self.rng.random_range(0..5) > 0;
                    let call = Event::Call {
                        id: CallId(id),
                        team,
                        service,
                        retryable,
                        deadline: self.time().after(DEADLINE_MS),
                    };
                    self.step(self.vm_of(id), call);
                    next += self.random(gap);
                    self.at(next as u64, Due::Arrival);
                }
                Due::End {
                    worker,
                    id,
                    attempt,
                } => {
                    self.workers[worker].running.retain(|r| *r != (id, attempt));
                    self.run_next(worker);
                    let vm = self.vm_of(id);
                    if self.told {
                        let state = &self.workers[worker];
                        let in_flight = (state.running.len() + state.queue.len() + 1) as u32;
                        let worker = self.names[worker];
                        self.step(
                            vm,
                            Event::WorkerLoad {
                                service,
                                worker,
                                in_flight,
                            },
                        );
                    }
                    let id = CallId(id);
                    let error = AttemptError::WorkerError;
                    let event = match worker {
                        1 if self.faulty => Event::Failed { id, attempt, error },
                        _ => Event::Answered { id, attempt },
                    };
                    self.step(vm, event);
                }
                Due::Tick(vm) => self.step(vm, Event::Tick),
            }
        }
        Ok(self.result)
    }
}

/// What is compared.
struct Variant {
    name: &'static str,
    policy: fn() -> Policy,
    /// Whether answers carry the load of their worker.
    told: bool,
}

const VARIANTS: [Variant; 3] = [
    Variant {
        name: "ours",
        policy: Policy::default,
        told: true,
    },
    Variant {
        name: "untold",
        policy: Policy::default,
        told: false,
    },
    Variant {
        name: "baseline",
        policy: Policy::baseline,
        told: false,
    },
];

fn main() -> Result<(), NameError> {
    println!(
        "{:>3} {:>7} {:>5} {:>9} {:>8} {:>9} {:>9} {:>8} {:>8} {:>8} {:>9} {:>9}",
        "VMs",
        "workers",
        "load",
        "policy",
        "calls",
        "wait p50",
        "wait p99",
        "refused",
        "timeout",
        "error",
        "answered",
        "us/step"
    );
    let fleets = [(1, false), (1, true), (6, false), (6, true)];
    for (vms, faulty) in fleets {
        for load in [0.7, 0.95, 1.5] {
            for variant in &VARIANTS {
                let begun = Instant::now();
                let mut result = World::new(vms, variant, faulty, 1)?.run(load)?;
                let wall = begun.elapsed().as_secs_f64() * 1e6;
                result.waits.sort_unstable();
                let at = |q: f64| {
                    let i = (result.waits.len() as f64 * q) as usize;
                    result.waits.get(i).copied().unwrap_or(0) as f64 / 1_000.0
                };
                let part = |n: u64| 100.0 * n as f64 / result.calls as f64;
                let refused = |code: &str| part(result.refused.get(code).copied().unwrap_or(0));
                println!(
                    "{vms:>3} {:>7} {:>4.0}% {:>9} {:>8} {:>6.1} ms {:>6.1} ms {:>7.2}% {:>7.2}% {:>7.2}% {:>8.2}% {:>9.2}",
                    if faulty { "2 bad" } else { "sound" },
                    load * 100.0,
                    variant.name,
                    result.calls,
                    at(0.5),
                    at(0.99),
                    refused("overloaded"),
                    refused("timeout"),
                    refused("error") + refused("other"),
                    part(result.waits.len() as u64),
                    wall / result.steps as f64,
                );
            }
        }
    }
    Ok(())
}
