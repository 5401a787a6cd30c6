//! Calls between peers on loopback.

mod common;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use common::ME;
use common::Seen;
use common::any;
use common::echo;
use common::settings;
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

/// Guards against an answer, a refusal or an identity that gets lost on the way.
#[tokio::test]
async fn answers_reach_the_caller() {
    let server = echo(any(), settings(), Seen::default()).await;
    let addr = server.addr().to_string();
    let links = Links::new(settings(), ME);
    let got: Value = links
        .call(&addr, "echo", &json!({"a": [1, null]}))
        .await
        .unwrap();
    assert_eq!(got, json!({"a": [1, null]}));
    let who: String = links.call(&addr, "who", &()).await.unwrap();
    assert_eq!(who, ME.to_string());
    let refused: PeerError = links
        .call::<_, Value>(&addr, "refuse", &1)
        .await
        .unwrap_err();
    assert_eq!((refused.step, refused.maybe_sent), (CallStep::Handle, true));
    assert_eq!(refused.refusal.unwrap().code, Code::Conflict);
}

struct Refusal {
    name: &'static str,
    ours: Settings,
    bytes: usize,
    method: &'static str,
    step: CallStep,
    sent: bool,
    timeout: bool,
}

/// Guards against a request that passes a check it must fail, and against a wrong `sent`.
#[tokio::test]
async fn refusals_say_whether_anything_was_sent() {
    let small = Settings {
        max_message: 4_096,
        ..settings()
    };
    let wrong = ClusterKey::new("0123456789abcdef-loopbacK").unwrap();
    let brief = Settings {
        call_timeout: Duration::from_millis(100),
        ..settings()
    };
    let cases = [
        Refusal {
            name: "wrong key",
            ours: Settings {
                key: wrong,
                ..settings()
            },
            bytes: 1,
            method: "echo",
            step: CallStep::Connect,
            sent: false,
            timeout: false,
        },
        Refusal {
            name: "too large for the sender",
            ours: small.clone(),
            bytes: 5_000,
            method: "echo",
            step: CallStep::Encode,
            sent: false,
            timeout: false,
        },
        Refusal {
            name: "too large for the receiver",
            ours: settings(),
            bytes: 5_000,
            method: "echo",
            step: CallStep::Answer,
            sent: true,
            timeout: false,
        },
        Refusal {
            name: "late answer",
            ours: brief,
            bytes: 0,
            method: "slow",
            step: CallStep::Answer,
            sent: true,
            timeout: true,
        },
    ];
    let seen = Seen::default();
    let server = echo(any(), small, seen.clone()).await;
    let addr = server.addr().to_string();
    for case in cases {
        let links = Links::new(case.ours, ME);
        let value = if case.method == "slow" {
            json!(10_000)
        } else {
            json!("x".repeat(case.bytes))
        };
        let error = links
            .call::<_, Value>(&addr, case.method, &value)
            .await
            .unwrap_err();
        let got = (error.step, error.maybe_sent, error.timed_out);
        assert_eq!(
            got,
            (case.step, case.sent, case.timeout),
            "{}: {error}",
            case.name
        );
        assert_eq!(error.peer, addr, "{}", case.name);
    }
    assert_eq!(
        *seen.lock().unwrap(),
        [json!(10_000)],
        "only the late request is handled"
    );
}

/// Guards against an answer that goes to another caller when answers overtake one another.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_thousand_answers_out_of_order_match_their_calls() {
    let server = echo(any(), settings(), Seen::default()).await;
    let addr: Arc<str> = server.addr().to_string().into();
    let links = Links::new(
        Settings {
            call_timeout: Duration::from_secs(30),
            ..settings()
        },
        ME,
    );
    let mut calls = JoinSet::new();
    for i in 0..1_000_u64 {
        let links = links.clone();
        let addr = addr.clone();
        // Later calls get earlier answers.
        calls.spawn(async move {
            let wait = 1_000 - i;
            (wait, links.call::<_, u64>(&addr, "slow", &wait).await)
        });
    }
    let mut done = 0;
    while let Some(call) = calls.join_next().await {
        let (wait, answer) = call.unwrap();
        assert_eq!(answer, Ok(wait));
        done += 1;
    }
    assert_eq!(done, 1_000);
    assert_eq!(
        links.counters()[&*addr].connects,
        1,
        "one connection per peer"
    );
}

/// Guards against one-way messages that overtake one another, which a replicated log answers with
/// refusals and resends, and against a handler that is cancelled when its connection breaks.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_way_messages_are_handled_in_order_and_to_the_end() {
    const MESSAGES: u64 = 2_000;
    let begun = Arc::new(Mutex::new(Vec::new()));
    let ended = Arc::new(AtomicU64::new(0));
    let handler = {
        let begun = begun.clone();
        let ended = ended.clone();
        move |_: VmId, _: String, value: Box<RawValue>| {
            begun
                .lock()
                .unwrap()
                .push(value.get().parse::<u64>().unwrap());
            let ended = ended.clone();
            async move {
                sleep(Duration::from_millis(300)).await;
                ended.fetch_add(1, Ordering::Relaxed);
                Ok(Value::Null)
            }
        }
    };
    let server = serve(any(), settings(), handler).await.unwrap();
    let addr = server.addr().to_string();
    let bound = QueueLimits {
        max_messages: 5_000,
        ..QueueLimits::default()
    };
    let links = Links::new(
        Settings {
            queue: bound,
            ..settings()
        },
        ME,
    );
    for i in 0..MESSAGES {
        links.notify(&addr, "n", &i);
    }
    let deadline = Instant::now() + Duration::from_secs(10);
    while begun.lock().unwrap().len() < MESSAGES as usize && Instant::now() < deadline {
        sleep(Duration::from_millis(1)).await;
    }
    drop(links);
    let order = begun.lock().unwrap().clone();
    let swapped = order.windows(2).filter(|pair| pair[0] > pair[1]).count();
    assert_eq!(
        (order.len() as u64, swapped),
        (MESSAGES, 0),
        "messages and swaps"
    );
    while ended.load(Ordering::Relaxed) < MESSAGES && Instant::now() < deadline {
        sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(
        ended.load(Ordering::Relaxed),
        MESSAGES,
        "handlers that ended"
    );
}
