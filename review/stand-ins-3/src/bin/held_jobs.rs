//! A client hands in scheduled jobs of legal size with many short fields. The platform kills each process that is
//! over the memory of its machine, and starts it again.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use review_stand_ins_3::cell;
use review_stand_ins_3::cell::CORE_MEMORY_MB;
use review_stand_ins_3::cell::Cell;
use review_stand_ins_3::http::Call;
use review_stand_ins_3::record::Record;
use review_stand_ins_3::worker::Workers;
use review_stand_ins_3::worker::unix_ms;
use serde_json::json;

/// `maxBodyBytes` of the configuration.
const MAX_BODY_BYTES: usize = 262_144;
/// Jobs that the crowd hands in at most.
const MAX_JOBS: u64 = 400;
/// Time in which the crowd hands in jobs.
const CROWD_TIME: Duration = Duration::from_secs(45);
/// Time after the crowd in which the cell has to serve again: `recoveryS` and `finish_s`.
const CALM_TIME: Duration = Duration::from_secs(26);
/// Delay after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(1_000);
/// Ends of a process that make the day fail.
const MAX_ENDS: u64 = 3;

/// A job of two one-task steps that is due in an hour. The second step names the first one `times` times in
/// `dependsOn`: very many short fields.
fn crowd_job(times: usize) -> String {
    let step = json!({"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": 500});
    let mut next = step.clone();
    next["dependsOn"] = json!(vec![0; times]);
    let job = json!({
        "spec": "500", "steps": [step, next],
        "repeatCount": 1, "firstMs": unix_ms() + 3_600_000, "intervalMs": 1000,
    });
    job.to_string()
}

/// The largest such job that is inside the limit on bodies, and how often it names the first step.
fn largest_crowd_job() -> (usize, String) {
    let room = MAX_BODY_BYTES - crowd_job(0).len();
    // Each further number takes a digit and a comma.
    let times = room / 2;
    (times, crowd_job(times))
}

struct Ends {
    peak_mb: Vec<AtomicU64>,
    kills: Vec<AtomicU64>,
}

