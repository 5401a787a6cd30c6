//! State of a running scenario: the cell, the event log and the resources that steps have created.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use zinnia_check::Checker;
use zinnia_check::EventKind;
use zinnia_check::Invariant;
use zinnia_local::Cell;
use zinnia_local::Client;
use zinnia_local::Settings;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_types::VmId;

use super::event_log::EventLog;
use super::monitor::VmMonitor;
use super::requests::RequestOutcome;
use super::step::Call;
use super::step::CellConfig;

/// Timeout for every VM to have contact with a quorum after the start of the cell.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(20);

/// A granted key.
#[derive(Clone, Debug)]
pub(crate) struct GrantedKey {
    pub(crate) id: String,
    /// The key itself, as sent in the header `authorization`.
    pub(crate) secret: String,
    pub(crate) team: TeamId,
}

/// State of a running scenario.
pub(crate) struct ScenarioContext {
    pub(crate) cell: Cell,
    pub(crate) event_log: EventLog,
    pub(crate) monitor: VmMonitor,
    /// Granted keys by the name that the scenario gives them.
    pub(crate) granted_keys: BTreeMap<String, GrantedKey>,
    /// Limits of the teams in the document in force.
    pub(crate) limits: BTreeMap<TeamId, Resources>,
    pub(crate) background_calls: JoinSet<(Call, RequestOutcome)>,
    /// Failure domain, rack number and capacity of each worker, for a restart.
    pub(crate) worker_specs: BTreeMap<String, (String, usize, Resources)>,
    /// Links that drop messages, as pairs of VM indices from sender to receiver.
    pub(crate) cut_links: BTreeSet<(usize, usize)>,
    /// Number of request ids of operators so far.
    pub(crate) request_count: u64,
    pub(crate) rng: SmallRng,
    pub(crate) background_tasks: Vec<JoinHandle<()>>,
    check_settings: zinnia_check::Settings,
    domain_count: usize,
}

impl ScenarioContext {
    /// Starts the cell and waits until every VM has contact with a quorum.
    pub(crate) async fn start(config: Option<&CellConfig>, seed: u64) -> Result<Self> {
        let mut settings = Settings::default();
        if let Some(config) = config {
            settings.domains.clone_from(&config.domains);
            settings.domain_vms = config.vms;
            let lease = &mut settings.lease;
            lease.isolation_ms = config.isolation_ms.unwrap_or(lease.isolation_ms);
            lease.replace_ms = config.replace_ms.unwrap_or(lease.replace_ms);
            settings.compact_entries = config.compact_entries.unwrap_or(settings.compact_entries);
        }
        let check_settings = zinnia_check::Settings {
            isolation_ms: settings.lease.isolation_ms,
            ..zinnia_check::Settings::default()
        };
        let domain_count = settings.domains.len();
        let cell = Cell::start(settings).await?;
        let event_log = EventLog::default();
        let monitor = VmMonitor::default();
        let context = Self {
            granted_keys: BTreeMap::new(),
            limits: BTreeMap::new(),
            background_calls: JoinSet::new(),
            worker_specs: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            request_count: 0,
            rng: SmallRng::seed_from_u64(seed),
            background_tasks: vec![tokio::spawn(monitor.clone().run(event_log.clone()))],
            cell,
            event_log,
            monitor,
            check_settings,
            domain_count,
        };
        for vm_index in 0..context.cell.len() {
            context.watch_vm(vm_index);
        }
        context.update_connectivity();
        context.wait_for_contact().await?;
        Ok(context)
    }

    /// Waits until every VM knows that it has contact with a quorum; only then does it accept keys.
    async fn wait_for_contact(&self) -> Result<()> {
        for vm_index in 0..self.cell.len() {
            let client = self.cell.operator_client(vm_index);
            let has_contact = |_: &Cell| {
                let client = client.clone();
                async move { client.get("/v1/document").await.map(|_| true) }
            };
            self.cell
                .wait_until(
                    CONTACT_TIMEOUT,
                    "contact of every VM with a quorum",
                    has_contact,
                )
                .await?;
        }
        Ok(())
    }

    /// Starts to watch a VM that has just started.
    pub(crate) fn watch_vm(&self, vm_index: usize) {
        if let Some(daemon) = self.cell.daemon(vm_index) {
            self.monitor.watch(daemon.shared().clone(), &self.event_log);
        }
    }

    /// Id of a VM, if it runs.
    pub(crate) fn vm_id(&self, vm_index: usize) -> Option<VmId> {
        Some(self.cell.daemon(vm_index)?.shared().id())
    }

    /// Whether both VMs run and can exchange messages in both directions.
    fn are_connected(&self, a: usize, b: usize) -> bool {
        let cut = self.cut_links.contains(&(a, b)) || self.cut_links.contains(&(b, a));
        a == b || (!cut && self.cell.daemon(a).is_some() && self.cell.daemon(b).is_some())
    }

    /// Indices of the VMs that are connected in both directions to a majority of the VMs with disks
    /// and to every other such VM.
    pub(crate) fn connected_vms(&self) -> Vec<usize> {
        let running = (0..self.cell.len()).filter(|&vm_index| self.cell.daemon(vm_index).is_some());
        let voters = |vm_index: usize| {
            (0..self.domain_count)
                .filter(|&v| self.are_connected(vm_index, v))
                .count()
        };
        let majority: Vec<usize> = running
            .filter(|&vm_index| 2 * voters(vm_index) > self.domain_count)
            .collect();
        let candidates = majority.iter().copied();
        candidates
            .filter(|&a| majority.iter().all(|&b| self.are_connected(a, b)))
            .collect()
    }

