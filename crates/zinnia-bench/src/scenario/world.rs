//! The cell of a running scenario and what it shares with callers.

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
use zinnia_check::Fact;
use zinnia_check::Promise;
use zinnia_local::Cell;
use zinnia_local::Client;
use zinnia_local::Settings;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_types::VmId;

use super::calls::Outcome;
use super::monitor::Monitor;
use super::record::Record;
use super::step::Call;
use super::step::Shape;

/// Longest wait for a cell to form.
const FORM: Duration = Duration::from_secs(20);

/// A granted key.
#[derive(Clone, Debug)]
pub(crate) struct Key {
    pub(crate) id: String,
    pub(crate) text: String,
    pub(crate) team: TeamId,
}

/// A scenario's cell.
pub(crate) struct World {
    pub(crate) cell: Cell,
    pub(crate) record: Record,
    pub(crate) monitor: Monitor,
    pub(crate) keys: BTreeMap<String, Key>,
    pub(crate) limits: BTreeMap<TeamId, Resources>,
    pub(crate) calls: JoinSet<(Call, Outcome)>,
    pub(crate) places: BTreeMap<String, (String, usize, Resources)>,
    pub(crate) cuts: BTreeSet<(usize, usize)>,
    pub(crate) requests: u64,
    pub(crate) rng: SmallRng,
    pub(crate) tasks: Vec<JoinHandle<()>>,
    check: zinnia_check::Settings,
    domains: usize,
}

impl World {
    /// Starts the cell.
    pub(crate) async fn start(shape: Option<&Shape>, seed: u64) -> Result<Self> {
        let mut settings = Settings::default();
        if let Some(shape) = shape {
            settings.domains.clone_from(&shape.domains);
            settings.vms = shape.vms;
            let lease = &mut settings.lease;
            lease.isolation_ms = shape.isolation_ms.unwrap_or(lease.isolation_ms);
            lease.replace_ms = shape.replace_ms.unwrap_or(lease.replace_ms);
            settings.compact_entries = shape.compact.unwrap_or(settings.compact_entries);
        }
        let check = zinnia_check::Settings {
            isolation_ms: settings.lease.isolation_ms,
            ..zinnia_check::Settings::default()
        };
        let domains = settings.domains.len();
        let cell = Cell::start(settings).await?;
        let record = Record::default();
        let monitor = Monitor::default();
        let world = Self {
            keys: BTreeMap::new(),
            limits: BTreeMap::new(),
            calls: JoinSet::new(),
            places: BTreeMap::new(),
            cuts: BTreeSet::new(),
            requests: 0,
            rng: SmallRng::seed_from_u64(seed),
            tasks: vec![tokio::spawn(monitor.clone().run(record.clone()))],
            cell,
            record,
            monitor,
            check,
            domains,
        };
        for at in 0..world.cell.len() {
            world.watch(at);
        }
        world.link();
        world.settle().await?;
        Ok(world)
    }

    /// Waits until every VM knows that it has contact with the quorum and thus accepts keys.
    async fn settle(&self) -> Result<()> {
        for at in 0..self.cell.len() {
            let client = self.cell.operator(at);
            let look = |_: &Cell| {
                let client = client.clone();
                async move { client.get("/v1/document").await.map(|_| true) }
            };
            self.cell.until(FORM, "contact of every VM", look).await?;
        }
        Ok(())
    }

    /// Watches a VM that has just started.
    pub(crate) fn watch(&self, at: usize) {
        if let Some(daemon) = self.cell.daemon(at) {
            self.monitor.started(daemon.shared().clone(), &self.record);
        }
    }

    /// Id of a running VM.
    pub(crate) fn id(&self, at: usize) -> Option<VmId> {
        Some(self.cell.daemon(at)?.shared().id())
    }

    fn is_linked(&self, a: usize, b: usize) -> bool {
        let cut = self.cuts.contains(&(a, b)) || self.cuts.contains(&(b, a));
        a == b || (!cut && self.cell.daemon(a).is_some() && self.cell.daemon(b).is_some())
    }

    /// Positions of the VMs that have links in both directions to a majority of the VMs with disks
    /// and to every other such VM.
    pub(crate) fn linked(&self) -> Vec<usize> {
        let running = (0..self.cell.len()).filter(|&at| self.cell.daemon(at).is_some());
        let voters = |at: usize| (0..self.domains).filter(|&v| self.is_linked(at, v)).count();
        let major: Vec<usize> = running
            .filter(|&at| 2 * voters(at) > self.domains)
            .collect();
        let all = major.iter().copied();
        all.filter(|&a| major.iter().all(|&b| self.is_linked(a, b)))
            .collect()
    }

