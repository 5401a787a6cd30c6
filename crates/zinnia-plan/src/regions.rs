//! Regions of failure domains, to which queues can be bound.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::Queue;

/// The region of each failure domain of the cell. Cheap to clone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Regions {
    by_domain: Arc<BTreeMap<String, String>>,
}

impl Regions {
    /// Creates the regions from pairs of domain and region.
    pub fn new(by_domain: BTreeMap<String, String>) -> Self {
        Self {
            by_domain: Arc::new(by_domain),
        }
    }

    /// Whether the domains of the cell are not known.
    pub fn is_empty(&self) -> bool {
        self.by_domain.is_empty()
    }

    /// Returns the region of a domain, if it is known.
    pub fn of(&self, domain: &str) -> Option<&str> {
        self.by_domain.get(domain).map(String::as_str)
    }

    /// Whether tasks of the queue may run in the domain. A domain without a region is closed to queues that
    /// are bound to regions, since it may lie in another one.
    pub(crate) fn allows(&self, queue: &Queue, domain: &str) -> bool {
        !queue.is_bound() || self.of(domain).is_some_and(|region| queue.allows(region))
    }
}
