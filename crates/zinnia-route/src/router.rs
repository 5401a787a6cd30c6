//! Router state and event handling.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;
use zinnia_types::ServiceId;
use zinnia_types::TeamId;
use zinnia_types::Time;
use zinnia_types::WorkerId;

use crate::Action;
use crate::CallId;
use crate::Event;
use crate::Policy;
use crate::Settings;
use crate::call::Attempt;
use crate::call::Call;
use crate::service::Service;
use crate::team::Team;
use crate::workers::WorkerState;

/// Ended call ids that are kept to recognise duplicate events.
const MAX_ENDED_CALLS: usize = 8_192;

/// Event counters for the dump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub(crate) struct Counters {
    pub(crate) calls: u64,
    pub(crate) dispatches: u64,
    pub(crate) retries: u64,
    pub(crate) delivered: u64,
    pub(crate) refused: u64,
    pub(crate) shed: u64,
    pub(crate) ejections: u64,
}

/// Routes calls to the workers that run their services.
#[derive(Debug)]
pub struct Router {
    pub(crate) settings: Settings,
    pub(crate) policy: Policy,
    pub(crate) rng: SmallRng,
    pub(crate) calls: BTreeMap<CallId, Call>,
    pub(crate) attempts: BTreeMap<(CallId, u32), Attempt>,
    pub(crate) services: BTreeMap<ServiceId, Service>,
    pub(crate) workers: BTreeMap<WorkerId, WorkerState>,
    pub(crate) teams: BTreeMap<TeamId, Team>,
    /// Virtual time of the fair queues: the highest one at which a team was served.
    pub(crate) virtual_time: u64,
    /// Generation of the endpoint that was added last.
    pub(crate) generation: u64,
    pub(crate) draining: bool,
    pub(crate) counters: Counters,
    /// Calls in flight by deadline.
    pub(crate) deadlines: BTreeSet<(Time, CallId)>,
    /// Abandoned attempts by the end of their grace period.
    pub(crate) abandoned: BTreeSet<(Time, CallId, u32)>,
    /// Recently ended calls; every id below `ended_below` counts as ended.
    ended: BTreeSet<CallId>,
    ended_below: CallId,
}

impl Router {
    /// Creates a router without workers that uses the default policy.
    pub fn new(settings: Settings) -> Self {
        Self::with_policy(settings, Policy::default())
    }

