//! Submissions that arrive after an answer about their job.

mod common;

use std::time::Duration;

use common::Cell;
use common::TIMEOUT;
use common::caller_request;
use common::job;
use common::wait_for_answer;
use zinnia_control::Answer;
use zinnia_control::CallerAction;
use zinnia_control::Request;

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