    /// Records which VMs have contact after a change of links or VMs.
    pub(crate) fn link(&self) {
        let linked = self.linked().into_iter().filter_map(|at| self.id(at));
        self.monitor.link(&linked.collect(), &self.record);
    }

    /// Positions of the VMs that a text names: a VM, a domain, a role, or several with commas.
    pub(crate) fn vms(&mut self, text: &str) -> Result<Vec<usize>> {
        let mut all = Vec::new();
        for one in text.split(',') {
            let found: Vec<usize> = (0..self.cell.len())
                .filter(|&at| {
                    let settings = self.cell.vm_settings(at);
                    settings.is_some_and(|s| s.name.as_str() == one || s.domain.as_str() == one)
                })
                .collect();
            if found.is_empty() {
                all.push(self.role(one)?);
            }
            all.extend(found);
        }
        Ok(all)
    }

    fn role(&mut self, text: &str) -> Result<usize> {
        let linked = self.linked();
        let leader = linked.iter().find_map(|&at| self.cell.leader(at));
        match text {
            "leader" => leader.context("no VM leads the log"),
            "follower" => {
                let others = linked
                    .iter()
                    .filter(|&&at| at < self.domains && Some(at) != leader);
                let others: Vec<usize> = others.copied().collect();
                self.choose(&others).context("no VM follows the leader")
            }
            _ => match text.strip_prefix("acting-") {
                Some(domain) => self.acting(domain, &linked),
                None => bail!("no VM, domain or role is called {text}"),
            },
        }
    }

    fn acting(&self, domain: &str, linked: &[usize]) -> Result<usize> {
        let domain = domain.parse()?;
        let owner = linked.iter().find_map(|&at| {
            let shared = self.cell.daemon(at)?.shared();
            shared.with_engine(|b, _| b.cell.owner(domain).map(|o| o.vm))
        });
        let position = (0..self.cell.len()).find(|&at| owner.is_some() && self.id(at) == owner);
        position.with_context(|| format!("no running VM acts for {domain}"))
    }

    fn choose(&mut self, list: &[usize]) -> Option<usize> {
        (!list.is_empty()).then(|| list[self.rng.random_range(0..list.len())])
    }

    /// Position of the VM that a step goes through: the named one or any with contact.
    pub(crate) fn via(&mut self, vm: Option<&str>) -> Result<usize> {
        if let Some(vm) = vm {
            let named = self.vms(vm)?.first().copied();
            let running = named.filter(|&at| self.cell.daemon(at).is_some());
            return running.with_context(|| format!("VM {vm} does not run"));
        }
        let linked = self.linked();
        self.choose(&linked)
            .context("no VM has contact with a quorum")
    }

    /// The next request id of an operator.
    pub(crate) fn request(&mut self, what: &str) -> String {
        self.requests += 1;
        format!("{what}-{}", self.requests)
    }

    /// A granted key.
    pub(crate) fn key(&self, name: &str) -> Result<&Key> {
        let key = self.keys.get(name);
        key.with_context(|| format!("no key called {name} was granted"))
    }

    /// A client with a granted key.
    pub(crate) fn client(&self, at: usize, key: &str) -> Result<Client> {
        Ok(self.cell.operator(at).with_key(&self.key(key)?.text))
    }

    /// Names of the workers that a text names, which may end in `*`.
    pub(crate) fn workers(&self, text: &str) -> Result<Vec<String>> {
        let prefix = text.strip_suffix('*');
        let named = |name: &&String| match prefix {
            Some(prefix) => name.starts_with(prefix),
            None => *name == text,
        };
        let found: Vec<String> = self.places.keys().filter(named).cloned().collect();
        if found.is_empty() {
            bail!("no worker is called {text}");
        }
        Ok(found)
    }

    /// Checks the record so far.
    ///
    /// # Errors
    ///
    /// Fails with the first violation and its trace.
    pub(crate) fn check(&self, end: bool) -> Result<BTreeMap<Promise, u64>> {
        // Read before the record, so that nothing in it is later.
        let now = zinnia_worker::now();
        let mut checker = Checker::new(self.check);
        for event in self.record.whole(&self.cell) {
            checker.observe(event)?;
        }
        if end {
            checker.finish(now)?;
        }
        Ok(checker.counts().clone())
    }

    /// Stops everything.
    pub(crate) async fn stop(mut self) {
        self.calls.abort_all();
        for task in &self.tasks {
            task.abort();
        }
        for at in 0..self.cell.len() {
            if let Some(vm) = self.id(at) {
                self.record.add(Fact::Killed { vm });
            }
        }
        self.cell.stop().await;
    }
}
