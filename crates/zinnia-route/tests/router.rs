//! Decisions of the router, each as a table of events and the actions that follow.

use zinnia_types::Code;
use zinnia_types::Ran;
use zinnia_types::Time;

use common::call;
use common::endpoint;
use common::service;
use common::team;
use common::worker;
use zinnia_route::Action;
use zinnia_route::AttemptError;
use zinnia_route::CallId;
use zinnia_route::Event;
use zinnia_route::Router;
use zinnia_route::Settings;

mod common;

fn dispatch(id: u64, attempt: u32, to: usize) -> Action {
    Action::Dispatch {
        id: CallId(id),
        turn: attempt,
        worker: worker(to),
    }
}

fn refuse(id: u64, code: Code, ran: Ran) -> Action {
    let id = CallId(id);
    Action::Refuse { id, code, ran }
}

fn answered(id: u64, attempt: u32) -> Event {
    let id = CallId(id);
    Event::Answered { id, attempt }
}

fn failed(id: u64, attempt: u32, error: AttemptError) -> Event {
    let id = CallId(id);
    Event::Failed { id, attempt, error }
}

fn deliver(id: u64, attempt: u32) -> Action {
    let id = CallId(id);
    Action::Deliver { id, turn: attempt }
}

/// One event at a time, and all actions that it causes.
struct Step(u64, Event, Vec<Action>);

struct Case {
    name: &'static str,
    steps: Vec<Step>,
}

#[test]
fn one_worker() {
    let abandon = Action::Abandon {
        id: CallId(1),
        turn: 1,
    };
    let sent = Event::Sent {
        id: CallId(1),
        attempt: 1,
    };
    let cases = [
        Case {
            name: "a repeated or late answer reaches nobody",
            steps: vec![
                Step(1, call(1, 0, true, 100), vec![dispatch(1, 1, 0)]),
                Step(2, answered(1, 2), vec![]),
                Step(3, answered(1, 1), vec![deliver(1, 1)]),
                Step(4, answered(1, 1), vec![]),
                Step(5, call(1, 0, true, 100), vec![]),
            ],
        },
        Case {
            name: "an answer after the deadline is not delivered",
            steps: vec![
                Step(1, call(1, 0, true, 100), vec![dispatch(1, 1, 0)]),
                Step(
                    100,
                    Event::Tick,
                    vec![abandon.clone(), refuse(1, Code::Timeout, Ran::Unknown)],
                ),
                Step(101, answered(1, 1), vec![]),
            ],
        },
        Case {
            name: "a call not to be repeated is dispatched once even when nothing was sent",
            steps: vec![
                Step(1, call(1, 0, false, 100), vec![dispatch(1, 1, 0)]),
                Step(
                    2,
                    failed(1, 1, AttemptError::NotSent),
                    vec![refuse(1, Code::Unavailable, Ran::No)],
                ),
            ],
        },
        Case {
            name: "a refused connection after the first byte does not prove that nothing ran",
            steps: vec![
                Step(1, call(1, 0, false, 100), vec![dispatch(1, 1, 0)]),
                Step(1, sent, vec![]),
                Step(
                    2,
                    failed(1, 1, AttemptError::NotSent),
                    vec![refuse(1, Code::Unavailable, Ran::Unknown)],
                ),
            ],
        },
        Case {
            name: "a repeatable call is tried again, and only two more times",
            steps: vec![
                Step(1, call(1, 0, true, 100), vec![dispatch(1, 1, 0)]),
                Step(
                    2,
                    failed(1, 1, AttemptError::ConnectionLost),
                    vec![dispatch(1, 2, 0)],
                ),
                Step(3, failed(1, 1, AttemptError::ConnectionLost), vec![]),
                Step(
                    4,
                    failed(1, 2, AttemptError::ConnectionLost),
                    vec![dispatch(1, 3, 0)],
                ),
                Step(
                    5,
                    failed(1, 3, AttemptError::NotSent),
                    vec![refuse(1, Code::Unavailable, Ran::Unknown)],
                ),
            ],
        },
        Case {
            name: "a leaving worker gets nothing, whatever it announces, until it was gone",
            steps: vec![
                Step(1, call(1, 0, true, 900), vec![dispatch(1, 1, 0)]),
                Step(2, Event::WorkerDraining { worker: worker(0) }, vec![]),
                Step(3, call(2, 0, true, 900), vec![]),
                Step(4, endpoint(0, 8), vec![]),
                Step(5, answered(1, 1), vec![deliver(1, 1)]),
                Step(6, Event::WorkerRemoved { worker: worker(0) }, vec![]),
                Step(7, endpoint(0, 8), vec![dispatch(2, 1, 0)]),
            ],
        },
        Case {
            name: "what waits for a service without workers is refused as not run",
            steps: vec![
                Step(1, Event::WorkerRemoved { worker: worker(0) }, vec![]),
                Step(2, call(1, 0, false, 60_000), vec![]),
                Step(
                    6_000,
                    Event::Tick,
                    vec![refuse(1, Code::Unavailable, Ran::No)],
                ),
                Step(
                    6_001,
                    call(2, 0, false, 60_000),
                    vec![refuse(2, Code::NotFound, Ran::No)],
                ),
            ],
        },
        Case {
            name: "a draining router finishes what it admitted, waiting calls included",
            steps: vec![
                Step(1, endpoint(0, 1), vec![]),
                Step(2, call(1, 0, true, 900), vec![dispatch(1, 1, 0)]),
                Step(3, call(2, 0, true, 900), vec![]),
                Step(4, Event::Drain, vec![]),
                Step(
                    5,
                    call(3, 0, true, 900),
                    vec![refuse(3, Code::Draining, Ran::No)],
                ),
                Step(6, answered(1, 1), vec![deliver(1, 1), dispatch(2, 1, 0)]),
                Step(7, answered(2, 1), vec![deliver(2, 1)]),
            ],
        },
        Case {
            name: "a team beyond its calls in flight is refused, others are not",
            steps: vec![
                Step(
                    1,
                    Event::TeamLimits {
                        team: team(0),
                        max_calls: 1,
                        share: 1,
                    },
                    vec![],
                ),
                Step(2, call(1, 0, true, 900), vec![dispatch(1, 1, 0)]),
                Step(
                    3,
                    call(2, 0, true, 900),
                    vec![refuse(2, Code::OverLimit, Ran::No)],
                ),
                Step(4, call(3, 1, true, 900), vec![dispatch(3, 1, 0)]),
                Step(5, answered(1, 1), vec![deliver(1, 1)]),
                Step(6, call(4, 0, true, 900), vec![dispatch(4, 1, 0)]),
            ],
        },
        Case {
            name: "a caller that has gone frees its slot only when its connection is closed",
            steps: vec![
                Step(1, endpoint(0, 1), vec![]),
                Step(2, call(1, 0, true, 900), vec![dispatch(1, 1, 0)]),
                Step(3, Event::Cancelled { id: CallId(1) }, vec![abandon]),
                Step(4, failed(1, 1, AttemptError::ConnectionLost), vec![]),
                Step(5, call(2, 0, true, 900), vec![dispatch(2, 1, 0)]),
            ],
        },
    ];
    for case in cases {
        let mut router = Router::new(Settings::default());
        router.step(endpoint(0, 8), Time(0));
        for Step(at, event, want) in case.steps {
            let text = format!("{}: {event:?}", case.name);
            assert_eq!(router.step(event, Time(at)), want, "{text}");
        }
    }
}

