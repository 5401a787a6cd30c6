//! Start, control and fault injection of the daemons and workers of a local cell.

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
/// Interval between evaluations of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A simulated VM.
///
/// It keeps its settings while its daemon is stopped.
struct Vm {
    settings: zinnia_daemon::Settings,
    /// The daemon, while it runs.
    daemon: Option<Daemon>,
}

/// A cell whose daemons and workers run in this process.
///
/// A VM is identified by its index. VM `i` belongs to failure domain `i % domains.len()`. Methods
/// that return nothing ignore the index of a VM or the name of a worker that does not exist.
pub struct Cell {
    settings: Settings,
    data_folder: TempDir,
    dropped_links: DroppedLinks,
    full_disks: FullDisks,
    vms: Vec<Vm>,
    /// The current process of each worker, by name.
    workers: BTreeMap<String, Handle>,
    /// Stopped processes of workers that were restarted. They keep their event records.
    replaced_workers: Vec<Handle>,
    /// Workers whose current process was shut down gracefully.
    graceful_shutdowns: BTreeSet<WorkerId>,
    /// Capacity of the current process of each worker.
    pub(crate) capacities: BTreeMap<WorkerId, Resources>,
}

impl Cell {
    /// Starts the daemons and waits until every domain has an acting owner and every VM is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a daemon fails to start, if a domain has no acting owner after 15 s, or
    /// if a VM is not ready after another 15 s.
    pub async fn start(settings: Settings) -> Result<Self> {
        let data_folder = TempDir::new().context("create a temporary folder for the cell")?;
        let mut cell = Self {
            dropped_links: DroppedLinks::default(),
            full_disks: FullDisks::default(),
            vms: Vec::new(),
            workers: BTreeMap::new(),
            replaced_workers: Vec::new(),
            graceful_shutdowns: BTreeSet::new(),
            capacities: BTreeMap::new(),
            data_folder,
            settings,
        };
        cell.configure_vms()?;
        for index in 0..cell.vms.len() {
            cell.start_vm(index).await?;
        }
        let domains = cell.settings.domains.len();
        cell.wait_until(
            Duration::from_secs(15),
            "one acting owner per domain",
            |cell| {
                let client = cell.operator_client(0);
                async move {
                    let response = client.get("/v1/vms").await?;
                    let vms = response["vms"].as_array().cloned().unwrap_or_default();
                    let acting = vms.iter().filter(|vm| vm["acting"] == true).count();
                    Ok(acting == domains)
                }
            },
        )
        .await?;
        for index in 0..cell.vms.len() {
            cell.wait_until(Duration::from_secs(15), "readiness of a VM", |cell| {
                let client = cell.operator_client(index);
                async move { client.get("/healthz").await.map(|_| true) }
            })
            .await?;
        }
        Ok(cell)
    }

