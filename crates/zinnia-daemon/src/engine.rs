//! The state of a daemon and its decisions, behind one lock. This module does no I/O.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use zinnia_cell::Cell;
use zinnia_cell::Liveness;
use zinnia_cell::Vm;
use zinnia_types::DomainId;
use zinnia_types::JobId;
use zinnia_types::LeaseSettings;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_types::Time;
use zinnia_types::VmId;
use zinnia_types::WorkerId;

use crate::authority::Authority;
use crate::authority::AuthorityMode;
use crate::domain_scheduler::DomainScheduler;
use crate::domain_scheduler::WorkerCommand;
use crate::endpoints::Endpoints;
use crate::journal::IsolatedJob;
use crate::owned_worker::OwnedWorker;

/// Free capacity of a failure domain, as known to its acting owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreeCapacity {
    /// The domain.
    pub domain: DomainId,
    /// For each resource, the largest amount that is free on a single worker.
    pub largest: Resources,
    /// The sum over all workers.
    pub total: Resources,
}

impl FreeCapacity {
    /// Whether `tasks` tasks of this need can probably be placed at once. The answer is an
    /// estimate, since the free amounts of each single worker are not known.
    pub fn fits(&self, need: &Resources, tasks: u64) -> bool {
        need.fits(&self.largest) && need.saturating_mul(tasks).fits(&self.total)
    }
}

/// State of another VM according to its pings.
#[derive(Clone, Debug, Default)]
pub struct PeerStatus {
    /// First ping after the last gap of a VM lease or more.
    pub up_since: Time,
    /// When its last ping arrived.
    pub last_ping: Time,
    /// Services that its workers run, with the number of endpoints.
    pub services: BTreeMap<String, usize>,
    /// By how much the teams' demand in its domains exceeds their allotments.
    pub shortages: Vec<(DomainId, TeamId, Resources)>,
    /// Free capacity of those of its domains in which no job is queued.
    pub free_capacity: Vec<FreeCapacity>,
    /// Workers that it considers lost as acting owner of their domain.
    pub lost_workers: Vec<WorkerId>,
    /// Whether it is draining.
    pub draining: bool,
}

/// Identity and timing of this VM, fixed when the daemon starts.
#[derive(Clone, Debug)]
pub struct Identity {
    /// This VM as the cell lists it.
    pub vm: Vm,
    /// Leases and timeouts.
    pub leases: LeaseSettings,
    /// Seed of the random numbers that the schedulers use.
    pub seed: u64,
}

/// The replicated state, the schedulers and what this VM knows about workers and other VMs.
pub struct Engine {
    /// Identity of this VM.
    pub identity: Arc<Identity>,
    /// Replicated state of the cell.
    pub cell: Cell,
    /// The VM lease, and whether this VM may act.
    pub authority: Authority,
    /// Schedulers of the domains for which this process is acting owner.
    pub schedulers: BTreeMap<DomainId, DomainScheduler>,
    /// Workers that this VM owns.
    pub owned_workers: BTreeMap<WorkerId, OwnedWorker>,
    /// Jobs accepted in isolation that are not in the log yet.
    pub isolated_jobs: BTreeMap<JobId, IsolatedJob>,
    /// Endpoints of the services that owned workers run.
    pub endpoints: Endpoints,
    /// The other VMs according to their pings.
    pub peer_statuses: BTreeMap<VmId, PeerStatus>,
    /// Liveness of VMs and workers as seen by the leader; `None` while this VM does not lead the
    /// log.
    pub liveness: Option<Liveness>,
    /// Acting owners that a proposed command replaces. Their pings no longer renew their VM leases,
    /// so that the leases run out.
    pub outgoing_owners: BTreeSet<VmId>,
    /// When this process applied each entry that declared workers silent, on its own clock.
    pub silence_times: BTreeMap<u64, Time>,
    /// Number of snapshots that replaced the replicated state.
    pub snapshots: u64,
    /// Whether this VM is draining and takes no new work.
    pub draining: bool,
    /// Commands to be sent to workers.
    pub worker_commands: Vec<WorkerCommand>,
}

impl Engine {
    /// Creates the engine of a daemon that has not read its log yet.
    pub fn new(identity: Identity) -> Self {
        Self {
            cell: Cell::new(zinnia_cell::Retention::default()),
            identity: Arc::new(identity),
            authority: Authority::default(),
            schedulers: BTreeMap::new(),
            owned_workers: BTreeMap::new(),
            isolated_jobs: BTreeMap::new(),
            endpoints: Endpoints::default(),
            peer_statuses: BTreeMap::new(),
            liveness: None,
            outgoing_owners: BTreeSet::new(),
            silence_times: BTreeMap::new(),
            snapshots: 0,
            draining: false,
            worker_commands: Vec::new(),
        }
    }

    /// The other VMs of this VM's failure domain.
    pub fn domain_peers(&self) -> Vec<VmId> {
        let own_vm = &self.identity.vm;
        let peers = self
            .cell
            .vms()
            .filter(|vm| vm.domain == own_vm.domain && vm.id != own_vm.id);
        peers.map(|vm| vm.id).collect()
    }

    /// The authority of this VM at present.
    pub fn authority_mode(&self, now: Time) -> AuthorityMode {
        self.authority
            .mode(&self.domain_peers(), now, &self.identity.leases)
    }

    /// Whether this process is acting owner of a domain and has the authority to act.
    pub fn may_act_for(&self, domain: DomainId, now: Time) -> bool {
        self.schedulers.contains_key(&domain) && self.authority_mode(now) != AuthorityMode::Inactive
    }

