//! Faults, bounds and endings of a worker, over HTTP and the real clock.

#![expect(
    clippy::unwrap_used,
    reason = "a helper of tests fails its test by panicking"
)]

use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use zinnia_types::Code;
use zinnia_types::Epoch;
use zinnia_types::ErrorBody;
use zinnia_types::Ran;
use zinnia_types::worker::End;
use zinnia_types::worker::Start;
use zinnia_types::worker::StartReply;
use zinnia_types::worker::TaskState;

use common::Vm;
use common::attempt;
use common::post_to;
use common::settings;
use common::task;
use zinnia_http::Client;
use zinnia_worker::CallAnswer;
use zinnia_worker::FaultInjection;
use zinnia_worker::Handle;
use zinnia_worker::Settings;
use zinnia_worker::Worker;
use zinnia_worker::WorkerEvent;

mod common;

/// A worker that `vm` owns, with its epoch.
async fn owned(vm: &Vm, settings: Settings) -> (Handle, String, Epoch) {
    let before = vm.seen.lock().unwrap().announces.len();
    let worker = Worker::spawn(settings).await.unwrap();
    vm.until("announcement", |s| s.announces.len() > before)
        .await;
    let addr = worker.addr().to_string();
    (worker, addr, vm.epoch())
}

async fn start(addr: &str, epoch: Epoch, n: u32, service: Option<&str>, load: Value) -> StartReply {
    let start = Start {
        epoch,
        attempt: attempt(n),
        task: task(service, load),
    };
    post_to(addr, "/start", &start).await.unwrap()
}

fn ended(worker: &Handle, n: u32) -> Option<End> {
    worker.records().into_iter().find_map(|r| match r.event {
        WorkerEvent::Ended { attempt: a, end } if a == attempt(n) => Some(end),
        _ => None,
    })
}

