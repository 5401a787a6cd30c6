//! Workers whose task leases the acting owner of their domain has stopped renewing.
//!
//! The acting owner tells the other VMs through the log, so that a new acting owner counts the wait
//! for these leases from that entry and not from its own term.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::DomainId;
use zinnia_types::WorkerId;

/// Changes of the set of workers whose task leases are renewed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseChanges {
    /// The domain.
    pub domain: DomainId,
    /// Term of the acting owner of the domain, which proposes this.
    pub term: u64,
    /// Index of the last change, as in [`Cell::lease_index`](crate::Cell::lease_index). A delayed
    /// proposal carries an older one and is refused, so that it stops no renewal that was resumed
    /// after it.
    pub from: u64,
    /// Workers whose leases are not renewed any more, with the time in milliseconds for which no
    /// lease had been renewed when this was proposed.
    pub stopped: BTreeMap<WorkerId, u64>,
    /// Workers whose leases are renewed once this is applied.
    pub resumed: Vec<WorkerId>,
}

/// The last renewal of a worker's task leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Silence {
    /// Index of the entry that stopped the renewal.
    pub index: u64,
    /// Time in milliseconds for which no lease had been renewed when the entry was proposed.
    pub age_ms: u64,
}

/// The silent workers of one domain.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct DomainSilences {
    /// Index of the last entry that changed the set or the acting owner.
    pub(crate) index: u64,
    pub(crate) workers: BTreeMap<WorkerId, Silence>,
}

impl DomainSilences {
    /// Applies the changes of the entry at `index`; returns whether they are based on the last
    /// change.
    pub(crate) fn apply(&mut self, changes: &LeaseChanges, index: u64) -> bool {
        if changes.from != self.index {
            return false;
        }
        self.index = index;
        for worker in &changes.resumed {
            self.workers.remove(worker);
        }
        for (&worker, &age_ms) in &changes.stopped {
            let silence = Silence { index, age_ms };
            self.workers.entry(worker).or_insert(silence);
        }
        true
    }
}
