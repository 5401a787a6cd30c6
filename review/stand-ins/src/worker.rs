//! A worker as the pages describe it, in a process of its own, so that a signal can end it.
//!
//! It prints what it does: each start, each end and each end that the system has taken note of.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Call;
use crate::http::Message;
use crate::json::Json;
use crate::unix_ms;

/// `holdMaxMs` of the settings.
const HOLD_MAX_MS: u64 = 10_000;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// `drainMs` of the settings.
const DRAIN_MS: u64 = 2_000;
/// How long a worker that leaves waits for the acknowledgement.
const LEAVE_WAIT: Duration = Duration::from_secs(3);
const TICK: Duration = Duration::from_millis(10);
/// Most ends in one answer.
const MAX_ENDS: usize = 500;

struct Run {
    began: Instant,
    /// Run time of the task; it comes from the job's `spec`.
    ms: u64,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// What the worker holds; a crash loses it.
struct State {
    id: String,
    born: u64,
    origin: Instant,
    fence: u64,
    deadline_ms: u64,
    running: BTreeMap<(String, u64), Run>,
    ended: Vec<End>,
    last_end: u64,
    noted: u64,
    last_run: BTreeMap<String, u64>,
    draining: bool,
    /// Whether a heartbeat that reports the drain was acknowledged.
    drain_acked: bool,
}

fn say(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{} {text}", unix_ms());
    let _ = out.flush();
}

impl State {
    fn clock_ms(&self) -> u64 {
        1_000 + self.origin.elapsed().as_millis() as u64
    }

    fn extend(&mut self, body: &Json) {
        let asked = body.get("deadlineMs").number().unwrap_or(0);
        self.deadline_ms = self
            .deadline_ms
            .max(asked.min(self.clock_ms() + HOLD_MAX_MS));
    }

    fn end(&mut self, task: &str, run: u64, how: &'static str) {
        self.last_end += 1;
        say(&format!("end {task} run={run} how={how} on={}", self.id));
        self.ended.push(End {
            number: self.last_end,
            task: task.to_owned(),
            run,
            how,
        });
    }

    fn tick(&mut self) {
        let lapsed = self.clock_ms() > self.deadline_ms;
        let is_over = |r: &Run| r.began.elapsed().as_millis() as u64 >= r.ms;
        let over: Vec<(String, u64)> = self
            .running
            .iter()
            .filter(|(_, r)| lapsed || is_over(r))
            .map(|(key, _)| key.clone())
            .collect();
        for key in over {
            self.running.remove(&key);
            self.end(&key.0, key.1, if lapsed { "lapsed" } else { "done" });
        }
    }

