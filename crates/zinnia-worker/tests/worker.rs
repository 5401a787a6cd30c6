//! Tests of commands, reports of ends, and calls over HTTP.

use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use zinnia_types::worker::AttemptEnd;
use zinnia_types::worker::Start;
use zinnia_types::worker::StartReply;
use zinnia_types::worker::Stop;
use zinnia_types::worker::StopReply;
use zinnia_types::worker::TaskState;

use common::MockVm;
use common::attempt;
use common::post_to;
use common::settings;
use common::task;
use zinnia_worker::CallResponse;
use zinnia_worker::Worker;

mod common;

/// Guards against ends that are lost or wait for the next regular heartbeat. Each way in which a
/// task can end must reach the owner early.
#[tokio::test]
async fn ends_reach_the_owner_early() {
    struct Case {
        name: &'static str,
        payload: Value,
        /// Whether the task is stopped, and if so, with a checkpoint.
        stop: Option<bool>,
        end: fn(&AttemptEnd) -> bool,
    }
    let cases = [
        Case {
            name: "done",
            payload: json!({"run_ms": 50}),
            stop: None,
            end: |e| matches!(e, AttemptEnd::Done { run_ms: 50.. }),
        },
        Case {
            name: "failed",
            payload: json!({"run_ms": 10, "exit": 3}),
            stop: None,
            end: |e| matches!(e, AttemptEnd::Failed { .. }),
        },
        Case {
            name: "stopped",
            payload: json!({"run_ms": 60_000}),
            stop: Some(false),
            end: |e| *e == AttemptEnd::Stopped { checkpoint: false },
        },
        Case {
            name: "checkpoint",
            payload: json!({"run_ms": 60_000, "checkpoint_ms": 20}),
            stop: Some(true),
            end: |e| *e == AttemptEnd::Stopped { checkpoint: true },
        },
    ];
    let vm = MockVm::start().await;
    let worker = Worker::spawn(settings(&vm)).await.unwrap();
    let addr = worker.addr().to_string();
    vm.wait_until("announcement", |s| !s.announces.is_empty())
        .await;
    let epoch = vm.last_epoch();
    for (n, case) in cases.into_iter().enumerate() {
        let attempt = attempt(u32::try_from(n).unwrap());
        let start = Start {
            epoch,
            attempt,
            task: task(None, case.payload),
        };
        let reply: StartReply = post_to(&addr, "/start", &start).await.unwrap();
        assert_eq!(reply, StartReply::Started, "{}", case.name);
        if let Some(checkpoint) = case.stop {
            let stop = Stop {
                epoch,
                attempt,
                checkpoint,
            };
            let reply: StopReply = post_to(&addr, "/stop", &stop).await.unwrap();
            assert_eq!(reply, StopReply::Stopping, "{}", case.name);
        }
        vm.wait_until(case.name, |s| {
            s.heartbeats.iter().flat_map(|h| &h.reports).any(|r| {
                r.attempt == attempt
                    && matches!(&r.state, TaskState::Ended { end } if (case.end)(end))
            })
        })
        .await;
    }
}

/// Guards against truncated or misrouted calls (P5). The response must echo the whole request body
/// and name the worker and the service.
#[tokio::test]
async fn calls_are_echoed_with_worker_and_service() {
    let vm = MockVm::start().await;
    let worker = Worker::spawn(settings(&vm)).await.unwrap();
    let addr = worker.addr().to_string();
    vm.wait_until("announcement", |s| !s.announces.is_empty())
        .await;
    let start = Start {
        epoch: vm.last_epoch(),
        attempt: attempt(1),
        task: task(Some("quote"), json!({"delay_ms": 5})),
    };
    let _: StartReply = post_to(&addr, "/start", &start).await.unwrap();
    let body = json!({"mats": 5000, "text": "x".repeat(100_000)});
    let answer: CallResponse = post_to(&addr, "/call/quote", &body).await.unwrap();
    assert_eq!((answer.worker, &answer.body), (worker.worker(), &body));
    assert_eq!(answer.service.as_str(), "quote");
    // The routers of VMs estimate the waiting time at the worker from this header.
    let mut stream = tokio::net::TcpStream::connect(&addr).await.unwrap();
    let request =
        "POST /call/quote HTTP/1.1\r\nhost: w\r\ncontent-length: 1\r\nconnection: close\r\n\r\n1";
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.contains("\r\nx-held: 1\r\n"), "{answer}");
    let refused = post_to::<_, Value>(&addr, "/call/none", &body).await;
    assert_eq!(
        refused.unwrap_err().ran,
        zinnia_types::ExecutionStatus::NotRun
    );
}
