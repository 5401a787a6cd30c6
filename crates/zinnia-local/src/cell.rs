//! Daemons and workers of a local cell.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;
use zinnia_daemon::Daemon;
use zinnia_daemon::settings::ReplicationSettings;
use zinnia_daemon::settings::Secrets;
use zinnia_types::DomainId;
use zinnia_types::RackId;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_types::WorkerId;
use zinnia_worker::FaultInjection;
use zinnia_worker::Handle;
use zinnia_worker::Worker;

use crate::Client;
use crate::DroppedLinks;
use crate::FullDisks;
use crate::Settings;
use crate::unused_loopback_addrs;

const CLUSTER_KEY: &str = "local-cluster-key-of-at-least-32-bytes";
const OPERATOR_KEY: &str = "zk_root_local-operator-secret";
/// Pause between two looks at a condition that is waited for.
const POLL: Duration = Duration::from_millis(50);

/// One VM of the cell: its settings, and the daemon while it runs.
struct Vm {
    settings: zinnia_daemon::Settings,
    daemon: Option<Daemon>,
}

/// A cell whose daemons and workers run in this process.
pub struct Cell {
    settings: Settings,
    folder: TempDir,
    dropped_links: DroppedLinks,
    full_disks: FullDisks,
    vms: Vec<Vm>,
    workers: BTreeMap<String, Handle>,
    /// Earlier processes of workers that were started again.
    retired: Vec<Handle>,
    graceful: BTreeSet<WorkerId>,
    pub(crate) capacities: BTreeMap<WorkerId, Resources>,
}

impl Cell {
    /// Starts the daemons and waits until the cell is formed, every domain has an acting owner and every
    /// VM is ready.
    ///
    /// # Errors
    ///
    /// Fails when a daemon cannot start or the cell is not formed within 15 s.
    pub async fn start(settings: Settings) -> Result<Self> {
        let folder = TempDir::new().context("make a folder for the cell")?;
        let mut cell = Self {
            dropped_links: DroppedLinks::default(),
            full_disks: FullDisks::default(),
            vms: Vec::new(),
            workers: BTreeMap::new(),
            retired: Vec::new(),
            graceful: BTreeSet::new(),
            capacities: BTreeMap::new(),
            folder,
            settings,
        };
        cell.plan_vms()?;
        for at in 0..cell.vms.len() {
            cell.start_vm(at).await?;
        }
        let domains = cell.settings.domains.len();
        cell.wait_until(Duration::from_secs(15), "acting owners", |cell| {
            let client = cell.operator_client(0);
            async move {
                let vms = client.get("/v1/vms").await?;
                let list = vms["vms"].as_array().cloned().unwrap_or_default();
                let acting = list.iter().filter(|v| v["acting"] == true).count();
                Ok(acting == domains)
            }
        })
        .await?;
        for at in 0..cell.vms.len() {
            cell.wait_until(Duration::from_secs(15), "a VM that is ready", |cell| {
                let client = cell.operator_client(at);
                async move { client.get("/healthz").await.map(|_| true) }
            })
            .await?;
        }
        Ok(cell)
    }

    fn plan_vms(&mut self) -> Result<()> {
        let domains = self.settings.domains.clone();
        let count = domains.len() * self.settings.domain_vms;
        let addrs = unused_loopback_addrs(2 * count)?;
        let voters: Vec<SocketAddr> = (0..domains.len()).map(|i| addrs[2 * i + 1]).collect();
        for at in 0..count {
            let domain = &domains[at % domains.len()];
            let has_disk = at / domains.len() < self.settings.domain_disks;
            let is_voter = at < domains.len();
            let name = format!("{domain}-{}", at / domains.len());
            let data = has_disk.then(|| self.folder.path().join(&name));
            let settings = zinnia_daemon::Settings {
                cell: self.settings.cell_name,
                name: name.parse()?,
                domain: domain.parse()?,
                listen: addrs[2 * at],
                peer: addrs[2 * at + 1],
                seeds: voters.clone(),
                voters: if is_voter { voters.clone() } else { Vec::new() },
                data,
                secrets: Secrets {
                    cluster: Some(CLUSTER_KEY.to_owned()),
                    operator: Some(OPERATOR_KEY.to_owned()),
                    ..Secrets::default()
                },
                lease: self.settings.lease,
                replication: ReplicationSettings {
                    heartbeat_ms: self.settings.heartbeat_ms,
                    election_ms: self.settings.election_ms,
                    compact_entries: self.settings.compact_entries,
                    ..ReplicationSettings::default()
                },
                bounds: self.settings.bounds,
                log: zinnia_daemon::settings::LogSettings::default(),
                drop_filter: Some(self.dropped_links.drop_filter(&name)),
                disk_hook: Some(self.full_disks.disk_hook(&name)),
            };
            let daemon = None;
            self.vms.push(Vm { settings, daemon });
        }
        Ok(())
    }

