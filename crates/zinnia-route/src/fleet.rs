//! Workers: arrival, leaving, loss and ejection.

use zinnia_types::Code;
use zinnia_types::ServiceId;
use zinnia_types::Time;
use zinnia_types::WorkerId;

use crate::Action;
use crate::AttemptError;
use crate::Router;
use crate::health::Health;
use crate::service::Service;

/// What is known of a worker beyond its endpoints.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Target {
    pub(crate) leaving: bool,
    pub(crate) health: Health,
}

impl Router {
    fn target(&mut self, worker: WorkerId) -> &mut Target {
        self.targets.entry(worker).or_default()
    }

    /// Copies the state of `worker` to its endpoints.
    fn copy(&mut self, worker: WorkerId) {
        let Some(target) = self.targets.get(&worker) else {
            return;
        };
        for service in self.services.values_mut() {
            if let Some(end) = service.get_mut(worker) {
                end.target = *target;
            }
        }
    }

    pub(crate) fn leaving(&mut self, worker: WorkerId) {
        self.target(worker).leaving = true;
        self.copy(worker);
    }

    pub(crate) fn endpoint(
        &mut self,
        id: ServiceId,
        worker: WorkerId,
        slots: u32,
        max_connections: u32,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.target(worker);
        self.generation += 1;
        let generation = self.generation;
        let retry = &self.settings.retry;
        let service = self.services.entry(id);
        let service = service.or_insert_with(|| Service::new(retry));
        service.add(worker, generation, slots, max_connections);
        self.copy(worker);
        self.pump(id, now, out);
    }

    pub(crate) fn gone(&mut self, worker: WorkerId, now: Time) {
        self.targets.remove(&worker);
        for service in self.services.values_mut() {
            service.remove(worker, now);
        }
    }

    /// Drops services that no worker has run for some time, and refuses what waits for them.
    pub(crate) fn drop_services(&mut self, now: Time, out: &mut Vec<Action>) {
        let wait = self.settings.queue.empty_ms;
        let old = |s: &Service| s.empty.is_some_and(|since| now.since(since) >= wait);
        let dropped = self.services.iter().filter(|(_, s)| old(s));
        let dropped: Vec<ServiceId> = dropped.map(|(id, _)| *id).collect();
        for id in dropped {
            let service = self.services.remove(&id);
            for call in service.map(|mut s| s.queue.drain()).unwrap_or_default() {
                self.refuse(call, Code::Unavailable, out);
            }
        }
    }

    pub(crate) fn worker_succeeded(&mut self, worker: WorkerId) {
        let settings = &self.settings.eject;
        let Some(target) = self.targets.get_mut(&worker) else {
            return;
        };
        let proving = target.health.proving;
        target.health.succeeded(settings);
        if proving {
            self.copy(worker);
        }
    }

    /// Notes a failure of `worker` and ejects it when it fails too often.
    pub(crate) fn worker_failed(
        &mut self,
        worker: WorkerId,
        error: AttemptError,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let settings = &self.settings.eject;
        let Some(target) = self.targets.get_mut(&worker) else {
            return;
        };
        if target.health.is_ejected(now) || !target.health.failed(error, settings) {
            return;
        }
        if !self.policy.guarded || !self.may_eject(worker, now) {
            return;
        }
        if let Some(target) = self.targets.get_mut(&worker) {
            let until = target.health.eject(&self.settings.eject, now);
            self.counts.ejections += 1;
            out.push(Action::Eject { worker, until });
            self.copy(worker);
        }
    }

    /// Whether enough workers of each of its services remain without `worker`.
    ///
    /// When most workers fail, the cause is not the workers, and leaving them out only overloads the rest.
    fn may_eject(&mut self, worker: WorkerId, now: Time) -> bool {
        let percent = self.settings.eject.percent as usize;
        for service in self.services.values_mut() {
            if service.get_mut(worker).is_none() {
                continue;
            }
            let out = service.endpoints.iter();
            let out = out.filter(|e| e.target.health.is_ejected(now));
            if (out.count() + 1) * 100 > service.endpoints.len() * percent {
                return false;
            }
        }
        true
    }
}
