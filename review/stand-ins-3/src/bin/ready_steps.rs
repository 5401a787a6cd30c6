//! A client hands in jobs of legal size whose steps are all ready and name many earlier steps. They can never be done.

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
/// `maxBodyBytes` of the configuration.
const MAX_BODY_BYTES: usize = 262_144;
/// Steps of a job of the crowd that run.
const FIRST_STEPS: usize = 180;
/// Jobs that the crowd hands in at most, and the time for them.
const MAX_JOBS: usize = 60;
const CROWD_TIME: Duration = Duration::from_secs(30);
/// Tasks of the service that runs before the crowd comes.
const SERVICE_TASKS: usize = 4;
/// `finish_s`: time after the traffic from which each job must be answered.
const FINISH: Duration = Duration::from_secs(14);
/// Time in which clients ask then.
const ASK: Duration = Duration::from_secs(10);
const WAIT: Duration = Duration::from_secs(20);

/// A job of `FIRST_STEPS` short steps, and of as many others as fit into a body. Each of these depends on all of the
/// first ones, is ready once they are done, and needs more than any worker has.
fn crowd_job() -> (usize, String) {
    let first = json!({"count": 1, "cpu": 100, "memMb": 10, "estimateMs": 20}).to_string();
    let all: Vec<usize> = (0..FIRST_STEPS).collect();
    let next = json!({"count": 1, "cpu": 900_000, "memMb": 10, "estimateMs": 20, "dependsOn": all})
        .to_string();
    let frame = json!({"spec": "20", "steps": []}).to_string();
    let room = MAX_BODY_BYTES - frame.len() - FIRST_STEPS * (first.len() + 1);
    let count = room / (next.len() + 1);
    let mut steps = vec![first; FIRST_STEPS];
    steps.extend(vec![next; count]);
    (
        count,
        frame.replace("[]", &format!("[{}]", steps.join(","))),
    )
}

fn main() {
    cell::guard();
    let args: Vec<String> = std::env::args().collect();
    let (dir, root) = (Path::new(&args[1]), Path::new(&args[2]));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Arc::new(Record::create(dir).expect("create the record"));
    let cell = Cell::start(root);
    let workers = Workers::new(&record, cell.controls());
    for n in 0..8 {
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
        call.send().map_or_else(
            |e| e,
            |(s, a)| format!("{s} {}", a["state"].as_str().unwrap_or_default()),
        )
    };
    // Asks at all frontends in turn until `holds`; returns the last answer and the time.
    let until =
        |time: Duration, method: &str, path: &str, body: &str, holds: &dyn Fn(&str) -> bool| {
            let started = Instant::now();
            let mut n = 0;
            loop {
                let answer = ask(n, method, path, body);
                let is_over = holds(&answer) || started.elapsed() > time;
                record.detail(format!("{method} {path}: {answer}"));
                if is_over {
                    return (holds(&answer), answer, started.elapsed());
                }
                n += 1;
                std::thread::sleep(Duration::from_millis(200));
            }
        };
    let accepted = |answer: &str| answer.starts_with("200");
    let service = json!({
        "count": SERVICE_TASKS, "cpu": 1000, "memMb": 1024, "estimateMs": 500, "longRunning": true,
    });
    let service = json!({"spec": "0 lasts", "steps": [service]}).to_string();
    let ids = [unix_ms(), unix_ms() + 1].map(|n| format!("{n:016x}"));
    let paths = ids.clone().map(|id| format!("/plan/{id}"));
    if !until(WAIT, "POST", &paths[0], &service, &accepted).0 {
        record.line("the service is not accepted in calm");
        cell.end(cell::NOT_RUN);
    }
    let due_ms = unix_ms() + u64::try_from(CROWD_TIME.as_millis()).expect("a short time") + 2_000;
    let later = json!({"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 500});
    let later = json!({
        "spec": "500", "steps": [later], "repeatCount": 1, "firstMs": due_ms, "intervalMs": 1000,
    });
    if !until(WAIT, "POST", &paths[1], &later.to_string(), &accepted).0 {
        record.line("the scheduled job is not accepted in calm");
        cell.end(cell::NOT_RUN);
    }
    record.line(format!(
        "{} (a service) and {} (due after the crowd) are accepted",
        paths[0], paths[1]
    ));
    std::thread::sleep(Duration::from_secs(2));
    let started = Instant::now();
    if has_trouble {
        let (steps, body) = crowd_job();
        record.line(format!("the crowd begins: jobs of {FIRST_STEPS} steps that run and {steps} that wait, {} bytes each",
            body.len()));
        let (mut taken, mut others) = (0, 0);
        for n in 0..MAX_JOBS {
            if started.elapsed() > CROWD_TIME {
                break;
            }
            let answer = ask(n, "POST", &format!("/plan/{:016x}", 0xc000 + n), &body);
            record.detail(format!("crowd job {n}: {answer}"));
            match accepted(&answer) {
                true => taken += 1,
                false => others += 1,
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        record.line(format!("the crowd ends: {taken} accepted, {others} not"));
    }
    std::thread::sleep((CROWD_TIME + FINISH).saturating_sub(started.elapsed()));
    let known = until(ASK, "GET", &paths[0], "", &accepted);
    record.line(format!(
        "GET {}: {known:?}; {} workers run its {SERVICE_TASKS} tasks",
        paths[0],
        workers.running(&ids[0]).len()
    ));
    let ran = until(ASK, "GET", &paths[1], "", &|a| a.ends_with("completed"));
    record.line(format!("GET {}: {ran:?}", paths[1]));
    for line in cell.metrics("zinnia_plan_pass_ms_") {
        if line.contains("_sum") || line.contains("_count") {
            record.line(line);
        }
    }
    let is_lost = !known.0 || !ran.0;
    record.line(format!(
        "a job is not answered, or not run, after {} s of calm (LOST): {is_lost}",
        FINISH.as_secs()
    ));
    cell.end(i32::from(is_lost))
}
