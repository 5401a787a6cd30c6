//! A cell whose daemons are child processes of the test. Its workers run in the test process, so
//! that their event records can be checked.

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use anyhow::ensure;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;
use zinnia_daemon::settings::ReplicationSettings;
use zinnia_daemon::settings::Secrets;
use zinnia_local::Client;
use zinnia_local::Settings;
use zinnia_types::JobId;
use zinnia_types::WorkerId;
use zinnia_worker::Handle;
use zinnia_worker::Worker;
use zinnia_worker::WorkerEvent;

use super::DOMAINS;
use super::RED_LIMIT;
use super::TIMEOUT;
use super::WORKER_CAPACITY;
use super::document;
use super::red_job_id;

pub(crate) const CLUSTER_KEY: &str = "process-cluster-key-of-at-least-32-bytes";
pub(crate) const OPERATOR_KEY: &str = "zk_root_process-operator-secret";
/// Interval between evaluations of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A VM, represented by a daemon process that can be restarted.
pub(crate) struct DaemonProcess {
    settings: zinnia_daemon::Settings,
    settings_file: PathBuf,
    pub(crate) log_file: PathBuf,
    /// The process, until the test waits for its exit.
    child: Option<Child>,
}

/// A running cell with workers, a document in force and an API key of team `red`.
pub(crate) struct ProcessCell {
    pub(crate) data_folder: TempDir,
    pub(crate) vms: Vec<DaemonProcess>,
    /// Workers in the test process.
    pub(crate) workers: Vec<Handle>,
    worker_processes: Vec<Child>,
    /// Text of the API key.
    pub(crate) key: String,
}

/// Builds the daemon and the worker once and returns the folder of the executables.
fn executable_dir() -> Result<&'static Path> {
    static EXECUTABLE_DIR: OnceLock<Option<PathBuf>> = OnceLock::new();
    let dir = EXECUTABLE_DIR.get_or_init(|| {
        let exe = std::env::current_exe().ok()?;
        let dir = exe.parent()?.parent()?.to_owned();
        let mut cargo = Command::new(env!("CARGO"));
        cargo.args(["build", "--locked", "-q", "-j", "3", "--bins"]);
        cargo.args(["-p", "zinnia-daemon", "-p", "zinnia-worker"]);
        if dir.ends_with("release") {
            cargo.arg("--release");
        }
        let status = cargo.current_dir(env!("CARGO_MANIFEST_DIR")).status();
        status.ok()?.success().then_some(dir)
    });
    dir.as_deref()
        .context("building the daemon and the worker failed")
}

/// Sends a signal to a child process. `signal` is an option of `kill`, such as `-TERM`.
pub(crate) fn send_signal(child: &Child, signal: &str) -> Result<()> {
    let pid = child.id().to_string();
    let status = Command::new("kill").args([signal, &pid]).status()?;
    ensure!(status.success(), "kill {signal} {pid}: {status}");
    Ok(())
}

