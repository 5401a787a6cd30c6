//! The router of calls behind its own lock, so that calls do not wait for scheduling decisions.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use serde_json::Value;
use tokio::sync::mpsc;
use zinnia_replica::clock;
use zinnia_route::Action;
use zinnia_route::CallId;
use zinnia_route::Event;
use zinnia_route::Router;
use zinnia_route::Settings;
use zinnia_types::Document;
use zinnia_types::ServiceId;
use zinnia_types::WorkerId;

/// Calls that a worker runs at the same time for one service.
const SLOTS: u32 = 8;
/// Connections that a worker accepts for one service.
const CONNECTIONS: u32 = 64;

/// The router and the calls that wait for its actions.
pub struct Routing {
    inner: Mutex<Inner>,
}

struct Inner {
    router: Router,
    waiting: BTreeMap<CallId, mpsc::UnboundedSender<Action>>,
    endpoints: BTreeMap<(ServiceId, WorkerId), String>,
    version: u64,
}

impl Routing {
    /// A router without endpoints.
    pub fn new(seed: u64) -> Self {
        let settings = Settings {
            seed,
            ..Settings::default()
        };
        Self {
            inner: Mutex::new(Inner {
                router: Router::new(settings),
                waiting: BTreeMap::new(),
                endpoints: BTreeMap::new(),
                version: 0,
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a call and returns the actions that concern it.
    pub fn open(&self, id: CallId, event: Event) -> mpsc::UnboundedReceiver<Action> {
        let (tx, rx) = mpsc::unbounded_channel();
        let mut inner = self.lock();
        inner.waiting.insert(id, tx);
        inner.step(event);
        rx
    }

    /// Passes an event on.
    pub fn step(&self, event: Event) {
        self.lock().step(event);
    }

    /// Forgets a call whose caller has its answer.
    pub fn close(&self, id: CallId) {
        self.lock().waiting.remove(&id);
    }

    /// Address of a worker that serves a service.
    pub fn address(&self, service: ServiceId, worker: WorkerId) -> Option<String> {
        self.lock().endpoints.get(&(service, worker)).cloned()
    }

    /// Whether any worker serves the service here.
    pub fn serves(&self, service: ServiceId) -> bool {
        let inner = self.lock();
        inner.endpoints.keys().any(|(s, _)| *s == service)
    }

    /// Takes over the endpoints as of `version`.
    pub fn sync(
        &self,
        version: u64,
        list: impl FnOnce() -> BTreeMap<(ServiceId, WorkerId), String>,
    ) {
        let mut inner = self.lock();
        if inner.version >= version {
            return;
        }
        inner.version = version;
        let next = list();
        let old = std::mem::replace(&mut inner.endpoints, next.clone());
        for &(service, worker) in old.keys().filter(|k| !next.contains_key(k)) {
            inner.step(Event::EndpointRemoved { service, worker });
        }
        for &(service, worker) in next.keys().filter(|k| !old.contains_key(k)) {
            inner.step(Event::EndpointUpdated {
                service,
                worker,
                slots: SLOTS,
                max_connections: CONNECTIONS,
            });
        }
    }

    /// Takes over the limits of the teams.
    pub fn document(&self, document: &Document) {
        let mut inner = self.lock();
        for team in &document.teams {
            inner.step(Event::TeamLimits {
                team: team.name,
                max_calls: team.calls,
                share: team.share,
            });
        }
    }

    /// Lets time pass and returns the milliseconds until the next tick is due.
    pub fn tick(&self) -> u64 {
        let mut inner = self.lock();
        inner.step(Event::Tick);
        let now = clock::now();
        inner.router.next_tick(now).since(now).max(1)
    }

    /// State for a dump.
    pub fn dump(&self) -> Value {
        self.lock().router.dump()
    }
}

impl Inner {
    fn step(&mut self, event: Event) {
        for action in self.router.step(event, clock::now()) {
            let id = match &action {
                Action::Dispatch { id, .. }
                | Action::Deliver { id, .. }
                | Action::Refuse { id, .. }
                | Action::Abandon { id, .. } => *id,
                Action::Eject { worker, until } => {
                    metrics::counter!("zinnia_ejections_total").increment(1);
                    tracing::warn!(%worker, until = until.0, "worker is ejected from routing");
                    continue;
                }
            };
            if let Some(tx) = self.waiting.get(&id) {
                let _ = tx.send(action);
            }
        }
    }
}
