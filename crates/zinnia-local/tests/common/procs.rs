//! A cell whose daemons are child processes of the test; its workers run in the test process, so
//! that what they saw can be checked.

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
use super::LIMIT;
use super::RED;
use super::WORKER;
use super::document;
use super::job;

pub(crate) const CLUSTER: &str = "process-cluster-key-of-at-least-32-bytes";
pub(crate) const OPERATOR: &str = "zk_root_process-operator-secret";
const POLL: Duration = Duration::from_millis(50);

/// A daemon process.
pub(crate) struct Proc {
    settings: zinnia_daemon::Settings,
    file: PathBuf,
    pub(crate) log: PathBuf,
    child: Option<Child>,
}

pub(crate) struct Procs {
    pub(crate) folder: TempDir,
    pub(crate) vms: Vec<Proc>,
    pub(crate) workers: Vec<Handle>,
    children: Vec<Child>,
    pub(crate) key: String,
}

/// Folder of the built programs, which are brought up to date first.
fn programs() -> Result<&'static Path> {
    static DIR: OnceLock<Option<PathBuf>> = OnceLock::new();
    let dir = DIR.get_or_init(|| {
        let exe = std::env::current_exe().ok()?;
        let dir = exe.parent()?.parent()?.to_owned();
        let mut cargo = Command::new(env!("CARGO"));
        cargo.args(["build", "--locked", "-q", "-j", "3", "--bins"]);
        cargo.args(["-p", "zinnia-daemon", "-p", "zinnia-worker"]);
        if dir.ends_with("release") {
            cargo.arg("--release");
        }
        let built = cargo.current_dir(env!("CARGO_MANIFEST_DIR")).status();
        built.ok()?.success().then_some(dir)
    });
    dir.as_deref().context("the programs are not built")
}

/// Sends a signal to a child process of the test.
pub(crate) fn signal(child: &Child, name: &str) -> Result<()> {
    let pid = child.id().to_string();
    let status = Command::new("kill").args([name, &pid]).status()?;
    ensure!(status.success(), "kill {name} {pid}: {status}");
    Ok(())
}

/// Waits until a condition holds; a look that fails counts as not holding.
pub(crate) async fn until<A>(limit: Duration, what: &str, mut look: impl FnMut() -> A) -> Result<()>
where
    A: Future<Output = Result<bool>>,
{
    let deadline = Instant::now() + limit;
    let mut last = "the condition does not hold".to_owned();
    while Instant::now() < deadline {
        match look().await {
            Ok(true) => return Ok(()),
            Ok(false) => {}
            Err(error) => last = format!("{error:#}"),
        }
        tokio::time::sleep(POLL).await;
    }
    bail!("{what}: not within {} ms: {last}", limit.as_millis())
}

impl Procs {
    pub(crate) async fn start(vms: usize, workers: usize) -> Result<Self> {
        let mut cell = Self {
            folder: TempDir::new()?,
            vms: Vec::new(),
            workers: Vec::new(),
            children: Vec::new(),
            key: String::new(),
        };
        cell.write_settings(vms)?;
        for at in 0..cell.vms.len() {
            cell.start_vm(at)?;
        }
        for (d, domain) in DOMAINS.into_iter().enumerate() {
            for n in 0..workers {
                let settings = cell.worker_settings(&format!("w{d}{n}"), domain)?;
                cell.workers.push(Worker::spawn(settings).await?);
            }
        }
        let operator = cell.operator_client(0);
        until(LIMIT, "document in force", || async {
            let body = json!({"request": "first", "from": 0, "document": document(RED)});
            Ok(operator.put("/v1/document", &body).await.is_ok())
        })
        .await?;
        let body = json!({"request": "grant", "team": "red"});
        let grant = operator.post("/v1/keys", &body).await?;
        cell.key = grant["key"].as_str().context("no key")?.to_owned();
        cell.ready(0, LIMIT, 3 * workers, |_| true).await?;
        Ok(cell)
    }

