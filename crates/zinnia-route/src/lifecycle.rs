//! Lifecycle of a call: admission, dispatch, answer, failure and retry.

use zinnia_types::Code;
use zinnia_types::ExecutionStatus;
use zinnia_types::ServiceId;
use zinnia_types::TeamId;
use zinnia_types::Time;

use crate::Action;
use crate::AdmissionContext;
use crate::AttemptError;
use crate::CallId;
use crate::EndpointLoad;
use crate::EndpointLoads;
use crate::Router;
use crate::call::Attempt;
use crate::call::Call;

/// Time in milliseconds for which a worker gets no calls after it reported that it is busy.
const BUSY_BACKOFF_MS: u64 = 20;

impl Router {
    pub(crate) fn admit(&mut self, id: CallId, call: Call, now: Time, actions: &mut Vec<Action>) {
        if self.calls.contains_key(&id) || self.has_ended(id) {
            // Duplicate event: the call is or was in flight and must not be answered twice.
            return;
        }
        self.counters.calls += 1;
        let limit = now.after(self.settings.queue.limit_ms);
        let call = Call {
            deadline: call.deadline.min(limit),
            ..call
        };
        let team = self.team(call.team);
        team.in_flight += 1;
        let over_limit = team.in_flight > team.max_calls;
        let context = self.admission_context(&call, now);
        self.calls.insert(id, call);
        self.deadlines.insert((call.deadline, id));
        let code = if self.draining {
            Some(Code::Draining)
        } else if call.deadline <= now {
            Some(Code::Timeout)
        } else if !self.services.contains_key(&call.service) {
            Some(Code::NotFound)
        } else if over_limit && self.policy.enforce_limits {
            Some(Code::OverLimit)
        } else if !(self.policy.admit)(&context) {
            self.counters.shed += 1;
            Some(Code::Overloaded)
        } else {
            None
        };
        if let Some(code) = code {
            return self.refuse(id, code, actions);
        }
        let current = self.virtual_time;
        let team = self.team(call.team);
        // Prevents a team from accumulating credit while it is idle.
        team.virtual_time = team.virtual_time.max(current);
        if let Some(service) = self.services.get_mut(&call.service) {
            service.budget.deposit(&self.settings.retry);
            service.queue.push(call.team, id);
        }
        self.dispatch_queued(call.service, now, actions);
        self.shed_excess(call.service, actions);
    }

    /// Sheds queued calls beyond the limit of the queue.
    fn shed_excess(&mut self, id: ServiceId, actions: &mut Vec<Action>) {
        if !self.policy.enforce_limits {
            return;
        }
        while let Some(service) = self.services.get_mut(&id)
            && service.queue.len() > self.settings.queue.max_calls
        {
            let Some(call) = service.queue.evict(&self.teams) else {
                return;
            };
            self.counters.shed += 1;
            self.refuse(call, Code::Overloaded, actions);
        }
    }

    fn admission_context(&mut self, call: &Call, now: Time) -> AdmissionContext {
        let wait_ms = self.settings.queue.wait_ms;
        let remaining_ms = call.deadline.since(now);
        let teams = &self.teams;
        let share = |id: TeamId| f64::from(teams.get(&id).map_or(1, |t| t.share.max(1)));
        let team_share = share(call.team);
        let Some(service) = self.services.get_mut(&call.service) else {
            return AdmissionContext {
                queued: 0,
                team_queued: 0,
                slots: 0,
                in_flight: 0,
                share_fraction: 1.0,
                mean_ms: 0.0,
                remaining_ms,
                wait_ms,
            };
        };
        let (slots, in_flight) = service.capacity(now);
        let others = service.queue.teams().filter(|t| *t != call.team);
        let shares = team_share + others.map(share).sum::<f64>();
        AdmissionContext {
            queued: service.queue.len(),
            team_queued: service.queue.team_len(call.team),
            slots,
            in_flight,
            share_fraction: team_share / shares,
            mean_ms: service.mean_ms,
            remaining_ms,
            wait_ms,
        }
    }

    /// Dispatches queued calls of the service `id` while workers have capacity.
    pub(crate) fn dispatch_queued(&mut self, id: ServiceId, now: Time, actions: &mut Vec<Action>) {
        loop {
            let Some(service) = self.services.get_mut(&id) else {
                return;
            };
            let Some((team, call)) = service.queue.pop(&self.teams) else {
                return;
            };
            if !self.dispatch(call, now, actions) {
                if let Some(service) = self.services.get_mut(&id) {
                    service.queue.push_front(team, call);
                }
                return;
            }
        }
    }

