//! Simulation of waits and refusals under load, for the default policy and the baseline.
//!
//! 35 workers with 8 slots each serve one service. Service times are exponentially distributed with a
//! mean of 20 ms. In the runs with faulty workers, one worker takes five times as long and one answers
//! every call with an error after 1 ms. Callers time out after 2 s, and four of five calls are
//! retryable. The load is a percentage of the capacity of 35 healthy workers; with the two faulty ones
//! the capacity is 95% of that. Calls are spread over one or six VMs with a router each. A router knows
//! its own attempts and, in the variant `default`, the calls in flight that the worker reports with each
//! answer.
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
/// Mean service time in microseconds.
const SERVICE_TIME_US: f64 = 20_000.0;
/// Service time of the failing worker in microseconds.
const FAILURE_US: u64 = 1_000;
/// Factor on the service time of the slow worker.
const SLOWDOWN: f64 = 5.0;
const DEADLINE_MS: u64 = 2_000;
/// Simulated length of a run in microseconds.
const DURATION_US: u64 = 60_000_000;
/// Warm-up at the start of a run in microseconds, excluded from the results.
const WARM_UP_US: u64 = 10_000_000;
const TEAMS: usize = 6;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrival,
    /// The attempt ends on this worker.
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

/// Discrete-event simulation of one run.
struct Simulation {
    routers: Vec<Router>,
    /// When the next tick of each router is due.
    ticks: Vec<u64>,
    rng: SmallRng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, SimEvent)>>,
    /// Number of scheduled events; breaks ties between events at the same time.
    event_count: u64,
    workers: Vec<Worker>,
    worker_index: BTreeMap<WorkerId, usize>,
    worker_ids: Vec<WorkerId>,
    /// Whether answers report the load of their worker.
    report_load: bool,
    faulty: bool,
    /// Arrival time of each call in flight, and start time of its last run.
    calls: BTreeMap<u64, (u64, u64)>,
    next_id: u64,
    results: Results,
}

#[derive(Default)]
struct Results {
    calls: u64,
    waits: Vec<u64>,
    refused: BTreeMap<&'static str, u64>,
    steps: u64,
}

fn code_name(code: Code) -> &'static str {
    match code {
        Code::Overloaded => "overloaded",
        Code::Timeout => "timeout",
        Code::Internal => "error",
        _ => "other",
    }
}

impl Simulation {
    fn new(vms: usize, variant: &Variant, faulty: bool, seed: u64) -> Result<Self, NameError> {
        let routers = (0..vms).map(|vm| {
            let settings = Settings {
                seed: seed + vm as u64,
                ..Settings::default()
            };
            Router::with_policy(settings, (variant.policy)())
        });
        let mut simulation = Self {
            routers: routers.collect(),
            ticks: vec![u64::MAX; vms],
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            events: BinaryHeap::new(),
            event_count: 0,
            workers: (0..WORKERS).map(|_| Worker::default()).collect(),
            worker_index: BTreeMap::new(),
            worker_ids: Vec::new(),
            report_load: variant.report_load,
            faulty,
            calls: BTreeMap::new(),
            next_id: 0,
            results: Results::default(),
        };
        let service = ServiceId::new("quote")?;
        for n in 0..WORKERS {
            let worker = WorkerId::new(&format!("w{n}"))?;
            simulation.worker_index.insert(worker, n);
            simulation.worker_ids.push(worker);
            for vm in 0..vms {
                simulation.step(
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
                simulation.step(
                    vm,
                    Event::TeamLimits {
                        team,
                        max_calls,
                        share,
                    },
                );
            }
        }
        Ok(simulation)
    }

    fn schedule(&mut self, time: u64, event: SimEvent) {
        self.event_count += 1;
        self.events.push(Reverse((time, self.event_count, event)));
    }

    /// A random number from the exponential distribution with this mean.
    fn exponential(&mut self, mean: f64) -> f64 {
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
            self.results.steps += 1;
            for action in self.routers[vm].step(event, now) {
                events.extend(self.perform(action));
            }
        }
        let next_tick = self.routers[vm].next_tick(now).0 * 1_000;
        if next_tick < self.ticks[vm] || self.ticks[vm] <= self.now {
            self.ticks[vm] = next_tick;
            self.schedule(next_tick, SimEvent::Tick(vm));
        }
    }

