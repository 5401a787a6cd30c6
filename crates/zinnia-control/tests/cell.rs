//! Tests of a cell of three members and a process without a log, on loopback, with simulated
//! workers.

mod common;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use common::COMPLETED;
use common::Cell;
use common::SharedWorker;
use common::TIMEOUT;
use common::caller_request;
use common::document;
use common::free_addr;
use common::job;
use common::transport;
use common::wait_for_answer;
use zinnia_control::Answer;
use zinnia_control::CallerAction;
use zinnia_control::CallerRequest;
use zinnia_control::Process;
use zinnia_control::Request;
use zinnia_control::Settings;

/// Guards against jobs that are lost or run twice when the leader stops. Also guards against a
/// leader that rejects requests while it writes its newest entry to disk, which under load is
/// almost always the case.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn jobs_survive_leader_failure() {
    let cell = Cell::start().await;
    let heartbeats = cell.spawn_heartbeats();
    let gateway = &cell.client.gateway;
    for id in 1..=20 {
        let submit = caller_request(id, CallerAction::Submit(Ok(job())));
        wait_for_answer(gateway, &submit, &Answer::Done).await;
    }
    let member = &cell.members[cell.leader()];
    let writer = async {
        for id in 100..=160 {
            let submit = caller_request(id, CallerAction::Submit(Ok(job())));
            wait_for_answer(gateway, &submit, &Answer::Done).await;
        }
    };
    let reader = async {
        for _ in 0..200 {
            let leads = member
                .member
                .as_ref()
                .is_some_and(zinnia_control::Member::is_leader);
            assert!(leads, "the leader rejects requests under load");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::join!(writer, reader);
    member.stop().await;
    for id in 21..=25 {
        let submit = caller_request(id, CallerAction::Submit(Ok(job())));
        wait_for_answer(gateway, &submit, &Answer::Done).await;
    }
    for id in 1..=25 {
        wait_for_answer(gateway, &caller_request(id, CallerAction::Get), &COMPLETED).await;
    }
    heartbeats.abort();
    let worker = cell.worker.lock().expect("a lock");
    let started_twice: Vec<_> = worker.starts.iter().filter(|(_, n)| **n > 1).collect();
    assert!(
        started_twice.is_empty(),
        "tasks that were started twice: {started_twice:?}"
    );
}

/// Guards against wrong answers to invalid requests. A refusal must mean that the request had no
/// effect.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn invalid_requests_are_refused() {
    struct Case {
        name: &'static str,
        request: Request,
        answer: Answer,
    }
    let cell = Cell::start().await;
    let mut other = document();
    other.version = 2;
    other.queues[0].pool = "none".to_owned();
    let no_queue = Request::Caller(CallerRequest {
        host: "b.example".to_owned(),
        path: "/q/".to_owned(),
        key: None,
        action: CallerAction::Get,
        deadline: None,
    });
    let cases = [
        Case {
            name: "unknown queue",
            request: no_queue,
            answer: Answer::NoQueue,
        },
        Case {
            name: "read of an unknown job",
            request: caller_request(1, CallerAction::Get),
            answer: Answer::Gone,
        },
        Case {
            name: "cancel of an unknown job",
            request: caller_request(1, CallerAction::Cancel),
            answer: Answer::Gone,
        },
        Case {
            name: "job that cannot be decoded",
            request: caller_request(1, CallerAction::Submit(Err("why".to_owned()))),
            answer: Answer::Invalid("why".to_owned()),
        },
        Case {
            name: "document with an error",
            request: Request::Publish {
                raw: "other".to_owned(),
                document: other,
            },
            answer: Answer::Invalid("queue quick names an unknown pool".to_owned()),
        },
        Case {
            name: "current document",
            request: Request::Read,
            answer: Answer::Document("raw".to_owned()),
        },
    ];
    for case in cases {
        let answer = cell
            .client
            .gateway
            .request(&case.request, Duration::from_secs(2))
            .await;
        assert_eq!(answer, case.answer, "{}", case.name);
    }
    let stops: Vec<_> = cell.members.iter().map(Process::stop).collect();
    for stop in stops {
        stop.await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let started_at = Instant::now();
    let submit = caller_request(9, CallerAction::Submit(Ok(job())));
    let answer = cell
        .client
        .gateway
        .request(&submit, Duration::from_millis(500))
        .await;
    assert!(matches!(answer, Answer::Busy(_)), "{answer:?}");
    assert!(
        started_at.elapsed() < Duration::from_secs(2),
        "the request respects its time limit"
    );
}

/// Guards against reads that report a job as running just before its end is stored, so that the
/// caller learns of the end only with its next request.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn read_waits_for_imminent_job_end() {
    let settings = Settings {
        read_wait_ms: 10_000,
        ..Settings::default()
    };
    let cell = Cell::start_with(settings).await;
    let heartbeats = cell.spawn_heartbeats();
    let gateway = &cell.client.gateway;
    let mut spec = job();
    spec.steps.truncate(1);
    spec.steps[0].count = 1;
    let started_at = Instant::now();
    let submit = caller_request(1, CallerAction::Submit(Ok(spec)));
    wait_for_answer(gateway, &submit, &Answer::Done).await;
    while cell.worker.lock().expect("a lock").starts.is_empty() {
        assert!(started_at.elapsed() < TIMEOUT, "the job is not started");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let answer = gateway
        .request(&caller_request(1, CallerAction::Get), TIMEOUT)
        .await;
    heartbeats.abort();
    assert_eq!(answer, COMPLETED);
}

/// Guards against a process that never finds the cell because its seeds no longer exist.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn updated_seeds_lead_to_the_cell() {
    let cell = Cell::start().await;
    let settings = Settings {
        peer_addr: free_addr(),
        seeds: vec![free_addr().to_string()],
        cluster_key: "key-of-a-test-cell".to_owned(),
        ..Settings::default()
    };
    let process = Process::start(settings, transport(&cell.worker, cell.origin)).await;
    let gateway = process.expect("a process without a log").gateway;
    let read = Request::Read;
    let answer = gateway.request(&read, Duration::from_millis(500)).await;
    assert!(matches!(answer, Answer::Busy(_)), "{answer:?}");
    gateway.set_seeds(cell.seeds.clone());
    wait_for_answer(&gateway, &read, &Answer::Document("raw".to_owned())).await;
}

