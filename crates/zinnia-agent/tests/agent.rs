//! Unit tests of the agent: search order, reports, leases, replies to starts and tombstones.

#![expect(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a failed fixture must stop the test"
)]

use zinnia_types::Code;
use zinnia_types::Epoch;
use zinnia_types::Time;
use zinnia_types::worker::AnnounceReply;
use zinnia_types::worker::AttemptEnd;
use zinnia_types::worker::HeartbeatReply;
use zinnia_types::worker::StartReply;
use zinnia_types::worker::Stop;
use zinnia_types::worker::StopReply;
use zinnia_types::worker::TaskState;

use common::accepted;
use common::agent;
use common::attempt;
use common::cpu;
use common::start;
use zinnia_agent::Action;
use zinnia_agent::Agent;
use zinnia_agent::Command;
use zinnia_agent::Event;
use zinnia_agent::Message;
use zinnia_agent::Reply;
use zinnia_agent::SendOutcome;

mod common;

/// Returns the message among `actions`, of which there must be at most one.
fn only_message(actions: &[Action]) -> Option<(u64, String, Message)> {
    let mut all = actions.iter().filter_map(|a| match a {
        Action::Send {
            message_id,
            addr,
            message,
        } => Some((*message_id, addr.clone(), message.clone())),
        _ => None,
    });
    let first = all.next();
    assert!(all.next().is_none(), "more than one message: {actions:?}");
    first
}

/// Ticks until the agent sends a message. Returns `None` if it sends none before `end`.
fn next_message(agent: &mut Agent, now: &mut Time, end: u64) -> Option<(u64, String, Message)> {
    while now.0 < end {
        if let Some(message) = only_message(&agent.step(Event::Tick, *now)) {
            return Some(message);
        }
        *now = agent.next_tick(*now).min(Time(end));
    }
    None
}

fn send_command(agent: &mut Agent, command: Command, now: u64) -> Reply {
    let actions = agent.step(
        Event::Command {
            command_id: 1,
            command,
        },
        Time(now),
    );
    let reply = actions.into_iter().find_map(|a| match a {
        Action::Reply { reply, .. } => Some(reply),
        _ => None,
    });
    reply.unwrap()
}

fn try_start(agent: &mut Agent, epoch: u64, number: u32, need: u64, now: u64) -> StartReply {
    let start = start(Epoch(epoch), number, cpu(need));
    match send_command(agent, Command::Start(start), now) {
        Reply::Start(reply) => reply,
        other => panic!("{other:?}"),
    }
}

fn complete_send(
    agent: &mut Agent,
    message_id: u64,
    outcome: SendOutcome,
    now: u64,
) -> Vec<Action> {
    agent.step(
        Event::SendCompleted {
            message_id,
            outcome,
        },
        Time(now),
    )
}

/// Creates an agent that `a` owns under epoch 101 since time 0.
fn owned_agent(adjust: impl FnOnce(&mut zinnia_agent::Settings)) -> Agent {
    let mut agent = agent(adjust);
    let (message_id, _, _) = only_message(&agent.step(Event::Tick, Time(0))).unwrap();
    complete_send(
        &mut agent,
        message_id,
        SendOutcome::Announce(accepted(vec![])),
        5,
    );
    agent
}

fn into_heartbeat(message: &Message) -> zinnia_types::worker::Heartbeat {
    match message {
        Message::Heartbeat(heartbeat) => heartbeat.clone(),
        Message::Announce(m) => panic!("{m:?}"),
    }
}