/// Sends a call to the frontends in turn until `wanted` holds for its answer, for `time` at most.
fn until(
    frontends: &[String],
    method: &str,
    path: &str,
    body: &str,
    time: Duration,
    wanted: impl Fn(u16, &str) -> bool,
) -> (bool, String) {
    let started = Instant::now();
    let mut last = "not sent".to_owned();
    for addr in frontends.iter().cycle() {
        let call = Call {
            addr,
            method,
            path,
            key: Some("key-1"),
            body,
            ..Call::default()
        };
        last = match call.send() {
            Ok((status, answer)) => {
                let state = answer["state"].as_str().unwrap_or_default().to_owned();
                if wanted(status, &state) {
                    return (true, format!("{status} {state}"));
                }
                format!("{status} {answer}")
            }
            Err(error) => error,
        };
        if started.elapsed() > time {
            break;
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    (false, last)
}

fn main() {
    cell::guard();
    let args: Vec<String> = std::env::args().collect();
    let (dir, root) = (Path::new(&args[1]), Path::new(&args[2]));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Arc::new(Record::create(dir).expect("create the record"));
    let mut cell = Cell::start(root);
    let workers = Workers::new(&record, cell.controls());
    for n in 0..6 {
        workers.add("desk", ["zone-a", "zone-b", "zone-c"][n % 3]);
    }
    cell.publish(&cell::document(
        1,
        &[cell::route("plan", "desk", false)],
        &[cell::service("desk")],
        &[cell::tenant("team", &["key-1"])],
    ));
    record.line("the configuration is acknowledged");
    let frontends = cell.frontends();
    let ordinary = |due_s: u64| {
        let step = json!({"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 500});
        let mut job = json!({"spec": "500", "steps": [step]});
        if due_s > 0 {
            job["repeatCount"] = json!(1);
            job["firstMs"] = json!(unix_ms() + due_s * 1_000);
            job["intervalMs"] = json!(1_000);
        }
        job.to_string()
    };
    let submit = |id: &str, body: &str, time| {
        let (accepted, last) = until(
            &frontends,
            "POST",
            &format!("/plan/{id}"),
            body,
            time,
            |s, _| s == 200,
        );
        record.line(format!("job {id}: handed in; last answer {last}"));
        accepted
    };
    // One job before the crowd that runs at once, and one that is due after it.
    let first = submit("00000000000000a1", &ordinary(0), Duration::from_secs(15));
    let due_s = CROWD_TIME.as_secs() + 2;
    let scheduled = submit("00000000000000a2", &ordinary(due_s), Duration::from_secs(5));
    let (done, _) = until(
        &frontends,
        "GET",
        "/plan/00000000000000a1",
        "",
        Duration::from_secs(10),
        |_, s| s == "completed",
    );
    if !(first && scheduled && done) {
        record.line("the cell does not serve in calm");
        cell.end(cell::NOT_RUN);
    }
    let members: Vec<usize> = (0..cell.processes.len()).collect();
    let ends = Arc::new(Ends {
        peak_mb: members.iter().map(|_| AtomicU64::new(0)).collect(),
        kills: members.iter().map(|_| AtomicU64::new(0)).collect(),
    });
    let over = Arc::new(AtomicBool::new(false));
    let crowd = {
        let (frontends, record, over) = (frontends.clone(), Arc::clone(&record), Arc::clone(&over));
        std::thread::spawn(move || {
            let started = Instant::now();
            let (times, body) = largest_crowd_job();
            let (mut accepted, mut refused, mut open) = (0, 0, 0);
            if has_trouble {
                record.line(format!(
                    "the crowd begins: jobs of 2 steps and {times} dependencies, {} bytes each",
                    body.len()
                ));
                let mut id = 0;
                while id < MAX_JOBS && started.elapsed() < CROWD_TIME {
                    let path = format!("/plan/{:016x}", 0xc000 + id);
                    let call = Call {
                        addr: &frontends[id as usize % frontends.len()],
                        method: "POST",
                        path: &path,
                        key: Some("key-1"),
                        body: &body,
                        ..Call::default()
                    };
                    match call.send() {
                        Ok((200, _)) => accepted += 1,
                        Ok((status, _)) => {
                            refused += 1;
                            record.detail(format!("crowd job {id}: {status}"));
                            std::thread::sleep(Duration::from_millis(300));
                        }
                        Err(error) => {
                            open += 1;
                            record.detail(format!("crowd job {id}: {error}"));
                            std::thread::sleep(Duration::from_millis(300));
                        }
                    }
                    id += 1;
                }
            }
            record.line(format!(
                "the crowd ends: {accepted} accepted, {refused} refused, {open} without an answer"
            ));
            std::thread::sleep(CROWD_TIME.saturating_sub(started.elapsed()));
            over.store(true, Ordering::Relaxed);
        })
    };
    // The platform: a process over the memory of its machine is killed and started again.
    let platform = |cell: &mut Cell, restarts: &mut Vec<(usize, Instant)>| {
        for index in members.clone() {
            let limit = CORE_MEMORY_MB + if cell.processes[index].is_core { 0 } else { 4 };
            let resident = cell.resident_mb(index);
            ends.peak_mb[index].fetch_max(resident, Ordering::Relaxed);
            let is_pending = restarts.iter().any(|(i, _)| *i == index);
            if !is_pending && (resident > limit || cell.has_ended(index)) {
                let kills = ends.kills[index].fetch_add(1, Ordering::Relaxed) + 1;
                record.line(format!(
                    "{} has {resident} MB of {limit} MB: ended, for the {kills}. time",
                    cell.processes[index].name
                ));
                cell.kill(index);
                restarts.push((index, Instant::now() + RESTART_DELAY));
            }
        }
        let due: Vec<usize> = restarts
            .iter()
            .filter(|(_, at)| *at <= Instant::now())
            .map(|(i, _)| *i)
            .collect();
        restarts.retain(|(i, _)| !due.contains(i));
        for index in due {
            cell.launch(index);
        }
        std::thread::sleep(Duration::from_millis(10));
    };
    let mut restarts = Vec::new();
    while !over.load(Ordering::Relaxed) {
        platform(&mut cell, &mut restarts);
    }
    let _ = crowd.join();
    // A calm client asks for the scheduled job and hands in another one.
    let asked = {
        let frontends = frontends.clone();
        std::thread::spawn(move || {
            let body = json!({"spec": "500", "steps": [{"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 500}]});
            let path = "/plan/00000000000000a3";
            let late = until(
                &frontends,
                "POST",
                path,
                &body.to_string(),
                CALM_TIME,
                |s, _| s == 200,
            );
            let state = |path: &str| {
                until(&frontends, "GET", path, "", CALM_TIME / 4, |_, s| {
                    s == "completed"
                })
            };
            (
                late,
                state("/plan/00000000000000a2"),
                state("/plan/00000000000000a3"),
            )
        })
    };
    while !asked.is_finished() {
        platform(&mut cell, &mut restarts);
    }
    let (late, scheduled, last) = asked.join().expect("the client ends");
    record.line(format!("job a3 handed in after the crowd: {late:?}"));
    record.line(format!(
        "job a2, accepted before the crowd and due after it: {scheduled:?}"
    ));
    record.line(format!("job a3: {last:?}"));
    let mut failing = 0;
    for index in members.clone() {
        let (peak, kills) = (
            ends.peak_mb[index].load(Ordering::Relaxed),
            ends.kills[index].load(Ordering::Relaxed),
        );
        record.line(format!(
            "{}: peak {peak} MB, ended {kills} times",
            cell.processes[index].name
        ));
        failing += usize::from(cell.processes[index].is_core && kills >= MAX_ENDS);
    }
    let is_fault = failing >= 2;
    let is_lost = !scheduled.0;
    record.line(format!(
        "processes of the core that ended {MAX_ENDS} times: {failing} of 3 (Fault: {is_fault}); \
         the accepted job was lost or not answered (LOST: {is_lost})"
    ));
    cell.end(i32::from(is_fault || is_lost))
}
