//! The router: state, dispatch of events and time.

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
use crate::fleet::Target;
use crate::service::Service;
use crate::team::Team;

/// Numbers of ended calls kept, so that a repeated event on one of them is recognised.
const ENDED: usize = 8_192;

/// Counters of what the router did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub(crate) struct Counts {
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
    pub(crate) targets: BTreeMap<WorkerId, Target>,
    pub(crate) teams: BTreeMap<TeamId, Team>,
    /// Virtual time of the fair queues: what the team served last had been served before.
    pub(crate) clock: u64,
    pub(crate) generation: u64,
    pub(crate) draining: bool,
    pub(crate) counts: Counts,
    pub(crate) deadlines: BTreeSet<(Time, CallId)>,
    pub(crate) grace: BTreeSet<(Time, CallId, u32)>,
    /// Ended calls, the lowest numbers dropped first; every number below `floor` counts as ended.
    ended: BTreeSet<CallId>,
    floor: CallId,
}

impl Router {
    /// A router without workers.
    pub fn new(settings: Settings) -> Self {
        Self::with_policy(settings, Policy::default())
    }

    /// A router with another choice of workers and admission.
    pub fn with_policy(settings: Settings, policy: Policy) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(settings.seed),
            settings,
            policy,
            calls: BTreeMap::new(),
            attempts: BTreeMap::new(),
            services: BTreeMap::new(),
            targets: BTreeMap::new(),
            teams: BTreeMap::new(),
            clock: 0,
            generation: 0,
            draining: false,
            counts: Counts::default(),
            deadlines: BTreeSet::new(),
            grace: BTreeSet::new(),
            ended: BTreeSet::new(),
            floor: CallId(0),
        }
    }

    /// Takes one event in. `now` must not decrease from call to call.
    pub fn step(&mut self, event: Event, now: Time) -> Vec<Action> {
        let mut out = Vec::new();
        self.expire(now, &mut out);
        match event {
            Event::Call {
                id,
                team,
                service,
                retryable,
                deadline,
            } => {
                let call = Call::new(team, service, retryable, deadline);
                self.admit(id, call, now, &mut out);
            }
            Event::Sent { id, attempt } => {
                if let Some(attempt) = self.attempts.get_mut(&(id, attempt)) {
                    attempt.sent = true;
                }
            }
            Event::Answered { id, attempt } => self.answered(id, attempt, now, &mut out),
            Event::Failed { id, attempt, error } => self.failed(id, attempt, error, now, &mut out),
            Event::Cancelled { id } => self.cancelled(id, now, &mut out),
            Event::EndpointUpdated {
                service,
                worker,
                slots,
                max_connections,
            } => self.endpoint(service, worker, slots, max_connections, now, &mut out),
            Event::WorkerLoad {
                service,
                worker,
                in_flight,
            } => {
                let service = self.services.get_mut(&service);
                if let Some(end) = service.and_then(|s| s.get_mut(worker)) {
                    end.told(in_flight, now);
                }
            }
            Event::EndpointRemoved { service, worker } => {
                if let Some(service) = self.services.get_mut(&service) {
                    service.remove(worker, now);
                }
            }
            Event::WorkerDraining { worker } => self.leaving(worker),
            Event::WorkerRemoved { worker } => self.gone(worker, now),
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
                self.drop_services(now, &mut out);
                self.pump_all(now, &mut out);
            }
        }
        out
    }

    /// When the next [`Event::Tick`] is due.
    pub fn next_tick(&self, now: Time) -> Time {
        /// Waiting calls are tried again this often, since the end of an ejection is no event.
        const POLL_MS: u64 = 20;
        const IDLE_MS: u64 = 1_000;
        let waits = self.services.values().any(|s| s.queue.len() > 0);
        let mut at = now.after(if waits { POLL_MS } else { IDLE_MS });
        if let Some((deadline, _)) = self.deadlines.first() {
            at = at.min(*deadline);
        }
        if let Some((limit, _, _)) = self.grace.first() {
            at = at.min(*limit);
        }
        at.max(now.after(1))
    }

    /// Calls that were neither answered nor refused.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Whether the router drains and no call is in flight.
    pub fn is_drained(&self) -> bool {
        self.draining && self.calls.is_empty()
    }

    /// State for people and tests.
    pub fn dump(&self) -> Value {
        let services: Vec<Value> = self
            .services
            .iter()
            .map(|(id, service)| {
                let ends: Vec<Value> = service
                    .endpoints
                    .iter()
                    .map(|e| json!({"worker": e.worker, "slots": e.slots, "active": e.active, "open": e.open}))
                    .collect();
                json!({
                    "service": id,
                    "waiting": service.queue.len(),
                    "mean_ms": service.mean_ms,
                    "endpoints": ends,
                })
            })
            .collect();
        let targets: Vec<Value> = self
            .targets
            .iter()
            .filter(|(_, t)| t.leaving || t.health.proving)
            .map(|(id, t)| json!({"worker": id, "leaving": t.leaving, "ejected_until": t.health.until}))
            .collect();
        let teams: Vec<Value> = self
            .teams
            .iter()
            .map(|(id, t)| json!({"team": id, "calls": t.max_calls, "share": t.share, "held": t.held}))
            .collect();
        json!({
            "draining": self.draining,
            "in_flight": self.calls.len(),
            "open": self.attempts.len(),
            "counts": self.counts,
            "services": services,
            "targets": targets,
            "teams": teams,
        })
    }

    pub(crate) fn team(&mut self, id: TeamId) -> &mut Team {
        let settings = &self.settings.queue;
        self.teams.entry(id).or_insert_with(|| Team::new(settings))
    }

    /// Whether `id` was answered, refused or cancelled before.
    pub(crate) fn has_ended(&self, id: CallId) -> bool {
        id < self.floor || self.ended.contains(&id)
    }

    /// Ends a call, so that no later event can answer it again.
    pub(crate) fn end(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        self.deadlines.remove(&(call.deadline, id));
        let team = self.team(call.team);
        team.held = team.held.saturating_sub(1);
        self.ended.insert(id);
        if self.ended.len() > ENDED
            && let Some(low) = self.ended.pop_first()
        {
            self.floor = CallId(low.0 + 1);
        }
        Some(call)
    }

    /// Refuses calls past their deadline and forgets given-up dispatches past their grace.
    fn expire(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(&(deadline, id)) = self.deadlines.first()
            && deadline <= now
        {
            self.timed_out(id, now, out);
        }
        while let Some(&(limit, id, attempt)) = self.grace.first()
            && limit <= now
        {
            self.release((id, attempt));
        }
    }
}
