//! The cases.

use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::cell::Cell;
use crate::http::Call;
use crate::json::Json;
use crate::proxy;

/// `maxAttempts` of the queue.
const MAX_ATTEMPTS: usize = 4;

pub fn run(name: &str, trouble: bool, record: &str) -> Outcome {
    let case = match name {
        "crashes" => crashes,
        "route" => route,
        "pending" => pending,
        "leave" => leave,
        "odd-heartbeat" => odd_heartbeat,
        "late-order" => late_order,
        "late-submit" => late_submit,
        _ => return Outcome::NotRun(format!("there is no case {name}")),
    };
    // One frozen entry process of nine is the site's share of `node_freeze`.
    let fronts = if name == "late-submit" { 9 } else { 2 };
    let Some(mut cell) = Cell::start(fronts, 8, name == "late-order") else {
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
    let text = format!(
        "the job is shown as {state:?} after {starts} starts and {failed_ends} ends `failed`"
    );
    match state.as_deref() {
        Some("failed") if failed_ends < MAX_ATTEMPTS => Outcome::Broken(text),
        _ => Outcome::Held(text),
    }
}

/// A job with two steps is accepted. While the first step runs, a version of the configuration replaces
/// the route by one of another name with the same host, prefix and service.
fn route(cell: &mut Cell, trouble: bool) -> Outcome {
    const JOB: &str = "2b0e7a21d94b3611";
    /// Run time of a task.
    const STEP_MS: u64 = 3_000;
    /// `finish_s`.
    const FINISH_MS: u64 = 14_000;
    let body = concat!(
        r#"{"spec":"3000","steps":[{"count":2,"cpu":1000,"memMb":512,"estimateMs":3000},"#,
        r#"{"count":2,"cpu":1000,"memMb":512,"estimateMs":3000,"dependsOn":[0]}]}"#
    );
    match cell.call(1, "POST", JOB, body, 3_000) {
        Some((status, _)) if (200..300).contains(&status) => {}
        _ => return Outcome::NotRun("the job was not accepted".to_owned()),
    }
    sleep(1_000);
    if trouble && !cell.put_config(8, "r-plans-2") {
        return Outcome::NotRun("version 8 was not acknowledged".to_owned());
    }
    sleep(2 * STEP_MS + FINISH_MS);
    let state = state_of(cell, JOB);
    let ended = cell.record.find(&["end ", JOB, "how=done"]).len();
    let starts = cell.record.find(&["start ", JOB]).len();
    let text = format!(
        "the job is shown as {state:?} after {starts} starts and {ended} ends `done` of 4 tasks"
    );
    // What nothing runs for, with all workers idle, is lost.
    match state.as_deref() {
        Some("completed") => Outcome::Held(text),
        _ if starts < 4 => Outcome::Broken(text),
        _ => Outcome::Held(text),
    }
}

/// Three jobs are accepted just after the worker that is to run them has fallen silent for good. Then
/// clients ask how many jobs have not begun.
fn pending(cell: &mut Cell, trouble: bool) -> Outcome {
    /// `visible_ms` and 2 s more.
    const VISIBLE_MS: u64 = 3_000 + 2_000;
    const PROBE: &str = "3c0e7a21d94b3601";
    let probe = r#"{"spec":"300","steps":[{"count":1,"cpu":1000,"memMb":512,"estimateMs":300}]}"#;
    let _ = cell.call(1, "POST", PROBE, probe, 3_000);
    let Some((_, end)) = cell
        .record
        .wait(&["end ", PROBE], 1, Duration::from_secs(10))
    else {
        return Outcome::NotRun("the first job did not end".to_owned());
    };
    let first = end.rsplit("on=").next().unwrap_or_default().to_owned();
    sleep(1_000);
    if trouble {
        cell.signal(&first, "STOP");
    }
    let body =
        r#"{"spec":"12000","steps":[{"count":1,"cpu":1000,"memMb":512,"estimateMs":12000}]}"#;
    // These ids prefer the same worker as the first job.
    let jobs = ["3c0e7a21d94b3604", "3c0e7a21d94b3607", "3c0e7a21d94b360a"];
    for job in jobs {
        if !matches!(cell.call(1, "POST", job, body, 3_000), Some((200, _))) {
            return Outcome::NotRun("a job was not accepted".to_owned());
        }
    }
    let accepted = crate::unix_ms();
    sleep(VISIBLE_MS + 100);
    let mut worst: Option<(u64, usize, u64)> = None;
    for round in 0..30 {
        let asked = crate::unix_ms();
        let answer = cell.call(1 + round % 2, "GET", "", "", 1_000);
        let answered = crate::unix_ms();
        // Jobs that had not begun when the answer was there, and so all the time before.
        let begun = |job: &&&str| {
            cell.record
                .find(&["start ", job])
                .iter()
                .any(|s| s.0 <= answered)
        };
        let waiting = jobs.len() - jobs.iter().filter(begun).count();
        if let Some((200, body)) = answer
            && let Some(shown) = Json::parse(&body).get("pending").number()
            && shown * 2 < waiting as u64
            && asked > accepted + VISIBLE_MS
        {
            worst.get_or_insert((shown, waiting, asked - accepted));
        }
        sleep(100);
    }
    match worst {
        Some((shown, waiting, ms)) => Outcome::Broken(format!(
            "`pending` is {shown} while {waiting} jobs have not begun, {ms} ms after the last was accepted"
        )),
        None => {
            Outcome::Held("`pending` was at least half of the jobs that had not begun".to_owned())
        }
    }
}

/// The worker that runs a job leaves as planned. The acknowledgement of its deregistration is lost, so
/// that it ends some seconds later.
fn leave(cell: &mut Cell, trouble: bool) -> Outcome {
    const JOB: &str = "4d0e7a21d94b36c1";
    const LIMIT: Duration = Duration::from_secs(20);
    let body =
        r#"{"spec":"15000","steps":[{"count":1,"cpu":1000,"memMb":512,"estimateMs":15000}]}"#;
    if !matches!(cell.call(1, "POST", JOB, body, 3_000), Some((200, _))) {
        return Outcome::NotRun("the job was not accepted".to_owned());
    }
    let Some((_, start)) = cell.record.wait(&["start ", JOB], 1, LIMIT) else {
        return Outcome::NotRun("the job did not start".to_owned());
    };
    let first = start.rsplit("on=").next().unwrap_or_default().to_owned();
    sleep(1_000);
    cell.leave(&first);
    if cell
        .record
        .wait(&["drain acknowledged"], 1, LIMIT)
        .is_none()
    {
        return Outcome::NotRun("the drain was not acknowledged".to_owned());
    }
    cell.drop_answers
        .store(trouble, std::sync::atomic::Ordering::Relaxed);
    let ended = cell.record.wait(&["end ", JOB, "run=1 "], 1, LIMIT);
    let second = cell.record.wait(&["start ", JOB, "run=2 "], 1, LIMIT);
    sleep(500);
    let (Some((ended, _)), Some((second, _))) = (ended, second) else {
        return Outcome::Held("the task had one run".to_owned());
    };
    let text = format!(
        "run 2 began {} ms before run 1 ended",
        ended as i64 - second as i64
    );
    match second < ended {
        true => Outcome::Broken(text),
        false => Outcome::Held(text),
    }
}

/// While a worker runs a job, another writer sends one heartbeat: of a service that no configuration
/// names, with fields missing, under an id of its own, with the worker's address.
fn odd_heartbeat(cell: &mut Cell, trouble: bool) -> Outcome {
    const JOB: &str = "6e0e7a21d94b36d2";
    const LIMIT: Duration = Duration::from_secs(20);
    let body =
        r#"{"spec":"10000","steps":[{"count":1,"cpu":1000,"memMb":512,"estimateMs":10000}]}"#;
    if !matches!(cell.call(1, "POST", JOB, body, 3_000), Some((200, _))) {
        return Outcome::NotRun("the job was not accepted".to_owned());
    }
    let Some((_, start)) = cell.record.wait(&["start ", JOB], 1, LIMIT) else {
        return Outcome::NotRun("the job did not start".to_owned());
    };
    let worker = start.rsplit("on=").next().unwrap_or_default().to_owned();
    sleep(2_000);
    if trouble {
        let heartbeat = format!(
            concat!(
                r#"{{"service":"ledger","address":"{}","zone":"dar-kurasini","state":"ready","sequence":1,"#,
                r#""capacity":{{"cpu":1000,"memMb":1024}},"born":{}}}"#
            ),
            cell.worker_addr(&worker),
            crate::unix_ms()
        );
        let path = "/-/instances/i-ledger/heartbeat";
        let call = Call {
            method: "POST",
            path,
            body: &heartbeat,
            ..Call::default()
        };
        let answer = call.send(&cell.control(1), Duration::from_secs(1));
        let status = answer.map(|a| a.0);
        cell.record.add(&format!(
            "other writer: POST {path} {heartbeat} -> {status:?}"
        ));
    }
    let ended = cell.record.wait(&["end ", JOB, "run=1 "], 1, LIMIT);
    sleep(500);
    let second = cell
        .record
        .find(&["start ", JOB, "run=2 "])
        .first()
        .cloned();
    let state = state_of(cell, JOB);
    let (Some((ended, how)), Some((second, _))) = (ended, second) else {
        return Outcome::Held(format!(
            "the task had one run; the job is shown as {state:?}"
        ));
    };
    let text = format!(
        "run 2 began {} ms before run 1 ended ({how})",
        ended as i64 - second as i64
    );
    match second < ended {
        true => Outcome::Broken(text),
        false => Outcome::Held(text),
    }
}

/// An order to a worker gets no answer and is carried out some seconds later. Before that, the worker
/// crashes and starts again under its id.
fn late_order(cell: &mut Cell, trouble: bool) -> Outcome {
    const JOB: &str = "7a0e7a21d94b36e0";
    const OTHER: &str = "7a0e7a21d94b36ec";
    const LIMIT: Duration = Duration::from_secs(20);
    /// How long the worker is down, and then without its first heartbeat.
    const DOWN_MS: u64 = 4_000;
    const FIRST_HEARTBEAT_MS: u64 = 1_000;
    // The late order is one of more than twenty.
    let probe = r#"{"spec":"200","steps":[{"count":20,"cpu":1000,"memMb":512,"estimateMs":200}]}"#;
    let _ = cell.call(1, "POST", "7a0e7a21d94b36e3", probe, 3_000);
    if cell
        .record
        .wait(&["end 7a0e7a21d94b36e3", "how=done"], 20, LIMIT)
        .is_none()
    {
        return Outcome::NotRun("the first job did not end".to_owned());
    }
    sleep(1_500);
    cell.held.lock().expect("not poisoned").wanted = JOB.to_owned();
    if !trouble {
        cell.held.lock().expect("not poisoned").wanted.clear();
    }
    let body = r#"{"spec":"9000","steps":[{"count":1,"cpu":1000,"memMb":512,"estimateMs":9000}]}"#;
    if !matches!(cell.call(1, "POST", JOB, body, 3_000), Some((200, _))) {
        return Outcome::NotRun("the job was not accepted".to_owned());
    }
    let Some((_, start)) = cell.record.wait(&["start ", JOB], 1, LIMIT) else {
        return Outcome::NotRun("the job did not start".to_owned());
    };
    let worker = start.rsplit("on=").next().unwrap_or_default().to_owned();
    if trouble {
        let order = cell.held.lock().expect("not poisoned").order.take();
        let Some((order, addr)) = order else {
            return Outcome::NotRun("no order was held back".to_owned());
        };
        cell.record.add(&format!(
            "network: held back since the POST: {} for {addr}",
            order.body
        ));
        sleep(100);
        cell.kill(&worker);
        // While the worker is down, another job makes another worker the fullest.
        let _ = cell.call(1, "POST", OTHER, &body.replace("9000", "20000"), 3_000);
        sleep(DOWN_MS);
        cell.first_heartbeat_ms = FIRST_HEARTBEAT_MS;
        cell.launch(&worker);
        let up = format!("up {worker}");
        let _ = cell.record.wait(&[&up], 2, LIMIT);
        let answer = proxy::deliver(&order, &addr);
        cell.record.add(&format!(
            "network: the order held back arrives at {addr} -> {answer:?}"
        ));
    }
    sleep(14_000);
    let _ = state_of(cell, JOB);
    let mut overlap = None;
    for (began, text) in cell.record.find(&["start ", JOB]) {
        let run = text
            .split("run=")
            .nth(1)
            .and_then(|r| r.split(' ').next())
            .unwrap_or_default();
        let number = format!("run={run} ");
        let end = cell
            .record
            .find(&["end ", JOB, &number])
            .first()
            .map_or(u64::MAX, |e| e.0);
        let between = |at: &u64| *at > began && *at < end;
        let other = cell
            .record
            .find(&["start ", JOB])
            .into_iter()
            .find(|o| between(&o.0));
        // A run that ended with its worker has no end.
        if let Some((at, other)) = other.filter(|_| end < u64::MAX) {
            overlap = Some(format!(
                "`{other}` {} ms before the end of run {run}",
                end - at
            ));
        }
    }
    match overlap {
        Some(text) => Outcome::Broken(text),
        None => Outcome::Held("no two runs at the same time".to_owned()),
    }
}

/// A client hands a job in at an entry process that is frozen, gives up, and cancels the job at another
/// one, which acknowledges that.
fn late_submit(cell: &mut Cell, trouble: bool) -> Outcome {
    const JOB: &str = "1f0e7a21d94b36a2";
    /// `cancel_ms`.
    const CANCEL_MS: u64 = 3_000;
    /// How long the client waits for the answer to its POST, and the entry process is frozen.
    const PATIENCE_MS: u64 = 200;
    const FREEZE_MS: u64 = 3_500;
    let body = r#"{"spec":"1000","steps":[{"count":1,"cpu":1000,"memMb":512,"estimateMs":1000}]}"#;
    let frozen_at = crate::unix_ms();
    if trouble {
        cell.signal("front-1", "STOP");
    }
    // The client's host is slow or gone as well: nothing closes the connection.
    let Some(_connection) = cell.send_only(1, "POST", JOB, body) else {
        return Outcome::NotRun("no connection to the entry process".to_owned());
    };
    sleep(PATIENCE_MS);
    let cancelled = cell.call(2, "DELETE", JOB, "", 3_000);
    let acked = crate::unix_ms();
    match cancelled {
        Some((status, _)) if (200..300).contains(&status) || status == 410 => {}
        _ => return Outcome::NotRun("the cancelling was not acknowledged".to_owned()),
    }
    sleep((frozen_at + FREEZE_MS).saturating_sub(crate::unix_ms()));
    if trouble {
        cell.signal("front-1", "CONT");
    }
    sleep(4_000);
    let _ = state_of(cell, JOB);
    let starts = cell.record.find(&["start ", JOB]);
    let text = format!(
        "DELETE answered {:?}; starts after its answer: {:?} ms",
        cancelled.map(|c| c.0),
        starts
            .iter()
            .map(|s| s.0 as i64 - acked as i64)
            .collect::<Vec<_>>()
    );
    match starts.iter().any(|(at, _)| *at > acked + CANCEL_MS) {
        true => Outcome::Broken(text),
        false => Outcome::Held(text),
    }
}