/// Guards against a search that follows redirects in a loop or keeps asking an unreachable VM. The
/// answer of each VM decides which VM is asked next, and announcements list the unreachable VMs.
#[test]
fn answers_of_vms_determine_the_search_order() {
    struct Case {
        name: &'static str,
        /// For each announcement: the expected VM, the expected unreachable VMs, and the outcome.
        announcements: Vec<(&'static str, Vec<&'static str>, SendOutcome)>,
    }
    let redirect = |addr: &str| {
        let addr = addr.to_owned();
        SendOutcome::Announce(AnnounceReply::Redirect { addr })
    };
    let cases = [
        Case {
            name: "unreachable VMs are listed and asked last in the next round",
            announcements: vec![
                ("a", vec![], SendOutcome::NoResponse),
                ("b", vec!["a"], SendOutcome::Error(Code::Unavailable)),
                ("c", vec!["a"], SendOutcome::Error(Code::Unavailable)),
                ("b", vec!["a"], SendOutcome::Error(Code::Unavailable)),
                ("c", vec!["a"], SendOutcome::Error(Code::Unavailable)),
                ("a", vec!["a"], SendOutcome::Error(Code::Unavailable)),
                ("a", vec![], SendOutcome::NoResponse),
            ],
        },
        Case {
            name: "a redirect is followed at once",
            announcements: vec![
                ("a", vec![], redirect("c")),
                ("c", vec![], SendOutcome::Announce(accepted(vec![]))),
            ],
        },
        Case {
            name: "if the target of a redirect is unreachable, the redirecting VM is asked again",
            announcements: vec![
                ("a", vec![], redirect("x")),
                ("x", vec![], SendOutcome::NoResponse),
                ("a", vec!["x"], redirect("x")),
                ("b", vec!["x"], SendOutcome::Announce(accepted(vec![]))),
            ],
        },
        Case {
            name: "two VMs that redirect to each other do not block the search",
            announcements: vec![
                ("a", vec![], redirect("b")),
                ("b", vec![], redirect("a")),
                ("a", vec![], redirect("b")),
                ("b", vec![], SendOutcome::Error(Code::Unavailable)),
                ("a", vec![], SendOutcome::Error(Code::Unavailable)),
                ("c", vec![], SendOutcome::Announce(accepted(vec![]))),
            ],
        },
    ];
    for case in cases {
        let mut agent = agent(|_| {});
        let mut now = Time(0);
        let mut pending = only_message(&agent.step(Event::Tick, now));
        for (addr, unreachable, reply) in case.announcements {
            let (message_id, to, message) = pending.take().expect(case.name);
            let Message::Announce(message) = message else {
                panic!("{}: {message:?}", case.name);
            };
            assert_eq!((to.as_str(), case.name), (addr, case.name));
            assert_eq!(message.unreachable, unreachable, "{} at {addr}", case.name);
            pending = only_message(&complete_send(&mut agent, message_id, reply, now.0));
            if pending.is_none() && !agent.is_owned() {
                let end = now.0 + 20_000;
                pending = next_message(&mut agent, &mut now, end);
            }
        }
    }
}

/// Guards against a slow failover. After a failure of the owner, another VM must be asked within the
/// owner lease plus 2 s, even if a second VM of the failure domain does not answer either.
#[test]
fn another_vm_is_asked_within_the_owner_lease_plus_two_seconds() {
    for seed in 0..50 {
        let mut agent = owned_agent(|s| {
            s.seed = seed;
            s.search.jitter_ms = 200;
        });
        let mut now = Time(5);
        while let Some((_, to, message)) = next_message(&mut agent, &mut now, 60_000) {
            if let (Message::Announce(m), "c") = (message, to.as_str()) {
                assert!(m.unreachable.contains(&"a".to_owned()));
                break;
            }
        }
        assert!(
            now.0 >= 10_000,
            "{now:?} is before the end of the owner lease"
        );
        assert!(now.0 <= 12_000, "seed {seed}: {now:?}");
    }
}

/// Guards against leases that last longer on the worker than on the owner, which would let a task
/// run on two workers (P2). A lease must count from when the renewing message was sent, not
/// answered.
#[test]
fn leases_count_from_the_send_time() {
    let mut agent = owned_agent(|_| {});
    let mut now = Time(5);
    let (message_id, _, _) = next_message(&mut agent, &mut now, 9_000).unwrap();
    let sent_at = now.0;
    let reply = SendOutcome::Heartbeat(HeartbeatReply {
        renew: true,
        ..HeartbeatReply::default()
    });
    complete_send(&mut agent, message_id, reply, sent_at + 1_400);
    assert_eq!(
        try_start(&mut agent, 101, 1, 10, sent_at + 9_999),
        StartReply::Started
    );
    assert_eq!(
        try_start(&mut agent, 101, 2, 10, sent_at + 10_000),
        StartReply::StaleEpoch
    );
    let expiry = Time(sent_at + 30_000);
    agent.step(Event::Tick, Time(expiry.0 - 1));
    assert_eq!(agent.dump()["running"][0]["stopping"], false);
    let actions = agent.step(Event::Tick, expiry);
    let attempts = vec![attempt(1)];
    assert!(actions.contains(&Action::Fence { attempts }), "{actions:?}");
    let end = AttemptEnd::Done { run_ms: 1 };
    agent.step(
        Event::Exited {
            attempt: attempt(1),
            end,
        },
        expiry,
    );
    assert_eq!(agent.dump()["used"]["cpu"], 0);
}

