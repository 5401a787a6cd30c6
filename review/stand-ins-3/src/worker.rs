//! Workers that follow the pages: they run tasks, list ends, keep fences and leases, and may crash.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use serde_json::Value;
use serde_json::json;

use crate::http::Answer;
use crate::http::Call;
use crate::http::Request;
use crate::http::Server;
use crate::record::Record;

const TICK: Duration = Duration::from_millis(10);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time from a new start of a crashed worker to its first heartbeat.
const FIRST_HEARTBEAT: Duration = Duration::from_millis(1_000);
/// Longest lease that a worker accepts.
const MAX_LEASE_MS: u64 = 10_000;
/// Time that a gang member waits for the others.
const GANG_MS: u128 = 3_000;
/// Time that a stop takes.
const STOP_MS: u64 = 100;
/// Milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let now = SystemTime::UNIX_EPOCH.elapsed().expect("after 1970");
    u64::try_from(now.as_millis()).expect("the time fits")
}

/// How a task behaves; its job's `spec` says it: `MS`, `MS gang COUNT` or `0 lasts`.
#[derive(Clone, Copy)]
struct Behaviour {
    ms: u64,
    lasts: bool,
    /// Number of members, if the task belongs to a gang.
    gang: usize,
}

impl Behaviour {
    fn parse(spec: &str) -> Self {
        let mut words = spec.split(' ');
        let ms = words.next().and_then(|w| w.parse().ok()).unwrap_or(100);
        let gang = match words.next() {
            Some("gang") => words.next().and_then(|w| w.parse().ok()).unwrap_or(0),
            _ => 0,
        };
        let lasts = spec.ends_with(" lasts");
        Self { ms, lasts, gang }
    }
}

struct Run {
    number: u64,
    behaviour: Behaviour,
    started: Instant,
    /// When a gang began to work.
    working_since: Option<Instant>,
    stop_at: Option<Instant>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// What a crash loses.
struct Life {
    born: u64,
    origin: Instant,
    fence: u64,
    deadline_ms: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<End>,
    last_end: u64,
    /// Highest run of each task that was started or stopped here.
    last_run: BTreeMap<String, u64>,
    sequence: u64,
}

impl Life {
    fn new() -> Self {
        Self {
            born: unix_ms(),
            origin: Instant::now(),
            fence: 0,
            deadline_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            last_run: BTreeMap::new(),
            sequence: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        1_000 + u64::try_from(self.origin.elapsed().as_millis()).expect("the time fits")
    }

    fn extend_lease(&mut self, body: &Value) {
        let wanted = body["deadlineMs"].as_u64().unwrap_or(0);
        let longest = self.clock_ms() + MAX_LEASE_MS;
        self.deadline_ms = self.deadline_ms.max(wanted.min(longest));
    }
}

struct Worker {
    id: String,
    service: String,
    zone: String,
    server: Arc<Server>,
    /// `None` while the worker is down.
    life: Option<Life>,
}

/// A start order that gets no answer and is carried out late.
struct LateOrder {
    /// The job of which the first start order is late.
    job: String,
    /// The worker and the order, once it has come.
    taken: Option<(usize, Value)>,
    /// Whether a poll of the worker with a higher fencing token has been answered since.
    is_settled: bool,
}

/// All workers, and the record of what they did.
pub struct Workers {
    workers: Mutex<Vec<Worker>>,
    late: Mutex<Option<LateOrder>>,
    /// Start orders that the workers were sent.
    orders: AtomicUsize,
    record: Arc<Record>,
    controls: Vec<String>,
}

impl Workers {
    /// Creates a group without workers. Heartbeats go to `controls`.
    pub fn new(record: &Arc<Record>, controls: Vec<String>) -> Arc<Self> {
        let workers = Arc::new(Self {
            workers: Mutex::default(),
            late: Mutex::default(),
            orders: AtomicUsize::new(0),
            record: Arc::clone(record),
            controls,
        });
        let ticked = Arc::clone(&workers);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(TICK);
                ticked.tick();
            }
        });
        workers
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Worker>> {
        self.workers.lock().expect("the workers are intact")
    }

    /// Starts a worker.
    pub fn add(self: &Arc<Self>, service: &str, zone: &str) {
        let mut list = self.lock();
        let index = list.len();
        let group = Arc::clone(self);
        let server = Server::start("127.0.0.1", move |request| group.handle(index, request));
        list.push(Worker {
            id: format!("i-{:08x}", index + 1),
            service: service.to_owned(),
            zone: zone.to_owned(),
            server: server.expect("a free port"),
            life: Some(Life::new()),
        });
        let group = Arc::clone(self);
        std::thread::spawn(move || group.send_heartbeats(index));
    }

