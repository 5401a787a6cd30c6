//! Tests of fault injection, limits, draining and stopping, over HTTP and with the real clock.

#![expect(clippy::unwrap_used, reason = "a failed fixture must stop the test")]

use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use zinnia_types::Code;
use zinnia_types::Epoch;
use zinnia_types::ErrorBody;
use zinnia_types::ExecutionStatus;
use zinnia_types::worker::AttemptEnd;
use zinnia_types::worker::Start;
use zinnia_types::worker::StartReply;
use zinnia_types::worker::TaskState;

use common::MockVm;
use common::attempt;
use common::post_to;
use common::settings;
use common::task;
use zinnia_http::Client;
use zinnia_worker::CallResponse;
use zinnia_worker::FaultInjection;
use zinnia_worker::Handle;
use zinnia_worker::Settings;
use zinnia_worker::Worker;
use zinnia_worker::WorkerEvent;

mod common;

/// Starts a worker that `vm` owns. Returns its handle, address and epoch.
async fn owned_worker(vm: &MockVm, settings: Settings) -> (Handle, String, Epoch) {
    let count = vm.state.lock().unwrap().announces.len();
    let worker = Worker::spawn(settings).await.unwrap();
    vm.wait_until("announcement", |s| s.announces.len() > count)
        .await;
    let addr = worker.addr().to_string();
    (worker, addr, vm.last_epoch())
}

async fn start(
    addr: &str,
    epoch: Epoch,
    n: u32,
    service: Option<&str>,
    payload: Value,
) -> StartReply {
    let start = Start {
        epoch,
        attempt: attempt(n),
        task: task(service, payload),
    };
    post_to(addr, "/start", &start).await.unwrap()
}

fn end_of(worker: &Handle, n: u32) -> Option<AttemptEnd> {
    worker.records().into_iter().find_map(|r| match r.event {
        WorkerEvent::Ended { attempt: a, end } if a == attempt(n) => Some(end),
        _ => None,
    })
}

/// Waits up to 5 s until `condition` holds.
async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..500 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(condition(), "timed out after 5 s: {what}");
}

/// Guards against an overloaded service and against untruthful refusals (P6). A call beyond
/// `max_calls` is refused without running, and no more calls than slots run at the same time.
#[tokio::test]
async fn calls_beyond_the_limit_are_refused() {
    let vm = MockVm::start().await;
    let (worker, addr, epoch) = owned_worker(&vm, settings(&vm)).await;
    start(&addr, epoch, 1, Some("quote"), json!({})).await;
    // Stalled calls stay in flight, so the counts below do not depend on the speed of the machine.
    worker.set_faults(FaultInjection {
        stall: true,
        ..FaultInjection::default()
    });
    let mut calls = tokio::task::JoinSet::new();
    for n in 0..100 {
        let addr = addr.clone();
        calls.spawn(async move { post_to::<_, CallResponse>(&addr, "/call/quote", &n).await });
    }
    for _ in 0..36 {
        let ErrorBody { code, ran, .. } = calls.join_next().await.unwrap().unwrap().unwrap_err();
        assert_eq!((code, ran), (Code::Overloaded, ExecutionStatus::NotRun));
    }
    wait_until("calls in all slots", || {
        let records = worker.records();
        let called = records
            .iter()
            .filter(|r| matches!(r.event, WorkerEvent::Called { .. }));
        called.count() == 8
    })
    .await;
    assert!(calls.try_join_next().is_none(), "64 calls stay in flight");
    let client = Client::new(Duration::from_secs(5));
    let dump = client
        .send(http::Method::GET, &addr, "/dump", None, &())
        .await;
    let dump: Value = serde_json::from_slice(&dump.unwrap().1).unwrap();
    assert_eq!(dump["calls"], 64);
    // A caller that disconnects releases its permit.
    calls.shutdown().await;
    worker.set_faults(FaultInjection::default());
    wait_until("end of the running calls", || {
        let records = worker.records();
        let served = records
            .iter()
            .filter(|r| matches!(r.event, WorkerEvent::Served { .. }));
        served.count() >= 8
    })
    .await;
    let answer: CallResponse = post_to(&addr, "/call/quote", &1).await.unwrap();
    assert_eq!(answer.body, json!(1));
}