/// Guards against a start that would have to be fenced at once. An owner whose isolation period has
/// ended renews the owner lease but not the task lease.
#[test]
fn starts_require_a_task_lease() {
    let mut agent = owned_agent(|_| {});
    assert_eq!(try_start(&mut agent, 101, 1, 10, 6), StartReply::Started);
    let mut now = Time(6);
    let mut fenced = false;
    while now.0 < 30_000 {
        if let Some((message_id, _, _)) = next_message(&mut agent, &mut now, 30_000) {
            let reply = SendOutcome::Heartbeat(HeartbeatReply::default());
            complete_send(&mut agent, message_id, reply, now.0);
        }
    }
    fenced |= matches!(
        agent.step(Event::Tick, Time(30_000))[..],
        [Action::Fence { .. }, ..]
    );
    assert!(fenced && agent.is_owned());
    assert_eq!(
        try_start(&mut agent, 101, 2, 10, 30_001),
        StartReply::StaleEpoch
    );
}

/// Guards against a start that is accepted when it must be refused, and against a second run of a
/// repeated start.
#[test]
fn start_replies_match_the_state_of_the_worker() {
    struct Case {
        name: &'static str,
        setup: fn(&mut Agent),
        epoch: u64,
        number: u32,
        need: u64,
        reply: StartReply,
    }
    let stop_unknown_attempt = |agent: &mut Agent| {
        let stop = Stop {
            epoch: Epoch(101),
            attempt: attempt(5),
            checkpoint: false,
        };
        let reply = send_command(agent, Command::Stop(stop), 8);
        assert_eq!(reply, Reply::Stop(StopReply::Stopped { end: None }));
    };
    let case = |name, setup, epoch, number, need, reply| Case {
        name,
        setup,
        epoch,
        number,
        need,
        reply,
    };
    let free = cpu(1_000);
    let cases = [
        case("repeated", |_| {}, 101, 1, 3_000, StartReply::Started),
        case("fits exactly", |_| {}, 101, 2, 1_000, StartReply::Started),
        case(
            "too large",
            |_| {},
            101,
            2,
            1_001,
            StartReply::NoCapacity { free },
        ),
        case("earlier epoch", |_| {}, 100, 2, 10, StartReply::StaleEpoch),
        case(
            "epoch that was never offered",
            |_| {},
            102,
            2,
            10,
            StartReply::StaleEpoch,
        ),
        case(
            "refused before",
            stop_unknown_attempt,
            101,
            5,
            10,
            StartReply::Refused,
        ),
        case(
            "leaving",
            |agent| drop(agent.step(Event::Leave, Time(8))),
            101,
            2,
            10,
            StartReply::Leaving,
        ),
        case(
            "repeated while leaving",
            |agent| drop(agent.step(Event::Leave, Time(8))),
            101,
            1,
            3_000,
            StartReply::Started,
        ),
    ];
    for case in cases {
        let mut agent = owned_agent(|_| {});
        assert_eq!(try_start(&mut agent, 101, 1, 3_000, 7), StartReply::Started);
        (case.setup)(&mut agent);
        let reply = try_start(&mut agent, case.epoch, case.number, case.need, 9);
        assert_eq!(reply, case.reply, "{}", case.name);
    }
}

/// Guards against the refusal of a start that overtakes the answer to the announcement, and against a
/// start that is accepted after the announcement timed out.
#[test]
fn a_start_may_overtake_the_announce_reply() {
    let mut agent = agent(|_| {});
    let (message_id, _, _) = only_message(&agent.step(Event::Tick, Time(0))).unwrap();
    assert_eq!(try_start(&mut agent, 101, 1, 10, 5), StartReply::Started);
    complete_send(
        &mut agent,
        message_id,
        SendOutcome::Announce(accepted(vec![])),
        6,
    );
    assert_eq!(agent.dump()["owner"]["vm"], "0000000000000001");

    let mut agent = common::agent(|_| {});
    only_message(&agent.step(Event::Tick, Time(0))).unwrap();
    agent.step(Event::Tick, Time(700));
    assert_eq!(
        try_start(&mut agent, 101, 1, 10, 701),
        StartReply::StaleEpoch
    );
}