    /// Starts the VM at a position; its data folder and addresses stay the same over restarts.
    ///
    /// # Errors
    ///
    /// Fails when the daemon cannot start.
    pub async fn start_vm(&mut self, at: usize) -> Result<()> {
        let vm = self.vms.get_mut(at).context("no such VM")?;
        vm.daemon = Some(Daemon::start(vm.settings.clone()).await?);
        Ok(())
    }

    /// Ends a VM at once, as a kill of the process would.
    pub async fn kill_vm(&mut self, at: usize) {
        let daemon = self.vms.get_mut(at).and_then(|vm| vm.daemon.take());
        if let Some(daemon) = daemon {
            daemon.kill().await;
        }
    }

    /// Drains a VM as `SIGTERM` does; returns whether all requests in flight were finished.
    pub async fn drain_vm(&mut self, at: usize) -> bool {
        let daemon = self.vms.get_mut(at).and_then(|vm| vm.daemon.take());
        match daemon {
            Some(daemon) => daemon.drain().await,
            None => false,
        }
    }

    /// Deletes the data folder of a VM that does not run, as an exchanged disk would.
    ///
    /// # Errors
    ///
    /// Fails when the VM runs or the folder cannot be deleted.
    pub fn wipe_vm(&self, at: usize) -> Result<()> {
        let vm = self.vms.get(at).context("no such VM")?;
        if vm.daemon.is_some() {
            bail!("VM {} runs", vm.settings.name);
        }
        if let Some(folder) = &vm.settings.data {
            std::fs::remove_dir_all(folder).context("delete the data folder")?;
        }
        Ok(())
    }

    /// Lets every write to the disk of a VM fail from now on, as a full disk does.
    pub fn fill_disk(&self, at: usize) {
        if let Some(vm) = self.vms.get(at) {
            self.full_disks.mark_full(vm.settings.name.as_str());
        }
    }

    /// Number of VMs, running or not.
    pub fn len(&self) -> usize {
        self.vms.len()
    }

    /// Whether the cell has no VMs.
    pub fn is_empty(&self) -> bool {
        self.vms.is_empty()
    }

    /// The daemon at a position, while it runs.
    pub fn daemon(&self, at: usize) -> Option<&Daemon> {
        self.vms.get(at)?.daemon.as_ref()
    }

    /// Settings of the VM at a position.
    pub fn vm_settings(&self, at: usize) -> Option<&zinnia_daemon::Settings> {
        self.vms.get(at).map(|vm| &vm.settings)
    }

    /// HTTP address of the VM at a position.
    pub fn http_addr(&self, at: usize) -> String {
        self.vms
            .get(at)
            .map(|vm| vm.settings.listen.to_string())
            .unwrap_or_default()
    }

    /// Position of the VM that leads the log, as the VM at `asked` sees it.
    pub fn leader(&self, asked: usize) -> Option<usize> {
        let daemon = self.daemon(asked)?;
        let leader = daemon.shared().replica()?.read(|n| n.leader())?;
        (0..self.vms.len()).find(|&at| self.daemon(at).is_some_and(|d| d.shared().id() == leader))
    }

    /// Cuts the VM at a position off from all others, in both directions.
    pub fn isolate_vm(&self, at: usize) {
        for other in (0..self.vms.len()).filter(|&o| o != at) {
            self.drop_link(at, other);
            self.drop_link(other, at);
        }
    }

    /// Drops what one VM sends to another.
    pub fn drop_link(&self, from: usize, to: usize) {
        if let (Some(from), Some(to)) = (self.vms.get(from), self.vms.get(to)) {
            let peer = to.settings.peer.to_string();
            self.dropped_links
                .drop_link(from.settings.name.as_str(), &peer);
        }
    }

    /// Lets all messages between VMs through again.
    pub fn restore_links(&self) {
        self.dropped_links.restore_all();
    }

    /// A client with the operator key.
    pub fn operator_client(&self, at: usize) -> Client {
        Client::new(self.http_addr(at), OPERATOR_KEY)
    }

    /// Applies a document on top of the one in force.
    ///
    /// # Errors
    ///
    /// Fails when the document is refused.
    pub async fn apply_document(&self, at: usize, document: &Value, request: &str) -> Result<u64> {
        let client = self.operator_client(at);
        let from = client.get("/v1/document").await?["version"].clone();
        let body = json!({"request": request, "from": from, "document": document});
        let answer = client.put("/v1/document", &body).await?;
        answer["version"].as_u64().context("answer has no version")
    }

    /// Grants a key to a team and returns its id and text.
    ///
    /// # Errors
    ///
    /// Fails when the grant is refused.
    pub async fn grant_key(&self, at: usize, team: TeamId) -> Result<(String, String)> {
        let request = format!("grant-{team}");
        let body = json!({"request": request, "team": team});
        let answer = self.operator_client(at).post("/v1/keys", &body).await?;
        let text = |field: &str| {
            let value = answer[field].as_str();
            value.map(str::to_owned).context("answer has no key")
        };
        Ok((text("id")?, text("key")?))
    }

