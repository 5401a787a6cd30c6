//! A stand-in worker, which runs as a process of its own.
//!
//! It follows the pages: fencing tokens, leases on its own clock, numbered ends, long polls. The text of a
//! job tells how many milliseconds its tasks take (`ms=N`); tasks without it last until they are stopped. It
//! writes one line to standard output for each start and end.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::http;
use crate::http::Answer;
use crate::http::Request;
use crate::json::Json;
use crate::json::quote;

/// Longest lease that the worker accepts (`holdMaxMs`).
const MAX_LEASE_MS: u64 = 10_000;
/// Interval of the heartbeats (`heartbeatIntervalMs`).
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
const TICK: Duration = Duration::from_millis(10);
/// Longest wait of a poll.
const MAX_WAIT_MS: u64 = 2_000;
/// Most ends in one answer.
const MAX_ENDS: usize = 500;

/// What a worker is started with.
#[derive(Clone, Debug)]
pub struct Args {
    pub id: String,
    pub addr: String,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem_mb: u64,
    pub gpu: u64,
    pub control: Vec<String>,
}

impl Args {
    /// Command line from which [`Self::parse`] reads the same arguments.
    pub fn to_words(&self) -> Vec<String> {
        vec![
            "worker".to_owned(),
            self.id.clone(),
            self.addr.clone(),
            self.service.clone(),
            self.zone.clone(),
            self.labels.join(","),
            self.cpu.to_string(),
            self.mem_mb.to_string(),
            self.gpu.to_string(),
            self.control.join(","),
        ]
    }

    pub fn parse(words: &[String]) -> Option<Self> {
        let [id, addr, service, zone, labels, cpu, mem_mb, gpu, control] = words else {
            return None;
        };
        let list = |text: &str| text.split(',').map(str::to_owned).collect();
        Some(Self {
            id: id.clone(),
            addr: addr.clone(),
            service: service.clone(),
            zone: zone.clone(),
            labels: list(labels),
            cpu: cpu.parse().ok()?,
            mem_mb: mem_mb.parse().ok()?,
            gpu: gpu.parse().ok()?,
            control: list(control),
        })
    }
}

struct Run {
    number: u64,
    started: Instant,
    /// Duration; `None` if the task lasts.
    length: Option<Duration>,
}

struct State {
    fence: u64,
    deadline_ms: u64,
    running: BTreeMap<String, Run>,
    /// Number, task, run and reason of the ends that are not taken note of.
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Highest run of each task that was stopped or ended here.
    last_run: BTreeMap<String, u64>,
}

struct Worker {
    args: Args,
    born: u128,
    start: Instant,
    /// Reading of the worker's clock at its start, which differs from worker to worker.
    clock_origin: u64,
    state: Mutex<State>,
}

fn say(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{text}");
    let _ = out.flush();
}

/// Runs until the process is killed.
pub fn run(args: Args) -> Option<()> {
    let born = SystemTime::UNIX_EPOCH.elapsed().ok()?.as_millis();
    let listener = TcpListener::bind(&args.addr).ok()?;
    let worker = Arc::new(Worker {
        clock_origin: 1_000 + (born % 1_000_000) as u64,
        args,
        born,
        start: Instant::now(),
        state: Mutex::new(State {
            fence: 0,
            deadline_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            last_run: BTreeMap::new(),
        }),
    });
    say(&format!("up born={born}"));
    let server = Arc::clone(&worker);
    http::serve(listener, move |request| server.handle(&request));
    let beats = Arc::clone(&worker);
    thread::spawn(move || beats.send_heartbeats());
    loop {
        thread::sleep(TICK);
        worker.tick();
    }
}