/// Guards against a refusal that is reported as certain although an earlier attempt of the same
/// request was carried out: the first leader stalled, the key was withdrawn, and the next leader
/// refused the request.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn refusal_after_unknown_attempt_is_unknown() {
    struct Case {
        name: &'static str,
        request: Request,
        second: Answer,
        answer: Answer,
    }
    let submit = caller_request(1, CallerAction::Submit(Ok(job())));
    let case = |name, request: &Request, second: &Answer, answer: &Answer| Case {
        name,
        request: request.clone(),
        second: second.clone(),
        answer: answer.clone(),
    };
    let busy = Answer::Busy(1_000);
    let cases = [
        case("key refused", &submit, &Answer::NoKey, &Answer::Unknown),
        case("queue refused", &submit, &Answer::NoQueue, &Answer::Unknown),
        case("leader busy", &submit, &busy, &Answer::Unknown),
        case(
            "cancellation refused",
            &caller_request(1, CallerAction::Cancel),
            &Answer::NoKey,
            &Answer::Unknown,
        ),
        case("submission accepted", &submit, &Answer::Done, &Answer::Done),
        case(
            "read refused",
            &caller_request(1, CallerAction::Get),
            &Answer::NoKey,
            &Answer::NoKey,
        ),
    ];
    for case in cases {
        let addr = free_addr();
        let settings = Settings {
            peer_addr: free_addr(),
            seeds: vec![addr.to_string()],
            cluster_key: "key-of-a-test-cell".to_owned(),
            ..Settings::default()
        };
        let links = zinnia_peer::Settings {
            addr: addr.to_string(),
            ..zinnia_peer::Settings::new(
                zinnia_peer::ClusterKey::new(&settings.cluster_key).expect("a key"),
            )
        };
        let attempts = Arc::new(AtomicUsize::new(0));
        let second = case.second.clone();
        let leader = move |_, method: String, _| {
            let first = method == "ask" && attempts.fetch_add(1, Ordering::Relaxed) == 0;
            let answer = serde_json::to_value(&second).expect("an answer");
            async move {
                if method != "ask" {
                    std::future::pending::<()>().await;
                }
                if first {
                    tokio::time::sleep(TIMEOUT).await;
                }
                Ok(answer)
            }
        };
        let _server = zinnia_peer::serve(addr, links, leader)
            .await
            .expect("a peer");
        let process = Process::start(
            settings,
            transport(&SharedWorker::default(), Instant::now()),
        )
        .await;
        let gateway = process.expect("a process without a log").gateway;
        let answer = gateway.request(&case.request, Duration::from_secs(2)).await;
        assert_eq!(answer, case.answer, "{}", case.name);
    }
}