/// Guards against fault injection without effect, which would weaken the tests of other crates
/// unnoticed.
#[tokio::test]
async fn injected_faults_take_effect() {
    let vm = MockVm::start().await;
    let mut settings = settings(&vm);
    settings.sample_interval_ms = 20;
    settings.agent.reports.usage_interval_ms = 10;
    settings.agent.leases.heartbeat_ms = 100;
    let (worker, addr, epoch) = owned_worker(&vm, settings).await;

    worker.set_faults(FaultInjection {
        usage_percent: 50,
        ..FaultInjection::default()
    });
    start(&addr, epoch, 1, Some("quote"), json!({"use_cpu": 800})).await;
    vm.wait_until("report of half the usage", |s| {
        let mut reports = s.heartbeats.iter().flat_map(|h| &h.reports);
        reports.any(|r| matches!(&r.state, TaskState::Running { usage, .. } if usage.cpu == 400))
    })
    .await;

    worker.set_faults(FaultInjection {
        fail: true,
        ..FaultInjection::default()
    });
    start(&addr, epoch, 2, None, json!({})).await;
    wait_until("failed task", || {
        matches!(end_of(&worker, 2), Some(AttemptEnd::Failed { .. }))
    })
    .await;
    let error = post_to::<_, Value>(&addr, "/call/quote", &1)
        .await
        .unwrap_err();
    assert_eq!(
        (error.code, error.ran),
        (Code::Internal, ExecutionStatus::Ran)
    );

    worker.set_faults(FaultInjection {
        response_delay_ms: 300,
        ..FaultInjection::default()
    });
    let client = Client::new(Duration::from_millis(150));
    let delayed_start = Start {
        epoch,
        attempt: attempt(3),
        task: task(None, json!({"run_ms": 10})),
    };
    let response = client
        .send(http::Method::POST, &addr, "/start", None, &delayed_start)
        .await;
    assert_eq!(response.unwrap_err().ran(), ExecutionStatus::Unknown);
    wait_until("end of the task despite the lost response", || {
        matches!(end_of(&worker, 3), Some(AttemptEnd::Done { .. }))
    })
    .await;

    worker.set_faults(FaultInjection {
        stall: true,
        ..FaultInjection::default()
    });
    start(&addr, epoch, 4, None, json!({"run_ms": 1})).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(end_of(&worker, 4), None);
}

/// Guards against a throttle command without effect. At half the CPU, the rest of a task takes
/// twice as long.
#[tokio::test]
async fn a_throttled_task_slows_down() {
    let vm = MockVm::start().await;
    let (worker, addr, epoch) = owned_worker(&vm, settings(&vm)).await;
    start(&addr, epoch, 1, None, json!({"run_ms": 300})).await;
    let throttle = json!({"epoch": epoch, "attempt": attempt(1), "cpu": 500});
    let reply: Value = post_to(&addr, "/throttle", &throttle).await.unwrap();
    assert_eq!(reply, json!({}));
    wait_until("end of the task", || end_of(&worker, 1).is_some()).await;
    let Some(AttemptEnd::Done { run_ms }) = end_of(&worker, 1) else {
        panic!("{:?}", end_of(&worker, 1));
    };
    // Most of the 300 ms remain when the command arrives, unless the machine was suspended.
    assert!(run_ms > 310, "{run_ms} ms");
}

/// Guards against a task that outlives its lease and may run on two workers (P2). Without
/// heartbeats, the tasks are fenced and the worker announces itself again.
#[tokio::test]
async fn paused_heartbeats_fence_tasks() {
    let vm = MockVm::start().await;
    let mut settings = settings(&vm);
    settings.agent.leases.heartbeat_ms = 60;
    settings.agent.leases.owner_ms = 200;
    settings.agent.leases.task_ms = 400;
    vm.state.lock().unwrap().leases = (200, 400);
    let (worker, addr, epoch) = owned_worker(&vm, settings).await;
    worker.set_heartbeats_paused(true);
    start(&addr, epoch, 1, None, json!({"run_ms": 60_000})).await;
    wait_until("end of the fenced task", || end_of(&worker, 1).is_some()).await;
    let reply = start(&addr, epoch, 2, None, json!({})).await;
    assert_eq!(reply, StartReply::StaleEpoch);
    worker.set_heartbeats_paused(false);
    vm.wait_until("report of the fenced task", |s| {
        let reports = s.announces.iter().flat_map(|a| &a.reports);
        let mut ends = reports.filter(|r| {
            matches!(
                r.state,
                TaskState::Ended {
                    end: AttemptEnd::Fenced
                }
            )
        });
        ends.any(|r| r.attempt == attempt(1))
    })
    .await;
}

