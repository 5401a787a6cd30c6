//! Everything that a daemon decides with, behind one lock. No I/O happens here.

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

use crate::acting::Acting;
use crate::acting::Push;
use crate::authority::Authority;
use crate::authority::Right;
use crate::endpoints::Endpoints;
use crate::journal::Accepted;
use crate::owned::Owned;

/// What is free in a failure domain, as far as its acting owner knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    /// The domain.
    pub domain: DomainId,
    /// The largest free amount of a worker, in each dimension.
    pub largest: Resources,
    /// All that is free.
    pub total: Resources,
}

impl Room {
    /// Whether so many tasks seem to find a place at once.
    pub fn holds(&self, need: &Resources, tasks: u64) -> bool {
        need.fits(&self.largest) && need.times(tasks).fits(&self.total)
    }
}

/// What this VM knows about another one from its pings.
#[derive(Clone, Debug, Default)]
pub struct Neighbour {
    /// First ping since the last silence of a VM lease or more.
    pub since: Time,
    /// Last time a ping of it arrived.
    pub heard: Time,
    /// Services that it can reach, with the number of its endpoints.
    pub services: BTreeMap<String, usize>,
    /// How much more its domains need of the teams' limits.
    pub short: Vec<(DomainId, TeamId, Resources)>,
    /// What is free in its domains, where nothing is queued.
    pub room: Vec<Room>,
    /// Workers that it lost as acting owner.
    pub lost: Vec<WorkerId>,
    /// Whether it is draining.
    pub draining: bool,
}

/// What the VM is told about itself.
#[derive(Clone, Debug)]
pub struct Identity {
    /// This VM as the cell lists it.
    pub vm: Vm,
    /// Leases and timeouts.
    pub leases: LeaseSettings,
    /// Seed of all randomness in the decisions.
    pub seed: u64,
}

/// The state that decides.
pub struct Engine {
    /// Who this VM is.
    pub me: Arc<Identity>,
    /// Replicated state.
    pub cell: Cell,
    /// Own right to act.
    pub authority: Authority,
    /// Domains for which this process is acting owner.
    pub acting: BTreeMap<DomainId, Acting>,
    /// Workers that this VM owns.
    pub owned: BTreeMap<WorkerId, Owned>,
    /// Jobs accepted in isolation that the log does not hold yet.
    pub local: BTreeMap<JobId, Accepted>,
    /// Services that owned workers run.
    pub endpoints: Endpoints,
    /// The other VMs as their pings describe them.
    pub neighbours: BTreeMap<VmId, Neighbour>,
    /// What the leader knows about who is alive; only while this VM leads the log.
    pub liveness: Option<Liveness>,
    /// VMs whose pings stay unanswered, since a command that deposes them is on its way.
    pub deposing: BTreeSet<VmId>,
    /// Whether this VM takes no new work.
    pub draining: bool,
    /// Commands for workers that are to be sent.
    pub pushes: Vec<Push>,
}

impl Engine {
    /// A daemon that knows nothing yet.
    pub fn new(me: Identity) -> Self {
        Self {
            cell: Cell::new(zinnia_cell::Retention::default()),
            me: Arc::new(me),
            authority: Authority::default(),
            acting: BTreeMap::new(),
            owned: BTreeMap::new(),
            local: BTreeMap::new(),
            endpoints: Endpoints::default(),
            neighbours: BTreeMap::new(),
            liveness: None,
            deposing: BTreeSet::new(),
            draining: false,
            pushes: Vec::new(),
        }
    }

    /// The other VMs of the own failure domain.
    pub fn peers(&self) -> Vec<VmId> {
        let me = &self.me.vm;
        let peers = self
            .cell
            .vms()
            .filter(|vm| vm.domain == me.domain && vm.id != me.id);
        peers.map(|vm| vm.id).collect()
    }

    /// The present right of this VM to act.
    pub fn right(&self, now: Time) -> Right {
        self.authority.right(&self.peers(), now, &self.me.leases)
    }

    /// Whether this process is the acting owner of a domain and may act.
    pub fn acts_for(&self, domain: DomainId, now: Time) -> bool {
        self.acting.contains_key(&domain) && self.right(now) != Right::Nothing
    }

