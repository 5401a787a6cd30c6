//! The platform's part: starts the processes of a small deployment, and kills and restarts them.

use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::http::Call;

/// Longest time that a case may take; all processes end then.
const CASE_LIMIT: Duration = Duration::from_secs(116);
/// Exit status of a case that could not run.
pub const NOT_RUN: i32 = 2;
/// Memory of a process of the core, as in the small deployments.
pub const CORE_MEMORY_MB: u64 = 256;
/// Memory of an entry process, as in the small deployments.
const ENTRY_MEMORY_MB: u64 = 260;
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Process ids of all processes that were started and not yet waited for.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes, and the case with `status`.
pub fn finish(status: i32) -> ! {
    if let Ok(mut children) = CHILDREN.lock() {
        for child in children.iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        children.clear();
    }
    std::process::exit(status)
}

/// Ends the case as not run if it lasts too long or panics.
pub fn guard() {
    std::thread::spawn(|| {
        std::thread::sleep(CASE_LIMIT);
        eprintln!("the case took too long");
        finish(NOT_RUN);
    });
    std::panic::set_hook(Box::new(|info| {
        eprintln!("{info}");
        finish(NOT_RUN);
    }));
}

/// One process of the system.
pub struct Process {
    pub name: String,
    pub ip: String,
    pub is_core: bool,
    settings: PathBuf,
    log: PathBuf,
    pid: Option<u32>,
}

/// A cell of three members and two entry processes.
pub struct Cell {
    pub processes: Vec<Process>,
    pub dir: PathBuf,
    root: PathBuf,
    ports: Ports,
}

struct Ports {
    first: u16,
}

impl Ports {
    const COUNT: u16 = 8;

    /// Finds a range of ports that is free on all addresses.
    fn find(ips: &[String]) -> Self {
        let start = u16::try_from(std::process::id() % 2_000).unwrap_or(0) * 8 + 20_000;
        let is_free = |port: u16| {
            ips.iter().all(|ip| {
                (port..port + Self::COUNT)
                    .all(|p| std::net::TcpListener::bind((ip.as_str(), p)).is_ok())
            })
        };
        let first = (start..start + 4_000).step_by(8).find(|p| is_free(*p));
        Self {
            first: first.expect("there are free ports"),
        }
    }

    fn frontend(&self) -> u16 {
        self.first + 4
    }

    fn readiness(&self) -> u16 {
        self.first + 5
    }

    fn control(&self) -> u16 {
        self.first + 6
    }
}

