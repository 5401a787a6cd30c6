//! The router of service calls. It has a lock of its own, so that calls do not wait for scheduling
//! decisions.

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

/// Calls that a worker runs concurrently for one service.
const SLOTS_PER_SERVICE: u32 = 8;
/// Connections that a worker accepts for one service.
const CONNECTIONS_PER_SERVICE: u32 = 64;

/// The router and the open calls that receive its actions.
pub struct CallRouter {
    state: Mutex<RouterState>,
}

struct RouterState {
    router: Router,
    action_senders: BTreeMap<CallId, mpsc::UnboundedSender<Action>>,
    endpoints: BTreeMap<(ServiceId, WorkerId), String>,
    version: u64,
}

impl CallRouter {
    /// Creates a router without endpoints.
    pub fn new(seed: u64) -> Self {
        let settings = Settings {
            seed,
            ..Settings::default()
        };
        Self {
            state: Mutex::new(RouterState {
                router: Router::new(settings),
                action_senders: BTreeMap::new(),
                endpoints: BTreeMap::new(),
                version: 0,
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, RouterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a call with the event that announces it, and returns the stream of its actions.
    pub fn open_call(&self, id: CallId, event: Event) -> mpsc::UnboundedReceiver<Action> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut state = self.lock();
        state.action_senders.insert(id, sender);
        state.step(event);
        receiver
    }

    /// Passes an event to the router.
    pub fn step(&self, event: Event) {
        self.lock().step(event);
    }

    /// Closes a call, so that it receives no further actions.
    pub fn close_call(&self, id: CallId) {
        self.lock().action_senders.remove(&id);
    }

    /// The address of a worker, if it serves the service.
    pub fn worker_address(&self, service: ServiceId, worker: WorkerId) -> Option<String> {
        self.lock().endpoints.get(&(service, worker)).cloned()
    }

    /// Whether any worker owned by this VM serves the service.
    pub fn serves(&self, service: ServiceId) -> bool {
        let state = self.lock();
        state.endpoints.keys().any(|(s, _)| *s == service)
    }

    /// Replaces the endpoints by `list` if `version` is newer than the present ones.
    pub fn sync_endpoints(
        &self,
        version: u64,
        list: impl FnOnce() -> BTreeMap<(ServiceId, WorkerId), String>,
    ) {
        let mut state = self.lock();
        if state.version >= version {
            return;
        }
        state.version = version;
        let endpoints = list();
        let previous = std::mem::replace(&mut state.endpoints, endpoints.clone());
        for &(service, worker) in previous.keys().filter(|k| !endpoints.contains_key(k)) {
            state.step(Event::EndpointRemoved { service, worker });
        }
        for &(service, worker) in endpoints.keys().filter(|k| !previous.contains_key(k)) {
            state.step(Event::EndpointUpdated {
                service,
                worker,
                slots: SLOTS_PER_SERVICE,
                max_connections: CONNECTIONS_PER_SERVICE,
            });
        }
    }

    /// Passes the teams' call limits and shares to the router.
    pub fn update_teams(&self, document: &Document) {
        let mut state = self.lock();
        for team in &document.teams {
            state.step(Event::TeamLimits {
                team: team.name,
                max_calls: team.calls,
                share: team.share,
            });
        }
    }

    /// Advances the router's clock and returns the milliseconds until the next tick is due.
    pub fn tick(&self) -> u64 {
        let mut state = self.lock();
        state.step(Event::Tick);
        let now = clock::now();
        state.router.next_tick(now).since(now).max(1)
    }

    /// State for the dump.
    pub fn dump(&self) -> Value {
        self.lock().router.dump()
    }
}

impl RouterState {
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
            if let Some(sender) = self.action_senders.get(&id) {
                let _ = sender.send(action);
            }
        }
    }
}
