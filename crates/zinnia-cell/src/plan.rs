//! Planner of the leader of the log: changes of VMs, workers, voters and acting owners.
//!
//! A VM renews its lease by pings that the leader answers. A VM without contact to the leader may
//! continue to act in isolated mode, for a limited time, while every peer in its failure domain
//! confirms that it has no contact either.
//!
//! The planner relies on these guarantees:
//!
//! - The leader answers pings only after it has applied an entry of its own term, and the answer
//!   carries the commit index. A VM holds its lease only while it has applied the log up to that
//!   index.
//! - From the proposal of a [`Command::SetOwner`] until it is applied or rejected, the leader does
//!   not answer pings of the VM that loses the domain. Otherwise that VM could renew its lease and
//!   act at the same time as its successor.
//! - A VM confirms the isolation of a peer only while it has no quorum contact itself, and renews
//!   the confirmation at intervals shorter than the VM lease.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use zinnia_types::DomainId;
use zinnia_types::LeaseSettings;
use zinnia_types::Time;
use zinnia_types::VmId;
use zinnia_types::WorkerId;

use crate::Cell;
use crate::Command;
use crate::Owner;
use crate::Vm;

/// Maximum number of withdrawn keys in one command.
const MAX_WITHDRAWALS: usize = 1_000;

/// Period of uninterrupted contact with a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contact {
    /// First answered ping after the last silence that was at least as long as a VM lease.
    pub since: Time,
    /// Latest answered ping.
    pub last: Time,
}

/// Failure detector of the leader, by its monotonic clock.
#[derive(Clone, Debug)]
pub struct Liveness {
    /// Id of the leader, which is always in contact with itself.
    pub leader: VmId,
    /// Time at which it became leader.
    pub leader_since: Time,
    /// Contact with each VM whose pings this leader has answered.
    pub contacts: BTreeMap<VmId, Contact>,
    /// Workers that their acting owner reports as lost, with the time of the first report.
    pub lost_workers: BTreeMap<WorkerId, Time>,
    /// Voters of the log.
    pub voters: BTreeSet<VmId>,
    /// Learners with a disk that have caught up with the log.
    pub ready_learners: BTreeSet<VmId>,
}

/// Changes that the leader should propose.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Commands to append to the log.
    pub commands: Vec<Command>,
    /// Replacement of a voter; at most one at a time.
    pub voter_replacement: Option<VoterReplacement>,
}

/// Replacement of a lost voter by another VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterReplacement {
    /// Voter without contact.
    pub lost: VmId,
    /// Caught-up learner to promote.
    pub replacement: VmId,
}

impl Liveness {
    /// State of a leader elected at `now`, which has had no contact with other VMs yet.
    pub fn new(leader: VmId, now: Time, voters: BTreeSet<VmId>) -> Self {
        Self {
            leader,
            leader_since: now,
            contacts: BTreeMap::new(),
            lost_workers: BTreeMap::new(),
            voters,
            ready_learners: BTreeSet::new(),
        }
    }

    /// Records that a ping of `vm` was answered.
    pub fn record_contact(&mut self, vm: VmId, now: Time, leases: &LeaseSettings) {
        let new_contact = Contact {
            since: now,
            last: now,
        };
        let contact = self.contacts.entry(vm).or_insert(new_contact);
        if now.since(contact.last) >= leases.vm_ms {
            contact.since = now;
        }
        contact.last = contact.last.max(now);
    }

    /// Contact with a VM, if this leader has had any.
    fn contact(&self, vm: VmId, now: Time) -> Option<Contact> {
        if vm == self.leader {
            return Some(Contact {
                since: self.leader_since,
                last: now,
            });
        }
        self.contacts.get(&vm).copied()
    }

    /// Time during which neither this leader nor its predecessor can have renewed the lease of the
    /// VM.
    fn silent_ms(&self, vm: VmId, now: Time) -> u64 {
        let last = self.contact(vm, now).map(|c| c.last);
        now.since(last.map_or(self.leader_since, |last| last.max(self.leader_since)))
    }

    /// Whether the lease of the VM is still valid.
    fn has_lease(&self, vm: VmId, now: Time, leases: &LeaseSettings) -> bool {
        let contact = self.contact(vm, now);
        contact.is_some_and(|c| now.since(c.last) < leases.vm_ms)
    }

    /// Whether the VM has been in contact for so long that its peers no longer rely on any
    /// confirmation that it gave while it was cut off.
    fn has_stable_contact(&self, vm: VmId, now: Time, leases: &LeaseSettings) -> bool {
        let contact = self.contact(vm, now);
        self.has_lease(vm, now, leases)
            && contact.is_some_and(|c| now.since(c.since) >= leases.vm_ms + leases.margin_ms)
    }
}