    /// Makes the first start order of a job late. It gets no answer.
    pub fn delay_start(&self, job: &str) {
        *self.late.lock().expect("the order is intact") = Some(LateOrder {
            job: job.to_owned(),
            taken: None,
            is_settled: false,
        });
    }

    /// The worker of the late order, once a poll with a higher fencing token was answered after it.
    pub fn settled_order(&self) -> Option<usize> {
        let late = self.late.lock().expect("the order is intact");
        let late = late.as_ref().filter(|l| l.is_settled)?;
        late.taken.as_ref().map(|(index, _)| *index)
    }

    /// Carries the late order out.
    pub fn carry_out(&self) {
        let late = self.late.lock().expect("the order is intact").take();
        if let Some((index, body)) = late.and_then(|l| l.taken) {
            let request = Request {
                path: "/-/run-start".to_owned(),
                headers: BTreeMap::new(),
                body,
            };
            let answer = self.start(index, &request);
            self.record
                .line(format!("the late order is carried out: {answer:?}"));
        }
    }

    /// Start orders that all workers were sent so far.
    pub fn start_orders(&self) -> usize {
        self.orders.load(Ordering::Relaxed)
    }

    /// Runs of a task, each with its worker.
    pub fn runs_of(&self, task: &str) -> Vec<(String, u64)> {
        let list = self.lock();
        let run = |w: &Worker| {
            let run = w.life.as_ref()?.running.get(task)?;
            Some((w.id.clone(), run.number))
        };
        list.iter().filter_map(run).collect()
    }

    /// Keeps the order if it is the one to be late. Returns whether it is.
    fn take_late(&self, index: usize, request: &Request) -> bool {
        let mut late = self.late.lock().expect("the order is intact");
        let Some(late) = late.as_mut().filter(|l| l.taken.is_none()) else {
            return false;
        };
        let task = request.body["task"].as_str().unwrap_or_default();
        if !task.starts_with(&late.job) {
            return false;
        }
        self.record
            .line(format!("a start order gets no answer: {}", request.body));
        late.taken = Some((index, request.body.clone()));
        true
    }

    /// Notes that a poll was answered.
    fn note_poll(&self, index: usize, request: &Request) {
        let mut late = self.late.lock().expect("the order is intact");
        let Some(late) = late.as_mut() else {
            return;
        };
        let fence = |body: &Value| body["fence"].as_u64().unwrap_or(0);
        late.is_settled |= late
            .taken
            .as_ref()
            .is_some_and(|(i, order)| *i == index && fence(&request.body) > fence(order));
    }

    /// Crashes a worker: everything on it ends, and it can't be reached until it starts again.
    pub fn crash(&self, index: usize) {
        let mut list = self.lock();
        let worker = &mut list[index];
        worker.server.go_down();
        if let Some(life) = worker.life.take() {
            let lost: Vec<String> = life
                .running
                .iter()
                .map(|(t, r)| format!("{t} run {}", r.number))
                .collect();
            self.record.line(format!(
                "worker {} crashes; it loses {}",
                worker.id,
                match lost.is_empty() {
                    true => "nothing".to_owned(),
                    false => lost.join(", "),
                }
            ));
        }
    }

    /// Starts a crashed worker again, under its id and address.
    pub fn restart(&self, index: usize) {
        let mut list = self.lock();
        let worker = &mut list[index];
        worker.server.come_up().expect("the address is free");
        worker.life = Some(Life::new());
        self.record
            .line(format!("worker {} starts again", worker.id));
    }

    /// Indices of the workers on which a task of the job runs.
    pub fn running(&self, job: &str) -> Vec<usize> {
        let list = self.lock();
        let runs = |w: &Worker| {
            let life = w.life.as_ref();
            life.is_some_and(|l| l.running.keys().any(|t| t.starts_with(job)))
        };
        let found = list.iter().enumerate().filter(|(_, w)| runs(w));
        found.map(|(index, _)| index).collect()
    }

