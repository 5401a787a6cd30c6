//! Tests that a stopped worker behaves like a process that was killed, over HTTP and with the real
//! clock.

use std::time::Duration;

use http::Method;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;
use zinnia_http::Client;
use zinnia_types::worker::Start;
use zinnia_types::worker::StartReply;

use common::MockVm;
use common::attempt;
use common::post_to;
use common::settings;
use common::task;
use zinnia_worker::Worker;
use zinnia_worker::WorkerEvent;
use zinnia_worker::digest;

mod common;

/// Workers that are stopped, each while calls end.
const ROUNDS: u32 = 300;

/// Calls that each worker serves in turn until it is stopped.
const CALLERS: u32 = 8;

/// Sends calls one after the other until one fails. Returns the digests of the responses.
async fn call_until_stopped(addr: String, caller: u32) -> Vec<u64> {
    let client = Client::new(Duration::from_secs(5));
    let mut responses = Vec::new();
    for n in 0.. {
        let body = json!([caller, n]);
        let sent = client
            .send(Method::POST, &addr, "/call/quote", None, &body)
            .await;
        match sent {
            Ok((200, bytes)) => responses.push(digest(&bytes)),
            _ => break,
        }
    }
    responses
}

/// Guards against responses that leave a worker after its end was recorded: the checker of the
/// invariants then sees an answer that no worker gave (P5).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn each_response_of_a_stopped_worker_is_recorded() {
    let vm = MockVm::start().await;
    for round in 0..ROUNDS {
        let known = vm.state.lock().unwrap().announces.len();
        let worker = Worker::spawn(settings(&vm)).await.unwrap();
        vm.wait_until("announcement", |s| s.announces.len() > known)
            .await;
        let addr = worker.addr().to_string();
        let start = Start {
            epoch: vm.last_epoch(),
            attempt: attempt(1),
            task: task(Some("quote"), Value::Null),
        };
        let _: StartReply = post_to(&addr, "/start", &start).await.unwrap();
        let mut callers = JoinSet::new();
        for caller in 0..CALLERS {
            callers.spawn(call_until_stopped(addr.clone(), caller));
        }
        // The pause differs from round to round so that the stop meets calls in each state.
        let pause = Duration::from_micros(2_000 + 37 * u64::from(round));
        tokio::time::sleep(pause).await;
        worker.stop();
        let received = callers.join_all().await;
        let records = worker.records();
        let recorded: Vec<u64> = records
            .iter()
            .filter_map(|record| match record.event {
                WorkerEvent::Served { response, .. } => response,
                _ => None,
            })
            .collect();
        for response in received.into_iter().flatten() {
            assert!(recorded.contains(&response), "round {round}");
        }
    }
}
