//! What the leader of the log proposes about VMs, workers and acting owners.
//!
//! The rules rest on what the leader and the VMs promise each other:
//!
//! - The leader answers pings only after it has applied an entry of its own term, and an answer
//!   carries the commit index. A VM holds its lease only while it has applied up to that index.
//! - From proposing [`Command::SetOwner`] until it is applied or rejected, the leader leaves the
//!   pings of the VM that loses the domain unanswered. Otherwise that VM could renew its lease and
//!   act together with its successor.
//! - A VM promises its peers not to act only for as long as it has no quorum contact, and the
//!   promise is renewed more often than the VM lease lasts.

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

/// Most withdrawn keys that one command carries.
const MAX_WITHDRAWALS: usize = 1_000;

/// Unbroken contact with a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contact {
    /// First answered ping since the last silence of a VM lease or more.
    pub since: Time,
    /// Last answered ping.
    pub last: Time,
}

/// What the leader knows about who is alive, by its own monotonic clock.
#[derive(Clone, Debug)]
pub struct Liveness {
    /// The leader itself, which is always in contact.
    pub leader: VmId,
    /// When it became leader.
    pub leader_since: Time,
    /// VMs whose pings this leader has answered.
    pub contacts: BTreeMap<VmId, Contact>,
    /// Workers that their acting owner reports as lost, with the time of the first such report.
    pub lost_workers: BTreeMap<WorkerId, Time>,
    /// Voters of the log.
    pub voters: BTreeSet<VmId>,
    /// Learners with a disk that have caught up with the log.
    pub ready_learners: BTreeSet<VmId>,
}

/// What the leader proposes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Entries for the log.
    pub commands: Vec<Command>,
    /// Change of voters, at most one at a time.
    pub voter_replacement: Option<VoterReplacement>,
}

/// A lost voter and the VM that replaces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterReplacement {
    /// Voter that stayed lost.
    pub lost: VmId,
    /// Caught-up learner that becomes a voter.
    pub replacement: VmId,
}

impl Liveness {
    /// What a leader elected at `now` knows: nothing of others.
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

    /// Notes that a ping of `vm` was answered.
    pub fn record_contact(&mut self, vm: VmId, now: Time, leases: &LeaseSettings) {
        let fresh = Contact {
            since: now,
            last: now,
        };
        let contact = self.contacts.entry(vm).or_insert(fresh);
        if now.since(contact.last) >= leases.vm_ms {
            contact.since = now;
        }
        contact.last = contact.last.max(now);
    }

    fn contact(&self, vm: VmId, now: Time) -> Option<Contact> {
        if vm == self.leader {
            return Some(Contact {
                since: self.leader_since,
                last: now,
            });
        }
        self.contacts.get(&vm).copied()
    }

    /// For how long the VM cannot have had its lease renewed, neither by this leader nor by its
    /// predecessor.
    fn silent_ms(&self, vm: VmId, now: Time) -> u64 {
        let last = self.contact(vm, now).map(|c| c.last);
        now.since(last.map_or(self.leader_since, |last| last.max(self.leader_since)))
    }

    /// Whether the VM's lease has not lapsed.
    fn alive(&self, vm: VmId, now: Time, leases: &LeaseSettings) -> bool {
        let contact = self.contact(vm, now);
        contact.is_some_and(|c| now.since(c.last) < leases.vm_ms)
    }

    /// Whether the VM has been in contact for so long that no promise it gave while it was cut off
    /// still counts with its peers.
    fn settled(&self, vm: VmId, now: Time, leases: &LeaseSettings) -> bool {
        let contact = self.contact(vm, now);
        self.alive(vm, now, leases)
            && contact.is_some_and(|c| now.since(c.since) >= leases.vm_ms + leases.margin_ms)
    }
}