    fn refusal(&self, reason: &str) -> (u16, String) {
        (
            409,
            format!(r#"{{"clockMs":{},"reason":"{reason}"}}"#, self.clock_ms()),
        )
    }

    fn accepted(&self) -> (u16, String) {
        (200, format!(r#"{{"clockMs":{}}}"#, self.clock_ms()))
    }

    /// Checks the intended worker and the fencing token.
    fn check(&mut self, message: &Message, body: &Json) -> Option<(u16, String)> {
        let expected = message.header("x-zinniavalve-expect-instance");
        if expected.is_some_and(|id| id != self.id) {
            return Some((421, "{}".to_owned()));
        }
        let fence = body.get("fence").number().unwrap_or(0);
        if fence < self.fence {
            return Some(self.refusal("fence"));
        }
        self.fence = fence;
        None
    }

    fn start(&mut self, body: &Json) -> (u16, String) {
        let task = body.get("task").text().unwrap_or_default().to_owned();
        let run = body.get("run").number().unwrap_or(0);
        if self.running.contains_key(&(task.clone(), run)) {
            return self.accepted();
        }
        self.extend(body);
        if self.last_run.get(&task).is_some_and(|last| *last >= run) {
            return self.refusal("old");
        }
        if body.get("deadlineMs").number().unwrap_or(0) < self.clock_ms() {
            return self.refusal("late");
        }
        let ms = body
            .get("spec")
            .text()
            .and_then(|s| s.parse().ok())
            .unwrap_or(1_000);
        self.last_run.insert(task.clone(), run);
        say(&format!("start {task} run={run} on={}", self.id));
        self.running.insert(
            (task, run),
            Run {
                began: Instant::now(),
                ms,
            },
        );
        self.accepted()
    }

    fn stop(&mut self, body: &Json) -> (u16, String) {
        let task = body.get("task").text().unwrap_or_default().to_owned();
        let run = body.get("run").number().unwrap_or(0);
        let last = self.last_run.entry(task.clone()).or_default();
        *last = run.max(*last);
        if self.running.remove(&(task.clone(), run)).is_some() {
            self.end(&task, run, "stopped");
        }
        self.accepted()
    }

    fn note(&mut self, last_seen: u64) {
        if last_seen > self.noted && last_seen <= self.last_end {
            self.noted = last_seen;
            for end in self.ended.iter().filter(|e| e.number <= last_seen) {
                say(&format!(
                    "noted {} run={} how={} on={}",
                    end.task, end.run, end.how, self.id
                ));
            }
            self.ended.retain(|e| e.number > last_seen);
        }
    }

    fn lists(&self) -> String {
        let percent = |r: &Run| (r.began.elapsed().as_millis() as u64 * 100 / r.ms.max(1)).min(99);
        let row = |((task, run), r): (&(String, u64), &Run)| {
            format!(r#"["{task}",{run},"",{},1000]"#, percent(r))
        };
        let running: Vec<String> = self.running.iter().map(row).collect();
        let row = |e: &End| format!(r#"[{},"{}",{},"{}",""]"#, e.number, e.task, e.run, e.how);
        let ended: Vec<String> = self.ended.iter().take(MAX_ENDS).map(row).collect();
        format!(
            r#"{{"clockMs":{},"born":{},"running":[{}],"ended":[{}]}}"#,
            self.clock_ms(),
            self.born,
            running.join(","),
            ended.join(",")
        )
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("the lock is not poisoned")
}

fn hold(state: &Mutex<State>, message: &Message, body: &Json) -> (u16, String) {
    let wait_ms = body.get("waitMs").number().unwrap_or(0).min(2_000);
    let until = Instant::now() + Duration::from_millis(wait_ms);
    {
        let mut state = lock(state);
        if let Some(refused) = state.check(message, body) {
            return refused;
        }
        state.extend(body);
        state.note(body.get("lastSeen").number().unwrap_or(0));
    }
    while Instant::now() < until && lock(state).ended.is_empty() {
        thread::sleep(TICK);
    }
    (200, lock(state).lists())
}

fn handle(state: &Mutex<State>, message: &Message) -> (u16, String) {
    let body = Json::parse(&message.body);
    let path = message.first.split(' ').nth(1).unwrap_or_default();
    if path == "/-/hold" {
        return hold(state, message, &body);
    }
    let mut state = lock(state);
    if let Some(refused) = state.check(message, &body) {
        return refused;
    }
    match path {
        "/-/run-start" => state.start(&body),
        "/-/run-stop" => state.stop(&body),
        _ => (404, "{}".to_owned()),
    }
}

fn serve(state: &Mutex<State>, mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(message) = Message::read(&mut reader)? {
        let (status, body) = handle(state, &message);
        http::answer(&mut stream, status, &body)?;
    }
    Ok(())
}

fn heartbeats(state: &Mutex<State>, addr: &str, zone: &str, rack: &str, control: &[String]) {
    let mut sequence = 0;
    let mut next = 0;
    let mut known: Option<String> = None;
    let delay_ms = std::env::var("FIRST_HEARTBEAT_MS")
        .ok()
        .and_then(|ms| ms.parse().ok());
    thread::sleep(Duration::from_millis(delay_ms.unwrap_or(0)));
    loop {
        sequence += 1;
        let (id, born, clock_ms, draining) = {
            let state = lock(state);
            (
                state.id.clone(),
                state.born,
                state.clock_ms(),
                state.draining,
            )
        };
        let condition = if draining { "draining" } else { "ready" };
        let body = format!(
            concat!(
                r#"{{"service":"desk","address":"{}","zone":"{}","version":"v1","slots":8,"state":"{}","#,
                r#""coldRemainingMs":0,"capacity":{{"cpu":4000,"memMb":8192,"gpu":0}},"labels":["a","{}"],"#,
                r#""clockMs":{},"sequence":{},"born":{}}}"#
            ),
            addr, zone, condition, rack, clock_ms, sequence, born
        );
        let path = format!("/-/instances/{id}/heartbeat");
        let to = known
            .clone()
            .unwrap_or_else(|| control[next % control.len()].clone());
        let call = Call {
            method: "POST",
            path: &path,
            body: &body,
            ..Call::default()
        };
        match call.send(&to, Duration::from_millis(1_000)) {
            Some((status, body)) if (200..300).contains(&status) => {
                if let Some(addr) = Json::parse(&body).get("heartbeatAddr").text() {
                    known = Some(addr.to_owned());
                }
                lock(state).drain_acked |= draining;
                thread::sleep(HEARTBEAT_INTERVAL);
            }
            _ => {
                known = None;
                next += 1;
                thread::sleep(Duration::from_millis(100));
            }
        }
    }
}

/// Leaves as planned: reports the drain, serves on, deregisters, and ends. Without an acknowledgement it
/// ends some seconds later.
fn leave(state: &Mutex<State>, control: &[String]) {
    lock(state).draining = true;
    while !lock(state).drain_acked {
        thread::sleep(TICK);
    }
    say("drain acknowledged");
    thread::sleep(Duration::from_millis(DRAIN_MS + 500));
    let (path, body) = {
        let state = lock(state);
        (
            format!("/-/instances/{}/deregister", state.id),
            format!(r#"{{"born":{}}}"#, state.born),
        )
    };
    let until = Instant::now() + LEAVE_WAIT;
    for addr in control.iter().cycle() {
        say(&format!("deregister at {addr}"));
        let call = Call {
            method: "POST",
            path: &path,
            body: &body,
            ..Call::default()
        };
        let answer = call.send(addr, Duration::from_millis(1_000));
        say(&format!(
            "deregister answered {:?}",
            answer.as_ref().map(|a| a.0)
        ));
        if answer.is_some_and(|(status, _)| (200..300).contains(&status)) || Instant::now() >= until
        {
            break;
        }
    }
    let state = lock(state);
    for (task, run) in state.running.keys() {
        say(&format!("end {task} run={run} how=left on={}", state.id));
    }
    std::process::exit(0);
}

/// Runs a worker until a signal ends it, or the line `leave` on its input makes it leave.
///
/// Arguments: id, listening address, address in the heartbeats, zone, rack, control addresses. The
/// variable `FIRST_HEARTBEAT_MS` delays the first heartbeat.
pub fn run(args: &[String]) {
    let [id, bind, addr, zone, rack, control @ ..] = args else {
        panic!("worker ID BIND ADDRESS ZONE RACK CONTROL...");
    };
    let listener = TcpListener::bind(bind).expect("bind the address");
    let state = Arc::new(Mutex::new(State {
        id: id.clone(),
        born: unix_ms(),
        origin: Instant::now(),
        fence: 0,
        deadline_ms: 0,
        running: BTreeMap::new(),
        ended: Vec::new(),
        last_end: 0,
        noted: 0,
        last_run: BTreeMap::new(),
        draining: false,
        drain_acked: false,
    }));
    say(&format!("up {id}"));
    let ticked = Arc::clone(&state);
    thread::spawn(move || {
        loop {
            thread::sleep(TICK);
            lock(&ticked).tick();
        }
    });
    let accepted = Arc::clone(&state);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let state = Arc::clone(&accepted);
            thread::spawn(move || serve(&state, stream));
        }
    });
    let (leaving, addrs) = (Arc::clone(&state), control.to_vec());
    thread::spawn(move || {
        let mut line = String::new();
        while std::io::stdin().read_line(&mut line).is_ok_and(|n| n > 0) {
            if line.trim() == "leave" {
                leave(&leaving, &addrs);
            }
            line.clear();
        }
    });
    heartbeats(&state, addr, zone, rack, control);
}