    fn write_settings(&mut self, vms: usize) -> Result<()> {
        let dir = self.folder.path().to_owned();
        fs::write(dir.join("cluster.key"), CLUSTER)?;
        fs::write(dir.join("operator.key"), OPERATOR)?;
        let local = Settings::default();
        let mut peers = zinnia_local::unused_loopback_addrs(6 * vms)?;
        let listens = peers.split_off(3 * vms);
        for (at, &peer) in peers.iter().enumerate() {
            let domain = DOMAINS[at % 3];
            let name = format!("{domain}-{}", at / 3);
            let settings = zinnia_daemon::Settings {
                cell: local.cell_name,
                name: name.parse()?,
                domain: domain.parse()?,
                listen: listens[at],
                peer,
                seeds: peers[..3].to_vec(),
                voters: if at < 3 {
                    peers[..3].to_vec()
                } else {
                    Vec::new()
                },
                data: (at < 3).then(|| dir.join(&name)),
                secrets: Secrets {
                    cluster_file: Some(dir.join("cluster.key")),
                    operator_file: Some(dir.join("operator.key")),
                    ..Secrets::default()
                },
                lease: local.lease,
                replication: ReplicationSettings {
                    heartbeat_ms: local.heartbeat_ms,
                    election_ms: local.election_ms,
                    ..ReplicationSettings::default()
                },
                bounds: zinnia_daemon::settings::BoundSettings::default(),
                log: zinnia_daemon::settings::LogSettings::default(),
                drop_filter: None,
                disk_hook: None,
            };
            let file = dir.join(format!("{name}.json"));
            fs::write(&file, serde_json::to_vec(&settings)?)?;
            let log = dir.join(format!("{name}.log"));
            let child = None;
            self.vms.push(Proc {
                settings,
                file,
                log,
                child,
            });
        }
        Ok(())
    }

    pub(crate) fn start_vm(&mut self, at: usize) -> Result<()> {
        let vm = &mut self.vms[at];
        let log = File::options().create(true).append(true).open(&vm.log)?;
        let mut command = Command::new(programs()?.join("zinniavalved"));
        command.arg(&vm.file).stdout(log.try_clone()?).stderr(log);
        vm.child = Some(command.spawn()?);
        Ok(())
    }

    fn worker_settings(&self, name: &str, domain: &str) -> Result<zinnia_worker::Settings> {
        let (near, far): (Vec<&Proc>, Vec<&Proc>) = self
            .vms
            .iter()
            .partition(|vm| vm.settings.domain.as_str() == domain);
        let vms = near.into_iter().chain(far);
        let vms = vms.map(|vm| vm.settings.listen.to_string()).collect();
        let (worker, rack) = (name.parse()?, "r0".parse()?);
        let mut settings = zinnia_worker::Settings::new(worker, domain.parse()?, rack, WORKER, vms);
        settings.agent.leases = Settings::short_leases();
        settings.sample_interval_ms = 200;
        Ok(settings)
    }

    /// Starts the program `zinnia-worker`.
    pub(crate) fn spawn_worker(&mut self, name: &str, domain: &str) -> Result<()> {
        let settings = self.worker_settings(name, domain)?;
        let file = self.folder.path().join(format!("{name}.json"));
        fs::write(&file, serde_json::to_vec(&settings)?)?;
        let log = File::create(self.folder.path().join(format!("{name}.log")))?;
        let mut command = Command::new(programs()?.join("zinnia-worker"));
        command.arg("--settings").arg(&file).stderr(log);
        self.children.push(command.spawn()?);
        Ok(())
    }

    pub(crate) fn signal_vm(&self, at: usize, name: &str) -> Result<()> {
        let child = self.vms[at].child.as_ref();
        signal(child.context("the VM does not run")?, name)
    }