/// Computes the changes that the leader should propose now. The caller skips those that it is
/// already proposing.
pub fn plan(cell: &Cell, liveness: &Liveness, now: Time, leases: &LeaseSettings) -> Plan {
    let planner = Planner {
        cell,
        liveness,
        now,
        leases,
    };
    let mut commands = planner.owner_changes();
    commands.extend(planner.worker_removals());
    commands.extend(planner.vm_removals());
    commands.extend(planner.unlogged_withdrawals());
    Plan {
        commands,
        voter_replacement: planner.voter_replacement(),
    }
}

/// Commands by which an acting owner hands domains that it took over back to their own VMs.
///
/// `present` are the VMs with which it has had stable contact. The acting owner must stop acting
/// for a domain before it proposes the command, until the command is applied or rejected.
pub fn hand_back_domains(cell: &Cell, me: VmId, present: &BTreeSet<VmId>) -> Vec<Command> {
    let home = cell.vm(me).map(|vm| vm.domain);
    let own_domains = cell.owners().filter(|(_, owner)| owner.vm == me);
    let foreign_domains = own_domains.filter(|(domain, _)| Some(*domain) != home);
    let commands = foreign_domains.filter_map(|(domain, owner)| {
        let mut vms = cell.vms().filter(|vm| vm.domain == domain);
        let vm = vms.find(|vm| present.contains(&vm.id))?;
        Some(Command::SetOwner {
            domain,
            vm: vm.id,
            from_term: owner.term,
            silent: Some(cell.silent_workers(domain)),
        })
    });
    commands.collect()
}

/// Inputs of [`plan`].
struct Planner<'a> {
    cell: &'a Cell,
    liveness: &'a Liveness,
    now: Time,
    leases: &'a LeaseSettings,
}