    /// Starts a worker in a domain.
    ///
    /// # Errors
    ///
    /// Fails when the worker cannot start or a name is not valid.
    pub async fn add_worker(
        &mut self,
        name: &str,
        domain: &str,
        rack: &str,
        capacity: Resources,
    ) -> Result<()> {
        let behaviour = FaultInjection::default();
        self.add_faulty_worker(name, domain, rack, capacity, behaviour)
            .await
    }

    /// Starts a worker with fault switches; one of the same name that was ended starts again.
    ///
    /// # Errors
    ///
    /// Fails when the worker runs or cannot start, or a name is not valid.
    pub async fn add_faulty_worker(
        &mut self,
        name: &str,
        domain: &str,
        rack: &str,
        capacity: Resources,
        behaviour: FaultInjection,
    ) -> Result<()> {
        let mut settings = self.worker_settings(name, domain, rack, capacity)?;
        settings.faults = behaviour;
        if self.workers.get(name).is_some_and(|w| !w.is_stopped()) {
            bail!("worker {name} runs");
        }
        self.retired.extend(self.workers.remove(name));
        let handle = Worker::spawn(settings).await?;
        self.graceful.remove(&handle.worker());
        self.capacities.insert(handle.worker(), capacity);
        self.workers.insert(name.to_owned(), handle);
        Ok(())
    }

    /// Shuts a worker down gracefully; returns whether its tasks and calls ended within `limit`.
    ///
    /// The worker ends in either case, but only one that finished counts as shut down gracefully.
    pub async fn drain_worker(&mut self, name: &str, limit: Duration) -> bool {
        let Some(handle) = self.workers.get(name) else {
            return false;
        };
        let finished = handle.drain(limit).await;
        if finished {
            self.graceful.insert(handle.worker());
        }
        handle.stop();
        finished
    }

    /// Whether the last process of a worker was shut down gracefully.
    pub(crate) fn is_graceful(&self, worker: WorkerId) -> bool {
        self.graceful.contains(&worker)
    }

    /// Handles of earlier processes of workers that were started again.
    pub(crate) fn retired(&self) -> impl Iterator<Item = &Handle> {
        self.retired.iter()
    }

    fn worker_settings(
        &self,
        name: &str,
        domain: &str,
        rack: &str,
        capacity: Resources,
    ) -> Result<zinnia_worker::Settings> {
        let domain: DomainId = domain.parse()?;
        let (near, far): (Vec<&Vm>, Vec<&Vm>) =
            self.vms.iter().partition(|vm| vm.settings.domain == domain);
        let vms = near.into_iter().chain(far);
        let vms = vms.map(|vm| vm.settings.listen.to_string()).collect();
        let worker: WorkerId = name.parse()?;
        let rack: RackId = rack.parse()?;
        let mut settings = zinnia_worker::Settings::new(worker, domain, rack, capacity, vms);
        settings.agent.leases = self.settings.lease;
        settings.sample_interval_ms = 200;
        Ok(settings)
    }

    /// Handle of a worker.
    pub fn worker(&self, name: &str) -> Option<&Handle> {
        self.workers.get(name)
    }

    /// Handles of all workers, stopped ones included.
    pub fn workers(&self) -> impl Iterator<Item = &Handle> {
        self.workers.values()
    }

    /// Ends a worker at once.
    pub fn kill_worker(&mut self, name: &str) {
        if let Some(handle) = self.workers.get(name) {
            handle.stop();
        }
    }

    /// Waits until a condition holds.
    ///
    /// # Errors
    ///
    /// Fails when it does not hold within `limit`; a look that fails counts as not holding.
    pub async fn wait_until<F, A>(&self, limit: Duration, what: &str, mut look: F) -> Result<()>
    where
        F: FnMut(&Self) -> A,
        A: Future<Output = Result<bool>>,
    {
        let deadline = tokio::time::Instant::now() + limit;
        let mut last = "the condition does not hold".to_owned();
        while tokio::time::Instant::now() < deadline {
            match look(self).await {
                Ok(true) => return Ok(()),
                Ok(false) => {}
                Err(error) => last = format!("{error:#}"),
            }
            tokio::time::sleep(POLL).await;
        }
        bail!("{what}: not within {} ms: {last}", limit.as_millis())
    }

    /// Waits until a job has reached a state; returns its row.
    ///
    /// # Errors
    ///
    /// Fails when it does not within `limit`.
    pub async fn wait_for_job(
        &self,
        client: &Client,
        job: &str,
        limit: Duration,
        check: impl Fn(&Value) -> bool,
    ) -> Result<Value> {
        let deadline = tokio::time::Instant::now() + limit;
        let path = format!("/v1/jobs/{job}");
        let mut last = Value::Null;
        while tokio::time::Instant::now() < deadline {
            if let Ok(row) = client.get(&path).await {
                if check(&row) {
                    return Ok(row);
                }
                last = row;
            }
            tokio::time::sleep(POLL).await;
        }
        bail!("job {job}: not within {} ms: {last}", limit.as_millis())
    }

    /// Stops everything.
    pub async fn stop(mut self) {
        for handle in self.workers.values() {
            handle.stop();
        }
        for at in 0..self.vms.len() {
            self.kill_vm(at).await;
        }
    }
}
