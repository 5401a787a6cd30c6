//! Service endpoints: the workers that run each service, as reported by the workers that this VM
//! owns.

use std::collections::BTreeMap;

use serde_json::Value;
use zinnia_types::ServiceId;
use zinnia_types::WorkerId;
use zinnia_types::worker::TaskState;

use crate::owned_worker::OwnedWorker;

/// The services and the addresses of the workers that run them.
#[derive(Clone, Debug, Default)]
pub struct Endpoints {
    services: BTreeMap<ServiceId, BTreeMap<WorkerId, String>>,
    /// Change counter, by which the router detects that its copy is outdated.
    pub version: u64,
}

impl Endpoints {
    /// Replaces the endpoints of a worker by the services that it runs now. A leaving worker has
    /// none, since it takes no new calls.
    pub fn update_worker(
        &mut self,
        worker: WorkerId,
        owned_workers: &BTreeMap<WorkerId, OwnedWorker>,
    ) {
        self.remove_worker(worker);
        self.version += 1;
        let Some(owned) = owned_workers.get(&worker) else {
            return;
        };
        if owned.leaving {
            return;
        }
        for state in owned.tasks.values() {
            if let TaskState::Running { task, .. } = state
                && let Some(service) = task.service
            {
                let addr = owned.profile.addr.clone();
                self.services
                    .entry(service)
                    .or_default()
                    .insert(worker, addr);
            }
        }
    }

    /// Removes all endpoints of a worker.
    pub fn remove_worker(&mut self, worker: WorkerId) {
        self.version += 1;
        for workers in self.services.values_mut() {
            workers.remove(&worker);
        }
        self.services.retain(|_, workers| !workers.is_empty());
    }

    /// All pairs of service and worker, with the worker's `ip:port`.
    pub fn list(&self) -> BTreeMap<(ServiceId, WorkerId), String> {
        let pairs = self.services.iter().flat_map(|(&service, workers)| {
            workers
                .iter()
                .map(move |(&worker, addr)| ((service, worker), addr.clone()))
        });
        pairs.collect()
    }

    /// Number of endpoints of each service.
    pub fn counts(&self) -> BTreeMap<String, usize> {
        let count = |(service, workers): (&ServiceId, &BTreeMap<WorkerId, String>)| {
            (service.to_string(), workers.len())
        };
        self.services.iter().map(count).collect()
    }

    /// State for the dump.
    pub fn dump(&self) -> Value {
        serde_json::to_value(&self.services).unwrap_or_default()
    }
}