/// What the leader should propose now. The caller passes on what is not already being proposed.
pub fn plan(cell: &Cell, liveness: &Liveness, now: Time, leases: &LeaseSettings) -> Plan {
    let planner = Planner {
        cell,
        liveness,
        now,
        leases,
    };
    let mut commands = planner.owners();
    commands.extend(planner.lost_workers());
    commands.extend(planner.lost_vms());
    commands.extend(planner.withdrawals());
    Plan {
        commands,
        voter_replacement: planner.replacement(),
    }
}

/// What an acting owner proposes to hand domains back to their own VMs, after it took them over.
///
/// `present` are the VMs that it has long been in contact with. It must stop to act for a domain
/// before it proposes this and until the proposal is applied or rejected.
pub fn hand_back_domains(cell: &Cell, me: VmId, present: &BTreeSet<VmId>) -> Vec<Command> {
    let home = cell.vm(me).map(|vm| vm.domain);
    let mine = cell.owners().filter(|(_, owner)| owner.vm == me);
    let away = mine.filter(|(domain, _)| Some(*domain) != home);
    let back = away.filter_map(|(domain, owner)| {
        let mut vms = cell.vms().filter(|vm| vm.domain == domain);
        let vm = vms.find(|vm| present.contains(&vm.id))?;
        Some(Command::SetOwner {
            domain,
            vm: vm.id,
            from_term: owner.term,
        })
    });
    back.collect()
}

struct Planner<'a> {
    cell: &'a Cell,
    liveness: &'a Liveness,
    now: Time,
    leases: &'a LeaseSettings,
}

