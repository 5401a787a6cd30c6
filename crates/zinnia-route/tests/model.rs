//! Random event orders against a model of callers, workers and their connections.
//!
//! Reports of dispatches are lost, repeated, late and out of order; workers leave, go and come back;
//! the router pauses. After each step the promises to callers are checked.

#![expect(
    clippy::unwrap_used,
    reason = "a helper of tests fails its test by panicking"
)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use zinnia_types::Code;
use zinnia_types::Ran;
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
    /// A new call of a team, or an earlier one that is repeated.
    Call {
        of: usize,
        retryable: bool,
        ms: u64,
    },
    Again(usize),
    /// An open dispatch ends this way and the report arrives, or is lost.
    End {
        at: usize,
        how: u8,
        lost: bool,
    },
    /// An old report arrives again.
    Repeat(usize),
    Cancel(usize),
    Endpoint(usize),
    Leave(usize),
    Gone(usize),
    Wait(u64),
    Pause(u64),
    Drain,
}

fn op() -> impl Strategy<Value = Op> {
    let some = any::<usize>;
    prop_oneof![
        20 => (0..3usize, any::<bool>(), 1..3_000u64)
            .prop_map(|(of, retryable, ms)| Op::Call { of, retryable, ms }),
        2 => some().prop_map(Op::Again),
        24 => (some(), 0..8u8, proptest::bool::weighted(0.1))
            .prop_map(|(at, how, lost)| Op::End { at, how, lost }),
        4 => some().prop_map(Op::Repeat),
        2 => some().prop_map(Op::Cancel),
        4 => (0..4usize).prop_map(Op::Endpoint),
        1 => (0..4usize).prop_map(Op::Leave),
        1 => (0..4usize).prop_map(Op::Gone),
        8 => (1..200u64).prop_map(Op::Wait),
        1 => (1..9_000u64).prop_map(Op::Pause),
        1 => proptest::bool::weighted(0.05).prop_map(|go| if go { Op::Drain } else { Op::Wait(1) }),
    ]
}

/// What became of a call.
#[derive(Default)]
struct Fate {
    retryable: bool,
    deadline: Time,
    dispatches: u32,
    /// Whether a byte of it may have reached a worker, and whether one certainly ran it.
    sent: bool,
    ran: bool,
    answers: u32,
    cancelled: bool,
    before_drain: bool,
}

struct World {
    router: Router,
    now: Time,
    calls: BTreeMap<CallId, Fate>,
    order: Vec<CallId>,
    /// Dispatches without an end, and with an end but without a report.
    open: Vec<(CallId, u32, WorkerId)>,
    /// Dispatches that the router has not given up and that have no delivered report.
    live: BTreeMap<(CallId, u32), WorkerId>,
    answered: BTreeSet<(CallId, u32)>,
    reports: Vec<Event>,
    leaving: BTreeSet<WorkerId>,
    ejected: BTreeMap<WorkerId, Time>,
    draining: bool,
}

impl World {
    fn new() -> Self {
        let mut settings = Settings::default();
        settings.queue.max_calls = 12;
        settings.queue.team_calls = 10;
        let mut world = Self {
            router: Router::new(settings),
            now: Time(1),
            calls: BTreeMap::new(),
            order: Vec::new(),
            open: Vec::new(),
            live: BTreeMap::new(),
            answered: BTreeSet::new(),
            reports: Vec::new(),
            leaving: BTreeSet::new(),
            ejected: BTreeMap::new(),
            draining: false,
        };
        for n in 0..4 {
            world.step(endpoint(n, SLOTS));
        }
        let (max_calls, share) = (8, 3);
        world.step(Event::TeamLimits {
            team: team(1),
            max_calls,
            share,
        });
        world
    }

