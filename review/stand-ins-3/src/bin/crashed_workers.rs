//! One of eight workers crashes and starts again, three times in a row, while a gang works on all of them.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use review_stand_ins_3::cell;
use review_stand_ins_3::cell::Cell;
use review_stand_ins_3::http::Call;
use review_stand_ins_3::record::Record;
use review_stand_ins_3::worker::Workers;
use review_stand_ins_3::worker::unix_ms;
use serde_json::json;

const KEY: &str = "key-1";
/// Each crash takes one worker: 0.125 of them.
const WORKERS: usize = 8;
/// Work of the gang.
const WORK_MS: u64 = 6_000;
/// How long a gang works before a worker crashes.
const CALM: Duration = Duration::from_millis(1_500);
/// How long a crashed worker is down.
const DOWN: Duration = Duration::from_millis(4_500);
/// Longest wait for the next run of the gang, and for the end of the job.
const WAIT: Duration = Duration::from_secs(20);

fn call(addr: &str, method: &str, path: &str, body: &str) -> Result<(u16, String), String> {
    let call = Call {
        addr,
        method,
        path,
        key: Some(KEY),
        body,
        ..Call::default()
    };
    call.send().map(|(status, answer)| {
        (
            status,
            answer["state"].as_str().unwrap_or_default().to_owned(),
        )
    })
}

fn wait_until(time: Duration, holds: impl Fn() -> bool) -> bool {
    let started = Instant::now();
    while started.elapsed() < time {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

fn main() {
    cell::guard();
    let args: Vec<String> = std::env::args().collect();
    let (dir, root) = (Path::new(&args[1]), Path::new(&args[2]));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Arc::new(Record::create(dir).expect("create the record"));
    let cell = Cell::start(root);
    let workers = Workers::new(&record, cell.controls());
    for n in 0..WORKERS {
        workers.add("desk", ["zone-a", "zone-b", "zone-c"][n % 3]);
    }
    cell.publish(&cell::document(
        1,
        &[cell::route("art", "desk", false)],
        &[cell::service("desk")],
        &[cell::tenant("team", &[KEY])],
    ));
    record.line("the configuration is acknowledged");
    let frontend = cell.frontends()[0].clone();
    let id = format!("{:016x}", unix_ms());
    let path = format!("/art/{id}");
    let step = json!({
        "count": WORKERS, "cpu": 8000, "memMb": 1024, "estimateMs": WORK_MS, "gang": true, "maxPerServer": 1,
    });
    let body = json!({"spec": format!("{WORK_MS} gang {WORKERS}"), "steps": [step]}).to_string();
    let is_accepted = || matches!(call(&frontend, "POST", &path, &body), Ok((200, _)));
    if !wait_until(WAIT, is_accepted) {
        record.line("the job is not accepted in calm");
        cell.end(cell::NOT_RUN);
    }
    record.line(format!(
        "job {id} is accepted: a gang of {WORKERS}, {WORK_MS} ms"
    ));
    let state = || {
        call(&frontend, "GET", &path, "").map_or_else(|e| e, |(s, state)| format!("{s} {state}"))
    };
    let is_over = |state: &str| {
        ["completed", "failed", "cancelled"]
            .iter()
            .any(|s| state.ends_with(s))
    };
    let crashes = if has_trouble { 3 } else { 0 };
    for n in 0..crashes {
        if !wait_until(WAIT, || {
            workers.running(&id).len() == WORKERS || is_over(&state())
        }) {
            record.line("the gang does not start");
            cell.end(cell::NOT_RUN);
        }
        std::thread::sleep(CALM);
        let unlucky = (unix_ms() as usize + n) % WORKERS;
        workers.crash(unlucky);
        std::thread::sleep(DOWN);
        record.line(format!("GET {path}: {}", state()));
        workers.restart(unlucky);
    }
    wait_until(WAIT, || is_over(&state()));
    let last = state();
    record.line(format!("GET {path}: {last}"));
    // The processes write their logs with a delay.
    std::thread::sleep(Duration::from_secs(2));
    for line in cell.log_lines("give_up") {
        record.line(line);
    }
    let ends = std::fs::read_to_string(dir.join("record.txt")).unwrap_or_default();
    let failed = ends.lines().filter(|l| l.ends_with("ends failed")).count();
    let is_lost = last.ends_with("failed") && failed == 0
        || last.ends_with("cancelled")
        || last.starts_with("410");
    record.line(format!("runs that ended failed: {failed}; the job is shown as failed without cause (LOST): {is_lost}"));
    if !is_lost && !last.ends_with("completed") {
        record.line("the job has not ended in time");
        cell.end(cell::NOT_RUN);
    }
    cell.end(i32::from(is_lost))
}
