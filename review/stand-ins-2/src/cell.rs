//! The processes of a small deployment on loopback addresses, and the platform that runs them.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Answer;
use crate::json::Json;
use crate::json::quote;
use crate::proxy;
use crate::record::Record;
use crate::worker;

/// Program of the deploy file.
const PROGRAM: &str = "target/release/zinnia-platform";
const FRONTEND_PORT: u16 = 8_686;
const READINESS_PORT: u16 = 8_689;
const CONTROL_PORT: u16 = 8_688;
const PEER_PORT: u16 = 7_180;
const METRICS_PORT: u16 = 7_195;
const WORKER_PORT: u16 = 8_080;
const POLICY_PORT: u16 = 8_683;
/// Difference between the address of a proxy and that of the machine behind it.
const PROXY_OFFSET: usize = 50;
/// Delay after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// API key of the only tenant.
pub const KEY: &str = "3hh2b9wu3fexd9dnn2ct";

/// Bounds of the site `kcw-zinnia`.
const BOUNDS: &str = r#"{"seedLagS":3,"addrReuseS":2,"contactMs":3000,"ackTimeoutMs":4000,"catchUpS":4,"drainMs":2000,"graceS":6,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"maxSkewMs":5000,"strictRevocation":false,"revokeMs":5000,"quotaWindowS":5,"quotaOverrun":0.1,"quotaSlack":20,"recoveryS":12,"holdMaxMs":10000,"stopMs":900,"gangMs":3000,"cancel_ms":3000,"visible_ms":3000,"early_ms":250,"finish_s":14,"status_s":120,"remoteFactor":3,"checkpointIntervalS":0.5,"restoreMs":100,"noticeMs":4500,"migrateS":1.5,"maintenanceS":2,"fencingEnabled":false,"leaseMs":3000,"thawMs":300,"paceMs":100,"harmMs":4000}"#;

/// Why a case cannot run.
pub type CannotRun = String;

/// A process of the system.
pub struct Process {
    pub name: String,
    pub ip: String,
    /// Number of the address in the case's network.
    pub host: usize,
    /// Whether it is on a machine of the core; otherwise it serves callers.
    pub core: bool,
    pub child: Option<Child>,
}

/// A start or an end of a task on a worker.
#[derive(Clone, Debug)]
pub struct Event {
    pub worker: String,
    /// `start`, or how the run ended.
    pub what: String,
    pub task: String,
    pub run: u64,
}

/// A deployment and what its workers did.
pub struct Cell {
    pub record: Record,
    pub dir: PathBuf,
    pub net: String,
    pub processes: Vec<Process>,
    /// Worker processes.
    pub workers: Vec<Child>,
    pub events: Arc<Mutex<Vec<Event>>>,
    /// Whether the connections of the first front to the core are held up; `None` without proxies.
    pub held: Option<Arc<AtomicBool>>,
}

