//! A service has one task on all workers but one. A job of tasks that fill is handed in, and one worker is lost.

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
/// One lost worker is 0.125 of them.
const WORKERS: usize = 8;
/// Tasks of the job that fills, and their run time.
const TASKS: usize = 160;
const WORK_MS: u64 = 1_000;
/// How long the job that fills goes on before a worker is lost.
const CALM: Duration = Duration::from_secs(3);
/// `finish_s`: the end of the traffic is the acceptance of the last job.
const FINISH: Duration = Duration::from_secs(14);
/// Time in which a job with a task whose turn has come must have something running.
const IDLE: Duration = Duration::from_secs(3);
/// End of the case.
const WATCH: Duration = Duration::from_secs(60);
const WAIT: Duration = Duration::from_secs(20);

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
        &[cell::route("plan", "desk", false)],
        &[cell::service("desk")],
        &[cell::tenant("team", &[KEY])],
    ));
    record.line("the configuration is acknowledged");
    let frontend = cell.frontends()[0].clone();
    let ask = |method: &str, path: &str, body: &str| {
        let call = Call {
            addr: &frontend,
            method,
            path,
            key: Some(KEY),
            body,
            ..Call::default()
        };
        call.send().map_or_else(
            |e| e,
            |(s, a)| format!("{s} {}", a["state"].as_str().unwrap_or_default()),
        )
    };
    let wait_until = |time: Duration, holds: &dyn Fn() -> bool| {
        let started = Instant::now();
        while started.elapsed() < time && !holds() {
            std::thread::sleep(Duration::from_millis(20));
        }
        holds()
    };
    let ids = [unix_ms(), unix_ms() + 1].map(|n| format!("{n:016x}"));
    let paths = ids.clone().map(|id| format!("/plan/{id}"));
    let service = json!({
        "count": WORKERS - 1, "cpu": 1000, "memMb": 1024, "estimateMs": 500, "maxPerServer": 1,
        "longRunning": true, "image": "desk-service", "targetMs": 200,
    });
    let service = json!({"spec": "0 lasts", "steps": [service]}).to_string();
    let fills = json!({
        "count": TASKS, "cpu": 1000, "memMb": 8192, "estimateMs": WORK_MS, "fills": true, "image": "filler",
    });
    let fills = json!({"spec": WORK_MS.to_string(), "steps": [fills]}).to_string();
    let is_ready = wait_until(WAIT, &|| {
        ask("POST", &paths[0], &service).starts_with("200")
    }) && wait_until(WAIT, &|| workers.running(&ids[0]).len() == WORKERS - 1);
    if !is_ready {
        record.line("the service does not start in calm");
        cell.end(cell::NOT_RUN);
    }
    record.line(format!(
        "job {} is accepted and runs: a service, one task on each of {} workers",
        ids[0],
        WORKERS - 1
    ));
    let is_filling = wait_until(WAIT, &|| ask("POST", &paths[1], &fills).starts_with("200"))
        && wait_until(WAIT, &|| !workers.running(&ids[1]).is_empty());
    if !is_filling {
        record.line("the job that fills does not start in calm");
        cell.end(cell::NOT_RUN);
    }
    let traffic_end = Instant::now();
    record.line(format!(
        "job {} is accepted and runs: {TASKS} tasks that fill, {WORK_MS} ms each",
        ids[1]
    ));
    std::thread::sleep(CALM);
    if has_trouble {
        let unlucky = unix_ms() as usize % WORKERS;
        workers.crash(unlucky);
    }
    let mut idle_since: Option<Instant> = None;
    let mut longest = Duration::ZERO;
    let mut is_lost = false;
    let started = Instant::now();
    while started.elapsed() < WATCH && !is_lost {
        std::thread::sleep(Duration::from_millis(100));
        if ask("GET", &paths[1], "").ends_with("completed") {
            break;
        }
        if workers.running(&ids[1]).is_empty() {
            let since = *idle_since.get_or_insert_with(Instant::now);
            longest = longest.max(since.elapsed());
            let asked_from = since.max(traffic_end + FINISH);
            is_lost = Instant::now() > asked_from + IDLE;
        } else {
            idle_since = None;
        }
    }
    let last = ask("GET", &paths[1], "");
    record.line(format!("GET {}: {last}", paths[1]));
    record.line(format!(
        "workers that run the service: {}",
        workers.running(&ids[0]).len()
    ));
    record.line(format!(
        "the job that fills had nothing running for up to {:.1} s, with {} MB of memory free on each worker (LOST): {is_lost}",
        longest.as_secs_f64(),
        32_768 - 1_024
    ));
    if !is_lost && !last.ends_with("completed") {
        record.line("the job has not ended in time");
        cell.end(cell::NOT_RUN);
    }
    cell.end(i32::from(is_lost))
}