    /// Creates a router that selects workers and admits calls by `policy`.
    pub fn with_policy(settings: Settings, policy: Policy) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(settings.seed),
            settings,
            policy,
            calls: BTreeMap::new(),
            attempts: BTreeMap::new(),
            services: BTreeMap::new(),
            workers: BTreeMap::new(),
            teams: BTreeMap::new(),
            virtual_time: 0,
            generation: 0,
            draining: false,
            counters: Counters::default(),
            deadlines: BTreeSet::new(),
            abandoned: BTreeSet::new(),
            ended: BTreeSet::new(),
            ended_below: CallId(0),
        }
    }

    /// Handles an event and returns the resulting actions. `now` must not decrease between calls.
    pub fn step(&mut self, event: Event, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        match event {
            Event::Call {
                id,
                team,
                service,
                retryable,
                deadline,
            } => {
                let call = Call::new(team, service, retryable, deadline);
                self.admit(id, call, now, &mut actions);
            }
            Event::Sent { id, attempt } => {
                if let Some(attempt) = self.attempts.get_mut(&(id, attempt)) {
                    attempt.sent = true;
                }
            }
            Event::Answered { id, attempt } => self.on_answer(id, attempt, now, &mut actions),
            Event::Failed { id, attempt, error } => {
                self.on_failure(id, attempt, error, now, &mut actions);
            }
            Event::Cancelled { id } => self.on_cancel(id, now, &mut actions),
            Event::EndpointUpdated {
                service,
                worker,
                slots,
                max_connections,
            } => self.update_endpoint(service, worker, slots, max_connections, now, &mut actions),
            Event::WorkerLoad {
                service,
                worker,
                in_flight,
            } => {
                let service = self.services.get_mut(&service);
                if let Some(endpoint) = service.and_then(|s| s.get_mut(worker)) {
                    endpoint.record_remote_load(in_flight, now);
                }
            }
            Event::EndpointRemoved { service, worker } => {
                if let Some(service) = self.services.get_mut(&service) {
                    service.remove(worker, now);
                }
            }
            Event::WorkerDraining { worker } => self.drain_worker(worker),
            Event::WorkerRemoved { worker } => self.remove_worker(worker, now),
            Event::TeamLimits {
                team,
                max_calls,
                share,
            } => {
                let team = self.team(team);
                team.max_calls = max_calls;
                team.share = share.max(1);
            }
            Event::Drain => self.draining = true,
            Event::Tick => {
                self.remove_empty_services(now, &mut actions);
                self.dispatch_all(now, &mut actions);
            }
        }
        actions
    }

    /// When the next [`Event::Tick`] is due.
    pub fn next_tick(&self, now: Time) -> Time {
        /// Polling interval while calls are queued, since no event reports the end of an ejection.
        const POLL_MS: u64 = 20;
        const IDLE_MS: u64 = 1_000;
        let has_queued = self.services.values().any(|s| s.queue.len() > 0);
        let mut due = now.after(if has_queued { POLL_MS } else { IDLE_MS });
        if let Some((deadline, _)) = self.deadlines.first() {
            due = due.min(*deadline);
        }
        if let Some((limit, _, _)) = self.abandoned.first() {
            due = due.min(*limit);
        }
        due.max(now.after(1))
    }

    /// Number of calls that have not been answered, refused or cancelled.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Whether the router is draining and no call is in flight.
    pub fn is_drained(&self) -> bool {
        self.draining && self.calls.is_empty()
    }

    /// State of the router for diagnostics.
    pub fn dump(&self) -> Value {
        let services: Vec<Value> = self
            .services
            .iter()
            .map(|(id, service)| {
                let endpoints: Vec<Value> = service
                    .endpoints
                    .iter()
                    .map(|e| json!({"worker": e.worker, "slots": e.slots, "active": e.active_calls, "open": e.open_connections}))
                    .collect();
                json!({
                    "service": id,
                    "waiting": service.queue.len(),
                    "mean_ms": service.mean_ms,
                    "endpoints": endpoints,
                })
            })
            .collect();
        let workers: Vec<Value> = self
            .workers
            .iter()
            .filter(|(_, w)| w.draining || w.health.half_open)
            .map(|(id, w)| json!({"worker": id, "leaving": w.draining, "ejected_until": w.health.ejected_until}))
            .collect();
        let teams: Vec<Value> = self
            .teams
            .iter()
            .map(|(id, t)| json!({"team": id, "calls": t.max_calls, "share": t.share, "held": t.in_flight}))
            .collect();
        json!({
            "draining": self.draining,
            "in_flight": self.calls.len(),
            "open": self.attempts.len(),
            "counts": self.counters,
            "services": services,
            "targets": workers,
            "teams": teams,
        })
    }

    pub(crate) fn team(&mut self, id: TeamId) -> &mut Team {
        let settings = &self.settings.queue;
        self.teams.entry(id).or_insert_with(|| Team::new(settings))
    }

    /// Whether the call `id` has been answered, refused or cancelled.
    pub(crate) fn has_ended(&self, id: CallId) -> bool {
        id < self.ended_below || self.ended.contains(&id)
    }

    /// Removes a call and records it as ended, so that no later event answers it again.
    pub(crate) fn end_call(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        self.deadlines.remove(&(call.deadline, id));
        let team = self.team(call.team);
        team.in_flight = team.in_flight.saturating_sub(1);
        self.ended.insert(id);
        if self.ended.len() > MAX_ENDED_CALLS
            && let Some(lowest) = self.ended.pop_first()
        {
            self.ended_below = CallId(lowest.0 + 1);
        }
        Some(call)
    }

    /// Refuses calls past their deadline and removes abandoned attempts past their grace period.
    fn expire(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some(&(deadline, id)) = self.deadlines.first()
            && deadline <= now
        {
            self.on_deadline(id, now, actions);
        }
        while let Some(&(limit, id, attempt)) = self.abandoned.first()
            && limit <= now
        {
            self.remove_attempt((id, attempt));
        }
    }
}