    /// The VM that handles a call; call ids are assigned round-robin.
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
                let index = *self.worker_index.get(&worker)?;
                let state = &mut self.workers[index];
                if state.running.len() + state.queue.len() >= CONNECTIONS {
                    let error = AttemptError::Busy;
                    return Some(Event::Failed { id, attempt, error });
                }
                state.queue.push_back((id.0, attempt));
                self.run_next(index);
            }
            Action::Abandon { id, turn: attempt } => {
                // A running call continues; a queued one is dropped with its connection.
                for state in &mut self.workers {
                    state.queue.retain(|w| *w != (id.0, attempt));
                }
                let error = AttemptError::ConnectionLost;
                return Some(Event::Failed { id, attempt, error });
            }
            Action::Deliver { id, .. } => {
                if let Some((arrived, started)) = self.calls.remove(&id.0)
                    && arrived >= WARM_UP_US
                {
                    self.results.waits.push(started - arrived);
                }
            }
            Action::Refuse { id, code, .. } => {
                if let Some((arrived, _)) = self.calls.remove(&id.0)
                    && arrived >= WARM_UP_US
                {
                    *self.results.refused.entry(code_name(code)).or_default() += 1;
                }
            }
            Action::Eject { .. } => {}
        }
        None
    }

    fn run_next(&mut self, index: usize) {
        while self.workers[index].running.len() < SLOTS {
            let Some((id, attempt)) = self.workers[index].queue.pop_front() else {
                return;
            };
            self.workers[index].running.push((id, attempt));
            if let Some(call) = self.calls.get_mut(&id) {
                call.1 = self.now;
            }
            let service_time = match index {
                0 if self.faulty => self.exponential(SERVICE_TIME_US * SLOWDOWN) as u64,
                1 if self.faulty => FAILURE_US,
                _ => self.exponential(SERVICE_TIME_US) as u64,
            };
            let event = SimEvent::End {
                worker: index,
                id,
                attempt,
            };
            self.schedule(self.now + service_time, event);
        }
    }

    fn run(mut self, load: f64) -> Result<Results, NameError> {
        let service = ServiceId::new("quote")?;
        let mean_interval = SERVICE_TIME_US / (load * (WORKERS * SLOTS) as f64);
        // Kept as a fraction, so that rounding does not drop short intervals.
        let mut next = 0.0;
        self.schedule(0, SimEvent::Arrival);
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            match event {
                SimEvent::Arrival => {
                    if time > DURATION_US {
                        break;
                    }
                    let id = self.next_id;
                    self.next_id += 1;
                    self.calls.insert(id, (time, time));
                    self.results.calls += u64::from(time >= WARM_UP_US);
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
                    next += self.exponential(mean_interval);
                    self.schedule(next as u64, SimEvent::Arrival);
                }
                SimEvent::End {
                    worker,
                    id,
                    attempt,
                } => {
                    self.workers[worker].running.retain(|r| *r != (id, attempt));
                    self.run_next(worker);
                    let vm = self.vm_of(id);
                    if self.report_load {
                        let state = &self.workers[worker];
                        let in_flight = (state.running.len() + state.queue.len() + 1) as u32;
                        let worker = self.worker_ids[worker];
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
                SimEvent::Tick(vm) => self.step(vm, Event::Tick),
            }
        }
        Ok(self.results)
    }
}

/// Variant of the routing to compare.
struct Variant {
    name: &'static str,
    policy: fn() -> Policy,
    /// Whether answers report the load of their worker.
    report_load: bool,
}

const VARIANTS: [Variant; 3] = [
    Variant {
        name: "default",
        policy: Policy::default,
        report_load: true,
    },
    Variant {
        name: "no reports",
        policy: Policy::default,
        report_load: false,
    },
    Variant {
        name: "baseline",
        policy: Policy::baseline,
        report_load: false,
    },
];

fn main() -> Result<(), NameError> {
    println!(
        "{:>3} {:>8} {:>5} {:>10} {:>8} {:>9} {:>9} {:>8} {:>8} {:>8} {:>9} {:>9}",
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
    let scenarios = [(1, false), (1, true), (6, false), (6, true)];
    for (vms, faulty) in scenarios {
        for load in [0.7, 0.95, 1.5] {
            for variant in &VARIANTS {
                let started = Instant::now();
                let mut results = Simulation::new(vms, variant, faulty, 1)?.run(load)?;
                let wall_us = started.elapsed().as_secs_f64() * 1e6;
                results.waits.sort_unstable();
                let percentile_ms = |q: f64| {
                    let i = (results.waits.len() as f64 * q) as usize;
                    results.waits.get(i).copied().unwrap_or(0) as f64 / 1_000.0
                };
                let percent = |n: u64| 100.0 * n as f64 / results.calls as f64;
                let refused = |code: &str| percent(results.refused.get(code).copied().unwrap_or(0));
                println!(
                    "{vms:>3} {:>8} {:>4.0}% {:>10} {:>8} {:>6.1} ms {:>6.1} ms {:>7.2}% {:>7.2}% {:>7.2}% {:>8.2}% {:>9.2}",
                    if faulty { "2 faulty" } else { "healthy" },
                    load * 100.0,
                    variant.name,
                    results.calls,
                    percentile_ms(0.5),
                    percentile_ms(0.99),
                    refused("overloaded"),
                    refused("timeout"),
                    refused("error") + refused("other"),
                    percent(results.waits.len() as u64),
                    wall_us / results.steps as f64,
                );
            }
        }
    }
    Ok(())
}
