//! Answers to starts, stops and records.

use zinnia_types::AttemptId;
use zinnia_types::JobId;
use zinnia_types::Time;
use zinnia_types::worker::End;

use crate::action::Action;
use crate::action::StopReason;
use crate::attempt::AttemptState;
use crate::event::StartRefusal;
use crate::scheduler::Scheduler;
use crate::timer::Timer;

/// How long a start without an answer may be reported as running before it is refused, when it
/// must not be repeated. One heartbeat interval and a second.
const UNCONFIRMED_START_MS: u64 = 4_000;
/// Interval after which a stop, refusal or record without an answer is asked for again.
const RESEND_MS: u64 = 5_000;
/// First pause of starts on a worker that does not answer; doubled each time.
const START_PAUSE_MS: u64 = 1_000;

impl Scheduler {
    pub(crate) fn on_started(&mut self, id: AttemptId, now: Time) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        self.fleet.workers[attempt.worker].unanswered = 0;
        self.update_attempt(id, |a| {
            a.was_running = true;
            if a.state == AttemptState::Starting {
                a.state = AttemptState::Running;
                a.start_time = now;
            }
        });
    }

    pub(crate) fn on_refused(
        &mut self,
        id: AttemptId,
        why: StartRefusal,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let slot = attempt.worker;
        match why {
            StartRefusal::Tombstone => {}
            StartRefusal::Leaving => {
                self.fleet.workers[slot].leaving = true;
                self.fleet.update_indexes(slot);
            }
            // The worker runs something that it has not yet reported.
            StartRefusal::NoCapacity { .. } => self.mark_silent(slot, now),
            // This may answer a second copy of a start that was accepted under the older epoch.
            // The list that comes with the new epoch, or the lapse of the lease, tells the truth.
            StartRefusal::StaleEpoch => {
                self.mark_silent(slot, now);
                return;
            }
        }
        self.end_attempt(id, None, now, out);
    }

    pub(crate) fn on_unanswered(&mut self, id: AttemptId, now: Time, out: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let slot = attempt.worker;
        let (state, repeat) = (attempt.state, attempt.repeat);
        let worker = &mut self.fleet.workers[slot];
        let pause = START_PAUSE_MS << worker.unanswered.min(6);
        worker.unanswered += 1;
        worker.silent_until = now.after(pause);
        self.mark_silent(slot, now);
        if state != AttemptState::Starting {
            return;
        }
        if repeat {
            self.send_refusal(id, now, out);
        } else {
            self.timers
                .add(now.after(UNCONFIRMED_START_MS), Timer::StartTimeout(id));
        }
    }

    pub(crate) fn on_stopped(
        &mut self,
        id: AttemptId,
        end: Option<End>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        if let Some(attempt) = self.attempts.get(&id) {
            self.fleet.workers[attempt.worker].unanswered = 0;
            self.end_attempt(id, end, now, out);
        }
    }

    pub(crate) fn on_throttled(&mut self, id: AttemptId, cpu: u64) {
        if self.attempts.get(&id).and_then(|a| a.requested_cpu) != Some(cpu) {
            return;
        }
        self.update_attempt(id, |a| {
            a.charge.cpu = cpu;
            a.throttled = cpu < a.need.cpu;
        });
        if self.attempts.get(&id).is_some_and(|a| a.throttled) {
            self.throttled_attempts.insert(id);
        } else {
            self.throttled_attempts.remove(&id);
        }
    }

    pub(crate) fn on_dispatch_recorded(
        &mut self,
        job: JobId,
        tasks: &[u32],
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(work) = self.jobs.get_mut(&job) else {
            return;
        };
        let team = work.team;
        let mut ready = Vec::new();
        for &task in tasks {
            let Some(slot) = work.tasks.get_mut(task as usize) else {
                continue;
            };
            slot.dispatch_recorded = true;
            if let crate::job_state::TaskPhase::Assigned(id) = slot.phase {
                ready.push(id);
            }
        }
        let recording = |id: &AttemptId| {
            let attempt = self.attempts.get(id);
            attempt.is_some_and(|a| a.state == AttemptState::Recording)
        };
        ready.retain(recording);
        // The places were kept meanwhile, but a worker may have closed. A gang then gives up all.
        let open = |id: &AttemptId| {
            let slot = self.attempts.get(id).map(|a| a.worker);
            slot.is_some_and(|s| self.fleet.workers[s].is_reachable())
        };
        // The allotment may have shrunk since the places were taken.
        let team = &self.teams.list[team];
        let allowed = (team.used + self.fleet.unreported_capacity).fits(&team.allotment);
        let all = self.active && allowed && ready.iter().all(open);
        let (go, give) = if all {
            (ready, Vec::new())
        } else {
            (Vec::new(), ready)
        };
        for id in go {
            self.update_attempt(id, |a| a.state = AttemptState::Starting);
            self.send_start(id, out);
        }
        for id in give {
            self.end_attempt(id, None, now, out);
        }
    }

    /// Tells an attempt to stop. One that was not sent is dropped at once.
    pub(crate) fn stop(
        &mut self,
        id: AttemptId,
        checkpoint: bool,
        why: StopReason,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        match attempt.state {
            AttemptState::Recording => self.end_attempt(id, None, now, out),
            AttemptState::Stopping => {}
            AttemptState::Starting | AttemptState::Running => {
                self.update_attempt(id, |a| {
                    a.state = AttemptState::Stopping;
                    a.stop_request = Some((checkpoint, why));
                });
                self.send_stop(id, now, out);
            }
        }
    }

    fn send_refusal(&mut self, id: AttemptId, now: Time, out: &mut Vec<Action>) {
        self.update_attempt(id, |a| a.state = AttemptState::Stopping);
        self.send_stop(id, now, out);
    }

    /// Sends the stop or refusal of an attempt, and again later until it is confirmed.
    fn send_stop(&mut self, id: AttemptId, now: Time, out: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let worker = &self.fleet.workers[attempt.worker];
        let (worker, epoch) = (worker.id, worker.epoch);
        let attempt = match attempt.stop_request {
            Some((checkpoint, why)) => Action::Stop {
                worker,
                epoch,
                attempt: id,
                checkpoint,
                reason: why,
            },
            None => Action::Refuse {
                worker,
                epoch,
                attempt: id,
            },
        };
        out.push(attempt);
        self.timers.add(now.after(RESEND_MS), Timer::Resend(id));
    }

    /// Asks for the record of tasks of one job, and again later until it is confirmed.
    pub(crate) fn request_dispatch_record(
        &mut self,
        attempts: &[AttemptId],
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(first) = attempts.first() else {
            return;
        };
        for &attempt in attempts {
            self.timers
                .add(now.after(RESEND_MS), Timer::Resend(attempt));
        }
        out.push(Action::RecordDispatch {
            job: first.job,
            tasks: attempts.iter().map(|a| a.task).collect(),
        });
    }

    /// Asks again for a stop or a record that was not confirmed.
    pub(crate) fn resend_command(&mut self, id: AttemptId, now: Time, out: &mut Vec<Action>) {
        match self.attempts.get(&id).map(|a| a.state) {
            Some(AttemptState::Stopping) => self.send_stop(id, now, out),
            Some(AttemptState::Recording) if self.active => {
                self.request_dispatch_record(&[id], now, out)
            }
            _ => {}
        }
    }

    /// Refuses a start that had no answer and was not reported as running.
    pub(crate) fn on_start_timeout(&mut self, id: AttemptId, now: Time, out: &mut Vec<Action>) {
        let starting = |a: &crate::attempt::Attempt| a.state == AttemptState::Starting;
        if self.attempts.get(&id).is_some_and(starting) {
            self.send_refusal(id, now, out);
        }
    }
}