    /// Activates or deactivates the schedulers according to the present authority. It is called
    /// before every other decision, so that a process that resumes after its lease has run out
    /// starts nothing.
    pub fn refresh_authority(&mut self, now: Time) {
        let active = self.authority_mode(now) != AuthorityMode::Inactive && !self.draining;
        for scheduler in self.schedulers.values_mut() {
            if scheduler.active != active {
                scheduler.active = active;
                tracing::info!(domain = %scheduler.domain, term = scheduler.term, active, "authority to act changed");
                scheduler.step(
                    zinnia_sched::Event::Active { active },
                    now,
                    &mut self.worker_commands,
                );
            }
        }
    }

    /// Advances the clock: checks leases and ticks the schedulers.
    pub fn tick(&mut self, now: Time) {
        self.refresh_authority(now);
        self.check_worker_leases(now);
        for scheduler in self.schedulers.values_mut() {
            scheduler.step(zinnia_sched::Event::Tick, now, &mut self.worker_commands);
        }
    }

    /// The acting owner of a domain, if it is another VM.
    pub fn other_owner(&self, domain: DomainId) -> Option<&Vm> {
        let owner = self.cell.owner(domain)?;
        if owner.vm == self.identity.vm.id {
            return None;
        }
        self.cell.vm(owner.vm)
    }

    /// Free capacity of the domains for which this VM is acting owner and in which no job is
    /// queued.
    pub fn free_capacity(&self) -> Vec<FreeCapacity> {
        let idle = self.schedulers.values().filter(|s| s.inner.queued() == 0);
        let rows = idle.map(|scheduler| {
            let mut capacity = FreeCapacity {
                domain: scheduler.domain,
                largest: Resources::ZERO,
                total: Resources::ZERO,
            };
            let mut used: BTreeMap<WorkerId, Resources> = BTreeMap::new();
            for (_, worker, charge) in scheduler.inner.running() {
                *used.entry(worker).or_default() += charge;
            }
            for (worker, owned) in &self.owned_workers {
                if owned.profile.domain == scheduler.domain && owned.is_usable() {
                    let used = used.get(worker).copied().unwrap_or_default();
                    let free = owned.profile.capacity.saturating_sub(&used);
                    capacity.largest = Resources::elementwise_max(&capacity.largest, &free);
                    capacity.total += free;
                }
            }
            capacity
        });
        rows.collect()
    }

    /// Why no task of a live job runs, as far as its acting owner can tell. `free` is the result of
    /// [`Self::free_capacity`].
    pub fn queue_reason(&self, id: JobId, free: &[FreeCapacity], now: Time) -> Option<String> {
        let Some(zinnia_cell::JobState::Live(live)) = self.cell.job(id) else {
            return None;
        };
        let job = &live.job;
        let scheduler = self.schedulers.get(&job.domain)?;
        if live.cancelled {
            return Some("it is being cancelled".to_owned());
        }
        if self.authority_mode(now) == AuthorityMode::Inactive || !scheduler.active {
            return Some("the acting owner has no authority to act at present".to_owned());
        }
        let used = scheduler.inner.team_use(job.team);
        let allotment = self.cell.usable_allotment(job.domain, job.team);
        if !(used + job.need).fits(&allotment) {
            let (team, domain) = (job.team, job.domain);
            return Some(format!(
                "team {team} uses {used:?} of {allotment:?} in {domain}"
            ));
        }
        let free = free.iter().find(|f| f.domain == job.domain);
        if free.is_none_or(|f| !f.fits(&job.need, 1)) {
            return Some("other jobs are ahead of it, or no worker has room for it now".to_owned());
        }
        Some("it is about to be placed".to_owned())
    }

    /// VMs that are not draining and have pinged without a gap for a VM lease plus margin.
    pub fn stable_vms(&self, now: Time) -> BTreeSet<VmId> {
        let leases = &self.identity.leases;
        let min_uptime = leases.vm_ms + leases.margin_ms;
        let is_stable = |status: &PeerStatus| {
            !status.draining
                && now.since(status.last_ping) < leases.vm_ms
                && now.since(status.up_since) >= min_uptime
        };
        let stable = self
            .peer_statuses
            .iter()
            .filter(|(_, status)| is_stable(status));
        stable.map(|(&vm, _)| vm).collect()
    }

    /// HTTP addresses of the cell's VMs: the acting owner of a domain first, then the other VMs of
    /// the domain, then the rest.
    pub fn http_addresses(&self, domain: DomainId) -> Vec<String> {
        let owner = self.cell.owner(domain).map(|o| o.vm);
        let mut vms: Vec<&Vm> = self.cell.vms().collect();
        vms.sort_by_key(|vm| (Some(vm.id) != owner, vm.domain != domain, vm.id));
        vms.iter().map(|vm| vm.http.clone()).collect()
    }

    /// Updates the endpoints of the services that a worker runs.
    pub fn refresh_endpoints(&mut self, worker: WorkerId) {
        self.endpoints.update_worker(worker, &self.owned_workers);
    }

    /// State for the dump, without keys and payloads.
    pub fn dump(&self, now: Time) -> Value {
        let schedulers: BTreeMap<String, Value> = self
            .schedulers
            .iter()
            .map(|(domain, scheduler)| (domain.to_string(), scheduler.dump()))
            .collect();
        let owned: BTreeMap<String, Value> = self
            .owned_workers
            .iter()
            .map(|(worker, owned)| (worker.to_string(), owned.dump(now)))
            .collect();
        json!({
            "vm": self.identity.vm,
            "right": self.authority_mode(now),
            "authority": self.authority,
            "draining": self.draining,
            "isolated_jobs": self.isolated_jobs.len(),
            "cell": self.cell.dump(),
            "acting": schedulers,
            "owned": owned,
            "endpoints": self.endpoints.dump(),
            "neighbours": self.peer_statuses.keys().collect::<Vec<_>>(),
        })
    }
}
