//! The cases.

use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::cell::Cell;
use crate::json::Json;

/// `maxAttempts` of the queue.
const MAX_ATTEMPTS: usize = 4;

pub fn run(name: &str, trouble: bool, record: &str) -> Outcome {
    let case = match name {
        "crashes" => crashes,
        "late-submit" => late_submit,
        _ => return Outcome::NotRun(format!("there is no case {name}")),
    };
    let Some(mut cell) = Cell::start(8) else {
        return Outcome::NotRun("the cell did not start".to_owned());
    };
    let outcome = case(&mut cell, trouble);
    cell.record.save(record);
    cell.end();
    outcome
}

fn sleep(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// State of a job as a client reads it.
fn state_of(cell: &Cell, id: &str) -> Option<String> {
    for front in [1, 2, 1, 2] {
        if let Some((200, body)) = cell.call(front, "GET", id, "", 1_000) {
            return Json::parse(&body).get("state").text().map(str::to_owned);
        }
        sleep(300);
    }
    None
}

/// A job whose only task runs for 6 s. The worker that is to run it falls silent before the order
/// arrives and comes back as a new incarnation; then the workers that run the task crash twice. One of
/// the eight workers is down at a time.
fn crashes(cell: &mut Cell, trouble: bool) -> Outcome {
    const JOB: &str = "5c0e7a21d94b36f8";
    const LIMIT: Duration = Duration::from_secs(25);
    // An idle cell prefers the same worker for this job as for the one that matters.
    const PROBE: &str = "5c0e7a21d94b36f5";
    let probe = r#"{"spec":"300","steps":[{"count":1,"cpu":1000,"memMb":512,"estimateMs":300}]}"#;
    let _ = cell.call(1, "POST", PROBE, probe, 3_000);
    let Some((_, end)) = cell.record.wait(&["end ", PROBE], 1, LIMIT) else {
        return Outcome::NotRun("the first job did not end".to_owned());
    };
    let first = end.rsplit("on=").next().unwrap_or_default().to_owned();
    sleep(1_000);
    let body = r#"{"spec":"6000","steps":[{"count":1,"cpu":1000,"memMb":512,"estimateMs":6000}]}"#;
    if trouble {
        cell.signal(&first, "STOP");
    }
    match cell.call(1, "POST", JOB, body, 3_000) {
        Some((status, _)) if (200..300).contains(&status) => {}
        _ => return Outcome::NotRun("the job was not accepted".to_owned()),
    }
    if trouble {
        sleep(4_000);
        if !cell.record.find(&["start ", JOB]).is_empty() {
            return Outcome::NotRun("another worker than the silent one was chosen".to_owned());
        }
        cell.kill(&first);
        cell.launch(&first);
        for round in 1..=2 {
            let Some((_, start)) = cell.record.wait(&["start ", JOB], round, LIMIT) else {
                break;
            };
            let name = start.rsplit("on=").next().unwrap_or_default().to_owned();
            sleep(1_500);
            cell.kill(&name);
            sleep(3_000);
            cell.launch(&name);
        }
    }
    let mut state = None;
    for _ in 0..40 {
        sleep(1_000);
        state = state_of(cell, JOB);
        if matches!(state.as_deref(), Some("completed" | "failed" | "cancelled")) {
            break;
        }
    }
    let failed_ends = cell.record.find(&["end ", JOB, "how=failed"]).len();
    let starts = cell.record.find(&["start ", JOB]).len();
    let text = format!("the job is shown as {state:?} after {starts} starts and {failed_ends} ends `failed`");
    match state.as_deref() {
        Some("failed") if failed_ends < MAX_ATTEMPTS => Outcome::Broken(text),
        _ => Outcome::Held(text),
    }
}

/// A client hands a job in at an entry process that is frozen, gets no answer, and cancels the job at
/// another one.
fn late_submit(cell: &mut Cell, trouble: bool) -> Outcome {
    const JOB: &str = "1f0e7a21d94b36a2";
    const CANCEL_MS: u64 = 3_000;
    let body = r#"{"spec":"1000","steps":[{"count":1,"cpu":1000,"memMb":512,"estimateMs":1000}]}"#;
    if trouble {
        cell.signal("front-1", "STOP");
    }
    let posted = cell.call(1, "POST", JOB, body, 700);
    let cancelled = cell.call(2, "DELETE", JOB, "", 3_000);
    let acked = crate::unix_ms();
    match cancelled {
        Some((status, _)) if (200..300).contains(&status) || status == 410 => {}
        _ => return Outcome::NotRun("the cancelling was not acknowledged".to_owned()),
    }
    if trouble {
        sleep(4_000 - 700);
        cell.signal("front-1", "CONT");
    }
    sleep(6_000);
    let _ = state_of(cell, JOB);
    let late = |at: &u64| *at > acked + CANCEL_MS;
    let starts = cell.record.find(&["start ", JOB]);
    let text = format!(
        "POST answered {:?}, DELETE {:?}; starts after the acknowledgement of the cancelling: {:?} ms",
        posted.map(|p| p.0),
        cancelled.map(|c| c.0),
        starts.iter().map(|s| s.0.saturating_sub(acked)).collect::<Vec<_>>()
    );
    match starts.iter().any(|(at, _)| late(at)) {
        true => Outcome::Broken(text),
        false => Outcome::Held(text),
    }
}