    /// Passes the present right on to the schedulers. Called before anything else is decided, so
    /// that a process that was paused past its lease starts nothing when it resumes.
    pub fn refresh(&mut self, now: Time) {
        let active = self.right(now) != Right::Nothing && !self.draining;
        for acting in self.acting.values_mut() {
            if acting.active != active {
                acting.active = active;
                tracing::info!(domain = %acting.domain, term = acting.term, active, "right to act changed");
                acting.step(
                    zinnia_sched::Event::Active { active },
                    now,
                    &mut self.pushes,
                );
            }
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time) {
        self.refresh(now);
        self.lapse(now);
        for acting in self.acting.values_mut() {
            acting.step(zinnia_sched::Event::Tick, now, &mut self.pushes);
        }
    }

    /// The acting owner of a domain if it is another VM.
    pub fn other_owner(&self, domain: DomainId) -> Option<&Vm> {
        let owner = self.cell.owner(domain)?;
        if owner.vm == self.me.vm.id {
            return None;
        }
        self.cell.vm(owner.vm)
    }

    /// What is free in the domains for which this VM acts, where nothing is queued.
    pub fn room(&self) -> Vec<Room> {
        let idle = self.acting.values().filter(|d| d.sched.queued() == 0);
        let room = idle.map(|acting| {
            let mut room = Room {
                domain: acting.domain,
                largest: Resources::ZERO,
                total: Resources::ZERO,
            };
            let mut used: BTreeMap<WorkerId, Resources> = BTreeMap::new();
            for (_, worker, charge) in acting.sched.running() {
                *used.entry(worker).or_default() += charge;
            }
            for (worker, owned) in &self.owned {
                if owned.profile.domain == acting.domain && owned.is_usable() {
                    let used = used.get(worker).copied().unwrap_or_default();
                    let free = owned.profile.capacity.saturating_sub(&used);
                    room.largest = Resources::max(&room.largest, &free);
                    room.total += free;
                }
            }
            room
        });
        room.collect()
    }

    /// Why nothing of a live job runs, as far as its acting owner can tell; `room` is [`Self::room`].
    pub fn why(&self, id: JobId, room: &[Room], now: Time) -> Option<String> {
        let Some(zinnia_cell::JobState::Live(live)) = self.cell.job(id) else {
            return None;
        };
        let job = &live.job;
        let acting = self.acting.get(&job.domain)?;
        if live.cancelled {
            return Some("it is being cancelled".to_owned());
        }
        if self.right(now) == Right::Nothing || !acting.active {
            return Some("the acting owner has no right to act at present".to_owned());
        }
        let used = acting.sched.team_use(job.team);
        let part = self.cell.usable_allotment(job.domain, job.team);
        if !(used + job.need).fits(&part) {
            let (team, domain) = (job.team, job.domain);
            return Some(format!("team {team} uses {used:?} of {part:?} in {domain}"));
        }
        let room = room.iter().find(|r| r.domain == job.domain);
        if room.is_none_or(|r| !r.holds(&job.need, 1)) {
            return Some("others are before it, or no worker has room now".to_owned());
        }
        Some("it is about to be placed".to_owned())
    }

    /// VMs that have pinged without a break for a VM lease plus margin.
    pub fn present(&self, now: Time) -> BTreeSet<VmId> {
        let leases = &self.me.leases;
        let long = leases.vm_ms + leases.margin_ms;
        let stays = |n: &Neighbour| {
            !n.draining && now.since(n.heard) < leases.vm_ms && now.since(n.since) >= long
        };
        let present = self.neighbours.iter().filter(|(_, n)| stays(n));
        present.map(|(&vm, _)| vm).collect()
    }

    /// HTTP addresses of the cell's VMs, those of a domain first and its acting owner before all.
    pub fn addresses(&self, domain: DomainId) -> Vec<String> {
        let owner = self.cell.owner(domain).map(|o| o.vm);
        let mut vms: Vec<&Vm> = self.cell.vms().collect();
        vms.sort_by_key(|vm| (Some(vm.id) != owner, vm.domain != domain, vm.id));
        vms.iter().map(|vm| vm.http.clone()).collect()
    }

    /// Takes over which services a worker runs now.
    pub fn refresh_endpoints(&mut self, worker: WorkerId) {
        self.endpoints.replace(worker, &self.owned);
    }

    /// State for a dump; holds no keys and no payloads.
    pub fn dump(&self, now: Time) -> Value {
        let acting: BTreeMap<String, Value> = self
            .acting
            .iter()
            .map(|(domain, acting)| (domain.to_string(), acting.dump()))
            .collect();
        let owned: BTreeMap<String, Value> = self
            .owned
            .iter()
            .map(|(worker, owned)| (worker.to_string(), owned.dump(now)))
            .collect();
        json!({
            "vm": self.me.vm,
            "right": self.right(now),
            "authority": self.authority,
            "draining": self.draining,
            "isolated_jobs": self.local.len(),
            "cell": self.cell.dump(),
            "acting": acting,
            "owned": owned,
            "endpoints": self.endpoints.dump(),
            "neighbours": self.neighbours.keys().collect::<Vec<_>>(),
        })
    }
}
