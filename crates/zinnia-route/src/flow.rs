//! The way of a call: admission, dispatch, answer, failure.

use zinnia_types::Code;
use zinnia_types::Ran;
use zinnia_types::ServiceId;
use zinnia_types::TeamId;
use zinnia_types::Time;

use crate::Action;
use crate::AttemptError;
use crate::CallId;
use crate::Load;
use crate::Pressure;
use crate::Router;
use crate::View;
use crate::call::Attempt;
use crate::call::Call;

/// Time in milliseconds for which a worker that was full gets nothing.
const FULL_MS: u64 = 20;

impl Router {
    pub(crate) fn admit(&mut self, id: CallId, call: Call, now: Time, out: &mut Vec<Action>) {
        if self.calls.contains_key(&id) || self.has_ended(id) {
            // A repeated event: the call has or had its place, and a second answer would be wrong.
            return;
        }
        self.counts.calls += 1;
        let limit = now.after(self.settings.queue.limit_ms);
        let call = Call {
            deadline: call.deadline.min(limit),
            ..call
        };
        let held = self.team(call.team);
        held.held += 1;
        let full = held.held > held.max_calls;
        let pressure = self.pressure(&call, now);
        self.calls.insert(id, call);
        self.deadlines.insert((call.deadline, id));
        let code = if self.draining {
            Some(Code::Draining)
        } else if call.deadline <= now {
            Some(Code::Timeout)
        } else if !self.services.contains_key(&call.service) {
            Some(Code::NotFound)
        } else if full && self.policy.guarded {
            Some(Code::OverLimit)
        } else if !(self.policy.admit)(&pressure) {
            self.counts.shed += 1;
            Some(Code::Overloaded)
        } else {
            None
        };
        if let Some(code) = code {
            return self.refuse(id, code, out);
        }
        let clock = self.clock;
        let team = self.team(call.team);
        // A team that was idle does not save up a claim on the past.
        team.served = team.served.max(clock);
        if let Some(service) = self.services.get_mut(&call.service) {
            service.budget.earn(&self.settings.retry);
            service.queue.push(call.team, id);
        }
        self.pump(call.service, now, out);
        self.cut(call.service, out);
    }

    /// Cuts the queue to its bound.
    fn cut(&mut self, id: ServiceId, out: &mut Vec<Action>) {
        if !self.policy.guarded {
            return;
        }
        while let Some(service) = self.services.get_mut(&id)
            && service.queue.len() > self.settings.queue.calls
        {
            let Some(call) = service.queue.cut(&self.teams) else {
                return;
            };
            self.counts.shed += 1;
            self.refuse(call, Code::Overloaded, out);
        }
    }

    fn pressure(&mut self, call: &Call, now: Time) -> Pressure {
        let wait_ms = self.settings.queue.wait_ms;
        let left_ms = call.deadline.since(now);
        let teams = &self.teams;
        let share = |id: TeamId| f64::from(teams.get(&id).map_or(1, |t| t.share.max(1)));
        let own_share = share(call.team);
        let Some(service) = self.services.get_mut(&call.service) else {
            return Pressure {
                queued: 0,
                own: 0,
                slots: 0,
                held: 0,
                part: 1.0,
                mean_ms: 0.0,
                left_ms,
                wait_ms,
            };
        };
        let (slots, held) = service.room(now);
        let others = service.queue.teams().filter(|t| *t != call.team);
        let shares = own_share + others.map(share).sum::<f64>();
        Pressure {
            queued: service.queue.len(),
            own: service.queue.of(call.team),
            slots,
            held,
            part: own_share / shares,
            mean_ms: service.mean_ms,
            left_ms,
            wait_ms,
        }
    }

    /// Dispatches waiting calls of `id` while workers are free.
    pub(crate) fn pump(&mut self, id: ServiceId, now: Time, out: &mut Vec<Action>) {
        loop {
            let Some(service) = self.services.get_mut(&id) else {
                return;
            };
            let Some((team, call)) = service.queue.pop(&self.teams) else {
                return;
            };
            if !self.dispatch(call, now, out) {
                if let Some(service) = self.services.get_mut(&id) {
                    service.queue.push_front(team, call);
                }
                return;
            }
        }
    }