/// Guards against lost reports. A report is repeated until the owner acknowledges it, and an
/// acknowledged end is sent again until the owner answers with `forget`.
#[test]
fn reports_are_repeated_until_acknowledged() {
    let mut agent = owned_agent(|s| s.reports.resend_ms = 5_000);
    try_start(&mut agent, 101, 1, 10, 6);
    let end = AttemptEnd::Done { run_ms: 1 };
    let event = Event::Exited {
        attempt: attempt(1),
        end,
    };
    assert!(only_message(&agent.step(event, Time(100))).is_none());
    let mut now = Time(100);
    let mut heartbeats = Vec::new();
    let mut forget = Vec::new();
    while now.0 < 20_000 {
        let Some((message_id, _, message)) = next_message(&mut agent, &mut now, 20_000) else {
            break;
        };
        let heartbeat = into_heartbeat(&message);
        let ends = heartbeat.reports.iter();
        let ends = ends.filter(|r| matches!(r.state, TaskState::Ended { .. }));
        heartbeats.push((heartbeat.seq, ends.count()));
        if heartbeats.len() == 1 {
            complete_send(&mut agent, message_id, SendOutcome::NoResponse, now.0);
            continue;
        }
        if heartbeats.len() == 6 {
            forget.push(attempt(1));
        }
        let reply = HeartbeatReply {
            // The second answer acknowledges nothing.
            seq: if heartbeats.len() == 2 {
                0
            } else {
                heartbeat.seq
            },
            renew: true,
            forget: forget.clone(),
            ..HeartbeatReply::default()
        };
        complete_send(&mut agent, message_id, SendOutcome::Heartbeat(reply), now.0);
    }
    let ends: Vec<usize> = heartbeats.iter().map(|(_, n)| *n).collect();
    assert_eq!(
        ends[..4],
        [1, 1, 1, 0],
        "lost, unacknowledged, acknowledged: {heartbeats:?}"
    );
    assert_eq!(
        ends[4..].iter().sum::<usize>(),
        1,
        "sent again once: {heartbeats:?}"
    );
    assert_eq!(
        (
            heartbeats[0].0,
            heartbeats[1].0,
            heartbeats.last().unwrap().0
        ),
        (1, 1, 2),
        "{heartbeats:?}"
    );
}

/// Guards against new work for a worker that leaves (P8). The worker must tell its owner at once,
/// even while an earlier heartbeat awaits its answer.
#[test]
fn leaving_is_told_at_once() {
    for in_flight in [false, true] {
        let mut agent = owned_agent(|_| {});
        let mut now = Time(50);
        let earlier = in_flight.then(|| next_message(&mut agent, &mut now, 9_000).unwrap().0);
        let (message_id, _, message) = only_message(&agent.step(Event::Leave, now)).unwrap();
        assert!(into_heartbeat(&message).leaving && !agent.is_leave_acknowledged());
        let reply = SendOutcome::Heartbeat(HeartbeatReply::default());
        if let Some(earlier) = earlier {
            complete_send(&mut agent, earlier, reply.clone(), now.0);
            assert!(
                !agent.is_leave_acknowledged(),
                "the earlier heartbeat has no leaving flag"
            );
        }
        complete_send(&mut agent, message_id, reply, now.0 + 10);
        assert!(agent.is_leave_acknowledged());
    }
}

/// Guards against an unbounded number of tombstones. When those of the current epoch exceed the
/// bound, the worker offers its owner a new epoch and asks no other VM before the owner lease
/// expires.
#[test]
fn too_many_tombstones_renew_the_epoch() {
    let mut agent = owned_agent(|s| s.tombstones.max_count = 10);
    let refuse: Vec<_> = (0..11).map(attempt).collect();
    let mut now = Time(5);
    let (message_id, _, _) = next_message(&mut agent, &mut now, 9_000).unwrap();
    let reply = HeartbeatReply {
        renew: true,
        refuse,
        ..HeartbeatReply::default()
    };
    let start_ms = now.0;
    let actions = complete_send(&mut agent, message_id, SendOutcome::Heartbeat(reply), now.0);
    let (mut message_id, mut addr, _) = only_message(&actions).unwrap();
    for _ in 0..3 {
        assert_eq!(addr, "a", "at {now:?}");
        assert_eq!(
            try_start(&mut agent, 101, 20, 10, now.0),
            StartReply::StaleEpoch
        );
        let actions = complete_send(&mut agent, message_id, SendOutcome::NoResponse, now.0);
        assert_eq!(
            only_message(&actions),
            None,
            "no retry at once after a refused connection"
        );
        (message_id, addr, _) = next_message(&mut agent, &mut now, start_ms + 10_000).unwrap();
    }
    complete_send(
        &mut agent,
        message_id,
        SendOutcome::Announce(accepted(vec![])),
        now.0,
    );
    let dump = agent.dump();
    assert_eq!(dump["owner"]["epoch"], 105, "{dump}");
    assert!(dump["tombstones"].as_u64().unwrap() <= 10, "{dump}");
    assert_eq!(
        try_start(&mut agent, 101, 3, 10, now.0),
        StartReply::StaleEpoch
    );
}
