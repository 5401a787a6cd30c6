//! Contact of VMs with the quorum, which determines the changes that a VM must know.

use std::collections::BTreeMap;

use zinnia_types::Time;
use zinnia_types::VmId;

use crate::EventKind;

/// Latest period of contact of a VM with the quorum.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct QuorumContact {
    /// Start of the current or, without contact, of the last period of contact.
    pub(crate) since: Time,
    /// End of that period; `None` while the VM has contact.
    pub(crate) until: Option<Time>,
    /// Whether the VM was killed or has shut down.
    down: bool,
    /// Index of the event that began or ended the period.
    pub(crate) event_index: Option<usize>,
}

impl QuorumContact {
    /// Returns whether the VM may legitimately act without knowledge of a change at `changed_at`.
    /// Changes must reach a VM with contact within `max_lag_ms`; a VM without contact may act for
    /// `isolation_ms`.
    pub(crate) fn may_be_unaware(
        &self,
        changed_at: Time,
        max_lag_ms: u64,
        isolation_ms: u64,
        now: Time,
    ) -> bool {
        let aware_at = changed_at.max(self.since).after(max_lag_ms);
        match self.until {
            _ if self.down => false,
            None => now <= aware_at,
            Some(until) => until <= aware_at && now <= until.after(isolation_ms),
        }
    }
}

/// Contact with the quorum of all VMs that occur in the record.
#[derive(Debug, Default)]
pub(crate) struct QuorumContacts {
    vms: BTreeMap<VmId, QuorumContact>,
}

impl QuorumContacts {
    /// Updates the contact of the VM that the event concerns.
    pub(crate) fn observe(&mut self, index: usize, at: Time, event_kind: &EventKind) {
        let (&vm, reachable, down) = match event_kind {
            EventKind::Reachable { vm } => (vm, true, false),
            EventKind::Unreachable { vm } => (vm, false, false),
            EventKind::Killed { vm } | EventKind::Drained { vm } => (vm, false, true),
            EventKind::InForce { vm, .. }
            | EventKind::Accepted { vm, .. }
            | EventKind::Called { vm, .. } => {
                self.vms.entry(*vm).or_default();
                return;
            }
            _ => return,
        };
        let contact = self.vms.entry(vm).or_default();
        contact.event_index = Some(index);
        contact.down = down;
        if reachable {
            contact.since = at;
            contact.until = None;
        } else if contact.until.is_none() {
            contact.until = Some(at);
        }
    }

    /// Returns the contact of a VM. A VM that does not occur in the record counts as always
    /// reachable.
    pub(crate) fn of(&self, vm: VmId) -> QuorumContact {
        self.vms.get(&vm).copied().unwrap_or_default()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (VmId, QuorumContact)> {
        self.vms.iter().map(|(&vm, &contact)| (vm, contact))
    }
}
