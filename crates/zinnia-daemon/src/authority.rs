//! Whether this VM may act as acting owner: the VM lease and the isolated mode.

use std::collections::BTreeMap;

use serde::Serialize;
use zinnia_types::LeaseSettings;
use zinnia_types::Time;
use zinnia_types::VmId;

/// The authority under which a VM acts as acting owner at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AuthorityMode {
    /// The VM holds a valid VM lease: the leader answered one of its recent pings.
    Quorum,
    /// The failure domain as a whole is cut off from the quorum, as every other VM of the domain
    /// confirms.
    Isolated,
    /// The VM must not act, since another VM may be acting owner already.
    #[serde(rename = "nothing")]
    Inactive,
}

/// The quorum contact of another VM, from its last answer to a ping.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct PeerContact {
    /// When the answered ping was sent.
    pub sent: Time,
    /// Whether the VM had contact with the quorum when it answered.
    pub contact: bool,
}

/// The VM lease of this VM and the quorum contact of the other VMs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Authority {
    /// Send time of the ping that last renewed the lease; `None` before the first renewal.
    renewed: Option<Time>,
    /// Send time of an answered ping and the leader's commit index. The ping renews the lease once
    /// this VM has applied the log up to that index.
    pending: Option<(Time, u64)>,
    contacts: BTreeMap<VmId, PeerContact>,
    /// Send time of the last ping that a VM with quorum contact answered.
    informed: Option<Time>,
}

impl Authority {
    /// Records that the leader answered a ping sent at `sent` with the commit index `commit`, while
    /// this VM had applied the log up to `applied`.
    ///
    /// The lease is renewed only once this VM has applied the log up to `commit`. Otherwise the VM
    /// could act for a domain that the log has already assigned to another VM.
    pub fn record_lease_answer(&mut self, sent: Time, commit: u64, applied: u64) {
        if applied >= commit {
            self.renewed = self.renewed.max(Some(sent));
            self.pending = None;
        } else if self.pending.is_none() {
            self.pending = Some((sent, commit));
        }
    }

    /// Records up to which index this VM has applied the log.
    pub fn record_applied(&mut self, applied: u64) {
        if let Some((sent, commit)) = self.pending
            && applied >= commit
        {
            self.record_lease_answer(sent, commit, applied);
        }
    }

    /// Records the quorum contact that another VM reported.
    pub fn record_contact(&mut self, vm: VmId, contact: PeerContact) {
        if contact.contact {
            self.informed = self.informed.max(Some(contact.sent));
        }
        self.contacts.insert(vm, contact);
    }

    /// Whether the VM answered a ping that was sent within the last VM lease.
    pub fn is_reachable(&self, vm: VmId, now: Time, leases: &LeaseSettings) -> bool {
        let contact = self.contacts.get(&vm);
        contact.is_some_and(|c| now.since(c.sent) < leases.vm_ms)
    }

    /// Whether this VM holds a valid VM lease.
    pub fn has_quorum(&self, now: Time, leases: &LeaseSettings) -> bool {
        self.renewed
            .is_some_and(|sent| now.since(sent) < leases.vm_ms)
    }

    /// Whether this VM may still accept keys. After a longer isolation it could have missed
    /// withdrawals.
    pub fn accepts_keys(&self, now: Time, leases: &LeaseSettings) -> bool {
        // Ping answers carry the withdrawn keys, so an answer from any VM with quorum contact is
        // enough. A VM whose disk failed applies no entries and renews no lease, but still routes
        // calls. Before its first lease a restarted process has not caught up with the log, and
        // would serve older state than before its restart.
        let caught_up = self.renewed.is_some();
        let last_contact = self.renewed.max(self.informed);
        caught_up && last_contact.is_some_and(|sent| now.since(sent) < leases.isolation_ms)
    }

    /// The authority of this VM at present. `domain_peers` are the other VMs of its failure domain.
    ///
    /// Isolated mode needs a recent answer from every one of them. A VM of the domain that does not
    /// answer may have quorum contact and may have become acting owner, and a new acting owner
    /// relies on its predecessor having stopped.
    pub fn mode(&self, domain_peers: &[VmId], now: Time, leases: &LeaseSettings) -> AuthorityMode {
        let Some(renewed) = self.renewed else {
            return AuthorityMode::Inactive;
        };
        if now.since(renewed) < leases.vm_ms {
            return AuthorityMode::Quorum;
        }
        if now.since(renewed) >= leases.isolation_ms {
            return AuthorityMode::Inactive;
        }
        // A VM may become acting owner after a VM lease plus margin of quorum contact. Two ping
        // intervals are much shorter, so regained contact is noticed before that.
        let contact_ttl = 2 * leases.ping_ms;
        let confirms_isolation = |vm: &VmId| {
            let contact = self.contacts.get(vm);
            contact.is_some_and(|c| !c.contact && now.since(c.sent) < contact_ttl)
        };
        if domain_peers.iter().all(confirms_isolation) {
            AuthorityMode::Isolated
        } else {
            AuthorityMode::Inactive
        }
    }
}