    /// Records which VMs can reach a quorum after a change of links or VMs.
    pub(crate) fn update_connectivity(&self) {
        let connected_vms = self
            .connected_vms()
            .into_iter()
            .filter_map(|vm_index| self.vm_id(vm_index));
        self.monitor
            .update_connectivity(&connected_vms.collect(), &self.event_log);
    }

    /// Indices of the VMs that `text` names: VMs, failure domains or roles, separated by commas.
    pub(crate) fn resolve_vms(&mut self, text: &str) -> Result<Vec<usize>> {
        let mut indices = Vec::new();
        for name in text.split(',') {
            let found: Vec<usize> = (0..self.cell.len())
                .filter(|&vm_index| {
                    let settings = self.cell.vm_settings(vm_index);
                    settings.is_some_and(|s| s.name.as_str() == name || s.domain.as_str() == name)
                })
                .collect();
            if found.is_empty() {
                indices.push(self.vm_with_role(name)?);
            }
            indices.extend(found);
        }
        Ok(indices)
    }

    fn vm_with_role(&mut self, role: &str) -> Result<usize> {
        let connected_vms = self.connected_vms();
        let leader = connected_vms
            .iter()
            .find_map(|&vm_index| self.cell.leader(vm_index));
        match role {
            "leader" => leader.context("no reachable VM is the leader"),
            "follower" => {
                let others = connected_vms
                    .iter()
                    .filter(|&&vm_index| vm_index < self.domain_count && Some(vm_index) != leader);
                let others: Vec<usize> = others.copied().collect();
                self.choose_random(&others)
                    .context("no reachable VM is a follower")
            }
            _ => match role.strip_prefix("acting-") {
                Some(domain) => self.acting_vm(domain, &connected_vms),
                None => bail!("no VM, domain or role is called {role}"),
            },
        }
    }

    /// Index of the VM that owns the workers of a failure domain.
    fn acting_vm(&self, domain: &str, connected_vms: &[usize]) -> Result<usize> {
        let domain = domain.parse()?;
        let owner = connected_vms.iter().find_map(|&vm_index| {
            let shared = self.cell.daemon(vm_index)?.shared();
            shared.with_engine(|engine, _| engine.cell.owner(domain).map(|o| o.vm))
        });
        let index =
            (0..self.cell.len()).find(|&vm_index| owner.is_some() && self.vm_id(vm_index) == owner);
        index.with_context(|| format!("no running VM is the acting owner of {domain}"))
    }

    /// Returns a random element; `None` if there is none.
    fn choose_random(&mut self, list: &[usize]) -> Option<usize> {
        (!list.is_empty()).then(|| list[self.rng.random_range(0..list.len())])
    }

    /// Index of the VM that receives the requests of a step: the named VM, or a random one that can
    /// reach a quorum.
    pub(crate) fn request_vm(&mut self, vm: Option<&str>) -> Result<usize> {
        if let Some(vm) = vm {
            let named = self.resolve_vms(vm)?.first().copied();
            let running = named.filter(|&vm_index| self.cell.daemon(vm_index).is_some());
            return running.with_context(|| format!("VM {vm} is not running"));
        }
        let connected_vms = self.connected_vms();
        self.choose_random(&connected_vms)
            .context("no VM can reach a quorum")
    }

    /// Returns a new request id of an operator.
    pub(crate) fn next_request_id(&mut self, prefix: &str) -> String {
        self.request_count += 1;
        format!("{prefix}-{}", self.request_count)
    }

    /// Returns the key that was granted under `name`.
    pub(crate) fn key(&self, name: &str) -> Result<&GrantedKey> {
        let key = self.granted_keys.get(name);
        key.with_context(|| format!("no key called {name} was granted"))
    }

    /// Returns a client of a VM with the key that was granted under `key`.
    pub(crate) fn client(&self, vm_index: usize, key: &str) -> Result<Client> {
        Ok(self
            .cell
            .operator_client(vm_index)
            .with_key(&self.key(key)?.secret))
    }

    /// Names of the workers that match `text`, a name or a prefix that ends in `*`.
    pub(crate) fn resolve_workers(&self, text: &str) -> Result<Vec<String>> {
        let prefix = text.strip_suffix('*');
        let matches = |name: &&String| match prefix {
            Some(prefix) => name.starts_with(prefix),
            None => *name == text,
        };
        let found: Vec<String> = self.worker_specs.keys().filter(matches).cloned().collect();
        if found.is_empty() {
            bail!("no worker is called {text}");
        }
        Ok(found)
    }

    /// Checks the event log so far against the invariants; `finished` adds the checks of a finished
    /// scenario. Returns how often each invariant was checked.
    ///
    /// # Errors
    ///
    /// Fails with the first violation and the events that led to it.
    pub(crate) fn check_invariants(&self, finished: bool) -> Result<BTreeMap<Invariant, u64>> {
        // Read before the event log, so that no event is later.
        let now = zinnia_worker::now();
        let mut checker = Checker::new(self.check_settings);
        for event in self.event_log.events(&self.cell) {
            checker.observe(event)?;
        }
        if finished {
            checker.finish(now)?;
        }
        Ok(checker.counts().clone())
    }

    /// Stops the background tasks and the cell.
    pub(crate) async fn stop(mut self) {
        self.background_calls.abort_all();
        for task in &self.background_tasks {
            task.abort();
        }
        for vm_index in 0..self.cell.len() {
            if let Some(vm) = self.vm_id(vm_index) {
                self.event_log.add(EventKind::Killed { vm });
            }
        }
        self.cell.stop().await;
    }
}