    fn send_heartbeats(&self, index: usize) {
        let mut leader: Option<String> = None;
        let mut next = index;
        let mut was_down = false;
        loop {
            let beat = {
                let mut list = self.lock();
                let worker = &mut list[index];
                let (id, service, zone) = (
                    worker.id.clone(),
                    worker.service.clone(),
                    worker.zone.clone(),
                );
                let addr = worker.server.addr.clone();
                worker.life.as_mut().map(|life| {
                    life.sequence += 1;
                    let body = json!({
                        "service": service, "address": addr, "zone": zone, "version": "v1",
                        "slots": 8, "state": "ready", "coldRemainingMs": 0,
                        "capacity": {"cpu": 16_000, "memMb": 32_768, "gpu": 0},
                        "labels": ["a", "r1-3"], "clockMs": life.clock_ms(),
                        "sequence": life.sequence, "born": life.born,
                    });
                    (id, body.to_string())
                })
            };
            let Some((id, body)) = beat else {
                std::thread::sleep(Duration::from_millis(50));
                was_down = true;
                continue;
            };
            if std::mem::take(&mut was_down) {
                // The first heartbeat of a new start comes within the interval.
                std::thread::sleep(FIRST_HEARTBEAT);
                continue;
            }
            let addr = leader
                .clone()
                .unwrap_or_else(|| self.controls[next % self.controls.len()].clone());
            let path = format!("/-/instances/{id}/heartbeat");
            let call = Call {
                addr: &addr,
                method: "POST",
                path: &path,
                body: &body,
                timeout: Duration::from_secs(1),
                ..Call::default()
            };
            match call.send() {
                Ok((200, answer)) => {
                    let named = answer["heartbeatAddr"].as_str().map(str::to_owned);
                    leader = named.or(Some(addr));
                    self.sleep_alive(index, HEARTBEAT_INTERVAL);
                }
                _ => {
                    leader = None;
                    next += 1;
                    std::thread::sleep(Duration::from_millis(100));
                }
            }
        }
    }