    pub(crate) fn dispatch_all(&mut self, now: Time, actions: &mut Vec<Action>) {
        let backlogged = self.services.iter().filter(|(_, s)| s.queue.len() > 0);
        let ids: Vec<ServiceId> = backlogged.map(|(id, _)| *id).collect();
        for id in ids {
            self.dispatch_queued(id, now, actions);
        }
    }

    /// Dispatches a call taken from the queue. Returns false when no worker has capacity.
    fn dispatch(&mut self, id: CallId, now: Time, actions: &mut Vec<Action>) -> bool {
        let Some(call) = self.calls.get_mut(&id) else {
            return true;
        };
        let Some(service) = self.services.get_mut(&call.service) else {
            return false;
        };
        let loads = |i: usize| -> EndpointLoad {
            let endpoint = service.endpoints.get(i);
            endpoint.map_or_else(EndpointLoad::default, |e| e.load(now))
        };
        let len = service.endpoints.len();
        let avoided = |i: usize| {
            let worker = service.endpoints.get(i).map(|e| e.worker);
            call.avoid_worker.is_some() && worker == call.avoid_worker
        };
        // The worker of the failed attempt is avoided only if another one is eligible.
        let has_alternative =
            call.avoid_worker.is_some() && (0..len).any(|i| !avoided(i) && loads(i).eligible);
        let load = |i: usize| -> EndpointLoad {
            let load = loads(i);
            let eligible = load.eligible && !(has_alternative && avoided(i));
            EndpointLoad { eligible, ..load }
        };
        let loads = EndpointLoads { len, load: &load };
        let Some(index) = (self.policy.select)(&loads, &mut self.rng) else {
            return false;
        };
        let Some(endpoint) = service.endpoints.get_mut(index) else {
            return false;
        };
        endpoint.active_calls += 1;
        endpoint.open_connections += 1;
        call.attempts += 1;
        call.queued = false;
        let attempt = call.attempts;
        self.attempts.insert(
            (id, attempt),
            Attempt {
                service: call.service,
                worker: endpoint.worker,
                generation: endpoint.generation,
                dispatched_at: now,
                abandoned_until: None,
                sent: false,
            },
        );
        if let Some(team) = self.teams.get_mut(&call.team) {
            self.virtual_time = self.virtual_time.max(team.virtual_time);
            team.charge();
        }
        self.counters.dispatches += 1;
        let worker = endpoint.worker;
        actions.push(Action::Dispatch {
            id,
            turn: attempt,
            worker,
        });
        true
    }