    pub(crate) fn pump_all(&mut self, now: Time, out: &mut Vec<Action>) {
        let waiting = self.services.iter().filter(|(_, s)| s.queue.len() > 0);
        let ids: Vec<ServiceId> = waiting.map(|(id, _)| *id).collect();
        for id in ids {
            self.pump(id, now, out);
        }
    }

    /// Dispatches a call that was taken from the queue. Returns false when no worker is free.
    fn dispatch(&mut self, id: CallId, now: Time, out: &mut Vec<Action>) -> bool {
        let Some(call) = self.calls.get_mut(&id) else {
            return true;
        };
        let Some(service) = self.services.get_mut(&call.service) else {
            return false;
        };
        let loads = |i: usize| -> Load {
            let end = service.endpoints.get(i);
            end.map_or_else(Load::default, |e| e.load(now))
        };
        let len = service.endpoints.len();
        let avoided = |i: usize| {
            let worker = service.endpoints.get(i).map(|e| e.worker);
            call.avoid.is_some() && worker == call.avoid
        };
        // The worker that failed is avoided only if there is another one to wait for.
        let choice = call.avoid.is_some() && (0..len).any(|i| !avoided(i) && loads(i).usable);
        let load = |i: usize| -> Load {
            let load = loads(i);
            let usable = load.usable && !(choice && avoided(i));
            Load { usable, ..load }
        };
        let view = View { len, load: &load };
        let Some(at) = (self.policy.pick)(&view, &mut self.rng) else {
            return false;
        };
        let Some(end) = service.endpoints.get_mut(at) else {
            return false;
        };
        end.active += 1;
        end.open += 1;
        call.attempts += 1;
        call.waits = false;
        let attempt = call.attempts;
        self.attempts.insert(
            (id, attempt),
            Attempt {
                service: call.service,
                worker: end.worker,
                generation: end.generation,
                begun: now,
                given_up: None,
                sent: false,
            },
        );
        if let Some(team) = self.teams.get_mut(&call.team) {
            self.clock = self.clock.max(team.served);
            team.charge();
        }
        self.counts.dispatches += 1;
        let worker = end.worker;
        out.push(Action::Dispatch {
            id,
            turn: attempt,
            worker,
        });
        true
    }