    fn step(&mut self, event: Event) {
        for action in self.router.step(event, self.now) {
            self.perform(action);
        }
        let mut used: BTreeMap<WorkerId, u32> = BTreeMap::new();
        for worker in self.live.values() {
            *used.entry(*worker).or_default() += 1;
        }
        let over = used.iter().find(|(_, n)| **n > SLOTS);
        assert_eq!(over, None, "more dispatches than slots");
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Dispatch {
                id,
                turn: attempt,
                worker,
            } => {
                assert!(!self.leaving.contains(&worker), "P8: {worker} is leaving");
                let ejected = self.ejected.get(&worker).is_some_and(|t| self.now < *t);
                assert!(!ejected, "{worker} is ejected");
                let fate = self.calls.get_mut(&id).unwrap();
                fate.dispatches += 1;
                assert!(
                    fate.retryable || fate.dispatches == 1,
                    "P7: {id:?} dispatched twice"
                );
                assert!(
                    fate.answers == 0 && !fate.cancelled,
                    "{id:?} dispatched after its end"
                );
                assert!(
                    self.now < fate.deadline,
                    "{id:?} dispatched after its deadline"
                );
                self.open.push((id, attempt, worker));
                self.live.insert((id, attempt), worker);
            }
            Action::Deliver { id, turn: attempt } => {
                assert!(
                    self.answered.contains(&(id, attempt)),
                    "P5: {id:?} without an answer"
                );
                self.caller_gets(id);
            }
            Action::Refuse { id, code, ran } => {
                let fate = &self.calls[&id];
                let open = self.open.iter().any(|(c, _, _)| *c == id);
                match ran {
                    Ran::No => assert!(!fate.sent && !open, "P6: {id:?} may have run"),
                    Ran::Yes => assert!(fate.ran, "P6: {id:?} did not run"),
                    Ran::Unknown => assert!(fate.dispatches > 0, "P6: {id:?} was not sent"),
                }
                let drained = code == Code::Draining && fate.before_drain;
                assert!(!drained, "P9: {id:?} was in flight");
                self.caller_gets(id);
            }
            Action::Abandon { id, turn: attempt } => {
                self.live.remove(&(id, attempt));
            }
            Action::Eject { worker, until } => {
                self.ejected.insert(worker, until);
            }
        }
    }

    fn caller_gets(&mut self, id: CallId) {
        let fate = self.calls.get_mut(&id).unwrap();
        fate.answers += 1;
        assert!(
            fate.answers == 1 && !fate.cancelled,
            "P5: {id:?} answered twice"
        );
    }

    fn end(&mut self, at: usize, how: u8, lost: bool) {
        if self.open.is_empty() {
            return;
        }
        let (id, attempt, _) = self.open.remove(at % self.open.len());
        let fate = self.calls.get_mut(&id).unwrap();
        let error = match how {
            0..=3 => None,
            4 => Some(AttemptError::NotSent),
            5 => Some(AttemptError::Busy),
            6 => Some(AttemptError::ConnectionLost),
            _ => Some(AttemptError::WorkerError),
        };
        // A broken connection may stand for a call that ran or not.
        fate.sent |= error != Some(AttemptError::NotSent);
        fate.ran |= matches!(error, None | Some(AttemptError::WorkerError));
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
                self.live.remove(&(id, attempt));
            }
            Event::Failed { id, attempt, .. } => {
                self.live.remove(&(id, attempt));
            }
            _ => {}
        }
        self.step(event);
    }

    fn run(&mut self, op: Op) {
        match op {
            Op::Call { of, retryable, ms } => {
                let id = CallId(self.order.len() as u64);
                let deadline = self.now.after(ms);
                self.order.push(id);
                self.calls.insert(
                    id,
                    Fate {
                        retryable,
                        deadline,
                        before_drain: !self.draining,
                        ..Fate::default()
                    },
                );
                self.step(call(id.0, of, retryable, deadline.0));
            }
            Op::Again(at) => {
                if let Some(id) = self.order.get(at % self.order.len().max(1)).copied() {
                    let fate = &self.calls[&id];
                    let event = call(id.0, 0, fate.retryable, self.now.0 + 500);
                    self.step(event);
                }
            }
            Op::End { at, how, lost } => self.end(at, how, lost),
            Op::Repeat(at) => {
                if let Some(event) = self.reports.get(at % self.reports.len().max(1)) {
                    self.report(event.clone());
                }
            }
            Op::Cancel(at) => {
                if let Some(id) = self.order.get(at % self.order.len().max(1)).copied() {
                    self.step(Event::Cancelled { id });
                    let fate = self.calls.get_mut(&id).unwrap();
                    fate.cancelled |= fate.answers == 0;
                }
            }
            Op::Endpoint(n) => self.step(endpoint(n, SLOTS)),
            Op::Leave(n) => {
                self.leaving.insert(worker(n));
                self.step(Event::WorkerDraining { worker: worker(n) });
            }
            Op::Gone(n) => {
                self.step(Event::WorkerRemoved { worker: worker(n) });
                // When it comes back it is new: its connections, which held slots, are gone.
                self.leaving.remove(&worker(n));
                self.ejected.remove(&worker(n));
                self.live.retain(|_, w| *w != worker(n));
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

    /// After the last deadline every caller has its answer, and nothing is held any more.
    fn finish(mut self) {
        while let Some(at) = self.open.len().checked_sub(1) {
            self.end(at, 0, false);
        }
        self.run(Op::Wait(20_000));
        for (id, fate) in &self.calls {
            assert!(
                fate.cancelled || fate.answers == 1,
                "P5: {id:?} without an answer"
            );
        }
        self.step(Event::Drain);
        assert!(self.router.is_drained());
        let dump = self.router.dump();
        assert_eq!(dump["open"], 0, "{dump}");
        for end in dump["services"]
            .as_array()
            .unwrap()
            .iter()
            .flat_map(|s| s["endpoints"].as_array().unwrap())
        {
            assert!(end["active"] == 0 && end["open"] == 0, "{dump}");
        }
        for team in dump["teams"].as_array().unwrap() {
            assert_eq!(team["held"], 0, "{dump}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        // The same verdict on every run; another seed by PROPTEST_RNG_SEED.
        rng_seed: std::env::var("PROPTEST_RNG_SEED")
            .ok()
            .and_then(|s| s.parse().ok())
            .map_or(RngSeed::Fixed(1), RngSeed::Fixed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn promises_hold_in_any_order_of_events(ops in prop::collection::vec(op(), 50..400)) {
        let mut world = World::new();
        for op in ops {
            world.run(op);
        }
        world.finish();
    }
}
