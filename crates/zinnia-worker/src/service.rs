//! Services that run on the worker and the limits on their calls.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::sync::Semaphore;
use zinnia_types::AttemptId;
use zinnia_types::ServiceId;

use crate::ServiceSettings;
use crate::SimPayload;

/// All services of the worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Services(Arc<Mutex<BTreeMap<ServiceId, Arc<Service>>>>);

/// One service, with the attempts that run it and its calls in flight.
#[derive(Debug)]
pub(crate) struct Service {
    /// Attempts with the run time of a call in milliseconds.
    attempts: Mutex<BTreeMap<AttemptId, u64>>,
    /// Limits the calls that run at the same time.
    pub(crate) slots: Semaphore,
    /// Calls that run or wait for a slot.
    in_flight: AtomicUsize,
    max_calls: usize,
}

/// Permit of a call in flight, released on drop.
#[derive(Debug)]
pub(crate) struct CallPermit(pub(crate) Arc<Service>);

impl Services {
    pub(crate) fn add_attempt(
        &self,
        id: ServiceId,
        attempt: AttemptId,
        payload: &SimPayload,
        settings: &ServiceSettings,
    ) {
        let mut all = lock(&self.0);
        let service = all.entry(id).or_insert_with(|| {
            Arc::new(Service {
                attempts: Mutex::default(),
                slots: Semaphore::new(settings.slots),
                in_flight: AtomicUsize::new(0),
                max_calls: settings.max_calls,
            })
        });
        lock(&service.attempts).insert(attempt, payload.delay_ms);
    }

    pub(crate) fn remove_attempt(&self, attempt: AttemptId) {
        for service in lock(&self.0).values() {
            lock(&service.attempts).remove(&attempt);
        }
    }

    /// Returns the service if an attempt runs it.
    pub(crate) fn get(&self, id: ServiceId) -> Option<Arc<Service>> {
        let service = lock(&self.0).get(&id).cloned()?;
        let is_running = !lock(&service.attempts).is_empty();
        is_running.then_some(service)
    }

    /// Calls of all services that run or wait for a slot.
    pub(crate) fn in_flight(&self) -> usize {
        let all = lock(&self.0);
        all.values().map(|s| s.in_flight()).sum()
    }
}

impl Service {
    /// Run time of a call in milliseconds.
    pub(crate) fn delay_ms(&self) -> u64 {
        lock(&self.attempts).values().next().copied().unwrap_or(0)
    }

    /// Calls that run or wait for a slot.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Acquires a permit, or returns `None` if the service is at its limit.
    pub(crate) fn try_acquire(self: &Arc<Self>) -> Option<CallPermit> {
        let permit = CallPermit(self.clone());
        // The permit is counted before the check. If it exceeds the limit, its drop uncounts it.
        let before = self.in_flight.fetch_add(1, Ordering::SeqCst);
        (before < self.max_calls).then_some(permit)
    }
}

impl Drop for CallPermit {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
