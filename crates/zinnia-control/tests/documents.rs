//! Jobs that meet a document which is no longer the one that admitted them.

mod common;

use std::time::Duration;

use common::COMPLETED;
use common::Cell;
use common::caller_request;
use common::document;
use common::job;
use common::wait_for_answer;
use zinnia_control::Answer;
use zinnia_control::CallerAction;
use zinnia_control::Request;
use zinnia_plan::Document;
use zinnia_plan::Queue;

/// The document of the cell with other queues.
fn with_queues(version: u64, queues: Vec<Queue>) -> Request {
    Request::Publish {
        raw: format!("version {version}"),
        document: Document {
            version,
            queues,
            ..document()
        },
    }
}

/// Guards against accepted jobs that stop for good when their route is renamed or removed, and against
/// repeated submissions of them that are refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn accepted_jobs_outlive_their_route() {
    struct Case {
        name: &'static str,
        queues: fn(Queue) -> Vec<Queue>,
        /// Whether callers still reach the jobs.
        reachable: bool,
    }
    let cases = [
        Case {
            name: "renamed",
            queues: |queue| {
                vec![Queue {
                    name: "renamed".to_owned(),
                    ..queue
                }]
            },
            reachable: true,
        },
        Case {
            name: "removed",
            queues: |_| Vec::new(),
            reachable: false,
        },
        Case {
            name: "its name goes to another route",
            queues: |queue| {
                let other = Queue {
                    prefix: "/other/".to_owned(),
                    ..queue.clone()
                };
                let same = Queue {
                    name: "renamed".to_owned(),
                    ..queue
                };
                vec![other, same]
            },
            reachable: true,
        },
    ];
    let cell = Cell::start().await;
    let gateway = &cell.client.gateway;
    for (id, case) in (1_u64..).zip(cases) {
        let version = id * 10;
        // Without heartbeats the job waits until the document has changed.
        let submit = caller_request(id, CallerAction::Submit(Ok(job())));
        let [queue] = document().queues.try_into().unwrap_or_default();
        let original = with_queues(version, vec![queue]);
        wait_for_answer(gateway, &original, &Answer::Done).await;
        wait_for_answer(gateway, &submit, &Answer::Done).await;
        let [queue] = document().queues.try_into().unwrap_or_default();
        let changed = with_queues(version + 1, (case.queues)(queue));
        wait_for_answer(gateway, &changed, &Answer::Done).await;
        let again = gateway.request(&submit, Duration::from_secs(2)).await;
        let expected = match case.reachable {
            true => Answer::Done,
            false => Answer::NoQueue,
        };
        assert_eq!(again, expected, "{}: submitted again", case.name);
        let heartbeats = cell.spawn_heartbeats();
        if !case.reachable {
            let [queue] = document().queues.try_into().unwrap_or_default();
            let progress = || {
                let worker = cell.worker.lock();
                worker.map_or(0, |w| w.starts.keys().filter(|t| t.job.0 == id).count())
            };
            let started_at = std::time::Instant::now();
            while progress() < 5 {
                assert!(
                    started_at.elapsed() < common::TIMEOUT,
                    "{}: {} of 5 tasks were started",
                    case.name,
                    progress()
                );
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            let back = with_queues(version + 2, vec![queue]);
            wait_for_answer(gateway, &back, &Answer::Done).await;
        }
        wait_for_answer(gateway, &caller_request(id, CallerAction::Get), &COMPLETED).await;
        heartbeats.abort();
    }
}