    /// Creates the settings of all VMs, on unused addresses.
    fn configure_vms(&mut self) -> Result<()> {
        let domains = self.settings.domains.clone();
        let vm_count = domains.len() * self.settings.domain_vms;
        let addrs = unused_loopback_addrs(2 * vm_count)?;
        let voters: Vec<SocketAddr> = (0..domains.len()).map(|i| addrs[2 * i + 1]).collect();
        for index in 0..vm_count {
            let domain = &domains[index % domains.len()];
            let has_disk = index / domains.len() < self.settings.domain_disks;
            let is_voter = index < domains.len();
            let name = format!("{domain}-{}", index / domains.len());
            let data = has_disk.then(|| self.data_folder.path().join(&name));
            let settings = zinnia_daemon::Settings {
                cell: self.settings.cell_name,
                name: name.parse()?,
                domain: domain.parse()?,
                listen: addrs[2 * index],
                peer: addrs[2 * index + 1],
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

    /// Starts the daemon of a VM, on the same data folder and addresses as before.
    ///
    /// # Errors
    ///
    /// Returns an error if the VM does not exist or its daemon fails to start.
    pub async fn start_vm(&mut self, index: usize) -> Result<()> {
        let vm = self.vms.get_mut(index).context("no such VM")?;
        vm.daemon = Some(Daemon::start(vm.settings.clone()).await?);
        Ok(())
    }

    /// Stops the daemon of a VM at once, like a kill of its process.
    pub async fn kill_vm(&mut self, index: usize) {
        let daemon = self.vms.get_mut(index).and_then(|vm| vm.daemon.take());
        if let Some(daemon) = daemon {
            daemon.kill().await;
        }
    }

    /// Drains and stops the daemon of a VM, as `SIGTERM` does.
    ///
    /// Returns whether every request in flight was finished; false if the daemon does not run.
    pub async fn drain_vm(&mut self, index: usize) -> bool {
        let daemon = self.vms.get_mut(index).and_then(|vm| vm.daemon.take());
        match daemon {
            Some(daemon) => daemon.drain().await,
            None => false,
        }
    }

    /// Deletes the data folder of a stopped VM, as if its disk had been replaced.
    ///
    /// # Errors
    ///
    /// Returns an error if the VM does not exist, if its daemon runs, or if the folder cannot be
    /// deleted.
    pub fn wipe_vm(&self, index: usize) -> Result<()> {
        let vm = self.vms.get(index).context("no such VM")?;
        if vm.daemon.is_some() {
            bail!("the daemon of VM {} is still running", vm.settings.name);
        }
        if let Some(folder) = &vm.settings.data {
            std::fs::remove_dir_all(folder).context("delete the data folder")?;
        }
        Ok(())
    }

    /// Makes every further write to the disk of a VM fail as on a full disk.
    pub fn fill_disk(&self, index: usize) {
        if let Some(vm) = self.vms.get(index) {
            self.full_disks.mark_full(vm.settings.name.as_str());
        }
    }

    /// Makes room on the disk of a VM, so that writes succeed again.
    pub fn clear_disk(&self, index: usize) {
        if let Some(vm) = self.vms.get(index) {
            self.full_disks.clear(vm.settings.name.as_str());
        }
    }

    /// Number of VMs, whether their daemons run or not.
    pub fn len(&self) -> usize {
        self.vms.len()
    }

    /// Whether the cell has no VMs.
    pub fn is_empty(&self) -> bool {
        self.vms.is_empty()
    }

    /// Daemon of a VM, while it runs.
    pub fn daemon(&self, index: usize) -> Option<&Daemon> {
        self.vms.get(index)?.daemon.as_ref()
    }

    /// Daemon settings of a VM.
    pub fn vm_settings(&self, index: usize) -> Option<&zinnia_daemon::Settings> {
        self.vms.get(index).map(|vm| &vm.settings)
    }

    /// HTTP address of a VM, or an empty string if the VM does not exist.
    pub fn http_addr(&self, index: usize) -> String {
        self.vms
            .get(index)
            .map(|vm| vm.settings.listen.to_string())
            .unwrap_or_default()
    }

    /// Index of the VM that leads the replicated log, according to the VM `observer`.
    pub fn leader(&self, observer: usize) -> Option<usize> {
        let daemon = self.daemon(observer)?;
        let leader = daemon.shared().replica()?.read(|node| node.leader())?;
        (0..self.vms.len()).find(|&index| {
            self.daemon(index)
                .is_some_and(|daemon| daemon.shared().id() == leader)
        })
    }

    /// Drops all messages between a VM and the other VMs, in both directions.
    pub fn isolate_vm(&self, index: usize) {
        for other in (0..self.vms.len()).filter(|&other| other != index) {
            self.drop_link(index, other);
            self.drop_link(other, index);
        }
    }

    /// Drops all messages from one VM to another.
    pub fn drop_link(&self, from: usize, to: usize) {
        if let (Some(from), Some(to)) = (self.vms.get(from), self.vms.get(to)) {
            let peer = to.settings.peer.to_string();
            self.dropped_links
                .drop_link(from.settings.name.as_str(), &peer);
        }
    }

    /// Stops dropping messages between VMs.
    pub fn restore_links(&self) {
        self.dropped_links.restore_all();
    }

    /// Creates a client of a VM that uses the operator key.
    pub fn operator_client(&self, index: usize) -> Client {
        Client::new(self.http_addr(index), OPERATOR_KEY)
    }

    /// Replaces the document in force through a VM and returns the new version.
    ///
    /// # Errors
    ///
    /// Returns an error if the VM refuses the document.
    pub async fn apply_document(
        &self,
        index: usize,
        document: &Value,
        request_id: &str,
    ) -> Result<u64> {
        let client = self.operator_client(index);
        let version = client.get("/v1/document").await?["version"].clone();
        let body = json!({"request": request_id, "from": version, "document": document});
        let response = client.put("/v1/document", &body).await?;
        response["version"]
            .as_u64()
            .context("the response has no version")
    }

    /// Grants an API key to a team through a VM and returns the id and the text of the key.
    ///
    /// # Errors
    ///
    /// Returns an error if the VM refuses the grant.
    pub async fn grant_key(&self, index: usize, team: TeamId) -> Result<(String, String)> {
        let request_id = format!("grant-{team}");
        let body = json!({"request": request_id, "team": team});
        let response = self.operator_client(index).post("/v1/keys", &body).await?;
        let text = |field: &str| {
            let value = response[field].as_str();
            value
                .map(str::to_owned)
                .context("the response lacks the id or the text of the key")
        };
        Ok((text("id")?, text("key")?))
    }

    /// Starts a worker, or restarts a stopped worker of the same name.
    ///
    /// # Errors
    ///
    /// Returns an error if the worker still runs or fails to start, or if a name is invalid.
    pub async fn add_worker(
        &mut self,
        name: &str,
        domain: &str,
        rack: &str,
        capacity: Resources,
    ) -> Result<()> {
        let faults = FaultInjection::default();
        self.add_faulty_worker(name, domain, rack, capacity, faults)
            .await
    }

    /// Like [`add_worker`](Self::add_worker), but injects faults into the tasks and calls of the
    /// worker.
    ///
    /// # Errors
    ///
    /// Returns an error if the worker still runs or fails to start, or if a name is invalid.
    pub async fn add_faulty_worker(
        &mut self,
        name: &str,
        domain: &str,
        rack: &str,
        capacity: Resources,
        faults: FaultInjection,
    ) -> Result<()> {
        let mut settings = self.worker_settings(name, domain, rack, capacity)?;
        settings.faults = faults;
        if self
            .workers
            .get(name)
            .is_some_and(|handle| !handle.is_stopped())
        {
            bail!("worker {name} is still running");
        }
        self.replaced_workers.extend(self.workers.remove(name));
        let handle = Worker::spawn(settings).await?;
        self.graceful_shutdowns.remove(&handle.worker());
        self.capacities.insert(handle.worker(), capacity);
        self.workers.insert(name.to_owned(), handle);
        Ok(())
    }

    /// Drains a worker, then stops it. Returns whether it was drained within `timeout`.
    ///
    /// If it was not, the invariant checker sees the stop as a kill, not as a graceful shutdown.
    pub async fn drain_worker(&mut self, name: &str, timeout: Duration) -> bool {
        let Some(handle) = self.workers.get(name) else {
            return false;
        };
        let drained = handle.drain(timeout).await;
        if drained {
            self.graceful_shutdowns.insert(handle.worker());
        }
        handle.stop();
        drained
    }

    /// Whether the current process of a worker was shut down gracefully.
    pub(crate) fn was_shut_down_gracefully(&self, worker: WorkerId) -> bool {
        self.graceful_shutdowns.contains(&worker)
    }

    /// Handles of the stopped processes of workers that were restarted.
    pub(crate) fn replaced_workers(&self) -> impl Iterator<Item = &Handle> {
        self.replaced_workers.iter()
    }

    /// Settings of a worker that prefers the VMs of its own domain.
    fn worker_settings(
        &self,
        name: &str,
        domain: &str,
        rack: &str,
        capacity: Resources,
    ) -> Result<zinnia_worker::Settings> {
        let domain: DomainId = domain.parse()?;
        let (local_vms, remote_vms): (Vec<&Vm>, Vec<&Vm>) =
            self.vms.iter().partition(|vm| vm.settings.domain == domain);
        let vms = local_vms.into_iter().chain(remote_vms);
        let vms = vms.map(|vm| vm.settings.listen.to_string()).collect();
        let worker: WorkerId = name.parse()?;
        let rack: RackId = rack.parse()?;
        let mut settings = zinnia_worker::Settings::new(worker, domain, rack, capacity, vms);
        settings.agent.leases = self.settings.lease;
        settings.sample_interval_ms = 200;
        Ok(settings)
    }

    /// Handle of the current process of a worker.
    pub fn worker(&self, name: &str) -> Option<&Handle> {
        self.workers.get(name)
    }

    /// Handles of the current processes of all workers, stopped ones included.
    pub fn workers(&self) -> impl Iterator<Item = &Handle> {
        self.workers.values()
    }

    /// Stops a worker at once, like a kill of its process.
    pub fn kill_worker(&mut self, name: &str) {
        if let Some(handle) = self.workers.get(name) {
            handle.stop();
        }
    }

    /// Polls a condition until it returns true. An error counts as false.
    ///
    /// # Errors
    ///
    /// Returns an error if the condition does not hold within `timeout`. The error
    /// starts with `description` and ends with the last error of the condition.
    pub async fn wait_until<F, A>(
        &self,
        timeout: Duration,
        description: &str,
        mut condition: F,
    ) -> Result<()>
    where
        F: FnMut(&Self) -> A,
        A: Future<Output = Result<bool>>,
    {
        let deadline = tokio::time::Instant::now() + timeout;
        let mut last_error = "the condition is false".to_owned();
        while tokio::time::Instant::now() < deadline {
            match condition(self).await {
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

    /// Polls a job until its state satisfies a condition, and returns that state as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the condition does not hold within `timeout`.
    pub async fn wait_for_job(
        &self,
        client: &Client,
        job: &str,
        timeout: Duration,
        condition: impl Fn(&Value) -> bool,
    ) -> Result<Value> {
        let deadline = tokio::time::Instant::now() + timeout;
        let path = format!("/v1/jobs/{job}");
        let mut last_state = Value::Null;
        while tokio::time::Instant::now() < deadline {
            if let Ok(state) = client.get(&path).await {
                if condition(&state) {
                    return Ok(state);
                }
                last_state = state;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        bail!(
            "job {job}: timed out after {} ms in the state {last_state}",
            timeout.as_millis()
        )
    }

    /// Stops all workers and daemons at once.
    pub async fn stop(mut self) {
        for handle in self.workers.values() {
            handle.stop();
        }
        for index in 0..self.vms.len() {
            self.kill_vm(index).await;
        }
    }
}
