//! VMs, workers and acting owners.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::DomainId;
use zinnia_types::VmId;
use zinnia_types::WorkerId;
use zinnia_types::worker::WorkerProfile;

use crate::LeaseChanges;
use crate::Refusal;
use crate::Reply;
use crate::Silence;
use crate::Vm;
use crate::silence::DomainSilences;

/// Acting owner of a domain: the VM that schedules its tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// VM that acts for the domain.
    pub vm: VmId,
    /// Term of the acting owner, unique in the cell.
    pub term: u64,
}

/// Members of the cell and the acting owners of its domains.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Members {
    pub(crate) vms: BTreeMap<VmId, Vm>,
    pub(crate) workers: BTreeMap<WorkerId, WorkerProfile>,
    owners: BTreeMap<DomainId, Owner>,
    /// Highest term that any acting owner has had.
    #[serde(rename = "term")]
    last_term: u64,
    /// Silent workers of the domains whose acting owners log them.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    silences: BTreeMap<DomainId, DomainSilences>,
}

impl Members {
    pub(crate) fn owner(&self, domain: DomainId) -> Option<Owner> {
        self.owners.get(&domain).copied()
    }

    pub(crate) fn owners(&self) -> impl Iterator<Item = (DomainId, Owner)> {
        self.owners.iter().map(|(&domain, &owner)| (domain, owner))
    }

    pub(crate) fn add_vm(&mut self, vm: &Vm) -> Reply {
        for address in [&vm.http, &vm.peer] {
            if address.parse::<SocketAddr>().is_err() {
                return Reply::Refused(Refusal::BadAddress(address.clone()));
            }
        }
        self.vms.insert(vm.id, vm.clone());
        Reply::Done
    }

    pub(crate) fn remove_vm(&mut self, id: VmId) -> Reply {
        // Without an acting owner, nothing would schedule the jobs of the domain or release its
        // allotments.
        if let Some((domain, _)) = self.owners().find(|(_, owner)| owner.vm == id) {
            return Reply::Refused(Refusal::ActingOwner(domain));
        }
        self.vms.remove(&id);
        Reply::Done
    }

    pub(crate) fn update_workers(&mut self, add: &[WorkerProfile], remove: &[WorkerId]) -> Reply {
        for id in remove {
            self.workers.remove(id);
            for silences in self.silences.values_mut() {
                silences.workers.remove(id);
            }
        }
        for profile in add {
            self.workers.insert(profile.worker, profile.clone());
        }
        Reply::Done
    }

    pub(crate) fn set_owner(&mut self, domain: DomainId, vm: VmId, from_term: u64) -> Reply {
        if !self.vms.contains_key(&vm) {
            return Reply::Refused(Refusal::UnknownVm(vm));
        }
        let owner = self.owner(domain);
        if from_term != owner.map_or(0, |o| o.term) {
            return Reply::Refused(Refusal::StaleTerm { owner });
        }
        // Terms are unique in the cell, not only in the domain. Attempt ids contain the term but
        // not the domain, so a job that moves to another domain could otherwise reuse an id.
        self.last_term = self.last_term.saturating_add(1);
        let owner = Owner {
            vm,
            term: self.last_term,
        };
        self.owners.insert(domain, owner);
        Reply::Owner(owner)
    }

    /// Keeps those silent workers of a domain for its new term of which the proposer knows as well.
    /// It may renew the leases of the others without an entry, since it has restored a snapshot of
    /// a build without silent workers, or is such a build itself and sends no list.
    pub(crate) fn keep_silences(
        &mut self,
        domain: DomainId,
        silent: Option<&[WorkerId]>,
        index: u64,
    ) {
        let Some(silent) = silent else {
            self.silences.remove(&domain);
            return;
        };
        let silences = self.silences.entry(domain).or_default();
        silences.index = index;
        silences.workers.retain(|worker, _| silent.contains(worker));
    }

    /// Applies changes of the workers whose task leases are renewed.
    pub(crate) fn change_leases(
        &mut self,
        changes: &LeaseChanges,
        index: u64,
    ) -> Result<(), Refusal> {
        self.check_term(changes.domain, changes.term)?;
        let silences = self.silences.get_mut(&changes.domain);
        if silences.is_some_and(|s| s.apply(changes, index)) {
            Ok(())
        } else {
            let owner = self.owner(changes.domain);
            Err(Refusal::StaleTerm { owner })
        }
    }

    pub(crate) fn silence(&self, domain: DomainId, worker: WorkerId) -> Option<Silence> {
        self.silences.get(&domain)?.workers.get(&worker).copied()
    }

    pub(crate) fn silent_workers(&self, domain: DomainId) -> Vec<WorkerId> {
        let silences = self.silences.get(&domain);
        silences.map_or(Vec::new(), |s| s.workers.keys().copied().collect())
    }

    pub(crate) fn lease_index(&self, domain: DomainId) -> Option<u64> {
        self.silences.get(&domain).map(|s| s.index)
    }

    /// Refuses a proposal that does not carry the current term of the domain.
    pub(crate) fn check_term(&self, domain: DomainId, term: u64) -> Result<(), Refusal> {
        let owner = self.owner(domain);
        if owner.is_some_and(|o| o.term == term) {
            Ok(())
        } else {
            Err(Refusal::StaleTerm { owner })
        }
    }
}
