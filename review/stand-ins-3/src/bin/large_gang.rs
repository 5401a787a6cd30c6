//! One client hands in one job: a gang of many small tasks, which all fit on the workers at once.

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
const WORKERS: usize = 8;
/// Members of the gang.
const MEMBERS: usize = 3_000;
/// Run time of its tasks.
const WORK_MS: u64 = 500;
/// Tasks of the service that runs before the gang comes.
const SERVICE_TASKS: usize = 4;
/// Time after the gang at which a job comes due that was accepted before it.
const LATER: Duration = Duration::from_secs(3);
/// `finish_s`: time after the traffic from which each job must be answered.
const FINISH: Duration = Duration::from_secs(14);
/// Time in which clients ask then.
const ASK: Duration = Duration::from_secs(10);
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
    let frontends = cell.frontends();
    let ask = |n: usize, method: &str, path: &str, body: &str| {
        let call = Call {
            addr: &frontends[n % frontends.len()],
            method,
            path,
            key: Some(KEY),
            body,
            ..Call::default()
        };
        let state = |(s, a): (u16, serde_json::Value)| {
            format!("{s} {}", a["state"].as_str().unwrap_or_default())
        };
        call.send().map_or_else(|e| e, state)
    };
    // Asks at all frontends in turn until `holds`; returns whether it did, the last answer and the time.
    let until =
        |time: Duration, method: &str, path: &str, body: &str, holds: &dyn Fn(&str) -> bool| {
            let started = Instant::now();
            let mut n = 0;
            loop {
                let answer = ask(n, method, path, body);
                record.detail(format!("{method} {path}: {answer}"));
                if holds(&answer) || started.elapsed() > time {
                    return (holds(&answer), answer, started.elapsed());
                }
                n += 1;
                std::thread::sleep(Duration::from_millis(200));
            }
        };
    let accepted = |answer: &str| answer.starts_with("200");
    let now_ms = unix_ms();
    let ids = [0, 1, 2].map(|n| format!("{:016x}", now_ms + n));
    let paths = ids.clone().map(|id| format!("/plan/{id}"));
    let service = json!({
        "count": SERVICE_TASKS, "cpu": 1000, "memMb": 1024, "estimateMs": 500, "longRunning": true, "maxPerServer": 1,
    });
    let service = json!({"spec": "0 lasts", "steps": [service]}).to_string();
    let is_serving = until(WAIT, "POST", &paths[0], &service, &accepted).0;
    std::thread::sleep(Duration::from_secs(2));
    if !is_serving || workers.running(&ids[0]).len() != SERVICE_TASKS {
        record.line("the service does not run in calm");
        cell.end(cell::NOT_RUN);
    }
    let later = json!({"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 500});
    let due_ms = unix_ms() + u64::try_from(LATER.as_millis()).expect("a short time");
    let later = json!({"spec": "500", "steps": [later], "repeatCount": 1, "firstMs": due_ms, "intervalMs": 1000});
    if !until(WAIT, "POST", &paths[1], &later.to_string(), &accepted).0 {
        record.line("the scheduled job is not accepted in calm");
        cell.end(cell::NOT_RUN);
    }
    record.line(format!(
        "{} (a service, {SERVICE_TASKS} tasks) runs; {} (due in 3 s) is accepted",
        paths[0], paths[1]
    ));
    if has_trouble {
        let step =
            json!({"count": MEMBERS, "cpu": 10, "memMb": 1, "estimateMs": WORK_MS, "gang": true});
        let body =
            json!({"spec": format!("{WORK_MS} gang {MEMBERS}"), "steps": [step]}).to_string();
        let taken = until(WAIT, "POST", &paths[2], &body, &accepted);
        record.line(format!("POST {} {body}: {taken:?}", paths[2]));
    }
    std::thread::sleep(FINISH);
    let known = until(ASK, "GET", &paths[0], "", &accepted);
    let serving = workers.running(&ids[0]).len();
    record.line(format!(
        "GET {}: {known:?}; {serving} of {SERVICE_TASKS} tasks run",
        paths[0]
    ));
    let ran = until(ASK, "GET", &paths[1], "", &|a| a.ends_with("completed"));
    record.line(format!("GET {}: {ran:?}", paths[1]));
    if has_trouble {
        let gang = until(ASK, "GET", &paths[2], "", &|a| a.ends_with("completed"));
        record.line(format!("GET {} (the gang): {gang:?}", paths[2]));
    }
    let is_lost = !known.0 || !ran.0 || serving == 0;
    for line in cell.log_lines("log pass was slow") {
        record.line(line);
    }
    record.line(format!(
        "a job is not answered, not run, or has nothing running, {} s after the last one (LOST): {is_lost}",
        FINISH.as_secs()
    ));
    cell.end(i32::from(is_lost))
}
