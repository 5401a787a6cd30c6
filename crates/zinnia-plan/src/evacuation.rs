//! Failure domains that an operator has taken out of service.
//!
//! Nothing is started in such a domain from the log entry on; what runs there goes on. The list is part of the
//! replicated state, so that it holds for every later leader.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::Reply;
use crate::RunOrder;
use crate::State;
use crate::Worker;

/// Most domains that can be out of service at once.
const MAX_DOMAINS: usize = 1_024;
/// Delay after which a request that exceeds the limit may be repeated.
const RETRY_AFTER_MS: u64 = 1_000;

/// Failure domains out of service, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct Evacuations(BTreeSet<String>);

impl Evacuations {
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl State {
    /// Whether a failure domain is out of service.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuations.0.contains(domain)
    }

    /// Failure domains that are out of service, in the order of their names.
    pub fn evacuated_domains(&self) -> impl Iterator<Item = &str> {
        self.evacuations.0.iter().map(String::as_str)
    }

    /// Whether a worker has registered in the failure domain. It may have left since.
    pub fn has_domain(&self, domain: &str) -> bool {
        let mut workers = self.workers.values();
        workers.any(|w| w.incarnation.domain == domain)
    }

    /// Takes a failure domain out of service, or back.
    pub(crate) fn set_evacuated(&mut self, domain: &str, evacuated: bool) -> Reply {
        if !evacuated {
            self.evacuations.0.remove(domain);
            return Reply::Done;
        }
        if !self.is_evacuated(domain) && self.evacuations.0.len() >= MAX_DOMAINS {
            return Reply::Busy {
                retry_after_ms: RETRY_AFTER_MS,
            };
        }
        self.evacuations.0.insert(domain.to_owned());
        Reply::Done
    }

    /// Whether the worker may get tasks: it has not left, is not about to, and its domain is in service.
    pub(crate) fn accepts_tasks(&self, worker: &Worker) -> bool {
        let is_present = !worker.left && !worker.draining;
        is_present && !self.is_evacuated(&worker.incarnation.domain)
    }

    /// Whether the worker with this name is in a domain that is out of service.
    fn is_on_evacuated(&self, worker: &str) -> bool {
        let worker = self.workers.get(worker);
        worker.is_some_and(|w| self.is_evacuated(&w.incarnation.domain))
    }

    /// Whether an order that was prepared before an entry must not be sent after it: the entry has taken the
    /// domain of its worker out of service.
    ///
    /// The order of a gang member is held back also if another member's domain is out of service. That member's
    /// order may be held back, too, and this one would wait for it in vain.
    pub(crate) fn holds_back(&self, order: &RunOrder) -> bool {
        if self.evacuations.is_empty() {
            return false;
        }
        let id = order.task;
        if !self.step(id).is_some_and(|step| step.gang) {
            return self.is_on_evacuated(&order.worker);
        }
        let round = self
            .jobs
            .get(&id.job)
            .and_then(|job| job.rounds.get(id.round as usize));
        let members = round.and_then(|steps| steps.get(id.step as usize));
        let mut workers = members
            .into_iter()
            .flat_map(|step| &step.tasks)
            .filter_map(|task| task.worker.as_deref());
        workers.any(|worker| self.is_on_evacuated(worker))
    }
}