/// Guards against new work for a worker that leaves (P8) and against work lost by a graceful
/// shutdown (P9). A draining worker tells its owner at once, refuses starts, and finishes its tasks
/// and calls.
#[tokio::test]
async fn a_draining_worker_finishes_its_work() {
    let vm = MockVm::start().await;
    let (worker, addr, epoch) = owned_worker(&vm, settings(&vm)).await;
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
        tokio::spawn(async move { post_to::<_, CallResponse>(&addr, "/call/quote", &7).await })
    };
    wait_until("start of the call", || {
        let records = worker.records();
        records
            .iter()
            .any(|r| matches!(r.event, WorkerEvent::Called { .. }))
    })
    .await;
    let drained = worker.drain(Duration::from_secs(5));
    let refused = async {
        vm.wait_until("heartbeat with the leaving flag", |s| {
            s.heartbeats.iter().any(|h| h.leaving)
        })
        .await;
        start(&addr, epoch, 3, None, json!({})).await
    };
    let (drained, refused) = tokio::join!(drained, refused);
    assert!(drained);
    assert_eq!(refused, StartReply::Leaving);
    assert_eq!(call.await.unwrap().unwrap().body, json!(7));
    assert!(matches!(end_of(&worker, 1), Some(AttemptEnd::Done { .. })));
}

/// Guards against a stopped worker that still runs tasks or answers. Tests of other crates use it
/// as a killed process.
#[tokio::test]
async fn a_stopped_worker_behaves_like_a_killed_process() {
    let vm = MockVm::start().await;
    let (worker, addr, epoch) = owned_worker(&vm, settings(&vm)).await;
    start(&addr, epoch, 1, None, json!({"run_ms": 50})).await;
    worker.stop();
    tokio::time::sleep(Duration::from_millis(150)).await;
    assert_eq!(end_of(&worker, 1), None);
    let last = worker.records().pop().unwrap();
    assert_eq!(last.event, WorkerEvent::Down);
    let client = Client::new(Duration::from_millis(500));
    let answer = client
        .send(http::Method::GET, &addr, "/healthz", None, &())
        .await;
    assert!(answer.unwrap_err().is_not_sent());
    // A delayed command to the earlier boot must not run on the next one.
    let (_restarted, addr, later) = owned_worker(&vm, settings(&vm)).await;
    assert!(later > epoch);
    let reply = start(&addr, epoch, 2, None, json!({})).await;
    assert_eq!(reply, StartReply::StaleEpoch);
}

/// Guards against a worker that keeps an owner which has released it. A heartbeat answered with
/// "not found" ends the ownership, and the worker announces itself under a new epoch.
#[tokio::test]
async fn a_refused_heartbeat_ends_the_ownership() {
    let vm = MockVm::start().await;
    let mut settings = settings(&vm);
    settings.agent.leases.heartbeat_ms = 50;
    let (_worker, addr, epoch) = owned_worker(&vm, settings).await;
    vm.state.lock().unwrap().refuse_all = true;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let reply = start(&addr, epoch, 1, None, json!({})).await;
    assert_eq!(reply, StartReply::StaleEpoch);
    vm.state.lock().unwrap().refuse_all = false;
    vm.wait_until("announcement under a new epoch", |s| {
        s.announces.last().is_some_and(|a| a.epoch > epoch)
    })
    .await;
}

/// Guards against unclear errors. The error body of a malformed, oversized or unknown request must
/// say that nothing ran.
#[tokio::test]
async fn invalid_requests_get_error_bodies() {
    struct Case {
        path: &'static str,
        body: Value,
        code: Code,
    }
    let vm = MockVm::start().await;
    let mut settings = settings(&vm);
    settings.service.body_bytes = 1_000;
    let (_worker, addr, epoch) = owned_worker(&vm, settings).await;
    start(&addr, epoch, 1, Some("quote"), json!({})).await;
    let oversized = json!("x".repeat(2_000));
    let stale = json!({"epoch": 1, "attempt": "7.0.1.1"});
    let case = |path, body, code| Case { path, body, code };
    let cases = [
        case("/start", json!({"epoch": 1}), Code::BadRequest),
        case("/start", oversized.clone(), Code::TooLarge),
        case("/call/quote", oversized, Code::TooLarge),
        case("/call/none", json!(1), Code::NotFound),
        case("/call/not%20a%20name", json!(1), Code::NotFound),
        case("/nothing", json!(1), Code::NotFound),
        case("/checkpoint", stale, Code::StaleEpoch),
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
            (case.code, ExecutionStatus::NotRun),
            "{}",
            case.path
        );
    }
}
