//! Steady-state CPU time, memory and traffic of a daemon process with simulated workers.

use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;
use zinnia_local::Client;
use zinnia_types::Resources;
use zinnia_worker::Handle;
use zinnia_worker::Worker;

use super::fit::Line;
use super::fit::Point;
use super::fit::cpu_ticks;
use super::fit::resident_kib;

/// Workers of a failure domain at the target size of a cell: 1,700 workers in 5 domains.
const TARGET_WORKERS: f64 = 340.0;
/// Running tasks for each worker.
const TASKS_PER_WORKER: usize = 8;
/// First operator key of the measured cell.
const OPERATOR_KEY: &str = "zk_root_capacity-operator";

/// The daemon processes of a measurement, which are killed on drop.
struct DaemonProcesses(Vec<Child>);

impl Drop for DaemonProcesses {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Cost of one daemon: CPU time in percent of a core, resident memory, and bytes a second over HTTP
/// and to and from other daemons.
struct DaemonCost {
    cpu_percent: f64,
    resident_kib: u64,
    http_rate: f64,
    peer_rate: f64,
}

/// Measures the daemon that owns all workers, for each worker count, and prints the measurements
/// with fitted lines.
pub(super) fn run(worker_counts: &[usize], seconds: u64, binary: Option<&Path>) -> Result<()> {
    let binary = match binary {
        Some(path) => path.to_owned(),
        None => std::env::current_exe()?.with_file_name("zinniavalved"),
    };
    ensure!(
        binary.exists(),
        "{} does not exist; build zinnia-daemon first",
        binary.display()
    );
    println!(
        "three daemons with production lease times; all workers in one failure domain, {TASKS_PER_WORKER} tasks each"
    );
    println!(
        "{:>8} {:>8} {:>10} {:>12} {:>12} {:>14}",
        "workers", "% core", "KiB", "HTTP B/s", "peer B/s", "B/s a worker"
    );
    let runtime = tokio::runtime::Runtime::new()?;
    let mut measurements = Vec::new();
    for &workers in worker_counts {
        let cost = runtime.block_on(measure(&binary, workers, seconds))?;
        println!(
            "{workers:>8} {:>8.2} {:>10} {:>12.0} {:>12.0} {:>14.1}",
            cost.cpu_percent,
            cost.resident_kib,
            cost.http_rate,
            cost.peer_rate,
            cost.http_rate / workers as f64
        );
        measurements.push((workers as f64, cost));
    }
    let print_fit = |what: &str, f: fn(&DaemonCost) -> f64| {
        let points: Vec<Point> = measurements
            .iter()
            .map(|(x, cost)| Point { x: *x, y: f(cost) })
            .collect();
        let line = Line::fit(&points);
        println!(
            "  {what}: {:.3} + {:.4} a worker; at {TARGET_WORKERS}: {:.2}",
            line.intercept,
            line.slope,
            line.value_at(TARGET_WORKERS)
        );
    };
    print_fit("% of a core", |cost| cost.cpu_percent);
    print_fit("KiB", |cost| cost.resident_kib as f64);
    print_fit("HTTP B/s", |cost| cost.http_rate);
    print_fit("peer B/s", |cost| cost.peer_rate);
    Ok(())
}

async fn measure(binary: &Path, workers: usize, seconds: u64) -> Result<DaemonCost> {
    let folder = TempDir::new()?;
    let addrs = free_addrs(6)?;
    let daemons = start_daemons(binary, folder.path(), &addrs)?;
    let client = Client::new(addrs[0].clone(), OPERATOR_KEY);
    wait_until(Duration::from_secs(60), || async {
        let response = client.get("/v1/vms").await?;
        let list = response["vms"].as_array().cloned().unwrap_or_default();
        Ok(list.iter().filter(|v| v["acting"] == true).count() == 3)
    })
    .await?;
    let body = json!({"request": "capacity", "from": 0, "document": document()});
    client.put("/v1/document", &body).await?;
    let handles = start_workers(workers, &addrs).await?;
    wait_until(Duration::from_secs(60), || async {
        Ok(ready_workers(&client).await? == workers)
    })
    .await?;
    let response = client
        .post("/v1/keys", &json!({"request": "k", "team": "team"}))
        .await?;
    let key = response["key"]
        .as_str()
        .context("the response has no key")?
        .to_owned();
    let team = client.with_key(key);
    let job = json!({
        "name": "fill", "kind": "work", "tasks": workers * TASKS_PER_WORKER,
        "payload": {"run_ms": 3_600_000},
    });
    team.post("/v1/jobs", &job).await?;
    wait_until(Duration::from_secs(90), || async {
        let row = team.get("/v1/jobs/fill").await?;
        Ok(row["running"] == json!(workers * TASKS_PER_WORKER))
    })
    .await?;
    // Waits until the first usage reports are over, which are not part of the steady state.
    tokio::time::sleep(Duration::from_secs(8)).await;
    let process = daemons.0[0].id().to_string();
    let before = (cpu_ticks(&process), traffic_bytes(&addrs).await?);
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let after = (cpu_ticks(&process), traffic_bytes(&addrs).await?);
    drop(handles);
    let per_second = |a: f64, b: f64| (a - b) / seconds as f64;
    Ok(DaemonCost {
        // A clock tick is 10 ms, so ticks a second are percent of a core.
        cpu_percent: per_second(after.0 as f64, before.0 as f64),
        resident_kib: resident_kib(&process),
        http_rate: per_second(after.1.0, before.1.0),
        peer_rate: per_second(after.1.1, before.1.1),
    })
}

fn start_daemons(binary: &Path, folder: &Path, addrs: &[String]) -> Result<DaemonProcesses> {
    let write_file = |name: &str, text: &str| -> Result<PathBuf> {
        let path = folder.join(name);
        std::fs::write(&path, text)?;
        Ok(path)
    };
    let cluster_file = write_file("cluster.key", "capacity-cluster-key-0123456789")?;
    let operator_file = write_file("operator.key", OPERATOR_KEY)?;
    let voters = &addrs[3..6];
    let mut daemons = DaemonProcesses(Vec::new());
    for n in 0..3 {
        let settings = json!({
            "cell": "capacity",
            "name": format!("vm-{n}"),
            "domain": format!("domain-{n}"),
            "listen": addrs[n],
            "peer": addrs[n + 3],
            "seeds": voters,
            "voters": voters,
            "data": folder.join(format!("vm-{n}")),
            "secrets": {"cluster_file": cluster_file, "operator_file": operator_file},
            "log": {"filter": "error"},
        });
        let path = write_file(&format!("vm-{n}.json"), &settings.to_string())?;
        let child = Command::new(binary)
            .arg(path)
            .stderr(Stdio::null())
            .spawn()
            .with_context(|| format!("cannot start {}", binary.display()))?;
        daemons.0.push(child);
    }
    Ok(daemons)
}

async fn start_workers(count: usize, addrs: &[String]) -> Result<Vec<Handle>> {
    let mut handles = Vec::new();
    for n in 0..count {
        let settings = zinnia_worker::Settings::new(
            format!("worker-{n:04}").parse()?,
            "domain-0".parse()?,
            format!("rack-{}", n / 5).parse()?,
            Resources {
                cpu: 32_000,
                mem: 131_072,
                gpu: 8,
            },
            addrs[..3].to_vec(),
        );
        handles.push(Worker::spawn(settings).await?);
    }
    Ok(handles)
}

/// Number of workers in the state `ready`.
async fn ready_workers(client: &Client) -> Result<usize> {
    let response = client.get("/v1/workers").await?;
    let list = response["workers"].as_array().cloned().unwrap_or_default();
    Ok(list.iter().filter(|w| w["state"] == "ready").count())
}

fn document() -> Value {
    json!({
        "teams": [{"name": "team", "share": 1,
            "limit": {"cpu": 1_000_000_000_u64, "mem": 1_000_000_000_u64, "gpu": 10_000}}],
        "kinds": [{"name": "work", "class": "batch", "need": {"cpu": 2_000, "mem": 4_096},
            "runtime_ms": 3_600_000}],
    })
}

/// Total bytes of the first daemon so far: over HTTP, and to and from the other daemons.
async fn traffic_bytes(addrs: &[String]) -> Result<(f64, f64)> {
    let mut http = 0.0;
    let mut peers = 0.0;
    for (n, addr) in addrs[..3].iter().enumerate() {
        let text = fetch_metrics(addr).await?;
        for line in text.lines().filter(|l| !l.starts_with('#')) {
            let value: f64 = line
                .rsplit(' ')
                .next()
                .and_then(|v| v.parse().ok())
                .unwrap_or(0.0);
            let is_first = n == 0;
            if is_first && line.starts_with("zinnia_http_bytes_total") {
                http += value;
            }
            // Counts the connections that the first daemon opened and those that the others opened
            // to it.
            let to_first = line.contains(&format!("peer=\"{}\"", addrs[3]));
            if line.starts_with("zinnia_peer_bytes_") && (is_first || to_first) {
                peers += value;
            }
        }
    }
    Ok((http, peers))
}

async fn fetch_metrics(addr: &str) -> Result<String> {
    let client = zinnia_http::Client::new(Duration::from_secs(5));
    let pending = client.send(http::Method::GET, addr, "/metrics", None, &());
    let (_, bytes) = pending.await?;
    Ok(String::from_utf8(bytes.to_vec())?)
}

/// Polls a condition until it holds.
async fn wait_until<A>(limit: Duration, mut condition: impl FnMut() -> A) -> Result<()>
where
    A: Future<Output = Result<bool>>,
{
    let deadline = tokio::time::Instant::now() + limit;
    let mut last_error = String::new();
    while tokio::time::Instant::now() < deadline {
        match condition().await {
            Ok(true) => return Ok(()),
            Ok(false) => {}
            Err(error) => last_error = format!("{error:#}"),
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    anyhow::bail!(
        "the condition does not hold after {} s: {last_error}",
        limit.as_secs()
    )
}

/// Addresses on loopback with ports that are free at the moment.
fn free_addrs(count: usize) -> Result<Vec<String>> {
    let listeners: Vec<std::net::TcpListener> = (0..count)
        .map(|_| std::net::TcpListener::bind("127.0.0.1:0"))
        .collect::<std::io::Result<_>>()?;
    let addrs = listeners.iter().map(std::net::TcpListener::local_addr);
    Ok(addrs
        .map(|a| a.map(|a| a.to_string()))
        .collect::<std::io::Result<_>>()?)
}
