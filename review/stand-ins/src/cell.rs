//! A small cell: the project's program with the command of the deploy file, and stand-in workers.

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Call;
use crate::proxy;
use crate::proxy::DropAnswers;
use crate::proxy::HeldOrder;
use crate::unix_ms;

pub const KEY: &str = "key-of-the-team-0001";
pub const HOST: &str = "desk.example";
pub const PREFIX: &str = "/plans/";
const ZONES: [&str; 3] = ["dar-kurasini", "dar-ubungo", "dar-mikocheni"];
const CONTROL_PORT: u16 = 8688;
const FRONTEND_PORT: u16 = 8686;
const READINESS_PORT: u16 = 8689;
const WORKER_PORT: u16 = 8080;
/// Port of a worker behind a proxy.
const HIDDEN_PORT: u16 = 8081;
/// Bounds of the deployment `kcw-zinnia`.
const BOUNDS: &str = concat!(
    r#"{"seedLagS":3,"addrReuseS":2,"contactMs":3000,"ackTimeoutMs":4000,"catchUpS":4,"drainMs":2000,"#,
    r#""graceS":6,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"maxSkewMs":5000,"#,
    r#""recoveryS":12,"holdMaxMs":10000,"stopMs":900,"gangMs":3000,"cancel_ms":3000,"visible_ms":3000,"#,
    r#""early_ms":250,"finish_s":14,"status_s":120,"checkpointIntervalS":0.5,"restoreMs":100}"#
);

/// Events of the run, for the record and for the checks.
#[derive(Clone)]
pub struct Record {
    lines: Arc<Mutex<Vec<(u64, String)>>>,
    began: u64,
}

impl Record {
    pub fn new() -> Self {
        Self {
            lines: Arc::default(),
            began: unix_ms(),
        }
    }

    pub fn add(&self, text: &str) {
        self.add_at(unix_ms(), text);
    }

    fn add_at(&self, at: u64, text: &str) {
        println!("{:>7} ms  {text}", at.saturating_sub(self.began));
        self.lines
            .lock()
            .expect("not poisoned")
            .push((at, text.to_owned()));
    }

    /// Events that contain all of `words`, with their times.
    pub fn find(&self, words: &[&str]) -> Vec<(u64, String)> {
        let lines = self.lines.lock().expect("not poisoned");
        let matches = |line: &&(u64, String)| words.iter().all(|w| line.1.contains(w));
        let mut found: Vec<_> = lines.iter().filter(matches).cloned().collect();
        found.sort();
        found
    }

    /// Waits for an event; `None` after `limit`.
    pub fn wait(&self, words: &[&str], count: usize, limit: Duration) -> Option<(u64, String)> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Some(found) = self.find(words).get(count - 1) {
                return Some(found.clone());
            }
            thread::sleep(Duration::from_millis(5));
        }
        None
    }

    /// Writes the record in the order of the times.
    pub fn save(&self, path: &str) {
        let mut file = File::create(path).expect("create the record");
        for (at, text) in self.find(&[]) {
            let _ = writeln!(file, "{:>7} ms  {text}", at.saturating_sub(self.began));
        }
    }
}

/// The processes of a run. All of them end with it.
pub struct Cell {
    pub record: Record,
    /// Whether the answers of the members to deregistrations, and to first heartbeats, are lost.
    pub drop_answers: DropAnswers,
    /// The order that is held back, if the workers are behind proxies.
    pub held: Arc<Mutex<HeldOrder>>,
    has_order_proxies: bool,
    /// Delay of the first heartbeat of workers that are started from now on, in milliseconds.
    pub first_heartbeat_ms: u64,
    dir: PathBuf,
    net: String,
    program: PathBuf,
    processes: BTreeMap<String, Child>,
    fronts: usize,
    started: Vec<String>,
}