/// Polls a condition until it returns true. An error counts as false.
///
/// Returns an error that starts with `description` if the condition does not hold within `timeout`.
pub(crate) async fn wait_until<A>(
    timeout: Duration,
    description: &str,
    mut condition: impl FnMut() -> A,
) -> Result<()>
where
    A: Future<Output = Result<bool>>,
{
    let deadline = Instant::now() + timeout;
    let mut last_error = "the condition is false".to_owned();
    while Instant::now() < deadline {
        match condition().await {
            Ok(true) => return Ok(()),
            Ok(false) => {}
            Err(error) => last_error = format!("{error:#}"),
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    bail!(
        "{description}: timed out after {} ms: {last_error}",
        timeout.as_millis()
    )
}

impl ProcessCell {
    /// Starts a cell with `domain_vms` VMs and `domain_workers` workers in each domain, and waits
    /// until all workers are ready.
    pub(crate) async fn start(domain_vms: usize, domain_workers: usize) -> Result<Self> {
        let mut cell = Self {
            data_folder: TempDir::new()?,
            vms: Vec::new(),
            workers: Vec::new(),
            worker_processes: Vec::new(),
            key: String::new(),
        };
        cell.write_settings(domain_vms)?;
        for vm in 0..cell.vms.len() {
            cell.start_vm(vm)?;
        }
        for (domain_index, domain) in DOMAINS.into_iter().enumerate() {
            for n in 0..domain_workers {
                let settings = cell.worker_settings(&format!("w{domain_index}{n}"), domain)?;
                cell.workers.push(Worker::spawn(settings).await?);
            }
        }
        let operator = cell.operator_client(0);
        wait_until(TIMEOUT, "acceptance of the document", || async {
            let body = json!({"request": "first", "from": 0, "document": document(RED_LIMIT)});
            Ok(operator.put("/v1/document", &body).await.is_ok())
        })
        .await?;
        let body = json!({"request": "grant", "team": "red"});
        let response = operator.post("/v1/keys", &body).await?;
        cell.key = response["key"]
            .as_str()
            .context("the response has no key")?
            .to_owned();
        cell.wait_for_workers(0, TIMEOUT, 3 * domain_workers, |_| true)
            .await?;
        Ok(cell)
    }

    /// Creates the key files and the settings files of all daemons, on unused addresses.
    fn write_settings(&mut self, domain_vms: usize) -> Result<()> {
        let dir = self.data_folder.path().to_owned();
        fs::write(dir.join("cluster.key"), CLUSTER_KEY)?;
        fs::write(dir.join("operator.key"), OPERATOR_KEY)?;
        let defaults = Settings::default();
        let mut peer_addrs = zinnia_local::unused_loopback_addrs(6 * domain_vms)?;
        let http_addrs = peer_addrs.split_off(3 * domain_vms);
        for (index, &peer) in peer_addrs.iter().enumerate() {
            let domain = DOMAINS[index % 3];
            let name = format!("{domain}-{}", index / 3);
            let settings = zinnia_daemon::Settings {
                cell: defaults.cell_name,
                name: name.parse()?,
                domain: domain.parse()?,
                listen: http_addrs[index],
                peer,
                seeds: peer_addrs[..3].to_vec(),
                voters: if index < 3 {
                    peer_addrs[..3].to_vec()
                } else {
                    Vec::new()
                },
                data: (index < 3).then(|| dir.join(&name)),
                secrets: Secrets {
                    cluster_file: Some(dir.join("cluster.key")),
                    operator_file: Some(dir.join("operator.key")),
                    ..Secrets::default()
                },
                lease: defaults.lease,
                replication: ReplicationSettings {
                    heartbeat_ms: defaults.heartbeat_ms,
                    election_ms: defaults.election_ms,
                    ..ReplicationSettings::default()
                },
                bounds: zinnia_daemon::settings::BoundSettings::default(),
                log: zinnia_daemon::settings::LogSettings::default(),
                drop_filter: None,
                disk_hook: None,
            };
            let settings_file = dir.join(format!("{name}.json"));
            fs::write(&settings_file, serde_json::to_vec(&settings)?)?;
            let log_file = dir.join(format!("{name}.log"));
            let child = None;
            self.vms.push(DaemonProcess {
                settings,
                settings_file,
                log_file,
                child,
            });
        }
        Ok(())
    }

    /// Starts the daemon of a VM, on the same settings as before. Its log is appended to the log
    /// file.
    pub(crate) fn start_vm(&mut self, vm: usize) -> Result<()> {
        let vm = &mut self.vms[vm];
        let log = File::options()
            .create(true)
            .append(true)
            .open(&vm.log_file)?;
        let mut command = Command::new(executable_dir()?.join("zinniavalved"));
        command
            .arg(&vm.settings_file)
            .stdout(log.try_clone()?)
            .stderr(log);
        vm.child = Some(command.spawn()?);
        Ok(())
    }

    /// Settings of a worker that prefers the VMs of its own domain.
    fn worker_settings(&self, name: &str, domain: &str) -> Result<zinnia_worker::Settings> {
        let (local_vms, remote_vms): (Vec<&DaemonProcess>, Vec<&DaemonProcess>) = self
            .vms
            .iter()
            .partition(|vm| vm.settings.domain.as_str() == domain);
        let vms = local_vms.into_iter().chain(remote_vms);
        let vms = vms.map(|vm| vm.settings.listen.to_string()).collect();
        let (worker, rack) = (name.parse()?, "r0".parse()?);
        let mut settings =
            zinnia_worker::Settings::new(worker, domain.parse()?, rack, WORKER_CAPACITY, vms);
        settings.agent.leases = Settings::short_leases();
        settings.sample_interval_ms = 200;
        Ok(settings)
    }

    /// Starts a worker as a child process.
    pub(crate) fn spawn_worker_process(&mut self, name: &str, domain: &str) -> Result<()> {
        let settings = self.worker_settings(name, domain)?;
        let settings_file = self.data_folder.path().join(format!("{name}.json"));
        fs::write(&settings_file, serde_json::to_vec(&settings)?)?;
        let log = File::create(self.data_folder.path().join(format!("{name}.log")))?;
        let mut command = Command::new(executable_dir()?.join("zinnia-worker"));
        command.arg("--settings").arg(&settings_file).stderr(log);
        self.worker_processes.push(command.spawn()?);
        Ok(())
    }

    /// Sends a signal to the daemon of a VM. `signal` is an option of `kill`, such as `-TERM`.
    pub(crate) fn signal_vm(&self, vm: usize, signal: &str) -> Result<()> {
        let child = self.vms[vm].child.as_ref();
        send_signal(child.context("the daemon does not run")?, signal)
    }

    /// Waits until the daemon of a VM has exited.
    pub(crate) async fn wait_for_exit(&mut self, vm: usize) -> Result<ExitStatus> {
        let mut child = self.vms[vm]
            .child
            .take()
            .context("the daemon does not run")?;
        let deadline = Instant::now() + TIMEOUT;
        loop {
            if let Some(status) = child.try_wait()? {
                return Ok(status);
            }
            if Instant::now() > deadline {
                let _ = child.kill();
                bail!("the daemon of VM {vm} did not exit");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    pub(crate) fn http_addr(&self, vm: usize) -> String {
        self.vms[vm].settings.listen.to_string()
    }

    /// Client of a VM that uses the operator key.
    pub(crate) fn operator_client(&self, vm: usize) -> Client {
        Client::new(self.http_addr(vm), OPERATOR_KEY)
    }

    /// Client of a VM that uses the API key of team `red`.
    pub(crate) fn red_client(&self, vm: usize) -> Client {
        self.operator_client(vm).with_key(self.key.clone())
    }

    /// Waits until a VM lists at least `count` ready workers that match `filter`.
    pub(crate) async fn wait_for_workers(
        &self,
        vm: usize,
        timeout: Duration,
        count: usize,
        filter: impl Fn(&Value) -> bool,
    ) -> Result<()> {
        let client = self.operator_client(vm);
        wait_until(timeout, "ready workers", || async {
            let response = client.get("/v1/workers").await?;
            let workers = response["workers"].as_array().cloned().unwrap_or_default();
            let ready = workers
                .iter()
                .filter(|w| w["state"] == "ready" && filter(w));
            Ok(ready.count() >= count)
        })
        .await
    }

    /// Index of the VM that is the acting owner of a domain, according to the VM `observer`.
    pub(crate) async fn acting_owner(&self, observer: usize, domain: &str) -> Result<usize> {
        let response = self.operator_client(observer).get("/v1/vms").await?;
        let vms = response["vms"]
            .as_array()
            .context("the response has no list of VMs")?;
        let acts_for_domain = |vm: &&Value| {
            let domains = vm["acts_for"].as_array();
            domains.is_some_and(|domains| domains.iter().any(|name| name == domain))
        };
        let owner = vms
            .iter()
            .find(acts_for_domain)
            .context("the domain has no acting owner")?;
        let mut indices = 0..self.vms.len();
        indices
            .find(|&vm| owner["addr"] == self.http_addr(vm))
            .context("no VM has the address of the acting owner")
    }

    /// Submits a job through a VM, with retries while the replicated log has no leader. Retries are
    /// idempotent.
    pub(crate) async fn submit_job(&self, vm: usize, body: &Value) -> Result<()> {
        let client = self.red_client(vm);
        wait_until(TIMEOUT, "acceptance of a job", || async {
            client.post("/v1/jobs", body).await.map(|_| true)
        })
        .await
    }

    /// Waits until a job has ended with the outcome `state`.
    pub(crate) async fn wait_for_outcome(&self, vm: usize, name: &str, state: &str) -> Result<()> {
        let client = self.red_client(vm);
        let path = format!("/v1/jobs/{name}");
        wait_until(TIMEOUT, name, || async {
            let job = client.get(&path).await?;
            ensure!(job["outcome"]["state"] == state, "{job}");
            Ok(true)
        })
        .await
    }

    /// Number of attempts of each task on the workers of the test process.
    pub(crate) fn attempt_counts(&self) -> BTreeMap<(JobId, u32), usize> {
        let mut counts = BTreeMap::new();
        for record in self.workers.iter().flat_map(Handle::records) {
            if let WorkerEvent::Started { attempt, .. } = record.event {
                *counts.entry((attempt.job, attempt.task)).or_default() += 1;
            }
        }
        counts
    }

    /// Number of tasks of a job that were started at least once on the workers of the test process.
    pub(crate) fn started_tasks(&self, name: &str) -> usize {
        let counts = self.attempt_counts();
        counts
            .keys()
            .filter(|(id, _)| *id == red_job_id(name))
            .count()
    }

    /// Checks the event records of the workers of the test process against the invariants of
    /// `zinnia-check`.
    ///
    /// `non_repeatable` are the jobs whose tasks must start at most once.
    pub(crate) fn check_invariants(&self, non_repeatable: &[JobId]) -> Result<()> {
        let capacities: BTreeMap<WorkerId, _> = self
            .workers
            .iter()
            .map(|w| (w.worker(), WORKER_CAPACITY))
            .collect();
        let limits = BTreeMap::from([("red".parse()?, RED_LIMIT)]);
        let records = self.workers.iter().flat_map(Handle::records).collect();
        super::check_invariants(
            zinnia_local::checker_events(records, &capacities, &limits),
            non_repeatable,
        )
    }
}

impl Drop for ProcessCell {
    fn drop(&mut self) {
        let daemons = self.vms.iter_mut().filter_map(|vm| vm.child.as_mut());
        for child in daemons.chain(self.worker_processes.iter_mut()) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