impl Cell {
    /// Starts the processes. `root` is the folder of the repository.
    pub fn start(root: &Path) -> Self {
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("review-3-{pid}"));
        std::fs::create_dir_all(&dir).expect("create a temporary folder");
        let net = format!("127.{}.{}", 40 + pid % 100, pid / 100 % 250);
        let ip = |n: usize| format!("{net}.{n}");
        let ips: Vec<String> = (0..5).map(|n| ip(n + 1)).collect();
        let ports = Ports::find(&ips);
        let seeds: Vec<String> = ips[..3]
            .iter()
            .map(|ip| format!("{ip}:{}", ports.control()))
            .collect();
        let mut cell = Self {
            processes: Vec::new(),
            dir,
            root: root.to_owned(),
            ports,
        };
        for (n, ip) in ips.iter().enumerate() {
            let is_core = n < 3;
            let name = match is_core {
                true => format!("core-{n}"),
                false => format!("front-{}", n - 3),
            };
            cell.add(name, ip, is_core, &seeds, ZONES[n % 3]);
        }
        for index in 0..cell.processes.len() {
            cell.launch(index);
        }
        cell
    }

    fn add(&mut self, name: String, ip: &str, is_core: bool, seeds: &[String], zone: &str) {
        let addr = |port: u16| format!("{ip}:{port}");
        let ports = &self.ports;
        let listen = match is_core {
            true => json!({"control": addr(ports.control())}),
            false => {
                json!({"frontend": addr(ports.frontend()), "readiness": addr(ports.readiness())})
            }
        };
        let memory = match is_core {
            true => CORE_MEMORY_MB,
            false => ENTRY_MEMORY_MB,
        };
        let region = |zone: &str| (zone.to_owned(), json!("region"));
        // What `platform/node.jsonc` renders from the settings of a small deployment.
        let settings = json!({
            "name": name, "domain": zone, "ip": ip, "ports": [ports.first, ports.first + 3],
            "seeds": seeds, "bootstrap": true, "data": is_core.then(|| self.dir.join(&name)),
            "listen": listen, "policy": null,
            "tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {
                "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4,
                "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000,
                "rollbackSlackMs": 250, "maxSkewMs": 5000, "recoveryS": 12, "holdMaxMs": 10000,
                "stopMs": 900, "gangMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
                "finish_s": 14, "status_s": 120, "remoteFactor": 3, "checkpointIntervalS": 0.5,
                "restoreMs": 100, "noticeMs": 4500, "leaseMs": 3000, "paceMs": 100, "harmMs": 4000,
            },
            "zones": ZONES.map(region).into_iter().collect::<serde_json::Map<_, _>>(),
            "limits": {
                "cpuShare": 0.5, "cores": 1, "memoryMb": memory, "maxFds": 4096, "linkMbps": 1000.0,
            },
            "decisions": {"bounded_load": true, "weighted_order": true},
        });
        let path = self.dir.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).expect("write the settings");
        self.processes.push(Process {
            log: self.dir.join(format!("{name}.log")),
            name,
            ip: ip.to_owned(),
            is_core,
            settings: path,
            pid: None,
        });
    }

    /// Starts a process, also again after its end.
    pub fn launch(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let log = File::options().create(true).append(true).open(&process.log);
        let log = log.expect("open the log file");
        let mut command = Command::new("target/release/zinnia-platform");
        command
            .current_dir(&self.root)
            .env_clear()
            .env("ZINNIAVALVE_SETTINGS", &process.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("open the log file"))
            .stdout(log);
        let child = command.spawn().expect("start a process");
        process.pid = Some(child.id());
        CHILDREN.lock().expect("the list is intact").push(child);
    }

    /// Kills a process.
    pub fn kill(&mut self, index: usize) {
        let Some(pid) = self.processes[index].pid.take() else {
            return;
        };
        let mut children = CHILDREN.lock().expect("the list is intact");
        if let Some(at) = children.iter().position(|c| c.id() == pid) {
            let mut child = children.remove(at);
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether a process has ended by itself.
    pub fn has_ended(&self, index: usize) -> bool {
        let pid = self.processes[index].pid;
        let mut children = CHILDREN.lock().expect("the list is intact");
        let child = children.iter_mut().find(|c| Some(c.id()) == pid);
        child.is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
    }

    /// Resident memory of a process in MB.
    pub fn resident_mb(&self, index: usize) -> u64 {
        let Some(pid) = self.processes[index].pid else {
            return 0;
        };
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find(|l| l.starts_with("VmRSS:"));
        let kb = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<u64>().ok());
        kb.unwrap_or(0) / 1_024
    }

    /// Addresses of the frontends.
    pub fn frontends(&self) -> Vec<String> {
        self.addrs(false, self.ports.frontend())
    }

    /// Addresses at which the members serve workers and operators.
    pub fn controls(&self) -> Vec<String> {
        self.addrs(true, self.ports.control())
    }

    fn addrs(&self, is_core: bool, port: u16) -> Vec<String> {
        let processes = self.processes.iter().filter(|p| p.is_core == is_core);
        processes.map(|p| format!("{}:{port}", p.ip)).collect()
    }

    /// Sends a configuration until it is acknowledged, as the operator does. Panics after 20 s.
    pub fn publish(&self, document: &Value) {
        let text = document.to_string();
        let started = Instant::now();
        for addr in self.controls().iter().cycle() {
            let call = Call {
                addr,
                method: "POST",
                path: "/-/config/put",
                body: &text,
                timeout: Duration::from_secs(1),
                ..Call::default()
            };
            if let Ok((200, _)) = call.send() {
                return;
            }
            assert!(
                started.elapsed() < Duration::from_secs(20),
                "no process acknowledged the configuration"
            );
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Lines of the metrics of all members that begin with `name`.
    pub fn metrics(&self, name: &str) -> Vec<String> {
        let mut found = Vec::new();
        for addr in self.addrs(true, self.ports.first + 3) {
            let call = Call {
                addr: &addr,
                path: "/metrics",
                ..Call::default()
            };
            let text = call.send_text();
            let lines = text.lines().filter(|l| l.starts_with(name));
            found.extend(lines.map(|l| format!("{addr}: {l}")));
        }
        found
    }

    /// Lines of all logs that contain `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let mut found = Vec::new();
        for process in &self.processes {
            let log = std::fs::read_to_string(&process.log).unwrap_or_default();
            let lines = log.lines().filter(|l| l.contains(text));
            found.extend(lines.map(|l| format!("{}: {l}", process.name)));
        }
        found
    }

    /// Ends all processes, removes the temporary folder and ends the case.
    pub fn end(self, status: i32) -> ! {
        for child in CHILDREN.lock().expect("the list is intact").iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
        finish(status)
    }
}

/// A route of a queue without a policy.
pub fn route(name: &str, service: &str, is_public: bool) -> Value {
    json!({
        "name": name, "host": "cell.example", "pathPrefix": format!("/{name}/"), "kind": "unsafe",
        "timeoutMs": 3000, "targetDurationMs": 3000, "priority": 1, "service": service,
        "maxAttempts": 2, "stretch": 4.0, "public": is_public,
    })
}

/// A service whose workers start what they are told to.
pub fn service(name: &str) -> Value {
    json!({
        "name": name, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false,
        "enforcesCapacity": false, "standby": false,
    })
}

/// A tenant without a limit.
pub fn tenant(name: &str, keys: &[&str]) -> Value {
    json!({
        "name": name, "apiKeys": keys, "priority": 1, "weight": 1,
        "cap": {"cpu": 0, "memMb": 0, "gpu": 0},
    })
}

/// A configuration.
pub fn document(version: u64, routes: &[Value], services: &[Value], tenants: &[Value]) -> Value {
    json!({
        "version": version, "routes": routes, "services": services,
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": tenants,
    })
}
