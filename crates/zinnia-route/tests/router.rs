//! Routing decisions, as tables of events and the expected actions.

use zinnia_types::Code;
use zinnia_types::ExecutionStatus;
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

fn refuse(id: u64, code: Code, ran: ExecutionStatus) -> Action {
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

/// Time in milliseconds, event and the expected actions.
struct Step(u64, Event, Vec<Action>);

struct Case {
    name: &'static str,
    steps: Vec<Step>,
}

#[test]
fn event_sequences_with_one_worker() {
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
            name: "duplicate and unexpected answers are ignored",
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
                    vec![
                        abandon.clone(),
                        refuse(1, Code::Timeout, ExecutionStatus::Unknown),
                    ],
                ),
                Step(101, answered(1, 1), vec![]),
            ],
        },
        Case {
            name: "a call that is not retryable is dispatched once even if it was not sent",
            steps: vec![
                Step(1, call(1, 0, false, 100), vec![dispatch(1, 1, 0)]),
                Step(
                    2,
                    failed(1, 1, AttemptError::NotSent),
                    vec![refuse(1, Code::Unavailable, ExecutionStatus::NotRun)],
                ),
            ],
        },
        Case {
            name: "a refused connection after the first byte leaves open whether the call ran",
            steps: vec![
                Step(1, call(1, 0, false, 100), vec![dispatch(1, 1, 0)]),
                Step(1, sent, vec![]),
                Step(
                    2,
                    failed(1, 1, AttemptError::NotSent),
                    vec![refuse(1, Code::Unavailable, ExecutionStatus::Unknown)],
                ),
            ],
        },
        Case {
            name: "a retryable call is retried at most twice",
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
                    vec![refuse(1, Code::Unavailable, ExecutionStatus::Unknown)],
                ),
            ],
        },
        Case {
            name: "a draining worker gets no calls until it is removed, even if it announces itself",
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
            name: "queued calls for a service without workers are refused as not run",
            steps: vec![
                Step(1, Event::WorkerRemoved { worker: worker(0) }, vec![]),
                Step(2, call(1, 0, false, 60_000), vec![]),
                Step(
                    6_000,
                    Event::Tick,
                    vec![refuse(1, Code::Unavailable, ExecutionStatus::NotRun)],
                ),
                Step(
                    6_001,
                    call(2, 0, false, 60_000),
                    vec![refuse(2, Code::NotFound, ExecutionStatus::NotRun)],
                ),
            ],
        },
        Case {
            name: "a draining router finishes admitted calls, including queued ones",
            steps: vec![
                Step(1, endpoint(0, 1), vec![]),
                Step(2, call(1, 0, true, 900), vec![dispatch(1, 1, 0)]),
                Step(3, call(2, 0, true, 900), vec![]),
                Step(4, Event::Drain, vec![]),
                Step(
                    5,
                    call(3, 0, true, 900),
                    vec![refuse(3, Code::Draining, ExecutionStatus::NotRun)],
                ),
                Step(6, answered(1, 1), vec![deliver(1, 1), dispatch(2, 1, 0)]),
                Step(7, answered(2, 1), vec![deliver(2, 1)]),
            ],
        },
        Case {
            name: "only the team over its limit of calls in flight is refused",
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
                    vec![refuse(2, Code::OverLimit, ExecutionStatus::NotRun)],
                ),
                Step(4, call(3, 1, true, 900), vec![dispatch(3, 1, 0)]),
                Step(5, answered(1, 1), vec![deliver(1, 1)]),
                Step(6, call(4, 0, true, 900), vec![dispatch(4, 1, 0)]),
            ],
        },
        Case {
            name: "a cancelled call releases its slot once its connection is closed",
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
        for Step(at, event, expected) in case.steps {
            let context = format!("{}: {event:?}", case.name);
            assert_eq!(router.step(event, Time(at)), expected, "{context}");
        }
    }
}

/// Guards against one team starving others by filling the queue: queued calls are dispatched in
/// proportion to the shares of their teams.
#[test]
fn queued_calls_are_served_by_share() {
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
            panic!("a queued call must be dispatched to the free slot");
        };
        if id.0 < 200 {
            served[usize::from(id.0 >= 100)] += 1;
        }
        out = router.step(answered(id.0, attempt), Time(1));
    }
    assert!((19..=21).contains(&served[0]), "{served:?}");
}