    /// Sleeps, but at most until the worker has crashed or started again.
    fn sleep_alive(&self, index: usize, time: Duration) {
        let born = || self.lock()[index].life.as_ref().map(|l| l.born);
        let (before, until) = (born(), Instant::now() + time);
        while Instant::now() < until && born() == before {
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn tick(&self) {
        let now = Instant::now();
        let mut list = self.lock();
        // Members of each run of a gang that are present, and whether one of them has been lost.
        let mut present: BTreeMap<(String, u64), usize> = BTreeMap::new();
        for worker in list.iter() {
            for (task, run) in worker.life.iter().flat_map(|l| &l.running) {
                if run.behaviour.gang > 0 {
                    *present.entry((step_of(task), run.number)).or_default() += 1;
                }
            }
        }
        for worker in list.iter_mut() {
            let Some(life) = worker.life.as_mut() else {
                continue;
            };
            let has_lapsed = life.clock_ms() > life.deadline_ms;
            let mut over = Vec::new();
            for (task, run) in &mut life.running {
                let gang = run.behaviour.gang;
                let members = present.get(&(step_of(task), run.number)).copied();
                let is_complete = gang == 0 || members == Some(gang);
                if is_complete && run.working_since.is_none() {
                    run.working_since = Some(now);
                }
                let worked = run.working_since.map(|at| now - at);
                let is_done = !run.behaviour.lasts
                    && worked.is_some_and(|w| w >= Duration::from_millis(run.behaviour.ms));
                let how = if has_lapsed {
                    "lapsed"
                } else if run.stop_at.is_some_and(|at| now >= at) {
                    "stopped"
                } else if is_done {
                    "done"
                } else if worked.is_some() && !is_complete {
                    "broken"
                } else if worked.is_none() && (now - run.started).as_millis() > GANG_MS {
                    "alone"
                } else {
                    continue;
                };
                over.push((task.clone(), run.number, how));
            }
            for (task, run, how) in over {
                life.running.remove(&task);
                life.last_end += 1;
                self.record
                    .detail(format!("worker {}: {task} run {run} ends {how}", worker.id));
                life.ended.push(End {
                    number: life.last_end,
                    task,
                    run,
                    how,
                });
            }
        }
    }

    fn handle(&self, index: usize, request: &Request) -> Answer {
        match request.path.as_str() {
            "/-/run-start" => {
                self.orders.fetch_add(1, Ordering::Relaxed);
                if self.take_late(index, request) {
                    // Longer than the sender waits.
                    std::thread::sleep(Duration::from_secs(2));
                    return (0, Value::Null);
                }
                self.start(index, request)
            }
            "/-/run-stop" => self.stop(index, request),
            "/-/hold" => self.hold(index, request),
            _ => (200, json!({})),
        }
    }

    /// Calls `serve` with the worker's life, unless it is down or the order is for another worker or outdated.
    fn serve(
        &self,
        index: usize,
        request: &Request,
        serve: impl FnOnce(&str, &mut Life, &Value) -> Answer,
    ) -> Answer {
        let mut list = self.lock();
        let worker = &mut list[index];
        let Some(life) = worker.life.as_mut() else {
            return (0, Value::Null);
        };
        let expected = request.headers.get("x-zinniavalve-expect-instance");
        if expected.is_some_and(|id| *id != worker.id) {
            return (421, json!({}));
        }
        let fence = request.body["fence"].as_u64().unwrap_or(0);
        if fence < life.fence {
            return (409, json!({"clockMs": life.clock_ms(), "reason": "fence"}));
        }
        life.fence = fence;
        serve(&worker.id, life, &request.body)
    }

    fn start(&self, index: usize, request: &Request) -> Answer {
        self.serve(index, request, |id, life, body| {
            let task = body["task"].as_str().unwrap_or_default().to_owned();
            let number = body["run"].as_u64().unwrap_or(0);
            let refused = |life: &Life, reason: &str| {
                (409, json!({"clockMs": life.clock_ms(), "reason": reason}))
            };
            if life.running.get(&task).is_some_and(|r| r.number == number) {
                return (200, json!({"clockMs": life.clock_ms()}));
            }
            if body["deadlineMs"].as_u64().unwrap_or(0) < life.clock_ms() {
                return refused(life, "late");
            }
            life.extend_lease(body);
            if life.last_run.get(&task).is_some_and(|last| *last >= number) {
                return refused(life, "old");
            }
            life.last_run.insert(task.clone(), number);
            self.record
                .detail(format!("worker {id}: {task} run {number} starts"));
            let run = Run {
                number,
                behaviour: Behaviour::parse(body["spec"].as_str().unwrap_or_default()),
                started: Instant::now(),
                working_since: None,
                stop_at: None,
            };
            life.running.insert(task, run);
            (200, json!({"clockMs": life.clock_ms()}))
        })
    }

    fn stop(&self, index: usize, request: &Request) -> Answer {
        self.serve(index, request, |id, life, body| {
            let task = body["task"].as_str().unwrap_or_default().to_owned();
            let number = body["run"].as_u64().unwrap_or(0);
            let last = life.last_run.entry(task.clone()).or_default();
            *last = number.max(*last);
            if let Some(run) = life.running.get_mut(&task)
                && run.number == number
                && run.stop_at.is_none()
            {
                run.stop_at = Some(Instant::now() + Duration::from_millis(STOP_MS));
                self.record
                    .detail(format!("worker {id}: told to stop {task} run {number}"));
            }
            (200, json!({"clockMs": life.clock_ms()}))
        })
    }

    fn hold(&self, index: usize, request: &Request) -> Answer {
        let answer = self.poll(index, request);
        if answer.0 == 200 {
            self.note_poll(index, request);
        }
        answer
    }

    fn poll(&self, index: usize, request: &Request) -> Answer {
        let until = Instant::now()
            + Duration::from_millis(request.body["waitMs"].as_u64().unwrap_or(0).min(2_000));
        let first = self.serve(index, request, |_, life, body| {
            life.extend_lease(body);
            let seen = body["lastSeen"].as_u64().unwrap_or(0);
            life.ended.retain(|e| e.number > seen);
            (200, json!({"born": life.born}))
        });
        if first.0 != 200 {
            return first;
        }
        loop {
            {
                let list = self.lock();
                let Some(life) = list[index].life.as_ref() else {
                    return (0, Value::Null);
                };
                if life.born != first.1["born"].as_u64().unwrap_or(0) {
                    return (0, Value::Null);
                }
                if !life.ended.is_empty() || Instant::now() >= until {
                    return (200, report(life));
                }
            }
            std::thread::sleep(TICK);
        }
    }
}

fn report(life: &Life) -> Value {
    let row = |(task, run): (&String, &Run)| {
        let worked = run.working_since.map_or(0, |at| at.elapsed().as_millis());
        let percent = worked * 100 / u128::from(run.behaviour.ms.max(1));
        // A task that lasts is at work at once, far below its target.
        match run.behaviour.lasts {
            true => json!([task, run.number, "", 100, 5]),
            false => json!([task, run.number, "", percent.min(99), 1000]),
        }
    };
    let running: Vec<Value> = life.running.iter().map(row).collect();
    let row = |e: &End| json!([e.number, e.task, e.run, e.how, ""]);
    let ended: Vec<Value> = life.ended.iter().take(500).map(row).collect();
    json!({"clockMs": life.clock_ms(), "born": life.born, "running": running, "ended": ended})
}

/// The step of a task, `ID.K.STEP`.
fn step_of(task: &str) -> String {
    task.rsplit_once('.')
        .map_or("", |(step, _)| step)
        .to_owned()
}