/// Guards against refusing one team because another floods the queue.
#[test]
fn waiting_calls_are_served_by_share() {
    let mut router = Router::new(Settings::default());
    router.step(endpoint(0, 1), Time(0));
    for (n, share) in [(0, 1), (1, 3)] {
        let team = team(n);
        let max_calls = 1_000;
        router.step(
            Event::TeamLimits {
                team,
                max_calls,
                share,
            },
            Time(0),
        );
    }
    let mut out = router.step(call(1_000, 2, true, 9_000), Time(0));
    for id in 0..100 {
        router.step(call(id, 0, true, 9_000), Time(0));
    }
    for id in 100..200 {
        router.step(call(id, 1, true, 9_000), Time(0));
    }
    let mut served = [0; 2];
    for _ in 0..80 {
        let Some(Action::Dispatch {
            id, turn: attempt, ..
        }) = out.pop()
        else {
            panic!("a call waits and the slot is free");
        };
        if id.0 < 200 {
            served[usize::from(id.0 >= 100)] += 1;
        }
        out = router.step(answered(id.0, attempt), Time(1));
    }
    assert!((19..=21).contains(&served[0]), "{served:?}");
}

/// Guards against ejecting so many workers that the rest is overloaded, and against readmitting a
/// worker at full load while it still fails.
#[test]
fn failing_workers_are_ejected_up_to_the_cap() {
    let mut router = Router::new(Settings::default());
    for n in 0..4 {
        router.step(endpoint(n, 8), Time(0));
    }
    let mut ejected = Vec::new();
    let mut id = 0;
    let mut now = Time(0);
    // Long enough for the second ejection of a worker, which follows the first of all four.
    for _ in 0..1_000 {
        now = now.after(5);
        id += 1;
        let mut actions = router.step(call(id, 0, true, now.0 + 1_000), now);
        while let Some(action) = actions.pop() {
            match action {
                Action::Dispatch {
                    id, turn: attempt, ..
                } => {
                    actions
                        .extend(router.step(failed(id.0, attempt, AttemptError::WorkerError), now));
                }
                Action::Eject { worker, until } => ejected.push((worker, until.since(now), now)),
                _ => {}
            }
        }
        let out = ejected.iter().filter(|(_, ms, at)| at.after(*ms) > now);
        assert!(out.count() <= 2, "at most half of four: {ejected:?}");
    }
    let first = ejected.iter().filter(|(_, ms, _)| *ms == 1_000).count();
    let second = ejected.iter().filter(|(_, ms, _)| *ms == 2_000).count();
    assert!(first >= 2 && second >= 1, "times grow: {ejected:?}");
}

