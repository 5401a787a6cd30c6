//! Which VMs can be reached, and what they must know by when.

use std::collections::BTreeMap;

use zinnia_types::Time;
use zinnia_types::VmId;

use crate::EventKind;

/// Contact of a VM with the quorum.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reach {
    /// Start of the current or the last contact.
    pub(crate) since: Time,
    /// End of that contact, unless it continues.
    pub(crate) until: Option<Time>,
    /// Whether the VM does not run.
    down: bool,
    /// Number of the event that began or ended the contact.
    pub(crate) event: Option<usize>,
}

impl Reach {
    /// Whether the VM may act without knowledge of a change made at `made`, when changes reach it
    /// within `lag` and it acts at most `isolation` without contact.
    pub(crate) fn may_lack(&self, made: Time, lag: u64, isolation: u64, now: Time) -> bool {
        let known = made.max(self.since).after(lag);
        match self.until {
            _ if self.down => false,
            None => now <= known,
            Some(until) => until <= known && now <= until.after(isolation),
        }
    }
}

/// All VMs that the record names.
#[derive(Debug, Default)]
pub(crate) struct Reaches {
    vms: BTreeMap<VmId, Reach>,
}

impl Reaches {
    pub(crate) fn observe(&mut self, n: usize, at: Time, fact: &EventKind) {
        let (&vm, reachable, down) = match fact {
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
        let reach = self.vms.entry(vm).or_default();
        reach.event = Some(n);
        reach.down = down;
        if reachable {
            reach.since = at;
            reach.until = None;
        } else if reach.until.is_none() {
            reach.until = Some(at);
        }
    }

    /// Contact of one VM; a VM that the record does not name was always reachable.
    pub(crate) fn of(&self, vm: VmId) -> Reach {
        self.vms.get(&vm).copied().unwrap_or_default()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (VmId, Reach)> {
        self.vms.iter().map(|(&vm, &reach)| (vm, reach))
    }
}