    /// Waits for the end of a daemon process.
    pub(crate) async fn exit(&mut self, at: usize) -> Result<ExitStatus> {
        let mut child = self.vms[at].child.take().context("the VM does not run")?;
        let deadline = Instant::now() + LIMIT;
        loop {
            if let Some(status) = child.try_wait()? {
                return Ok(status);
            }
            if Instant::now() > deadline {
                let _ = child.kill();
                bail!("VM {at} did not end");
            }
            tokio::time::sleep(POLL).await;
        }
    }

    pub(crate) fn http_addr(&self, at: usize) -> String {
        self.vms[at].settings.listen.to_string()
    }

    pub(crate) fn operator_client(&self, at: usize) -> Client {
        Client::new(self.http_addr(at), OPERATOR)
    }

    pub(crate) fn red(&self, at: usize) -> Client {
        self.operator_client(at).with_key(self.key.clone())
    }

    /// Waits until the VM at `at` lists `count` ready workers that `pick` chooses.
    pub(crate) async fn ready(
        &self,
        at: usize,
        limit: Duration,
        count: usize,
        pick: impl Fn(&Value) -> bool,
    ) -> Result<()> {
        let client = self.operator_client(at);
        until(limit, "ready workers", || async {
            let list = client.get("/v1/workers").await?;
            let rows = list["workers"].as_array().cloned().unwrap_or_default();
            let ready = rows.iter().filter(|w| w["state"] == "ready" && pick(w));
            Ok(ready.count() >= count)
        })
        .await
    }

    /// Position of the acting owner of a domain as the VM at `asked` sees it.
    pub(crate) async fn owner(&self, asked: usize, domain: &str) -> Result<usize> {
        let list = self.operator_client(asked).get("/v1/vms").await?;
        let rows = list["vms"].as_array().context("no list of VMs")?;
        let acts = |v: &&Value| {
            let domains = v["acts_for"].as_array();
            domains.is_some_and(|d| d.iter().any(|d| d == domain))
        };
        let row = rows.iter().find(acts).context("no acting owner")?;
        let mut all = 0..self.vms.len();
        all.find(|&at| row["addr"] == self.http_addr(at))
            .context("the acting owner has an unknown address")
    }

    pub(crate) async fn submit(&self, at: usize, body: &Value) -> Result<()> {
        let client = self.red(at);
        until(LIMIT, "job is accepted", || async {
            client.post("/v1/jobs", body).await.map(|_| true)
        })
        .await
    }

    pub(crate) async fn ended(&self, at: usize, name: &str, state: &str) -> Result<()> {
        let client = self.red(at);
        let path = format!("/v1/jobs/{name}");
        until(LIMIT, name, || async {
            let row = client.get(&path).await?;
            ensure!(row["outcome"]["state"] == state, "{row}");
            Ok(true)
        })
        .await
    }

    /// Starts of each task on the workers of the test process.
    pub(crate) fn starts(&self) -> BTreeMap<(JobId, u32), usize> {
        let mut starts = BTreeMap::new();
        for record in self.workers.iter().flat_map(Handle::records) {
            if let WorkerEvent::Started { attempt, .. } = record.event {
                *starts.entry((attempt.job, attempt.task)).or_default() += 1;
            }
        }
        starts
    }

    pub(crate) fn begun(&self, name: &str) -> usize {
        let starts = self.starts();
        starts.keys().filter(|(id, _)| *id == job(name)).count()
    }

    pub(crate) fn check(&self, once: &[JobId]) -> Result<()> {
        let capacities: BTreeMap<WorkerId, _> =
            self.workers.iter().map(|w| (w.worker(), WORKER)).collect();
        let limits = BTreeMap::from([("red".parse()?, RED)]);
        let records = self.workers.iter().flat_map(Handle::records).collect();
        super::check(
            zinnia_local::checker_events(records, &capacities, &limits),
            once,
        )
    }
}

impl Drop for Procs {
    fn drop(&mut self) {
        let daemons = self.vms.iter_mut().filter_map(|vm| vm.child.as_mut());
        for child in daemons.chain(self.children.iter_mut()) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
