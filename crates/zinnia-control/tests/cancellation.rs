//! Submissions that arrive after an answer about their job.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::Cell;
use common::TIMEOUT;
use common::caller_request;
use common::free_addr;
use common::job;
use common::wait_for_answer;
use zinnia_control::Answer;
use zinnia_control::CallerAction;
use zinnia_control::CallerRequest;
use zinnia_control::LeaderTime;
use zinnia_control::Request;
use zinnia_peer::ClusterKey;
use zinnia_peer::Links;
use zinnia_types::Time;
use zinnia_types::VmId;

const ID: u64 = 7;
/// Time in which a task of an accepted job certainly starts in these tests.
const START_TIME: Duration = Duration::from_millis(500);

fn submission(id: u64) -> Request {
    caller_request(id, CallerAction::Submit(Ok(job())))
}

/// Guards against a job that runs although its cancellation was answered before: its submission was sent first
/// and arrived last, at the same leader or at the next one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn cancelled_job_never_runs_when_its_submission_arrives_late() {
    struct Case {
        name: &'static str,
        leader_lost: bool,
    }
    let cases = [
        Case {
            name: "same leader",
            leader_lost: false,
        },
        Case {
            name: "the leader is lost in between",
            leader_lost: true,
        },
    ];
    for case in cases {
        let cell = Cell::start().await;
        let heartbeats = cell.spawn_heartbeats();
        let gateway = &cell.client.gateway;
        let cancel = caller_request(ID, CallerAction::Cancel);
        wait_for_answer(gateway, &cancel, &Answer::Gone).await;
        if case.leader_lost {
            cell.members[cell.leader()].stop().await;
        }
        // Other jobs are accepted, so the cell works.
        wait_for_answer(gateway, &submission(1), &Answer::Done).await;
        let answer = gateway.request(&submission(ID), TIMEOUT).await;
        tokio::time::sleep(START_TIME).await;
        heartbeats.abort();
        let worker = cell.worker.lock().expect("a lock");
        let started: Vec<_> = worker.starts.keys().filter(|t| t.job.0 == ID).collect();
        assert!(started.is_empty(), "{}: {started:?} started", case.name);
        assert_eq!(answer, Answer::Cancelled, "{}", case.name);
        assert!(!worker.starts.is_empty(), "{}: no task starts", case.name);
    }
}

/// Guards against requests that are carried out long after the process that forwarded them has given them up.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_after_its_deadline_is_not_carried_out() {
    let cell = Cell::start().await;
    let member = Arc::clone(&cell.members[cell.leader()].gateway);
    let addr = cell.seeds[cell.leader()].clone();
    let own = free_addr().to_string();
    let settings = zinnia_peer::Settings {
        addr: own,
        ..zinnia_peer::Settings::new(ClusterKey::new(&cell.base.cluster_key).expect("a key"))
    };
    let links = Links::new(settings, VmId(99));
    let send = async |id: u64, deadline: Option<LeaderTime>| {
        let Request::Caller(request) = submission(id) else {
            panic!("a caller's request");
        };
        let request = Request::Caller(CallerRequest {
            deadline,
            ..request
        });
        let answer = links.call_with_timeout::<_, Answer>(&addr, "ask", &request, TIMEOUT);
        answer.await.expect("an answer")
    };
    let Answer::Expired(reading) = send(ID, Some(LeaderTime::default())).await else {
        panic!("a request with a deadline on an unknown clock is carried out");
    };
    let late = LeaderTime {
        at: Time(reading.at.0 - 1),
        ..reading
    };
    let answer = send(ID, Some(late)).await;
    assert!(matches!(answer, Answer::Expired(_)), "late: {answer:?}");
    let other_term = LeaderTime {
        term: reading.term + 1,
        at: reading.at.after(60_000),
    };
    let answer = send(ID, Some(other_term)).await;
    assert!(matches!(answer, Answer::Expired(_)), "other: {answer:?}");
    let get = caller_request(ID, CallerAction::Get);
    let limit = Duration::from_secs(2);
    assert_eq!(member.request(&get, limit).await, Answer::Gone);
    let in_time = LeaderTime {
        at: reading.at.after(60_000),
        ..reading
    };
    assert_eq!(send(ID, Some(in_time)).await, Answer::Done);
    // An earlier build sends none.
    assert_eq!(send(ID + 1, None).await, Answer::Done);
}