impl Planner<'_> {
    fn alive(&self, vm: VmId) -> bool {
        self.liveness.alive(vm, self.now, self.leases)
    }

    /// Silence after which a VM and all of its domain have ended their tasks, even if isolated.
    fn domain_ms(&self) -> u64 {
        self.leases.isolation_ms + self.leases.task_ms + self.leases.margin_ms
    }

    fn owners(&self) -> Vec<Command> {
        let mut domains: BTreeSet<DomainId> = self.cell.vms().map(|vm| vm.domain).collect();
        domains.extend(self.cell.owners().map(|(domain, _)| domain));
        let mut load: BTreeMap<VmId, usize> = BTreeMap::new();
        for (_, owner) in self.cell.owners() {
            *load.entry(owner.vm).or_default() += 1;
        }
        let mut commands = Vec::new();
        for domain in domains {
            let owner = self.cell.owner(domain);
            if !owner.is_none_or(|owner| self.may_replace(owner)) {
                continue;
            }
            let Some(vm) = self.successor(domain, owner, &load) else {
                continue;
            };
            *load.entry(vm).or_default() += 1;
            commands.push(Command::SetOwner {
                domain,
                vm,
                from_term: owner.map_or(0, |o| o.term),
            });
        }
        commands
    }

    /// Whether the acting owner has certainly stopped to act.
    ///
    /// What counts is the failure domain in which the owner's VM stands, since its peers there
    /// decide whether it continues without a quorum. After a takeover of a whole domain that is
    /// not the domain it acts for.
    fn may_replace(&self, owner: Owner) -> bool {
        let silent = self.liveness.silent_ms(owner.vm, self.now);
        if silent < self.leases.vm_ms + self.leases.margin_ms {
            return false;
        }
        let home = self.cell.vm(owner.vm).map(|vm| vm.domain);
        let peers = self.cell.vms().filter(|vm| Some(vm.domain) == home);
        let mut peers = peers.filter(|vm| vm.id != owner.vm);
        // A peer that has long had contact denies the owner the isolated mode.
        let denied = |vm: &Vm| self.liveness.settled(vm.id, self.now, self.leases);
        peers.any(denied) || self.home_silent_ms(home) >= self.domain_ms()
    }

    /// For how long every VM of a domain has been silent.
    fn home_silent_ms(&self, home: Option<DomainId>) -> u64 {
        let peers = self.cell.vms().filter(|vm| Some(vm.domain) == home);
        let silent = peers.map(|vm| self.liveness.silent_ms(vm.id, self.now));
        // An owner that is no member cannot be judged by peers, only by the leader's own term.
        let own = self.now.since(self.liveness.leader_since);
        silent.min().unwrap_or(own)
    }

    /// A VM of the domain if one is alive, else any; among equals the one that acts for the fewest
    /// domains.
    fn successor(
        &self,
        domain: DomainId,
        owner: Option<Owner>,
        load: &BTreeMap<VmId, usize>,
    ) -> Option<VmId> {
        let alive = self.cell.vms().filter(|vm| self.alive(vm.id));
        // The first acting owner of a domain stands in it: there is nothing yet to take over.
        let fit = alive.filter(|vm| owner.is_some() || vm.domain == domain);
        let order = |vm: &&Vm| {
            let acts = load.get(&vm.id).copied().unwrap_or(0);
            (vm.domain != domain, acts, vm.id)
        };
        fit.min_by_key(order).map(|vm| vm.id)
    }

    /// Roster workers that stayed lost while their acting owner was there to see them.
    fn lost_workers(&self) -> Option<Command> {
        let after = self.leases.replace_ms.max(self.worker_stop_ms());
        let lost = self.liveness.lost_workers.iter();
        let remove: Vec<WorkerId> = lost
            .filter(|&(_, &since)| self.now.since(since) >= after)
            .filter(|&(&id, _)| self.watched(id))
            .map(|(&id, _)| id)
            .collect();
        (!remove.is_empty()).then(|| Command::Workers {
            add: Vec::new(),
            remove,
        })
    }

    /// Time after which a worker without contact has stopped its tasks.
    fn worker_stop_ms(&self) -> u64 {
        self.leases.task_ms + self.leases.margin_ms
    }

    /// Whether the worker is in the roster and its acting owner is in contact.
    fn watched(&self, worker: WorkerId) -> bool {
        let profile = self.cell.worker(worker);
        let owner = profile.and_then(|p| self.cell.owner(p.domain));
        owner.is_some_and(|owner| self.alive(owner.vm))
    }

    /// VMs that stayed silent for longer than any isolated mode lasts and hold no office.
    fn lost_vms(&self) -> Vec<Command> {
        let after = self.leases.replace_ms.max(self.domain_ms());
        let owners: BTreeSet<VmId> = self.cell.owners().map(|(_, owner)| owner.vm).collect();
        let vms = self.cell.vms().map(|vm| vm.id);
        vms.filter(|id| !owners.contains(id) && !self.liveness.voters.contains(id))
            .filter(|&id| self.liveness.silent_ms(id, self.now) >= after)
            .map(|id| Command::RemoveVm { id })
            .collect()
    }

    /// Withdrawals that reached this VM without the log.
    fn withdrawals(&self) -> Option<Command> {
        let ids: Vec<_> = self
            .cell
            .unlogged_withdrawals()
            .take(MAX_WITHDRAWALS)
            .collect();
        (!ids.is_empty()).then_some(Command::WithdrawKeys { ids })
    }

    /// The voter lost for longest and the caught-up VM that replaces it, of the same domain if
    /// there is one, else of the domain with the fewest remaining voters.
    fn replacement(&self) -> Option<VoterReplacement> {
        let voters = self.liveness.voters.iter().copied();
        let lost = voters
            .map(|id| (self.liveness.silent_ms(id, self.now), id))
            .filter(|&(silent, _)| silent >= self.leases.replace_ms)
            .max()?
            .1;
        let domain = |id: VmId| self.cell.vm(id).map(|vm| vm.domain);
        let home = domain(lost);
        let crowd = |id: VmId| {
            let others = self.liveness.voters.iter().filter(|&&v| v != lost);
            others.filter(|&&v| domain(v) == domain(id)).count()
        };
        let ready = self.liveness.ready_learners.iter().copied();
        ready
            .filter(|&id| !self.liveness.voters.contains(&id) && self.alive(id))
            .filter(|&id| self.cell.vm(id).is_some_and(|vm| vm.disk))
            .min_by_key(|&id| (domain(id) != home, crowd(id), id))
            .map(|replacement| VoterReplacement { lost, replacement })
    }
}
