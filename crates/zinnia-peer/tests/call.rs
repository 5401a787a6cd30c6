//! Calls and one-way messages between peers.

mod common;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use common::LOCAL_VM;
use common::ReceivedValues;
use common::any_port;
use common::settings;
use common::start_server;
use serde_json::Value;
use serde_json::json;
use serde_json::value::RawValue;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use zinnia_peer::CallStep;
use zinnia_peer::ClusterKey;
use zinnia_peer::Links;
use zinnia_peer::PeerError;
use zinnia_peer::QueueLimits;
use zinnia_peer::Settings;
use zinnia_peer::serve;
use zinnia_types::Code;
use zinnia_types::VmId;

/// Guards against a lost answer, a lost handler error, or a handler that does not get the caller's
/// VM id.
#[tokio::test]
async fn answers_and_errors_reach_the_caller() {
    let server = start_server(any_port(), settings(), ReceivedValues::default()).await;
    let addr = server.addr().to_string();
    let links = Links::new(settings(), LOCAL_VM);
    let answer: Value = links
        .call(&addr, "echo", &json!({"a": [1, null]}))
        .await
        .unwrap();
    assert_eq!(answer, json!({"a": [1, null]}));
    let who: String = links.call(&addr, "who", &()).await.unwrap();
    assert_eq!(who, LOCAL_VM.to_string());
    let error: PeerError = links
        .call::<_, Value>(&addr, "refuse", &1)
        .await
        .unwrap_err();
    assert_eq!((error.step, error.maybe_sent), (CallStep::Handle, true));
    assert_eq!(error.handler_error.unwrap().code, Code::Conflict);
}

struct FailedCall {
    name: &'static str,
    settings: Settings,
    value_bytes: usize,
    method: &'static str,
    step: CallStep,
    maybe_sent: bool,
    timed_out: bool,
}

/// Guards against invalid requests that reach the handler, and against errors with a wrong `step`,
/// `maybe_sent` or `timed_out`.
#[tokio::test]
async fn failed_calls_report_step_and_whether_sent() {
    let small_messages = Settings {
        max_message: 4_096,
        ..settings()
    };
    let wrong_key = ClusterKey::new("0123456789abcdef-loopbacK").unwrap();
    let short_timeout = Settings {
        call_timeout: Duration::from_millis(100),
        ..settings()
    };
    let cases = [
        FailedCall {
            name: "wrong key",
            settings: Settings {
                key: wrong_key,
                ..settings()
            },
            value_bytes: 1,
            method: "echo",
            step: CallStep::Connect,
            maybe_sent: false,
            timed_out: false,
        },
        FailedCall {
            name: "too large for the sender",
            settings: small_messages.clone(),
            value_bytes: 5_000,
            method: "echo",
            step: CallStep::Encode,
            maybe_sent: false,
            timed_out: false,
        },
        FailedCall {
            name: "too large for the receiver",
            settings: settings(),
            value_bytes: 5_000,
            method: "echo",
            step: CallStep::Answer,
            maybe_sent: true,
            timed_out: false,
        },
        FailedCall {
            name: "late answer",
            settings: short_timeout,
            value_bytes: 0,
            method: "slow",
            step: CallStep::Answer,
            maybe_sent: true,
            timed_out: true,
        },
    ];
    let received = ReceivedValues::default();
    let server = start_server(any_port(), small_messages, received.clone()).await;
    let addr = server.addr().to_string();
    for case in cases {
        let links = Links::new(case.settings, LOCAL_VM);
        let value = if case.method == "slow" {
            json!(10_000)
        } else {
            json!("x".repeat(case.value_bytes))
        };
        let error = links
            .call::<_, Value>(&addr, case.method, &value)
            .await
            .unwrap_err();
        let outcome = (error.step, error.maybe_sent, error.timed_out);
        assert_eq!(
            outcome,
            (case.step, case.maybe_sent, case.timed_out),
            "{}: {error}",
            case.name
        );
        assert_eq!(error.peer, addr, "{}", case.name);
    }
    assert_eq!(
        *received.lock().unwrap(),
        [json!(10_000)],
        "the handler received only the request with the late answer"
    );
}

/// Guards against answers that reach the wrong caller when they arrive in another order than the
/// calls.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn out_of_order_answers_match_their_calls() {
    let server = start_server(any_port(), settings(), ReceivedValues::default()).await;
    let addr: Arc<str> = server.addr().to_string().into();
    let links = Links::new(
        Settings {
            call_timeout: Duration::from_secs(30),
            ..settings()
        },
        LOCAL_VM,
    );
    let mut calls = JoinSet::new();
    for i in 0..1_000_u64 {
        let links = links.clone();
        let addr = addr.clone();
        // The delay decreases with `i`, so later calls are answered first.
        calls.spawn(async move {
            let delay_ms = 1_000 - i;
            (
                delay_ms,
                links.call::<_, u64>(&addr, "slow", &delay_ms).await,
            )
        });
    }
    let mut answered = 0;
    while let Some(call) = calls.join_next().await {
        let (delay_ms, answer) = call.unwrap();
        assert_eq!(answer, Ok(delay_ms));
        answered += 1;
    }
    assert_eq!(answered, 1_000);
    assert_eq!(
        links.counters()[&*addr].connects,
        1,
        "all calls share one connection"
    );
}

/// Guards against one-way messages that are handled out of order, which makes followers of the
/// replicated log reject entries and the leader resend them. Also guards against handlers that are
/// cancelled when their connection breaks.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_way_messages_are_handled_in_order_and_to_completion() {
    const MESSAGES: u64 = 2_000;
    let started = Arc::new(Mutex::new(Vec::new()));
    let completed = Arc::new(AtomicU64::new(0));
    let handler = {
        let started = started.clone();
        let completed = completed.clone();
        move |_: VmId, _: String, value: Box<RawValue>| {
            started
                .lock()
                .unwrap()
                .push(value.get().parse::<u64>().unwrap());
            let completed = completed.clone();
            async move {
                sleep(Duration::from_millis(300)).await;
                completed.fetch_add(1, Ordering::Relaxed);
                Ok(Value::Null)
            }
        }
    };
    let server = serve(any_port(), settings(), handler).await.unwrap();
    let addr = server.addr().to_string();
    let limits = QueueLimits {
        max_messages: 5_000,
        ..QueueLimits::default()
    };
    let links = Links::new(
        Settings {
            queue: limits,
            ..settings()
        },
        LOCAL_VM,
    );
    for i in 0..MESSAGES {
        links.notify(&addr, "n", &i);
    }
    let deadline = Instant::now() + Duration::from_secs(10);
    while started.lock().unwrap().len() < MESSAGES as usize && Instant::now() < deadline {
        sleep(Duration::from_millis(1)).await;
    }
    drop(links);
    let order = started.lock().unwrap().clone();
    let out_of_order = order.windows(2).filter(|pair| pair[0] > pair[1]).count();
    assert_eq!(
        (order.len() as u64, out_of_order),
        (MESSAGES, 0),
        "messages, and messages out of order"
    );
    while completed.load(Ordering::Relaxed) < MESSAGES && Instant::now() < deadline {
        sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(
        completed.load(Ordering::Relaxed),
        MESSAGES,
        "completed handlers"
    );
}
