//! Heartbeats of workers in a cell in which other members receive them for the leader.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use common::COMPLETED;
use common::Cell;
use common::TASK_DURATION;
use common::TIMEOUT;
use common::caller_request;
use common::job;
use common::wait_for_answer;
use common::worker_heartbeat;
use zinnia_control::Answer;
use zinnia_control::CallerAction;
use zinnia_control::Receiver;
use zinnia_control::Settings;
use zinnia_control::heartbeat_receivers;
use zinnia_control::receiver_of;

fn receiver(addr: &str, silent_ms: u64) -> Receiver {
    Receiver {
        addr: addr.to_owned(),
        silent_ms,
    }
}

/// Guards against a leader that runs out of descriptors since all workers keep connections to it, and
/// against heartbeats that are sent to members that are down.
#[test]
fn members_receive_heartbeats_of_many_workers() {
    struct Case {
        name: &'static str,
        workers: usize,
        others: Vec<Receiver>,
        receivers: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "few workers",
            workers: 800,
            others: vec![receiver("a", 10), receiver("b", 10)],
            receivers: &[],
        },
        Case {
            name: "many workers",
            workers: 801,
            others: vec![receiver("b", 10), receiver("a", 10)],
            receivers: &["a", "b"],
        },
        Case {
            name: "a silent member, and one without an address for workers",
            workers: 3_000,
            others: vec![receiver("a", 1_000), receiver("b", 10), receiver("", 10)],
            receivers: &["b"],
        },
        Case {
            name: "no other member",
            workers: 3_000,
            others: Vec::new(),
            receivers: &[],
        },
    ];
    for case in cases {
        let found = heartbeat_receivers(case.workers, 800, &case.others);
        assert_eq!(found, case.receivers, "{}", case.name);
    }
}

/// Guards against one member that receives most heartbeats, and against the loss of a member that
/// makes all workers open new connections.
#[test]
fn workers_are_spread_evenly_and_stay() {
    let all: Vec<String> = (0..4).map(|n| format!("10.0.{n}.1:80")).collect();
    let (_, rest) = all.split_last().expect("members");
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    for n in 0..3_000 {
        let worker = format!("i-{n:08x}");
        let before = receiver_of(&worker, &all).expect("a receiver");
        *counts.entry(before).or_default() += 1;
        let after = receiver_of(&worker, rest).expect("a receiver");
        assert!(
            after == before || !rest.iter().any(|r| r == before),
            "{worker}"
        );
    }
    assert!(
        counts.values().all(|n| (600..=900).contains(n)),
        "{counts:?}"
    );
}

/// Guards against workers that get no tasks because only members other than the leader hear them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn tasks_run_on_workers_that_other_members_hear() {
    let settings = Settings {
        max_direct_workers: 0,
        ..Settings::default()
    };
    let cell = Cell::start_with(settings).await;
    let leader = cell.leader();
    let receiver = &cell.members[(leader + 1) % cell.members.len()].gateway;
    let started_at = Instant::now();
    let relieved =
        |addr: Option<String>| addr.is_some_and(|a| !a.is_empty() && a != cell.seeds[leader]);
    while !relieved(receiver.heartbeat_addr("w")) {
        let first = worker_heartbeat(1, cell.origin);
        receiver.heartbeat(first, TIMEOUT).await;
        assert!(started_at.elapsed() < TIMEOUT, "workers stay at the leader");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // A worker that the leader has not heard for this time gets no tasks.
    let silence = Duration::from_millis(Settings::default().plan.silence_ms);
    let heartbeats = async {
        for sequence in 2.. {
            let answer = receiver
                .heartbeat(worker_heartbeat(sequence, cell.origin), TIMEOUT)
                .await;
            assert_eq!(answer, Answer::Done);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    let caller = async {
        tokio::time::sleep(silence + TASK_DURATION).await;
        let gateway = &cell.client.gateway;
        let submit = caller_request(1, CallerAction::Submit(Ok(job())));
        wait_for_answer(gateway, &submit, &Answer::Done).await;
        wait_for_answer(gateway, &caller_request(1, CallerAction::Get), &COMPLETED).await;
    };
    tokio::select! {
        () = heartbeats => {}
        () = caller => {}
    }
}
