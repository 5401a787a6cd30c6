//! The cases. Each returns what was broken, or why it could not run.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::cell::CannotRun;
use crate::cell::Cell;
use crate::cell::config;
use crate::http;
use crate::record::Record;

type Verdict = Result<Vec<String>, CannotRun>;

/// A worker of medium size.
const SIZE: (u64, u64, u64) = (16_000, 32_768, 8);
/// A job of one short task.
const SHORT_JOB: &str =
    r#"{"spec":"ms=300","steps":[{"count":1,"cpu":1000,"memMb":512,"estimateMs":300}]}"#;

pub fn play(name: &str, record: &Record, trouble: bool) -> Verdict {
    match name {
        "replace" => replace(record, trouble),
        "gang" => gang(record, trouble),
        "writer" => writer(record, trouble),
        "cancel" => cancel(record, trouble),
        "memory" => memory(record, trouble),
        _ => Err(format!("there is no case {name}")),
    }
}

fn wait(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// A cell of three machines of the core and two fronts, with a configuration and workers.
fn small_cell(record: &Record, workers: &[(&str, &[&str])]) -> Result<Cell, CannotRun> {
    start_cell(record, workers, 2, false)
}

/// The same with this number of fronts, and with proxies between the processes if one is to be cut off.
fn start_cell(
    record: &Record,
    workers: &[(&str, &[&str])],
    fronts: usize,
    proxied: bool,
) -> Result<Cell, CannotRun> {
    let mut cell = Cell::start(record, 3, fronts, proxied)?;
    cell.publish(&config(1, 0), Duration::from_secs(15))?;
    record.line("operator: configuration 1 is acknowledged");
    for (i, (id, labels)) in workers.iter().enumerate() {
        let args = cell.worker_args(id, 201 + i, labels, SIZE);
        cell.start_worker(args)?;
    }
    cell.warm_up("plan", "aaaaaaaaaaaaaaaa", SHORT_JOB)?;
    wait(2.0);
    Ok(cell)
}

/// Two machines of the core are replaced as planned: their successors are up for long before they leave.
fn replace(record: &Record, trouble: bool) -> Verdict {
    const CATCH_UP: f64 = 4.0;
    const RECOVERY_S: f64 = 12.0;
    let workers: [(&str, &[&str]); 2] = [("i-1", &["a", "r1"]), ("i-2", &["a", "r2"])];
    let mut cell = small_cell(record, &workers)?;
    cell.publish(&config(2, 0), Duration::from_secs(5))?;
    record.line("operator: configuration 2 is acknowledged");
    let job = "b000000000000001";
    if !cell.submit("plan", job, SHORT_JOB) {
        return Err("the job is not accepted".to_owned());
    }
    let successors = [
        cell.add_machine("core-4", 4, true),
        cell.add_machine("core-5", 5, true),
    ];
    for index in successors {
        cell.launch(index, false)?;
    }
    // More than twice the time that the pages give a new machine to catch up.
    wait(CATCH_UP * 2.5);
    if trouble {
        cell.terminate(1);
        wait(3.0);
        cell.terminate(2);
    }
    wait(RECOVERY_S);
    let started = record.seconds();
    let (mut reads, mut jobs) = (0, 0);
    while record.seconds() - started < 40.0 {
        for addr in cell.control() {
            let answer = cell.read_config(&addr);
            record.line(&format!("operator: GET config at {addr} -> {answer}"));
            reads += usize::from(answer == "200 version 2");
        }
        let state = cell.state("plan", job);
        record.line(&format!("client: GET /plan/{job} -> {state}"));
        jobs += usize::from(state == "completed");
        if reads > 2 && jobs > 2 {
            break;
        }
        wait(1.0);
    }
    let mut broken = Vec::new();
    if reads == 0 {
        broken.push("CONFIG: acknowledged configuration 2 was never read back".to_owned());
    }
    if jobs == 0 {
        broken.push(format!("LOST: accepted job {job} got no answer in time"));
    }
    Ok(broken)
}

/// Among ordinary jobs comes a gang that needs more accelerators than the service has.
fn gang(record: &Record, trouble: bool) -> Verdict {
    const FINISH_S: f64 = 14.0;
    let workers: [(&str, &[&str]); 3] = [
        ("i-1", &["a", "r1"]),
        ("i-2", &["a", "r2"]),
        ("i-3", &["a", "r3"]),
    ];
    let cell = small_cell(record, &workers)?;
    let hopeless = r#"{"spec":"ms=5600","steps":[{"count":4,"cpu":15000,"memMb":24000,"gpu":8,"estimateMs":5600,"gang":true}]}"#;
    let ordinary = r#"{"spec":"ms=3000","steps":[{"count":1,"cpu":2800,"memMb":8200,"gpu":1,"estimateMs":3000}]}"#;
    let mut jobs = Vec::new();
    // One job in 20 can never be done; the traffic lasts for 3 s.
    for i in 0..20 {
        if i == 0 && trouble {
            cell.submit("plan", "c000000000000bad", hopeless);
            // The other clients come when it has waited for a moment.
            wait(0.6);
            continue;
        }
        let job = format!("c0000000000000{i:02}");
        if cell.submit("plan", &job, ordinary) {
            jobs.push(job);
        }
        wait(0.12);
    }
    record.line("client: end of the traffic");
    wait(FINISH_S);
    let is_idle = || workers.iter().all(|(id, _)| cell.running_on(id).is_empty());
    let is_waiting = |job: &String| {
        cell.count(job, "start") == 0
            && matches!(cell.state("plan", job).as_str(), "queued" | "running")
    };
    // Those that wait all the time while the service is idle.
    let mut waiting = jobs.clone();
    let mut waited = 0.0;
    let started = record.seconds();
    while record.seconds() - started < 60.0 && !waiting.is_empty() {
        waiting.retain(is_waiting);
        if !is_idle() {
            waiting.clear();
        }
        waited = record.seconds() - started;
        record.line(&format!(
            "{} of {} accepted jobs wait, with nothing running, for {waited:.1} s; all workers are idle: {}",
            waiting.len(), jobs.len(), is_idle()
        ));
        if waited < 3.5 { wait(0.5) } else { wait(5.0) }
    }
    let mut broken = Vec::new();
    if !waiting.is_empty() && waited > 3.0 {
        broken.push(format!(
            "LOST: {} accepted jobs have nothing running for {waited:.0} s, from 14 s after the traffic, while all workers are idle",
            waiting.len()
        ));
    }
    Ok(broken)
}

/// Another writer sends a heartbeat of a service that is not named, under the ids of the workers.
fn writer(record: &Record, trouble: bool) -> Verdict {
    const FINISH_S: f64 = 14.0;
    let workers: [(&str, &[&str]); 2] = [("i-1", &["a", "r1"]), ("i-2", &["a", "r2"])];
    let cell = small_cell(record, &workers)?;
    let born = std::time::SystemTime::UNIX_EPOCH
        .elapsed()
        .map_err(|e| e.to_string())?
        .as_millis();
    if trouble {
        for (i, (id, _)) in workers.iter().enumerate() {
            let body = format!(
                r#"{{"service":"kiosk","address":"{}","zone":"zone-a","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"capacity":{{"cpu":4000,"memMb":8192,"gpu":0}},"labels":["a","r9"],"clockMs":1000,"sequence":1,"born":{born}}}"#,
                cell.server_addr(240 + i),
            );
            let to = &cell.control()[0];
            let path = format!("/-/instances/{id}/heartbeat");
            let answer = http::send(to, "POST", &path, &[], &body, Duration::from_secs(1));
            let status = answer.map(|(status, _)| status);
            record.line(&format!("other writer: POST {path} {body} -> {status:?}"));
        }
    }
    wait(1.0);
    let mut jobs = Vec::new();
    for i in 0..10 {
        let job = format!("e0000000000000{i:02}");
        if cell.submit("plan", &job, SHORT_JOB) {
            jobs.push(job);
        }
        wait(0.2);
    }
    if jobs.is_empty() {
        return Err("no job is accepted".to_owned());
    }
    record.line("client: end of the traffic");
    wait(FINISH_S);
    let mut waiting = jobs.clone();
    for _ in 0..7 {
        waiting.retain(|j| cell.count(j, "start") == 0 && cell.state("plan", j) == "queued");
        record.line(&format!(
            "{} of {} accepted jobs wait; no worker runs anything: {}",
            waiting.len(),
            jobs.len(),
            workers.iter().all(|(id, _)| cell.running_on(id).is_empty())
        ));
        wait(0.5);
    }
    let mut broken = Vec::new();
    if !waiting.is_empty() {
        broken.push(format!(
            "LOST: {} accepted jobs have nothing running for 3 s, 14 s after the traffic, while both workers of their service are up and idle",
            waiting.len()
        ));
    }
    Ok(broken)
}

/// The links of a front are cut for some seconds; a client gives up on a job there and cancels it at another.
fn cancel(record: &Record, trouble: bool) -> Verdict {
    const CUT_S: f64 = 4.0;
    const CANCEL_S: f64 = 3.0;
    const STOP_S: f64 = 0.9;
    let workers: [(&str, &[&str]); 2] = [("i-1", &["a", "r1"]), ("i-2", &["a", "r2"])];
    let cell = start_cell(record, &workers, 7, true)?;
    let Some(held) = cell.held.clone() else {
        return Err("no proxies".to_owned());
    };
    let fronts = cell.frontends();
    let body =
        r#"{"spec":"ms=9000","steps":[{"count":1,"cpu":2000,"memMb":1024,"estimateMs":9000}]}"#;
    let job = "ab00000000000001";
    let path = format!("/plan/{job}");
    if trouble {
        record.line("disruption: front-1 is cut from the core");
        held.store(true, Ordering::Relaxed);
    }
    let cut_at = record.seconds();
    let posted = cell.call_at(&fronts[0], "POST", &path, body, Duration::from_millis(250));
    record.line(&format!(
        "client: POST {path} at front-1 -> {posted:?}; it waits for 0.25 s"
    ));
    let cancelled = cell.call_at(&fronts[1], "DELETE", &path, "", Duration::from_secs(3));
    let acked_at = record.seconds();
    record.line(&format!(
        "client: DELETE {path} at front-2 -> {cancelled:?}"
    ));
    if trouble {
        wait(CUT_S - (record.seconds() - cut_at));
        record.line("disruption: front-1 reaches the core again");
        held.store(false, Ordering::Relaxed);
    }
    let end = acked_at + CANCEL_S + STOP_S + 3.0;
    while record.seconds() < end {
        wait(0.1);
    }
    let running: Vec<_> = workers
        .iter()
        .flat_map(|(id, _)| cell.running_on(id))
        .collect();
    let state = cell.state("plan", job);
    let since = record.seconds() - acked_at;
    record.line(&format!(
        "{since:.1} s after the DELETE was answered: running {running:?}, shown as {state}"
    ));
    let mut broken = Vec::new();
    if matches!(cancelled, Some((200..=299 | 410, _))) && !running.is_empty() {
        broken.push(format!(
            "UNASKED: a task of job {job} runs {since:.1} s after its cancelling was acknowledged"
        ));
    }
    Ok(broken)
}

/// Hundreds of changes of a configuration with many routes come in a cell with few jobs.
fn memory(record: &Record, trouble: bool) -> Verdict {
    /// Memory of a machine of the core (`memoryMb`).
    const MEMORY_MB: u64 = 312;
    /// Two series of changes, each with `gap_s` 0.33.
    const GAP: Duration = Duration::from_millis(165);
    const STORM_S: f64 = 100.0;
    const MAX_CHANGES: u32 = 520;
    let mut cell = small_cell(record, &[("i-1", &["a", "r1"])])?;
    let routes = if trouble { 1_400 } else { 8 };
    let (mut version, mut acked, mut changes, mut peak) = (1, 1, 0, 0);
    let mut kills = [0; 3];
    let began = record.seconds();
    let is_broken = |kills: &[u32; 3]| kills.iter().filter(|n| **n >= 3).count() >= 2;
    while record.seconds() - began < STORM_S && changes < MAX_CHANGES && !is_broken(&kills) {
        let at = Instant::now();
        version += 3;
        match cell.publish(&config(version, routes), Duration::from_secs(1)) {
            Ok(()) => acked = version,
            Err(why) => record.line(&format!("operator: version {version}: {why}")),
        }
        changes += 1;
        for index in 0..3 {
            let used = cell.memory_mb(index);
            peak = peak.max(used);
            if used > MEMORY_MB {
                kills[index] += 1;
                record.line(&format!(
                    "platform: {} uses {used} MB, more than {MEMORY_MB}, and is killed",
                    cell.processes[index].name
                ));
                cell.restart_over_memory(index)?;
            }
        }
        if changes % 50 == 0 {
            record.line(&format!(
                "operator: {changes} changes, version {acked} acknowledged; core-1 uses {} MB and {} MB of disk",
                cell.memory_mb(0),
                cell.disk_mb(0)
            ));
        }
        thread::sleep(GAP.saturating_sub(at.elapsed()));
    }
    record.line(&format!("{changes} changes of {} bytes, the last acknowledged {acked}; peak {peak} MB; kills of the core {kills:?}", config(version, routes).len()));
    for addr in cell.control() {
        record.line(&format!(
            "operator: GET config at {addr} -> {}",
            cell.read_config(&addr)
        ));
    }
    let mut broken = Vec::new();
    if is_broken(&kills) {
        broken.push(format!(
            "Fault: processes on half of the core were over their memory three times: {kills:?}"
        ));
    }
    Ok(broken)
}
