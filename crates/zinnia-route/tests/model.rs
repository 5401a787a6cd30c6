//! Property test of the router against a model of callers, workers and connections.
//!
//! Reports of attempts are lost, duplicated, late and out of order, workers drain and come and go, and
//! the router is not called for seconds. The guarantees to callers (P5 to P9) are checked at each step.

#![expect(clippy::unwrap_used, reason = "test helpers panic to fail the test")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use zinnia_types::Code;
use zinnia_types::ExecutionStatus;
use zinnia_types::Time;
use zinnia_types::WorkerId;

use common::call;
use common::endpoint;
use common::team;
use common::worker;
use zinnia_route::Action;
use zinnia_route::AttemptError;
use zinnia_route::CallId;
use zinnia_route::Event;
use zinnia_route::Router;
use zinnia_route::Settings;

mod common;

const SLOTS: u32 = 2;

#[derive(Clone, Debug)]
enum Op {
    /// A new call of a team.
    Call {
        team: usize,
        retryable: bool,
        ms: u64,
    },
    /// A duplicate event of an earlier call.
    DuplicateCall(usize),
    /// An open attempt ends; its report is delivered or lost.
    End {
        index: usize,
        outcome: u8,
        lost: bool,
    },
    /// An earlier report is delivered again.
    DuplicateReport(usize),
    Cancel(usize),
    UpdateEndpoint(usize),
    DrainWorker(usize),
    RemoveWorker(usize),
    /// Time passes with ticks when they are due.
    Wait(u64),
    /// Time passes without ticks.
    Pause(u64),
    Drain,
}

fn op() -> impl Strategy<Value = Op> {
    let index = any::<usize>;
    prop_oneof![
        20 => (0..3usize, any::<bool>(), 1..3_000u64)
            .prop_map(|(team, retryable, ms)| Op::Call { team, retryable, ms }),
        2 => index().prop_map(Op::DuplicateCall),
        24 => (index(), 0..8u8, proptest::bool::weighted(0.1))
            .prop_map(|(index, outcome, lost)| Op::End { index, outcome, lost }),
        4 => index().prop_map(Op::DuplicateReport),
        2 => index().prop_map(Op::Cancel),
        4 => (0..4usize).prop_map(Op::UpdateEndpoint),
        1 => (0..4usize).prop_map(Op::DrainWorker),
        1 => (0..4usize).prop_map(Op::RemoveWorker),
        8 => (1..200u64).prop_map(Op::Wait),
        1 => (1..9_000u64).prop_map(Op::Pause),
        1 => proptest::bool::weighted(0.05).prop_map(|drain| if drain { Op::Drain } else { Op::Wait(1) }),
    ]
}

/// State of a call as its caller and the workers see it.
#[derive(Default)]
struct CallState {
    retryable: bool,
    deadline: Time,
    dispatches: u32,
    /// Whether part of it may have reached a worker, and whether a worker certainly ran it.
    sent: bool,
    ran: bool,
    answers: u32,
    cancelled: bool,
    before_drain: bool,
}

struct Simulation {
    router: Router,
    now: Time,
    calls: BTreeMap<CallId, CallState>,
    ids: Vec<CallId>,
    /// Attempts that have not ended.
    open: Vec<(CallId, u32, WorkerId)>,
    /// Attempts that the router counts as active: neither abandoned nor reported as ended.
    active: BTreeMap<(CallId, u32), WorkerId>,
    answered: BTreeSet<(CallId, u32)>,
    reports: Vec<Event>,
    draining_workers: BTreeSet<WorkerId>,
    ejected: BTreeMap<WorkerId, Time>,
    draining: bool,
}

impl Simulation {
    fn new() -> Self {
        let mut settings = Settings::default();
        settings.queue.max_calls = 12;
        settings.queue.team_calls = 10;
        let mut simulation = Self {
            router: Router::new(settings),
            now: Time(1),
            calls: BTreeMap::new(),
            ids: Vec::new(),
            open: Vec::new(),
            active: BTreeMap::new(),
            answered: BTreeSet::new(),
            reports: Vec::new(),
            draining_workers: BTreeSet::new(),
            ejected: BTreeMap::new(),
            draining: false,
        };
        for n in 0..4 {
            simulation.step(endpoint(n, SLOTS));
        }
        let (max_calls, share) = (8, 3);
        simulation.step(Event::TeamLimits {
            team: team(1),
            max_calls,
            share,
        });
        simulation
    }