/// Guards against repetitions that amplify an outage: with every dispatch failing, they stay at the
/// burst plus a tenth of the calls.
#[test]
fn repetitions_stay_within_the_budget() {
    let mut settings = Settings::default();
    // Ejection would hide repetitions, since calls wait for the workers left.
    settings.eject.max_percent = 0;
    let mut router = Router::new(settings);
    for n in 0..4 {
        router.step(endpoint(n, 8), Time(0));
    }
    let mut dispatches = 0;
    for id in 0..1_000 {
        let now = Time(id);
        let mut actions = router.step(call(id, 0, true, id + 1_000), now);
        while let Some(action) = actions.pop() {
            if let Action::Dispatch {
                id, turn: attempt, ..
            } = action
            {
                dispatches += 1;
                actions.extend(router.step(failed(id.0, attempt, AttemptError::WorkerError), now));
            }
        }
    }
    assert!(
        dispatches >= 1_100,
        "repetitions happen at all: {dispatches}"
    );
    assert!(dispatches <= 1_000 + 20 + 100, "{dispatches}");
}

/// Guards against repeating a call on the worker that has just failed it.
#[test]
fn a_repetition_goes_to_another_worker() {
    for seed in 0..100 {
        let mut router = Router::new(Settings {
            seed,
            ..Settings::default()
        });
        router.step(endpoint(0, 8), Time(0));
        router.step(endpoint(1, 8), Time(0));
        let first = router.step(call(1, 0, true, 100), Time(1));
        let second = router.step(failed(1, 1, AttemptError::WorkerError), Time(2));
        let workers: Vec<_> = [first, second]
            .iter()
            .flatten()
            .filter_map(|a| match a {
                Action::Dispatch { worker, .. } => Some(*worker),
                _ => None,
            })
            .collect();
        assert!(
            workers.len() == 2 && workers[0] != workers[1],
            "{workers:?}"
        );
    }
}

/// Guards the bounds on waiting under overload: by expected wait, by the queue's length, and that a
/// full queue is cut at the team that fills it.
#[test]
fn overload_is_refused_early() {
    struct Case {
        name: &'static str,
        calls: usize,
        wait_ms: u64,
        /// Calls that the worker tells to hold.
        held: u32,
        /// Calls that wait in the end, that of the other team included.
        waiting: usize,
    }
    let cases = [
        // One slot, 10 ms a call: 10 calls make 100 ms.
        Case {
            name: "expected wait",
            calls: 1_000,
            wait_ms: 100,
            held: 1,
            waiting: 12,
        },
        // The worker holds four calls of other VMs for its one slot: four fifths of 10 ms are waiting.
        Case {
            name: "expected wait at the worker",
            calls: 1_000,
            wait_ms: 55,
            held: 5,
            waiting: 6,
        },
        Case {
            name: "length",
            calls: 5,
            wait_ms: 100_000,
            held: 1,
            waiting: 5,
        },
    ];
    let told = |in_flight| Event::WorkerLoad {
        service: service(0),
        worker: worker(0),
        in_flight,
    };
    for case in cases {
        let mut settings = Settings::default();
        settings.queue.max_calls = case.calls;
        settings.queue.wait_ms = case.wait_ms;
        let mut router = Router::new(settings);
        router.step(endpoint(0, 1), Time(0));
        router.step(call(0, 0, true, 9_000), Time(0));
        router.step(told(case.held), Time(10));
        router.step(answered(0, 1), Time(10));
        let mut refused = Vec::new();
        let mut run = |event| {
            // Later than the count of slots and held calls may be old.
            for action in router.step(event, Time(60)) {
                if let Action::Refuse { id, code, ran } = action {
                    assert_eq!((code, ran), (Code::Overloaded, Ran::No), "{}", case.name);
                    refused.push(id.0);
                }
            }
        };
        (1..=100).for_each(|id| run(call(id, 0, true, 9_000)));
        // Another team's call comes late and still gets its place.
        run(call(200, 1, true, 9_000));
        assert!(!refused.contains(&200), "{}: {refused:?}", case.name);
        // One of the 101 calls is running.
        assert_eq!(100 - refused.len(), case.waiting, "{}", case.name);
    }
}