impl Drop for Cell {
    fn drop(&mut self) {
        let workers = self.workers.iter_mut();
        let processes = self.processes.iter_mut().filter_map(|p| p.child.as_mut());
        for child in workers.chain(processes) {
            let _ = child.kill();
            let _ = child.wait();
        }
        // The logs of the processes stay if they are wanted.
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

const SIGTERM: i32 = 15;

/// Sends a signal to a process that this one has started.
fn send_signal(child: &Child, signal: i32) {
    unsafe extern "C" {
        fn kill(pid: i32, signal: i32) -> i32;
    }
    if let Ok(pid) = i32::try_from(child.id()) {
        // SAFETY: the call takes two numbers; the child has not been waited for, so the id is still its own.
        unsafe { kill(pid, signal) };
    }
}

/// Finds a loopback network of which the case may use all addresses.
fn free_net() -> Option<String> {
    let pid = std::process::id();
    (0..200).find_map(|i| {
        let net = format!("127.{}.{}", 30 + (pid + i) % 200, (pid / 200 + i) % 250);
        let ports = [
            FRONTEND_PORT,
            READINESS_PORT,
            CONTROL_PORT,
            PEER_PORT,
            METRICS_PORT,
        ];
        let is_free = ports
            .iter()
            .all(|p| TcpListener::bind((format!("{net}.1"), *p)).is_ok());
        is_free.then_some(net)
    })
}

impl Cell {
    /// Starts `core` machines with disks and `front` ones without, all for the first time.
    pub fn start(
        record: &Record,
        core: usize,
        front: usize,
        proxied: bool,
    ) -> Result<Self, CannotRun> {
        if !std::path::Path::new(PROGRAM).exists() {
            return Err(format!("{PROGRAM} is not built"));
        }
        let net = free_net().ok_or("no free addresses")?;
        let dir = std::env::temp_dir().join(format!("zinnia-review-2-{}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        let mut cell = Self {
            record: record.clone(),
            dir,
            net,
            processes: Vec::new(),
            workers: Vec::new(),
            events: Arc::default(),
            held: proxied.then(Arc::default),
        };
        for i in 0..core {
            cell.add_machine(&format!("core-{}", i + 1), i + 1, true);
        }
        for i in 0..front {
            cell.add_machine(&format!("front-{}", i + 1), 101 + i, false);
        }
        if let Some(held) = &cell.held {
            for i in 1..=core {
                let listen = format!("{}.{}:{PEER_PORT}", cell.net, i + PROXY_OFFSET);
                let listener = TcpListener::bind(listen).map_err(|e| e.to_string())?;
                let upstream = format!("{}.{i}:{PEER_PORT}", cell.net);
                let sender = format!("{}.101:{PEER_PORT}", cell.net);
                proxy::start(listener, upstream, sender, Arc::clone(held));
            }
        }
        for i in 0..cell.processes.len() {
            cell.launch(i, true)?;
        }
        Ok(cell)
    }

    /// Adds a machine without starting its process. Returns its index.
    pub fn add_machine(&mut self, name: &str, host: usize, core: bool) -> usize {
        self.processes.push(Process {
            name: name.to_owned(),
            ip: format!("{}.{host}", self.net),
            host,
            core,
            child: None,
        });
        self.processes.len() - 1
    }

    /// Renders the settings as `platform/node.jsonc` does.
    fn settings(&self, process: &Process, bootstrap: bool) -> String {
        let ip = &process.ip;
        let proxied = |host: usize| match self.held {
            Some(_) => host + PROXY_OFFSET,
            None => host,
        };
        let seeds: Vec<String> = (1..=3)
            .map(|i| format!("\"{}.{}:{CONTROL_PORT}\"", self.net, proxied(i)))
            .collect();
        let advertised = match process.core {
            true => format!("{}.{}", self.net, proxied(process.host)),
            false => ip.clone(),
        };
        let data = match process.core {
            true => quote(&self.data_dir(&process.name).to_string_lossy()),
            false => "null".to_owned(),
        };
        let listen = match process.core {
            true => format!(r#"{{"control":"{ip}:{CONTROL_PORT}"}}"#),
            false => format!(
                r#"{{"frontend":"{ip}:{FRONTEND_PORT}","readiness":"{ip}:{READINESS_PORT}"}}"#
            ),
        };
        format!(
            r#"{{"name":{},"domain":"zone-a","ip":"{advertised}","bind":"{ip}","ports":[{PEER_PORT},{METRICS_PORT}],"seeds":[{}],"bootstrap":{bootstrap},"data":{data},"listen":{listen},"policy":"{}.250:{POLICY_PORT}","tolerance":{{"machines":1,"zones":1,"regions":0}},"bounds":{BOUNDS}}}"#,
            quote(&process.name),
            seeds.join(","),
            self.net,
        )
    }

    pub fn data_dir(&self, name: &str) -> PathBuf {
        self.dir.join("data").join(name)
    }

    /// Starts the process of a machine.
    pub fn launch(&mut self, index: usize, bootstrap: bool) -> Result<(), CannotRun> {
        let process = &self.processes[index];
        let settings = self.dir.join(format!("{}.jsonc", process.name));
        std::fs::write(&settings, self.settings(process, bootstrap)).map_err(|e| e.to_string())?;
        if process.core {
            std::fs::create_dir_all(self.data_dir(&process.name)).map_err(|e| e.to_string())?;
        }
        let log = self.dir.join(format!("{}.log", process.name));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let child = Command::new(PROGRAM)
            .env("ZINNIAVALVE_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|e| e.to_string())?;
        let (name, ip) = (&process.name, &process.ip);
        self.record.line(&format!(
            "platform: {name} starts at {ip} (bootstrap {bootstrap})"
        ));
        self.processes[index].child = Some(child);
        Ok(())
    }

    /// Sends SIGTERM and waits for the end of the process, with SIGKILL after `graceS`.
    pub fn terminate(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let Some(mut child) = process.child.take() else {
            return;
        };
        self.record
            .line(&format!("platform: SIGTERM to {}", process.name));
        send_signal(&child, SIGTERM);
        let end = Instant::now() + Duration::from_secs(6);
        while Instant::now() < end && matches!(child.try_wait(), Ok(None)) {
            thread::sleep(Duration::from_millis(20));
        }
        let _ = child.kill();
        let _ = child.wait();
        self.record
            .line(&format!("platform: {} has ended", process.name));
    }

    /// Kills the process of a machine, as the platform does with one over its memory, and starts it again.
    pub fn restart_over_memory(&mut self, index: usize) -> Result<(), CannotRun> {
        if let Some(mut child) = self.processes[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        thread::sleep(RESTART_DELAY);
        self.launch(index, false)
    }

    /// Resident memory of the process of a machine, in MiB.
    pub fn memory_mb(&self, index: usize) -> u64 {
        let child = self.processes[index].child.as_ref();
        let path = child.map(|c| format!("/proc/{}/status", c.id()));
        let status = path
            .and_then(|p| std::fs::read_to_string(p).ok())
            .unwrap_or_default();
        let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kib = resident.and_then(|t| t.trim().split(' ').next()?.parse::<u64>().ok());
        kib.unwrap_or(0) / 1_024
    }

    /// Size of the files in the data folder of a machine, in MiB.
    pub fn disk_mb(&self, index: usize) -> u64 {
        let files = std::fs::read_dir(self.data_dir(&self.processes[index].name));
        let sizes = files
            .into_iter()
            .flatten()
            .flatten()
            .filter_map(|f| f.metadata().ok());
        sizes.map(|m| m.len()).sum::<u64>() >> 20
    }

    /// Control addresses of the running machines of the core.
    pub fn control(&self) -> Vec<String> {
        let running = self
            .processes
            .iter()
            .filter(|p| p.core && p.child.is_some());
        running
            .map(|p| format!("{}:{CONTROL_PORT}", p.ip))
            .collect()
    }

    /// Frontend addresses.
    pub fn frontends(&self) -> Vec<String> {
        let running = self
            .processes
            .iter()
            .filter(|p| !p.core && p.child.is_some());
        running
            .map(|p| format!("{}:{FRONTEND_PORT}", p.ip))
            .collect()
    }

    /// Address at which workers and other servers of the case may listen.
    pub fn server_addr(&self, host: usize) -> String {
        format!("{}.{host}:{WORKER_PORT}", self.net)
    }

    /// Starts a worker.
    pub fn start_worker(&mut self, args: worker::Args) -> Result<(), CannotRun> {
        let this = std::env::current_exe().map_err(|e| e.to_string())?;
        let mut child = Command::new(this)
            .args(args.to_words())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| e.to_string())?;
        let out = child.stdout.take().ok_or("a worker has no output")?;
        let (record, events, id) = (
            self.record.clone(),
            Arc::clone(&self.events),
            args.id.clone(),
        );
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                record.line(&format!("worker {id}: {line}"));
                if let Some(event) = parse_event(&line, &id) {
                    events.lock().unwrap_or_else(|e| e.into_inner()).push(event);
                }
            }
        });
        self.workers.push(child);
        Ok(())
    }

    pub fn events(&self) -> Vec<Event> {
        self.events
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .clone()
    }

    /// Tasks and runs that a worker has started and that have not ended.
    pub fn running_on(&self, worker: &str) -> Vec<(String, u64)> {
        let mut running = BTreeMap::new();
        for event in self.events().into_iter().filter(|e| e.worker == worker) {
            match event.what.as_str() {
                "start" => {
                    running.insert(event.task, event.run);
                }
                _ => {
                    running.remove(&event.task);
                }
            }
        }
        running.into_iter().collect()
    }

    /// Number of ends of a kind among the tasks of a job.
    pub fn count(&self, job: &str, what: &str) -> usize {
        let of_job = |e: &&Event| e.task.starts_with(job) && e.what == what;
        self.events().iter().filter(of_job).count()
    }

    /// Sends a configuration until it is acknowledged.
    pub fn publish(&self, config: &str, limit: Duration) -> Result<(), String> {
        let end = Instant::now() + limit;
        let mut last = String::new();
        for addr in self.control().iter().cycle() {
            if Instant::now() > end {
                return Err(format!("no configuration acknowledged: {last}"));
            }
            match http::send(
                addr,
                "POST",
                "/-/config/put",
                &[],
                config,
                Duration::from_secs(1),
            ) {
                Ok((200, _)) => return Ok(()),
                other => last = format!("{other:?}"),
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err("no machine of the core".to_owned())
    }

    /// Reads the configuration at one address.
    pub fn read_config(&self, addr: &str) -> String {
        match http::send(
            addr,
            "GET",
            "/-/config/get",
            &[],
            "",
            Duration::from_secs(1),
        ) {
            Ok((200, body)) => {
                let version = Json::parse(&body).map_or(0, |c| c.number("version"));
                format!("200 version {version}")
            }
            Ok((status, _)) => format!("{status}"),
            Err(error) => format!("no answer ({:?})", error.kind()),
        }
    }

    /// A request of a client, at each frontend in turn until one gives a clear answer.
    pub fn call(&self, host: &str, method: &str, path: &str, body: &str) -> Option<Answer> {
        let key = format!("Bearer {KEY}");
        let headers = [
            ("host", host),
            ("authorization", key.as_str()),
            ("x-zinniavalve-deadline-ms", "3000"),
        ];
        let mut last = None;
        for addr in self.frontends() {
            last = http::send(&addr, method, path, &headers, body, Duration::from_secs(3)).ok();
            if last
                .as_ref()
                .is_some_and(|(status, _)| !matches!(status, 500..))
            {
                break;
            }
        }
        last
    }

    /// A request of a client at one frontend.
    pub fn call_at(
        &self,
        addr: &str,
        method: &str,
        path: &str,
        body: &str,
        limit: Duration,
    ) -> Option<Answer> {
        let key = format!("Bearer {KEY}");
        let headers = [
            ("host", "jobs.example"),
            ("authorization", key.as_str()),
            ("x-zinniavalve-deadline-ms", "3000"),
        ];
        http::send(addr, method, path, &headers, body, limit).ok()
    }

    /// Submits a job; returns whether it was accepted.
    pub fn submit(&self, route: &str, job: &str, body: &str) -> bool {
        let path = format!("/{route}/{job}");
        let answer = self.call("jobs.example", "POST", &path, body);
        let status = answer.as_ref().map(|(s, _)| *s);
        self.record
            .line(&format!("client: POST {path} {body} -> {status:?}"));
        matches!(status, Some(200..=299))
    }

    /// Returns the state of a job, or what the request was answered with.
    pub fn state(&self, route: &str, job: &str) -> String {
        match self.call("jobs.example", "GET", &format!("/{route}/{job}"), "") {
            Some((200, body)) => {
                Json::parse(&body).map_or(body.clone(), |b| b.text("state").to_owned())
            }
            Some((status, _)) => format!("status {status}"),
            None => "no answer".to_owned(),
        }
    }

    /// Waits until all workers are known: a short job runs on the service of `route`.
    pub fn warm_up(&self, route: &str, job: &str, body: &str) -> Result<(), CannotRun> {
        let end = Instant::now() + Duration::from_secs(15);
        while !self.submit(route, job, body) {
            if Instant::now() > end {
                return Err("the first job is not accepted".to_owned());
            }
            thread::sleep(Duration::from_millis(300));
        }
        while self.state(route, job) != "completed" {
            if Instant::now() > end {
                return Err("the first job does not run".to_owned());
            }
            thread::sleep(Duration::from_millis(200));
        }
        Ok(())
    }

    /// Arguments of a worker on loopback host number `host`.
    pub fn worker_args(
        &self,
        id: &str,
        host: usize,
        labels: &[&str],
        size: (u64, u64, u64),
    ) -> worker::Args {
        worker::Args {
            id: id.to_owned(),
            addr: self.server_addr(host),
            service: "desk".to_owned(),
            zone: "zone-a".to_owned(),
            labels: labels.iter().map(|l| (*l).to_owned()).collect(),
            cpu: size.0,
            mem_mb: size.1,
            gpu: size.2,
            control: self.control(),
        }
    }
}

fn parse_event(line: &str, worker: &str) -> Option<Event> {
    let mut words = line.split(' ');
    let kind = words.next()?;
    let task = words.next()?.to_owned();
    let run = words.next()?.strip_prefix("run=")?.parse().ok()?;
    let what = match kind {
        "start" => "start".to_owned(),
        "end" => words.next()?.to_owned(),
        _ => return None,
    };
    Some(Event {
        worker: worker.to_owned(),
        what,
        task,
        run,
    })
}

/// A configuration with the routes `plan` (and further ones) to the service `desk`.
pub fn config(version: u64, further_routes: usize) -> String {
    let route = |name: &str, prefix: &str, advice: &str| {
        format!(
            r#"{{"name":"{name}","host":"jobs.example","pathPrefix":"/{prefix}/","kind":"unsafe","timeoutMs":3000,"targetDurationMs":1000,"priority":1,"service":"desk","maxAttempts":2,"stretch":2.2,{advice}"public":false}}"#
        )
    };
    let mut routes = vec![route("r-plan", "plan", "")];
    let advice = r#""advice":{"decideMs":160.0,"eachMs":2.2,"validMs":1500},"#;
    let further = |i| route(&format!("r-{i}"), &format!("p{i}"), advice);
    routes.extend((0..further_routes).map(further));
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"desk","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"enforcesCapacity":false,"standby":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["{KEY}"],"priority":1,"weight":13,"cap":{{"cpu":748100,"memMb":1828205,"gpu":630}}}}]}}"#,
        routes.join(",")
    )
}