    fn step(&mut self, event: Event) {
        for action in self.router.step(event, self.now) {
            self.perform(action);
        }
        let mut active_counts: BTreeMap<WorkerId, u32> = BTreeMap::new();
        for worker in self.active.values() {
            *active_counts.entry(*worker).or_default() += 1;
        }
        let overloaded = active_counts.iter().find(|(_, n)| **n > SLOTS);
        assert_eq!(overloaded, None, "more active attempts than slots");
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Dispatch {
                id,
                turn: attempt,
                worker,
            } => {
                assert!(
                    !self.draining_workers.contains(&worker),
                    "P8: {worker} is draining"
                );
                let ejected = self.ejected.get(&worker).is_some_and(|t| self.now < *t);
                assert!(!ejected, "{worker} is ejected");
                let state = self.calls.get_mut(&id).unwrap();
                state.dispatches += 1;
                assert!(
                    state.retryable || state.dispatches == 1,
                    "P7: {id:?} dispatched twice"
                );
                assert!(
                    state.answers == 0 && !state.cancelled,
                    "{id:?} dispatched after its end"
                );
                assert!(
                    self.now < state.deadline,
                    "{id:?} dispatched after its deadline"
                );
                self.open.push((id, attempt, worker));
                self.active.insert((id, attempt), worker);
            }
            Action::Deliver { id, turn: attempt } => {
                assert!(
                    self.answered.contains(&(id, attempt)),
                    "P5: {id:?} has no answer"
                );
                self.deliver_to_caller(id);
            }
            Action::Refuse { id, code, ran } => {
                let state = &self.calls[&id];
                let open = self.open.iter().any(|(c, _, _)| *c == id);
                match ran {
                    ExecutionStatus::NotRun => {
                        assert!(!state.sent && !open, "P6: {id:?} may have run");
                    }
                    ExecutionStatus::Ran => assert!(state.ran, "P6: {id:?} did not run"),
                    ExecutionStatus::Unknown => {
                        assert!(state.dispatches > 0, "P6: {id:?} was not sent");
                    }
                }
                let drained = code == Code::Draining && state.before_drain;
                assert!(!drained, "P9: {id:?} was in flight");
                self.deliver_to_caller(id);
            }
            Action::Abandon { id, turn: attempt } => {
                self.active.remove(&(id, attempt));
            }
            Action::Eject { worker, until } => {
                self.ejected.insert(worker, until);
            }
        }
    }

    fn deliver_to_caller(&mut self, id: CallId) {
        let state = self.calls.get_mut(&id).unwrap();
        state.answers += 1;
        assert!(
            state.answers == 1 && !state.cancelled,
            "P5: {id:?} answered twice"
        );
    }

    fn end(&mut self, index: usize, outcome: u8, lost: bool) {
        if self.open.is_empty() {
            return;
        }
        let (id, attempt, _) = self.open.remove(index % self.open.len());
        let state = self.calls.get_mut(&id).unwrap();
        let error = match outcome {
            0..=3 => None,
            4 => Some(AttemptError::NotSent),
            5 => Some(AttemptError::Busy),
            6 => Some(AttemptError::ConnectionLost),
            _ => Some(AttemptError::WorkerError),
        };
        // After a lost connection the call may have run or not.
        state.sent |= error != Some(AttemptError::NotSent);
        state.ran |= matches!(error, None | Some(AttemptError::WorkerError));
        let event = match error {
            None => Event::Answered { id, attempt },
            Some(error) => Event::Failed { id, attempt, error },
        };
        self.reports.push(event.clone());
        if !lost {
            self.report(event);
        }
    }

    fn report(&mut self, event: Event) {
        match event {
            Event::Answered { id, attempt } => {
                self.answered.insert((id, attempt));
                self.active.remove(&(id, attempt));
            }
            Event::Failed { id, attempt, .. } => {
                self.active.remove(&(id, attempt));
            }
            _ => {}
        }
        self.step(event);
    }

    fn run(&mut self, op: Op) {
        match op {
            Op::Call {
                team,
                retryable,
                ms,
            } => {
                let id = CallId(self.ids.len() as u64);
                let deadline = self.now.after(ms);
                self.ids.push(id);
                self.calls.insert(
                    id,
                    CallState {
                        retryable,
                        deadline,
                        before_drain: !self.draining,
                        ..CallState::default()
                    },
                );
                self.step(call(id.0, team, retryable, deadline.0));
            }
            Op::DuplicateCall(index) => {
                if let Some(id) = self.ids.get(index % self.ids.len().max(1)).copied() {
                    let state = &self.calls[&id];
                    let event = call(id.0, 0, state.retryable, self.now.0 + 500);
                    self.step(event);
                }
            }
            Op::End {
                index,
                outcome,
                lost,
            } => self.end(index, outcome, lost),
            Op::DuplicateReport(index) => {
                if let Some(event) = self.reports.get(index % self.reports.len().max(1)) {
                    self.report(event.clone());
                }
            }
            Op::Cancel(index) => {
                if let Some(id) = self.ids.get(index % self.ids.len().max(1)).copied() {
                    self.step(Event::Cancelled { id });
                    let state = self.calls.get_mut(&id).unwrap();
                    state.cancelled |= state.answers == 0;
                }
            }
            Op::UpdateEndpoint(n) => self.step(endpoint(n, SLOTS)),
            Op::DrainWorker(n) => {
                self.draining_workers.insert(worker(n));
                self.step(Event::WorkerDraining { worker: worker(n) });
            }
            Op::RemoveWorker(n) => {
                self.step(Event::WorkerRemoved { worker: worker(n) });
                // A worker with the same id is a new one; the connections of the old one are closed.
                self.draining_workers.remove(&worker(n));
                self.ejected.remove(&worker(n));
                self.active.retain(|_, w| *w != worker(n));
            }
            Op::Wait(ms) => {
                let end = self.now.after(ms);
                while self.now < end {
                    self.now = self.router.next_tick(self.now).min(end);
                    self.step(Event::Tick);
                }
            }
            Op::Pause(ms) => self.now = self.now.after(ms),
            Op::Drain => {
                self.draining = true;
                self.step(Event::Drain);
            }
        }
    }

    /// After the last deadline every caller has an answer, and no slot, connection or limit is in use.
    fn finish(mut self) {
        while let Some(index) = self.open.len().checked_sub(1) {
            self.end(index, 0, false);
        }
        self.run(Op::Wait(20_000));
        for (id, state) in &self.calls {
            assert!(
                state.cancelled || state.answers == 1,
                "P5: {id:?} has no answer"
            );
        }
        self.step(Event::Drain);
        assert!(self.router.is_drained());
        let dump = self.router.dump();
        assert_eq!(dump["open"], 0, "{dump}");
        for endpoint in dump["services"]
            .as_array()
            .unwrap()
            .iter()
            .flat_map(|s| s["endpoints"].as_array().unwrap())
        {
            assert!(endpoint["active"] == 0 && endpoint["open"] == 0, "{dump}");
        }
        for team in dump["teams"].as_array().unwrap() {
            assert_eq!(team["held"], 0, "{dump}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        // Deterministic by default; PROPTEST_RNG_SEED sets another seed.
        rng_seed: std::env::var("PROPTEST_RNG_SEED")
            .ok()
            .and_then(|s| s.parse().ok())
            .map_or(RngSeed::Fixed(1), RngSeed::Fixed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn guarantees_hold_for_any_event_order(ops in prop::collection::vec(op(), 50..400)) {
        let mut simulation = Simulation::new();
        for op in ops {
            simulation.run(op);
        }
        simulation.finish();
    }
}