impl Cell {
    /// Starts three members, `fronts` entry processes and `workers` workers, and puts a configuration.
    pub fn start(fronts: usize, workers: usize, has_order_proxies: bool) -> Option<Self> {
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("review-case-{pid}"));
        fs::create_dir_all(&dir).ok()?;
        let program = std::env::var("PROGRAM").ok()?;
        let mut cell = Self {
            record: Record::new(),
            drop_answers: DropAnswers::default(),
            held: Arc::default(),
            has_order_proxies,
            first_heartbeat_ms: 0,
            dir,
            net: format!("127.{}.{}", 30 + pid % 200, (pid / 200) % 250),
            program: fs::canonicalize(program).ok()?,
            processes: BTreeMap::new(),
            fronts,
            started: Vec::new(),
        };
        for name in cell.machines() {
            cell.launch(&name);
        }
        for index in 1..=3 {
            proxy::start(&cell.proxy(index), cell.control(index), &cell.drop_answers).ok()?;
        }
        for index in 0..workers {
            let name = worker_name(index);
            if has_order_proxies {
                let upstream = cell.worker_bind(&name);
                proxy::start_for_orders(&cell.worker_addr(&name), upstream, &cell.held).ok()?;
            }
            cell.launch(&name);
        }
        let is_configured = cell.put_config(7, "r-plans");
        // The workers send their next heartbeats, and the leader hears of all of them.
        thread::sleep(Duration::from_secs(4));
        is_configured.then_some(cell)
    }

    fn machines(&self) -> Vec<String> {
        let members = (1..=3).map(|i| format!("core-{i}"));
        members
            .chain((1..=self.fronts).map(|i| format!("front-{i}")))
            .collect()
    }

    fn ip(&self, name: &str) -> String {
        let (kind, number) = name.split_once('-').expect("the name has a number");
        let number: usize = number.parse().expect("the name has a number");
        let first = match kind {
            "core" => 0,
            "front" => 10,
            _ => 50,
        };
        format!("{}.{}", self.net, first + number)
    }

    pub fn control(&self, index: usize) -> String {
        format!("{}:{CONTROL_PORT}", self.ip(&format!("core-{index}")))
    }

    /// Address at which a worker takes orders.
    pub fn worker_addr(&self, name: &str) -> String {
        format!("{}:{WORKER_PORT}", self.ip(name))
    }

    /// Address at which a worker listens.
    fn worker_bind(&self, name: &str) -> String {
        let port = if self.has_order_proxies {
            HIDDEN_PORT
        } else {
            WORKER_PORT
        };
        format!("{}:{port}", self.ip(name))
    }

    /// Address of a proxy in front of a member, which is the one that workers are told.
    fn proxy(&self, index: usize) -> String {
        format!("{}.{}:{CONTROL_PORT}", self.net, 20 + index)
    }

    pub fn front(&self, index: usize) -> String {
        format!("{}:{FRONTEND_PORT}", self.ip(&format!("front-{index}")))
    }

    fn settings(&self, name: &str) -> String {
        let ip = self.ip(name);
        let seeds: Vec<String> = (1..=3)
            .map(|i| format!("\"{}\"", self.control(i)))
            .collect();
        let number: usize = name
            .split('-')
            .nth(1)
            .and_then(|n| n.parse().ok())
            .unwrap_or(1);
        let is_core = name.starts_with("core");
        let data = match is_core {
            true => format!("\"{}\"", self.dir.join(name).display()),
            false => "null".to_owned(),
        };
        let listen = match is_core {
            true => format!(r#"{{"control":"{ip}:{CONTROL_PORT}"}}"#),
            false => format!(
                r#"{{"frontend":"{ip}:{FRONTEND_PORT}","readiness":"{ip}:{READINESS_PORT}"}}"#
            ),
        };
        let first_start = !self.started.iter().any(|n| n == name);
        format!(
            concat!(
                r#"{{"name":"{}","domain":"{}","ip":"{}","ports":[7180,7195],"seeds":[{}],"bootstrap":{},"#,
                r#""data":{},"listen":{},"policy":null,"#,
                r#""tolerance":{{"machines":1,"zones":1,"regions":0}},"bounds":{}}}"#
            ),
            name,
            ZONES[(number - 1) % 3],
            ip,
            seeds.join(","),
            first_start,
            data,
            listen,
            BOUNDS
        )
    }

    /// Starts a process: a machine of the system, or a worker.
    pub fn launch(&mut self, name: &str) {
        let mut command;
        if name.starts_with("worker") {
            let index: usize = name
                .split('-')
                .nth(1)
                .and_then(|n| n.parse().ok())
                .unwrap_or(0);
            command = Command::new(std::env::current_exe().expect("the program has a path"));
            command.args([
                "worker",
                name,
                &self.worker_bind(name),
                &self.worker_addr(name),
            ]);
            command.env("FIRST_HEARTBEAT_MS", self.first_heartbeat_ms.to_string());
            command.args([ZONES[index % 3], &format!("r{}", index % 3)]);
            command.args((1..=3).map(|i| self.proxy(i)));
            command.stdout(Stdio::piped()).stdin(Stdio::piped());
        } else {
            let path = self.dir.join(format!("{name}.json"));
            fs::write(&path, self.settings(name)).expect("write the settings");
            let log = self.dir.join(format!("{name}.log"));
            let log = File::options()
                .create(true)
                .append(true)
                .open(log)
                .expect("open the log");
            command = Command::new(&self.program);
            command.env("ZINNIAVALVE_SETTINGS", path);
            command
                .stdout(log.try_clone().expect("open the log"))
                .stderr(log);
        }
        let mut child = command.spawn().expect("start the process");
        if let Some(out) = child.stdout.take() {
            let record = self.record.clone();
            thread::spawn(move || {
                for line in BufReader::new(out).lines().map_while(Result::ok) {
                    let (at, text) = line.split_once(' ').unwrap_or(("0", &line));
                    record.add_at(at.parse().unwrap_or_else(|_| unix_ms()), text);
                }
            });
        }
        self.record.add(&format!("launch {name}"));
        self.started.push(name.to_owned());
        self.processes.insert(name.to_owned(), child);
    }

    /// Kills a process that this run started (SIGKILL).
    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.processes.remove(name) {
            self.record.add(&format!("SIGKILL {name}"));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to a process that this run started.
    pub fn signal(&self, name: &str, signal: &str) {
        if let Some(child) = self.processes.get(name) {
            self.record.add(&format!("SIG{signal} {name}"));
            let _ = Command::new("kill")
                .args([&format!("-{signal}"), &child.id().to_string()])
                .status();
        }
    }

    /// Tells a worker to leave as planned.
    pub fn leave(&mut self, name: &str) {
        self.record.add(&format!("platform: {name} is to leave"));
        if let Some(input) = self.processes.get_mut(name).and_then(|c| c.stdin.as_mut()) {
            let _ = writeln!(input, "leave");
        }
    }

    /// Sends a configuration whose only route has this name, until it is acknowledged.
    pub fn put_config(&self, version: u64, route: &str) -> bool {
        let body = format!(
            concat!(
                r#"{{"version":{},"routes":[{{"name":"{}","host":"{}","pathPrefix":"{}","kind":"unsafe","#,
                r#""timeoutMs":3000,"targetDurationMs":3000,"priority":1,"service":"desk","maxAttempts":4,"#,
                r#""stretch":4.0,"public":false}}],"services":[{{"name":"desk","healthPath":"/health","#,
                r#""maxConns":64,"protocol":"h1","tls":false,"enforcesCapacity":false,"standby":false}}],"#,
                r#""limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"#,
                r#""tenants":[{{"name":"team","apiKeys":["{}"],"priority":1,"weight":13,"#,
                r#""cap":{{"cpu":64000,"memMb":131072,"gpu":0}}}}]}}"#
            ),
            version, route, HOST, PREFIX, KEY
        );
        let call = Call {
            method: "POST",
            path: "/-/config/put",
            body: &body,
            ..Call::default()
        };
        let until = Instant::now() + Duration::from_secs(20);
        let mut index = 0;
        while Instant::now() < until {
            index = index % 3 + 1;
            if let Some((200, _)) = call.send(&self.control(index), Duration::from_secs(1)) {
                let text = format!(
                    "operator: put version {version}, route {route} -> 200 by core-{index}"
                );
                self.record.add(&text);
                return true;
            }
            thread::sleep(Duration::from_millis(200));
        }
        self.record.add(&format!(
            "operator: no acknowledgement of version {version}"
        ));
        false
    }

    /// Sends a client's request through an entry process and records both.
    pub fn call(
        &self,
        front: usize,
        method: &str,
        id: &str,
        body: &str,
        limit_ms: u64,
    ) -> Option<(u16, String)> {
        let path = format!("{PREFIX}{id}");
        let call = Call {
            method,
            host: HOST,
            path: &path,
            key: Some(KEY),
            body,
            ..Call::default()
        };
        let at = unix_ms();
        let answer = call.send(&self.front(front), Duration::from_millis(limit_ms));
        let text = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        let ms = unix_ms() - at;
        self.record.add(&format!(
            "client: {method} {path} at front-{front} -> {text} ({ms} ms)"
        ));
        answer
    }

    /// Sends a client's request and returns the connection, which stays open.
    pub fn send_only(&self, front: usize, method: &str, id: &str, body: &str) -> Option<TcpStream> {
        let path = format!("{PREFIX}{id}");
        let call = Call {
            method,
            host: HOST,
            path: &path,
            key: Some(KEY),
            body,
            ..Call::default()
        };
        self.record
            .add(&format!("client: {method} {path} at front-{front}, sent"));
        call.write(&self.front(front), Duration::from_millis(3_000))
    }

    /// Ends all processes and removes the folder of the run, or keeps it if `KEEP` is set.
    pub fn end(mut self) {
        let names: Vec<String> = self.processes.keys().cloned().collect();
        for name in names {
            if let Some(mut child) = self.processes.remove(&name) {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_some() {
            println!("kept: {}", self.dir.display());
        } else {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Name of a worker.
pub fn worker_name(index: usize) -> String {
    format!("worker-{index}")
}
