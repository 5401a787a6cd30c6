//! Worker registration, draining, removal and ejection.

use zinnia_types::Code;
use zinnia_types::ServiceId;
use zinnia_types::Time;
use zinnia_types::WorkerId;

use crate::Action;
use crate::AttemptError;
use crate::Router;
use crate::health::Health;
use crate::service::Service;

/// State of a worker that all its endpoints share.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorkerState {
    pub(crate) draining: bool,
    pub(crate) health: Health,
}

impl Router {
    fn worker_state(&mut self, worker: WorkerId) -> &mut WorkerState {
        self.workers.entry(worker).or_default()
    }

    /// Copies the state of `worker` to its endpoints.
    fn sync_endpoints(&mut self, worker: WorkerId) {
        let Some(state) = self.workers.get(&worker) else {
            return;
        };
        for service in self.services.values_mut() {
            if let Some(endpoint) = service.get_mut(worker) {
                endpoint.worker_state = *state;
            }
        }
    }

    pub(crate) fn drain_worker(&mut self, worker: WorkerId) {
        self.worker_state(worker).draining = true;
        self.sync_endpoints(worker);
    }

    pub(crate) fn update_endpoint(
        &mut self,
        id: ServiceId,
        worker: WorkerId,
        slots: u32,
        max_connections: u32,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        self.worker_state(worker);
        self.generation += 1;
        let generation = self.generation;
        let retry = &self.settings.retry;
        let service = self.services.entry(id);
        let service = service.or_insert_with(|| Service::new(retry));
        service.upsert(worker, generation, slots, max_connections);
        self.sync_endpoints(worker);
        self.dispatch_queued(id, now, actions);
    }

    pub(crate) fn remove_worker(&mut self, worker: WorkerId, now: Time) {
        self.workers.remove(&worker);
        for service in self.services.values_mut() {
            service.remove(worker, now);
        }
    }

    /// Removes services that had no worker for `empty_ms` and refuses their queued calls.
    pub(crate) fn remove_empty_services(&mut self, now: Time, actions: &mut Vec<Action>) {
        let retention = self.settings.queue.empty_ms;
        let expired = |s: &Service| {
            s.empty_since
                .is_some_and(|since| now.since(since) >= retention)
        };
        let removed = self.services.iter().filter(|(_, s)| expired(s));
        let removed: Vec<ServiceId> = removed.map(|(id, _)| *id).collect();
        for id in removed {
            let service = self.services.remove(&id);
            for call in service.map(|mut s| s.queue.drain()).unwrap_or_default() {
                self.refuse(call, Code::Unavailable, actions);
            }
        }
    }

    pub(crate) fn record_success(&mut self, worker: WorkerId) {
        let settings = &self.settings.eject;
        let Some(state) = self.workers.get_mut(&worker) else {
            return;
        };
        let half_open = state.health.half_open;
        state.health.record_success(settings);
        if half_open {
            self.sync_endpoints(worker);
        }
    }

    /// Records a failure of `worker` and ejects it at too many consecutive failures.
    pub(crate) fn record_failure(
        &mut self,
        worker: WorkerId,
        error: AttemptError,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let settings = &self.settings.eject;
        let Some(state) = self.workers.get_mut(&worker) else {
            return;
        };
        if state.health.is_ejected(now) || !state.health.record_failure(error, settings) {
            return;
        }
        if !self.policy.enforce_limits || !self.may_eject(worker, now) {
            return;
        }
        if let Some(state) = self.workers.get_mut(&worker) {
            let until = state.health.eject(&self.settings.eject, now);
            self.counters.ejections += 1;
            actions.push(Action::Eject { worker, until });
            self.sync_endpoints(worker);
        }
    }

    /// Whether the ejection of `worker` keeps each of its services within the limit on ejected workers.
    ///
    /// If most workers fail, the cause is not the workers, and ejecting them only overloads the rest.
    fn may_eject(&mut self, worker: WorkerId, now: Time) -> bool {
        let percent = self.settings.eject.max_percent as usize;
        for service in self.services.values_mut() {
            if service.get_mut(worker).is_none() {
                continue;
            }
            let ejected = service.endpoints.iter();
            let ejected = ejected.filter(|e| e.worker_state.health.is_ejected(now));
            if (ejected.count() + 1) * 100 > service.endpoints.len() * percent {
                return false;
            }
        }
        true
    }
}