    pub(crate) fn on_answer(
        &mut self,
        id: CallId,
        attempt: u32,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let Some(ended) = self.remove_attempt((id, attempt)) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&ended.service) {
            service.record_latency(now.since(ended.dispatched_at));
        }
        self.record_success(ended.worker);
        if ended.abandoned_until.is_none() && self.end_call(id).is_some() {
            self.counters.delivered += 1;
            actions.push(Action::Deliver { id, turn: attempt });
        }
        self.dispatch_queued(ended.service, now, actions);
    }

    pub(crate) fn on_failure(
        &mut self,
        id: CallId,
        attempt: u32,
        error: AttemptError,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let Some(ended) = self.remove_attempt((id, attempt)) else {
            return;
        };
        if ended.abandoned_until.is_some() {
            // The router itself ended this attempt, so its failure is not the fault of the worker.
            return self.dispatch_queued(ended.service, now, actions);
        }
        // After the first byte the worker may have received the request, whatever error is reported.
        let error = match error {
            AttemptError::NotSent if ended.sent => AttemptError::ConnectionLost,
            other => other,
        };
        if error == AttemptError::Busy
            && let Some(service) = self.services.get_mut(&ended.service)
            && let Some(endpoint) = service.endpoint_of(&ended)
        {
            endpoint.busy_until = now.after(BUSY_BACKOFF_MS);
        }
        self.record_failure(ended.worker, error, now, actions);
        self.retry(id, &ended, error, actions);
        self.dispatch_queued(ended.service, now, actions);
    }

    /// Queues a failed call again if it is retryable and the retry budget allows it; otherwise refuses it.
    fn retry(
        &mut self,
        id: CallId,
        ended: &Attempt,
        error: AttemptError,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let (code, ran) = match error {
            AttemptError::NotSent => (Code::Unavailable, ExecutionStatus::NotRun),
            // The worker reports that the call did not run, but the request was sent, and `ExecutionStatus::NotRun` must
            // not rely on the report of a worker.
            AttemptError::Busy => (Code::Overloaded, ExecutionStatus::Unknown),
            AttemptError::ConnectionLost => (Code::Unavailable, ExecutionStatus::Unknown),
            AttemptError::WorkerError => (Code::Internal, ExecutionStatus::Ran),
        };
        call.ran = combine_ran(call.ran, ran);
        call.avoid_worker = Some(ended.worker);
        let max_retries = self.settings.retry.max_retries;
        // A call that is not retryable is dispatched once, even if the attempt was not sent.
        let allowed = call.retryable && call.attempts <= max_retries;
        let Some(service) = self.services.get_mut(&ended.service) else {
            return self.refuse(id, code, actions);
        };
        if !allowed || (self.policy.enforce_limits && !service.budget.try_withdraw()) {
            return self.refuse(id, code, actions);
        }
        call.queued = true;
        service.queue.push_front(call.team, id);
        self.counters.retries += 1;
    }

    pub(crate) fn on_deadline(&mut self, id: CallId, now: Time, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id).copied() else {
            self.deadlines.retain(|(_, c)| *c != id);
            return;
        };
        self.abandon_attempt(id, &call, now, actions);
        if !call.queued {
            // The worker may still run the attempt.
            if let Some(call) = self.calls.get_mut(&id) {
                call.ran = combine_ran(call.ran, ExecutionStatus::Unknown);
            }
            if let Some(attempt) = self.attempts.get(&(id, call.attempts)) {
                let worker = attempt.worker;
                self.record_failure(worker, AttemptError::ConnectionLost, now, actions);
            }
        }
        self.refuse(id, Code::Timeout, actions);
    }

    pub(crate) fn on_cancel(&mut self, id: CallId, now: Time, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id).copied() else {
            return;
        };
        self.abandon_attempt(id, &call, now, actions);
        self.remove_from_queue(id, &call);
        self.end_call(id);
    }

    /// Abandons the open attempt; its connection stays counted until it is reported closed.
    fn abandon_attempt(&mut self, id: CallId, call: &Call, now: Time, actions: &mut Vec<Action>) {
        let number = call.attempts;
        let Some(attempt) = self.attempts.get_mut(&(id, number)) else {
            return;
        };
        let limit = now.after(self.settings.queue.grace_ms);
        attempt.abandoned_until = Some(limit);
        self.abandoned.insert((limit, id, number));
        let attempt = *attempt;
        if let Some(service) = self.services.get_mut(&attempt.service)
            && let Some(endpoint) = service.endpoint_of(&attempt)
        {
            endpoint.active_calls = endpoint.active_calls.saturating_sub(1);
        }
        actions.push(Action::Abandon { id, turn: number });
    }

    /// Removes an attempt and releases its slot and connection.
    pub(crate) fn remove_attempt(&mut self, key: (CallId, u32)) -> Option<Attempt> {
        let attempt = self.attempts.remove(&key)?;
        if let Some(limit) = attempt.abandoned_until {
            self.abandoned.remove(&(limit, key.0, key.1));
        }
        if let Some(service) = self.services.get_mut(&attempt.service)
            && let Some(endpoint) = service.endpoint_of(&attempt)
        {
            endpoint.open_connections = endpoint.open_connections.saturating_sub(1);
            if attempt.abandoned_until.is_none() {
                endpoint.active_calls = endpoint.active_calls.saturating_sub(1);
            }
        }
        Some(attempt)
    }

    fn remove_from_queue(&mut self, id: CallId, call: &Call) {
        if call.queued
            && let Some(service) = self.services.get_mut(&call.service)
        {
            service.queue.remove(call.team, id);
        }
    }

    /// Refuses a call and removes it from the queue.
    pub(crate) fn refuse(&mut self, id: CallId, code: Code, actions: &mut Vec<Action>) {
        let Some(call) = self.end_call(id) else {
            return;
        };
        self.remove_from_queue(id, &call);
        self.counters.refused += 1;
        let ran = call.ran;
        actions.push(Action::Refuse { id, code, ran });
    }
}

/// Combines what is known about the execution of two attempts.
fn combine_ran(a: ExecutionStatus, b: ExecutionStatus) -> ExecutionStatus {
    match (a, b) {
        (ExecutionStatus::Ran, _) | (_, ExecutionStatus::Ran) => ExecutionStatus::Ran,
        (ExecutionStatus::Unknown, _) | (_, ExecutionStatus::Unknown) => ExecutionStatus::Unknown,
        (ExecutionStatus::NotRun, ExecutionStatus::NotRun) => ExecutionStatus::NotRun,
    }
}