impl Worker {
    fn clock_ms(&self) -> u64 {
        self.clock_origin + self.start.elapsed().as_millis() as u64
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn end(state: &mut State, task: &str, reason: &'static str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        state.last_end += 1;
        state.last_run.insert(task.to_owned(), run.number);
        state
            .ended
            .push((state.last_end, task.to_owned(), run.number, reason));
        say(&format!("end {task} run={} {reason}", run.number));
    }

    fn tick(&self) {
        let clock = self.clock_ms();
        let mut state = self.lock();
        let lapsed = clock > state.deadline_ms;
        let is_over = |r: &Run| lapsed || r.length.is_some_and(|l| r.started.elapsed() >= l);
        let over: Vec<String> = state
            .running
            .iter()
            .filter(|(_, r)| is_over(r))
            .map(|(t, _)| t.clone())
            .collect();
        for task in over {
            Self::end(&mut state, &task, if lapsed { "lapsed" } else { "done" });
        }
    }

    fn send_heartbeats(&self) {
        let args = &self.args;
        let mut sequence = 0;
        let mut next = self.born as usize % args.control.len();
        let mut told: Option<String> = None;
        loop {
            sequence += 1;
            let labels: Vec<String> = args.labels.iter().map(|l| quote(l)).collect();
            let body = format!(
                r#"{{"service":{},"address":{},"zone":{},"version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"capacity":{{"cpu":{},"memMb":{},"gpu":{}}},"labels":[{}],"clockMs":{},"sequence":{sequence},"born":{}}}"#,
                quote(&args.service),
                quote(&args.addr),
                quote(&args.zone),
                args.cpu,
                args.mem_mb,
                args.gpu,
                labels.join(","),
                self.clock_ms(),
                self.born,
            );
            let to = told
                .clone()
                .unwrap_or_else(|| args.control[next % args.control.len()].clone());
            let path = format!("/-/instances/{}/heartbeat", args.id);
            match http::send(&to, "POST", &path, &[], &body, Duration::from_secs(1)) {
                Ok((200..=299, answer)) => {
                    let addr = Json::parse(&answer).map(|a| a.text("heartbeatAddr").to_owned());
                    told = addr.filter(|a| !a.is_empty()).or(Some(to));
                    thread::sleep(HEARTBEAT_INTERVAL);
                }
                _ => {
                    told = None;
                    next += 1;
                    thread::sleep(Duration::from_millis(100));
                }
            }
        }
    }

    fn conflict(&self, reason: &str) -> Answer {
        (
            409,
            format!(
                r#"{{"clockMs":{},"born":{},"reason":"{reason}"}}"#,
                self.clock_ms(),
                self.born
            ),
        )
    }

    fn done(&self) -> Answer {
        (
            200,
            format!(r#"{{"clockMs":{},"born":{}}}"#, self.clock_ms(), self.born),
        )
    }

    fn handle(&self, request: &Request) -> Answer {
        if request
            .header("x-zinniavalve-expect-instance")
            .is_some_and(|i| i != self.args.id)
        {
            return (421, "{}".to_owned());
        }
        if request.path == "/health" {
            return (200, "{}".to_owned());
        }
        let Some(body) = Json::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        match request.path.as_str() {
            "/-/run-start" => self.run_start(&body),
            "/-/run-stop" => self.run_stop(&body),
            "/-/hold" => self.hold(&body),
            _ => (404, "{}".to_owned()),
        }
    }

    /// Records the fencing token; `None` if a higher one was seen.
    fn accept_fence(state: &mut State, body: &Json) -> Option<()> {
        let fence = body.number("fence");
        if fence < state.fence {
            return None;
        }
        state.fence = fence;
        Some(())
    }

    fn renew(&self, state: &mut State, body: &Json) {
        let limit = self.clock_ms() + MAX_LEASE_MS;
        state.deadline_ms = state.deadline_ms.max(body.number("deadlineMs").min(limit));
    }

    fn run_start(&self, body: &Json) -> Answer {
        let (task, run) = (body.text("task").to_owned(), body.number("run"));
        let mut state = self.lock();
        if Self::accept_fence(&mut state, body).is_none() {
            return self.conflict("fence");
        }
        if state.running.get(&task).is_some_and(|r| r.number == run) {
            return self.done();
        }
        self.renew(&mut state, body);
        let is_old = state.last_run.get(&task).is_some_and(|l| *l >= run)
            || state.running.get(&task).is_some_and(|r| r.number > run);
        if is_old {
            return self.conflict("old");
        }
        if body.number("deadlineMs") < self.clock_ms() {
            return self.conflict("late");
        }
        let spec = body.text("spec");
        let ms = spec.split("ms=").nth(1).and_then(|t| t.parse().ok());
        let length = ms.map(Duration::from_millis);
        state.running.insert(
            task.clone(),
            Run {
                number: run,
                started: Instant::now(),
                length,
            },
        );
        say(&format!(
            "start {task} run={run} fence={} spec={spec:?}",
            body.number("fence")
        ));
        self.done()
    }

    fn run_stop(&self, body: &Json) -> Answer {
        let (task, run) = (body.text("task").to_owned(), body.number("run"));
        let mut state = self.lock();
        if Self::accept_fence(&mut state, body).is_none() {
            return self.conflict("fence");
        }
        if state.running.get(&task).is_some_and(|r| r.number == run) {
            Self::end(&mut state, &task, "stopped");
        } else {
            let last = state.last_run.entry(task).or_default();
            *last = run.max(*last);
        }
        self.done()
    }

    fn hold(&self, body: &Json) -> Answer {
        let seen = body.number("lastSeen");
        {
            let mut state = self.lock();
            if Self::accept_fence(&mut state, body).is_none() {
                return self.conflict("fence");
            }
            self.renew(&mut state, body);
            state.ended.retain(|e| e.0 > seen);
        }
        let until = Instant::now() + Duration::from_millis(body.number("waitMs").min(MAX_WAIT_MS));
        while Instant::now() < until && self.lock().ended.is_empty() {
            thread::sleep(TICK);
        }
        let state = self.lock();
        let percent = |r: &Run| match r.length {
            Some(l) => (r.started.elapsed().as_millis() * 100 / l.as_millis().max(1)).min(99),
            None => 100,
        };
        let running: Vec<String> = state
            .running
            .iter()
            .map(|(t, r)| format!(r#"[{},{},"",{},0]"#, quote(t), r.number, percent(r)))
            .collect();
        let ended: Vec<String> = state
            .ended
            .iter()
            .take(MAX_ENDS)
            .map(|(n, t, r, how)| format!(r#"[{n},{},{r},"{how}",""]"#, quote(t)))
            .collect();
        let body = format!(
            r#"{{"clockMs":{},"born":{},"running":[{}],"ended":[{}]}}"#,
            self.clock_ms(),
            self.born,
            running.join(","),
            ended.join(","),
        );
        (200, body)
    }
}