    pub(crate) fn answered(&mut self, id: CallId, attempt: u32, now: Time, out: &mut Vec<Action>) {
        let Some(done) = self.release((id, attempt)) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&done.service) {
            service.took(now.since(done.begun));
        }
        self.worker_succeeded(done.worker);
        if done.given_up.is_none() && self.end(id).is_some() {
            self.counts.delivered += 1;
            out.push(Action::Deliver { id, turn: attempt });
        }
        self.pump(done.service, now, out);
    }

    pub(crate) fn failed(
        &mut self,
        id: CallId,
        attempt: u32,
        error: AttemptError,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(done) = self.release((id, attempt)) else {
            return;
        };
        if done.given_up.is_some() {
            // The end of a dispatch that the router itself gave up says nothing about the worker.
            return self.pump(done.service, now, out);
        }
        // A connection error after the first byte proves nothing, whatever it is called.
        let error = match error {
            AttemptError::NotSent if done.sent => AttemptError::ConnectionLost,
            other => other,
        };
        if error == AttemptError::Busy
            && let Some(service) = self.services.get_mut(&done.service)
            && let Some(end) = service.of(&done)
        {
            end.full_until = now.after(FULL_MS);
        }
        self.worker_failed(done.worker, error, now, out);
        self.retry(id, &done, error, out);
        self.pump(done.service, now, out);
    }

    /// Repeats a failed call where that is safe and the budget allows, else refuses it.
    fn retry(&mut self, id: CallId, done: &Attempt, error: AttemptError, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let (code, ran) = match error {
            AttemptError::NotSent => (Code::Unavailable, Ran::No),
            // The worker says that nothing ran, but a byte was sent, and only an unsent call is
            // known not to have run without trust in the worker.
            AttemptError::Busy => (Code::Overloaded, Ran::Unknown),
            AttemptError::ConnectionLost => (Code::Unavailable, Ran::Unknown),
            AttemptError::WorkerError => (Code::Internal, Ran::Yes),
        };
        call.ran = worst(call.ran, ran);
        call.avoid = Some(done.worker);
        let most = self.settings.retry.most;
        // A call marked not to be repeated is dispatched once, even when nothing was sent.
        let allowed = call.retryable && call.attempts <= most;
        let Some(service) = self.services.get_mut(&done.service) else {
            return self.refuse(id, code, out);
        };
        if !allowed || (self.policy.guarded && !service.budget.spend()) {
            return self.refuse(id, code, out);
        }
        call.waits = true;
        service.queue.push_front(call.team, id);
        self.counts.retries += 1;
    }

    pub(crate) fn timed_out(&mut self, id: CallId, now: Time, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id).copied() else {
            self.deadlines.retain(|(_, c)| *c != id);
            return;
        };
        self.give_up(id, &call, now, out);
        if !call.waits {
            // What was dispatched may run at any time.
            if let Some(call) = self.calls.get_mut(&id) {
                call.ran = worst(call.ran, Ran::Unknown);
            }
            if let Some(attempt) = self.attempts.get(&(id, call.attempts)) {
                let worker = attempt.worker;
                self.worker_failed(worker, AttemptError::ConnectionLost, now, out);
            }
        }
        self.refuse(id, Code::Timeout, out);
    }

    pub(crate) fn cancelled(&mut self, id: CallId, now: Time, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id).copied() else {
            return;
        };
        self.give_up(id, &call, now, out);
        self.unqueue(id, &call);
        self.end(id);
    }

    /// Gives up the dispatch under way, whose connection counts until it is reported closed.
    fn give_up(&mut self, id: CallId, call: &Call, now: Time, out: &mut Vec<Action>) {
        let attempt = call.attempts;
        let Some(open) = self.attempts.get_mut(&(id, attempt)) else {
            return;
        };
        let limit = now.after(self.settings.queue.grace_ms);
        open.given_up = Some(limit);
        self.grace.insert((limit, id, attempt));
        let open = *open;
        if let Some(service) = self.services.get_mut(&open.service)
            && let Some(end) = service.of(&open)
        {
            end.active = end.active.saturating_sub(1);
        }
        out.push(Action::Abandon { id, turn: attempt });
    }

    /// Forgets a dispatch and frees what it held.
    pub(crate) fn release(&mut self, key: (CallId, u32)) -> Option<Attempt> {
        let attempt = self.attempts.remove(&key)?;
        if let Some(limit) = attempt.given_up {
            self.grace.remove(&(limit, key.0, key.1));
        }
        if let Some(service) = self.services.get_mut(&attempt.service)
            && let Some(end) = service.of(&attempt)
        {
            end.open = end.open.saturating_sub(1);
            if attempt.given_up.is_none() {
                end.active = end.active.saturating_sub(1);
            }
        }
        Some(attempt)
    }

    fn unqueue(&mut self, id: CallId, call: &Call) {
        if call.waits
            && let Some(service) = self.services.get_mut(&call.service)
        {
            service.queue.remove(call.team, id);
        }
    }

    /// Ends a call without an answer.
    pub(crate) fn refuse(&mut self, id: CallId, code: Code, out: &mut Vec<Action>) {
        let Some(call) = self.end(id) else {
            return;
        };
        self.unqueue(id, &call);
        self.counts.refused += 1;
        let ran = call.ran;
        out.push(Action::Refuse { id, code, ran });
    }
}

/// What is known of a call after two dispatches.
fn worst(a: Ran, b: Ran) -> Ran {
    match (a, b) {
        (Ran::Yes, _) | (_, Ran::Yes) => Ran::Yes,
        (Ran::Unknown, _) | (_, Ran::Unknown) => Ran::Unknown,
        (Ran::No, Ran::No) => Ran::No,
    }
}