/// Guards against ejecting so many workers that the rest is overloaded, and against full load on a
/// worker that still fails after its ejection: the next ejection is twice as long.
#[test]
fn failing_workers_are_ejected_up_to_the_limit() {
    let mut router = Router::new(Settings::default());
    for n in 0..4 {
        router.step(endpoint(n, 8), Time(0));
    }
    let mut ejected = Vec::new();
    let mut id = 0;
    let mut now = Time(0);
    // A second ejection of a worker happens only after the first ones of all four workers.
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
        let current = ejected.iter().filter(|(_, ms, at)| at.after(*ms) > now);
        assert!(
            current.count() <= 2,
            "more than half of the workers are ejected: {ejected:?}"
        );
    }
    let first = ejected.iter().filter(|(_, ms, _)| *ms == 1_000).count();
    let second = ejected.iter().filter(|(_, ms, _)| *ms == 2_000).count();
    assert!(
        first >= 2 && second >= 1,
        "ejections must get longer: {ejected:?}"
    );
}

/// Guards against retries that amplify an outage: if every attempt fails, retries stay within the burst
/// plus a tenth of the calls.
#[test]
fn retries_stay_within_the_budget() {
    let mut settings = Settings::default();
    // Ejection is off, since calls queued for the remaining workers would not be retried.
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
    assert!(dispatches >= 1_100, "calls are not retried: {dispatches}");
    assert!(dispatches <= 1_000 + 20 + 100, "{dispatches}");
}

/// Guards against retrying a call on the worker of the failed attempt.
#[test]
fn a_retry_goes_to_another_worker() {
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

/// Guards against unbounded queues under overload: calls are refused by expected wait and by queue
/// length, and a full queue sheds the calls of the team that fills it.
#[test]
fn overload_sheds_calls() {
    struct Case {
        name: &'static str,
        max_calls: usize,
        wait_ms: u64,
        /// Calls in flight that the worker reports.
        in_flight: u32,
        /// Expected queued calls at the end, including that of the other team.
        queued: usize,
    }
    let cases = [
        // With one slot and 10 ms per call, 10 queued calls take 100 ms.
        Case {
            name: "expected wait",
            max_calls: 1_000,
            wait_ms: 100,
            in_flight: 1,
            queued: 12,
        },
        // Four of five calls in flight at the worker exceed its one slot: 8 of 10 ms are queueing there.
        Case {
            name: "expected wait at the worker",
            max_calls: 1_000,
            wait_ms: 55,
            in_flight: 5,
            queued: 6,
        },
        Case {
            name: "queue length",
            max_calls: 5,
            wait_ms: 100_000,
            in_flight: 1,
            queued: 5,
        },
    ];
    let load_report = |in_flight| Event::WorkerLoad {
        service: service(0),
        worker: worker(0),
        in_flight,
    };
    for case in cases {
        let mut settings = Settings::default();
        settings.queue.max_calls = case.max_calls;
        settings.queue.wait_ms = case.wait_ms;
        let mut router = Router::new(settings);
        router.step(endpoint(0, 1), Time(0));
        router.step(call(0, 0, true, 9_000), Time(0));
        router.step(load_report(case.in_flight), Time(10));
        router.step(answered(0, 1), Time(10));
        let mut refused = Vec::new();
        let mut run = |event| {
            // Late enough for the cached count of slots and calls in flight to have expired.
            for action in router.step(event, Time(60)) {
                if let Action::Refuse { id, code, ran } = action {
                    assert_eq!(
                        (code, ran),
                        (Code::Overloaded, ExecutionStatus::NotRun),
                        "{}",
                        case.name
                    );
                    refused.push(id.0);
                }
            }
        };
        (1..=100).for_each(|id| run(call(id, 0, true, 9_000)));
        // The call of another team is queued although it arrives last.
        run(call(200, 1, true, 9_000));
        assert!(!refused.contains(&200), "{}: {refused:?}", case.name);
        // One of the 101 calls is running.
        assert_eq!(100 - refused.len(), case.queued, "{}", case.name);
    }
}