impl Planner<'_> {
    /// Whether the lease of the VM is still valid.
    fn has_lease(&self, vm: VmId) -> bool {
        self.liveness.has_lease(vm, self.now, self.leases)
    }

    /// Duration of silence after which a whole domain has certainly stopped its tasks, even if it
    /// ran in isolated mode.
    fn domain_stop_ms(&self) -> u64 {
        self.leases.isolation_ms + self.leases.task_ms + self.leases.margin_ms
    }

    /// Acting owners for domains that have none or whose acting owner has stopped.
    fn owner_changes(&self) -> Vec<Command> {
        let mut domains: BTreeSet<DomainId> = self.cell.vms().map(|vm| vm.domain).collect();
        domains.extend(self.cell.owners().map(|(domain, _)| domain));
        let mut owned_count: BTreeMap<VmId, usize> = BTreeMap::new();
        for (_, owner) in self.cell.owners() {
            *owned_count.entry(owner.vm).or_default() += 1;
        }
        let mut commands = Vec::new();
        for domain in domains {
            let owner = self.cell.owner(domain);
            if !owner.is_none_or(|owner| self.may_replace(owner)) {
                continue;
            }
            let Some(vm) = self.successor(domain, owner, &owned_count) else {
                continue;
            };
            *owned_count.entry(vm).or_default() += 1;
            commands.push(Command::SetOwner {
                domain,
                vm,
                from_term: owner.map_or(0, |o| o.term),
                silent: Some(self.cell.silent_workers(domain)),
            });
        }
        commands
    }

    /// Whether the acting owner has certainly stopped acting.
    ///
    /// This depends on the failure domain in which the VM of the owner is located, since its peers
    /// there decide whether it may continue in isolated mode. After the takeover of a whole domain
    /// this is not the domain that the VM acts for.
    fn may_replace(&self, owner: Owner) -> bool {
        let silent = self.liveness.silent_ms(owner.vm, self.now);
        if silent < self.leases.vm_ms + self.leases.margin_ms {
            return false;
        }
        let home = self.cell.vm(owner.vm).map(|vm| vm.domain);
        let peers = self.cell.vms().filter(|vm| Some(vm.domain) == home);
        let mut peers = peers.filter(|vm| vm.id != owner.vm);
        // A peer with stable contact does not confirm the isolation, so the owner cannot be in
        // isolated mode.
        let denies_isolation = |vm: &Vm| {
            self.liveness
                .has_stable_contact(vm.id, self.now, self.leases)
        };
        peers.any(denies_isolation) || self.domain_silent_ms(home) >= self.domain_stop_ms()
    }

    /// Time for which all VMs of a domain have been silent.
    fn domain_silent_ms(&self, home: Option<DomainId>) -> u64 {
        let peers = self.cell.vms().filter(|vm| Some(vm.domain) == home);
        let silent = peers.map(|vm| self.liveness.silent_ms(vm.id, self.now));
        // An owner that is not a member has no known domain, so the silence counts from the
        // election of the leader.
        let since_election = self.now.since(self.liveness.leader_since);
        silent.min().unwrap_or(since_election)
    }

    /// Next acting owner: a VM with a valid lease, preferably of the domain itself, that acts for
    /// the fewest domains.
    fn successor(
        &self,
        domain: DomainId,
        owner: Option<Owner>,
        owned_count: &BTreeMap<VmId, usize>,
    ) -> Option<VmId> {
        let with_lease = self.cell.vms().filter(|vm| self.has_lease(vm.id));
        // The first acting owner must be located in the domain, since there is nothing to take
        // over.
        let candidates = with_lease.filter(|vm| owner.is_some() || vm.domain == domain);
        let preference = |vm: &&Vm| {
            let count = owned_count.get(&vm.id).copied().unwrap_or(0);
            (vm.domain != domain, count, vm.id)
        };
        candidates.min_by_key(preference).map(|vm| vm.id)
    }

    /// Removes registered workers that have been lost for long enough, according to an acting owner
    /// that is itself in contact.
    fn worker_removals(&self) -> Option<Command> {
        let threshold_ms = self.leases.replace_ms.max(self.worker_stop_ms());
        let lost = self.liveness.lost_workers.iter();
        let remove: Vec<WorkerId> = lost
            .filter(|&(_, &since)| self.now.since(since) >= threshold_ms)
            .filter(|&(&id, _)| self.owner_in_contact(id))
            .map(|(&id, _)| id)
            .collect();
        (!remove.is_empty()).then(|| Command::Workers {
            add: Vec::new(),
            remove,
            leases: None,
        })
    }

    /// Duration after which a worker without contact has stopped its tasks.
    fn worker_stop_ms(&self) -> u64 {
        self.leases.task_ms + self.leases.margin_ms
    }

    /// Whether the worker is registered and its acting owner is in contact.
    fn owner_in_contact(&self, worker: WorkerId) -> bool {
        let profile = self.cell.worker(worker);
        let owner = profile.and_then(|p| self.cell.owner(p.domain));
        owner.is_some_and(|owner| self.has_lease(owner.vm))
    }

    /// Removes VMs that have been silent for longer than isolated mode lasts and are neither acting
    /// owners nor voters.
    fn vm_removals(&self) -> Vec<Command> {
        let threshold_ms = self.leases.replace_ms.max(self.domain_stop_ms());
        let owners: BTreeSet<VmId> = self.cell.owners().map(|(_, owner)| owner.vm).collect();
        let vms = self.cell.vms().map(|vm| vm.id);
        vms.filter(|id| !owners.contains(id) && !self.liveness.voters.contains(id))
            .filter(|&id| self.liveness.silent_ms(id, self.now) >= threshold_ms)
            .map(|id| Command::RemoveVm { id })
            .collect()
    }

    /// Records key withdrawals that the leader knows of but the log does not contain.
    fn unlogged_withdrawals(&self) -> Option<Command> {
        let ids: Vec<_> = self
            .cell
            .unlogged_withdrawals()
            .take(MAX_WITHDRAWALS)
            .collect();
        (!ids.is_empty()).then_some(Command::WithdrawKeys { ids })
    }

    /// Replaces the voter that has been silent for longest by a caught-up VM, preferably of the
    /// same domain, otherwise of the domain with the fewest remaining voters.
    fn voter_replacement(&self) -> Option<VoterReplacement> {
        let voters = self.liveness.voters.iter().copied();
        let lost = voters
            .map(|id| (self.liveness.silent_ms(id, self.now), id))
            .filter(|&(silent, _)| silent >= self.leases.replace_ms)
            .max()?
            .1;
        let domain = |id: VmId| self.cell.vm(id).map(|vm| vm.domain);
        let lost_domain = domain(lost);
        let voters_in_domain = |id: VmId| {
            let others = self.liveness.voters.iter().filter(|&&v| v != lost);
            others.filter(|&&v| domain(v) == domain(id)).count()
        };
        let learners = self.liveness.ready_learners.iter().copied();
        learners
            .filter(|&id| !self.liveness.voters.contains(&id) && self.has_lease(id))
            .filter(|&id| self.cell.vm(id).is_some_and(|vm| vm.disk))
            .min_by_key(|&id| (domain(id) != lost_domain, voters_in_domain(id), id))
            .map(|replacement| VoterReplacement { lost, replacement })
    }
}