async fn until(what: &str, test: impl Fn() -> bool) {
    for _ in 0..500 {
        if test() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(test(), "not within 5 s: {what}");
}

/// Guards P6 at the worker: a call beyond the connections is refused before it runs, and no more
/// calls than slots run at once.
#[tokio::test]
async fn calls_beyond_the_connections_are_refused() {
    let vm = Vm::start().await;
    let (worker, addr, epoch) = owned(&vm, settings(&vm)).await;
    start(&addr, epoch, 1, Some("quote"), json!({})).await;
    // Stalled calls hold their connections, whatever the speed of the machine.
    worker.set_faults(FaultInjection {
        stall: true,
        ..FaultInjection::default()
    });
    let mut calls = tokio::task::JoinSet::new();
    for n in 0..100 {
        let addr = addr.clone();
        calls.spawn(async move { post_to::<_, CallAnswer>(&addr, "/call/quote", &n).await });
    }
    for _ in 0..36 {
        let ErrorBody { code, ran, .. } = calls.join_next().await.unwrap().unwrap().unwrap_err();
        assert_eq!((code, ran), (Code::Overloaded, Ran::No));
    }
    until("connections", || {
        let records = worker.records();
        let called = records
            .iter()
            .filter(|r| matches!(r.event, WorkerEvent::Called { .. }));
        called.count() == 8
    })
    .await;
    assert!(calls.try_join_next().is_none(), "64 calls keep their place");
    let client = Client::new(Duration::from_secs(5));
    let dump = client
        .send(http::Method::GET, &addr, "/dump", None, &())
        .await;
    let dump: Value = serde_json::from_slice(&dump.unwrap().1).unwrap();
    assert_eq!(dump["calls"], 64);
    // A caller that goes gives its place back.
    calls.shutdown().await;
    worker.set_faults(FaultInjection::default());
    until("places", || {
        let records = worker.records();
        let served = records
            .iter()
            .filter(|r| matches!(r.event, WorkerEvent::Served { .. }));
        served.count() >= 8
    })
    .await;
    let answer: CallAnswer = post_to(&addr, "/call/quote", &1).await.unwrap();
    assert_eq!(answer.body, json!(1));
}

/// Guards the fault switches that other tests rely on.
#[tokio::test]
async fn faults_show_as_told() {
    let vm = Vm::start().await;
    let mut settings = settings(&vm);
    settings.sample_interval_ms = 20;
    settings.agent.reports.usage_ms = 10;
    settings.agent.leases.heartbeat_ms = 100;
    let (worker, addr, epoch) = owned(&vm, settings).await;

    worker.set_faults(FaultInjection {
        usage_percent: 50,
        ..FaultInjection::default()
    });
    start(&addr, epoch, 1, Some("quote"), json!({"use_cpu": 800})).await;
    vm.until("half the usage", |s| {
        let mut reports = s.heartbeats.iter().flat_map(|h| &h.reports);
        reports.any(|r| matches!(&r.state, TaskState::Running { usage, .. } if usage.cpu == 400))
    })
    .await;

    worker.set_faults(FaultInjection {
        fail: true,
        ..FaultInjection::default()
    });
    start(&addr, epoch, 2, None, json!({})).await;
    until("failure", || {
        matches!(ended(&worker, 2), Some(End::Failed { .. }))
    })
    .await;
    let error = post_to::<_, Value>(&addr, "/call/quote", &1)
        .await
        .unwrap_err();
    assert_eq!((error.code, error.ran), (Code::Internal, Ran::Yes));

    worker.set_faults(FaultInjection {
        response_delay_ms: 300,
        ..FaultInjection::default()
    });
    let client = Client::new(Duration::from_millis(150));
    let begin = Start {
        epoch,
        attempt: attempt(3),
        task: task(None, json!({"run_ms": 10})),
    };
    let lost = client
        .send(http::Method::POST, &addr, "/start", None, &begin)
        .await;
    assert_eq!(lost.unwrap_err().ran(), Ran::Unknown);
    until("late", || {
        matches!(ended(&worker, 3), Some(End::Done { .. }))
    })
    .await;

    worker.set_faults(FaultInjection {
        stall: true,
        ..FaultInjection::default()
    });
    start(&addr, epoch, 4, None, json!({"run_ms": 1})).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(ended(&worker, 4), None);
}

/// Guards throttling: at half the processor a task takes twice as long.
#[tokio::test]
async fn a_throttled_task_slows_down() {
    let vm = Vm::start().await;
    let (worker, addr, epoch) = owned(&vm, settings(&vm)).await;
    start(&addr, epoch, 1, None, json!({"run_ms": 300})).await;
    let order = json!({"epoch": epoch, "attempt": attempt(1), "cpu": 500});
    let reply: Value = post_to(&addr, "/throttle", &order).await.unwrap();
    assert_eq!(reply, json!({}));
    until("end", || ended(&worker, 1).is_some()).await;
    let Some(End::Done { run_ms }) = ended(&worker, 1) else {
        panic!("{:?}", ended(&worker, 1));
    };
    // Most of the 300 ms were left when the order came, unless the machine stood still.
    assert!(run_ms > 310, "{run_ms} ms");
}

/// Guards P2 with the real clock: without heartbeats the tasks end with their lease, and the worker
/// looks for an owner again.
#[tokio::test]
async fn a_paused_heartbeat_fences_tasks() {
    let vm = Vm::start().await;
    let mut settings = settings(&vm);
    settings.agent.leases.heartbeat_ms = 60;
    settings.agent.leases.owner_ms = 200;
    settings.agent.leases.task_ms = 400;
    vm.seen.lock().unwrap().leases = (200, 400);
    let (worker, addr, epoch) = owned(&vm, settings).await;
    worker.set_heartbeats_paused(true);
    start(&addr, epoch, 1, None, json!({"run_ms": 60_000})).await;
    until("fence", || ended(&worker, 1).is_some()).await;
    let reply = start(&addr, epoch, 2, None, json!({})).await;
    assert_eq!(reply, StartReply::StaleEpoch);
    worker.set_heartbeats_paused(false);
    vm.until("fenced end", |s| {
        let reports = s.announces.iter().flat_map(|a| &a.reports);
        let mut ends = reports.filter(|r| matches!(r.state, TaskState::Ended { end: End::Fenced }));
        ends.any(|r| r.attempt == attempt(1))
    })
    .await;
}

/// Guards P8 and P9 at the worker: it tells its owner at once, refuses starts, and finishes what it has.
#[tokio::test]
async fn a_draining_worker_finishes() {
    let vm = Vm::start().await;
    let (worker, addr, epoch) = owned(&vm, settings(&vm)).await;
    start(&addr, epoch, 1, None, json!({"run_ms": 300})).await;
    start(
        &addr,
        epoch,
        2,
        Some("quote"),
        json!({"delay_ms": 200, "run_ms": 250}),
    )
    .await;
    let call = {
        let addr = addr.clone();
        tokio::spawn(async move { post_to::<_, CallAnswer>(&addr, "/call/quote", &7).await })
    };
    until("call", || {
        let records = worker.records();
        records
            .iter()
            .any(|r| matches!(r.event, WorkerEvent::Called { .. }))
    })
    .await;
    let drained = worker.drain(Duration::from_secs(5));
    let refused = async {
        vm.until("leaving", |s| s.heartbeats.iter().any(|h| h.leaving))
            .await;
        start(&addr, epoch, 3, None, json!({})).await
    };
    let (drained, refused) = tokio::join!(drained, refused);
    assert!(drained);
    assert_eq!(refused, StartReply::Leaving);
    assert_eq!(call.await.unwrap().unwrap().body, json!(7));
    assert!(matches!(ended(&worker, 1), Some(End::Done { .. })));
}

/// Guards the meaning of a stopped worker for other tests: like a dead process, it answers nobody
/// and runs nothing.
#[tokio::test]
async fn a_stopped_worker_is_dead() {
    let vm = Vm::start().await;
    let (worker, addr, epoch) = owned(&vm, settings(&vm)).await;
    start(&addr, epoch, 1, None, json!({"run_ms": 50})).await;
    worker.stop();
    tokio::time::sleep(Duration::from_millis(150)).await;
    assert_eq!(ended(&worker, 1), None);
    let last = worker.records().pop().unwrap();
    assert_eq!(last.event, WorkerEvent::Down);
    let client = Client::new(Duration::from_millis(500));
    let answer = client
        .send(http::Method::GET, &addr, "/healthz", None, &())
        .await;
    assert!(answer.unwrap_err().not_sent());
    // A late command to the dead boot must not run on the next one.
    let (_again, addr, later) = owned(&vm, settings(&vm)).await;
    assert!(later > epoch);
    let reply = start(&addr, epoch, 2, None, json!({})).await;
    assert_eq!(reply, StartReply::StaleEpoch);
}

/// Guards a release: a VM that does not know the worker any more is left at once, under a new epoch.
#[tokio::test]
async fn a_refused_heartbeat_ends_the_ownership() {
    let vm = Vm::start().await;
    let mut settings = settings(&vm);
    settings.agent.leases.heartbeat_ms = 50;
    let (_worker, addr, epoch) = owned(&vm, settings).await;
    vm.seen.lock().unwrap().refuse = true;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let reply = start(&addr, epoch, 1, None, json!({})).await;
    assert_eq!(reply, StartReply::StaleEpoch);
    vm.seen.lock().unwrap().refuse = false;
    vm.until("again", |s| {
        s.announces.last().is_some_and(|a| a.epoch > epoch)
    })
    .await;
}

/// Guards that malformed and oversized requests get error bodies that say truly that nothing ran.
#[tokio::test]
async fn bad_requests_get_error_bodies() {
    struct Case {
        path: &'static str,
        body: Value,
        code: Code,
    }
    let vm = Vm::start().await;
    let mut settings = settings(&vm);
    settings.service.body_bytes = 1_000;
    let (_worker, addr, epoch) = owned(&vm, settings).await;
    start(&addr, epoch, 1, Some("quote"), json!({})).await;
    let long = json!("x".repeat(2_000));
    let order = json!({"epoch": 1, "attempt": "7.0.1.1"});
    let case = |path, body, code| Case { path, body, code };
    let cases = [
        case("/start", json!({"epoch": 1}), Code::BadRequest),
        case("/start", long.clone(), Code::TooLarge),
        case("/call/quote", long, Code::TooLarge),
        case("/call/none", json!(1), Code::NotFound),
        case("/call/not%20a%20name", json!(1), Code::NotFound),
        case("/nothing", json!(1), Code::NotFound),
        case("/checkpoint", order, Code::StaleEpoch),
        case(
            "/checkpoint",
            json!({"epoch": epoch, "attempt": attempt(9)}),
            Code::NotFound,
        ),
    ];
    for case in cases {
        let error = post_to::<_, Value>(&addr, case.path, &case.body)
            .await
            .unwrap_err();
        assert_eq!(
            (error.code, error.ran),
            (case.code, Ran::No),
            "{}",
            case.path
        );
    }
}
