//! Commands for attempts, and the answers of workers and the log to them.

use zinnia_types::AttemptId;
use zinnia_types::JobId;
use zinnia_types::Time;
use zinnia_types::worker::AttemptEnd;

use crate::action::Action;
use crate::action::StopReason;
use crate::attempt::AttemptState;
use crate::event::StartRefusal;
use crate::scheduler::Scheduler;
use crate::timer::Timer;

/// How long an unanswered start of a task that must not be repeated may still be confirmed by a
/// report before it is refused: one heartbeat interval and a second.
const UNCONFIRMED_START_MS: u64 = 4_000;
/// Interval after which an unanswered stop, refusal or record is sent again.
const RESEND_MS: u64 = 5_000;
/// First pause of starts on a worker that does not answer; doubled with each unanswered command.
const START_PAUSE_MS: u64 = 1_000;

impl Scheduler {
    /// Handles a confirmed start.
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

    /// Handles a refused start.
    pub(crate) fn on_refused(
        &mut self,
        id: AttemptId,
        reason: StartRefusal,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let slot = attempt.worker;
        match reason {
            StartRefusal::Tombstone => {}
            StartRefusal::Leaving => {
                self.fleet.workers[slot].leaving = true;
                self.fleet.update_indexes(slot);
            }
            // The worker runs an attempt that it has not yet reported.
            StartRefusal::NoCapacity { .. } => self.mark_silent(slot, now),
            // This may be the answer to a duplicate of a start that was accepted under the older
            // epoch. Only the list of reports that comes with the new epoch, or the expiry of the
            // lease, tells whether the attempt runs.
            StartRefusal::StaleEpoch => {
                self.mark_silent(slot, now);
                return;
            }
        }
        self.end_attempt(id, None, now, out);
    }

    /// Handles a start or stop without an answer: pauses starts on the worker, and refuses the
    /// start.
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

    /// Handles a confirmed stop.
    pub(crate) fn on_stopped(
        &mut self,
        id: AttemptId,
        end: Option<AttemptEnd>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        if let Some(attempt) = self.attempts.get(&id) {
            self.fleet.workers[attempt.worker].unanswered = 0;
            self.end_attempt(id, end, now, out);
        }
    }

    /// Applies a processor limit to the charge of an attempt, if it is the last requested one.
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

    /// Sends the starts of tasks whose dispatch was recorded.
    pub(crate) fn on_dispatch_recorded(
        &mut self,
        job: JobId,
        tasks: &[u32],
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(job_state) = self.jobs.get_mut(&job) else {
            return;
        };
        let team = job_state.team;
        let mut ready = Vec::new();
        for &task in tasks {
            let Some(task_entry) = job_state.tasks.get_mut(task as usize) else {
                continue;
            };
            task_entry.dispatch_recorded = true;
            if let crate::job_state::TaskPhase::Assigned(id) = task_entry.phase {
                ready.push(id);
            }
        }
        let recording = |id: &AttemptId| {
            let attempt = self.attempts.get(id);
            attempt.is_some_and(|a| a.state == AttemptState::Recording)
        };
        ready.retain(recording);
        // The capacity was kept in the meantime, but a worker may have become unreachable. Then all
        // of these tasks are dropped, since a gang starts only as a whole.
        let reachable = |id: &AttemptId| {
            let slot = self.attempts.get(id).map(|a| a.worker);
            slot.is_some_and(|s| self.fleet.workers[s].is_reachable())
        };
        // The allotment may have been lowered since the tasks were placed.
        let team = &self.teams.list[team];
        let within_allotment = (team.used + self.fleet.unreported_capacity).fits(&team.allotment);
        let start_all = self.active && within_allotment && ready.iter().all(reachable);
        let (to_start, to_drop) = if start_all {
            (ready, Vec::new())
        } else {
            (Vec::new(), ready)
        };
        for id in to_start {
            self.update_attempt(id, |a| a.state = AttemptState::Starting);
            self.send_start(id, out);
        }
        for id in to_drop {
            self.end_attempt(id, None, now, out);
        }
    }

    /// Stops an attempt. One whose start was not sent is dropped at once.
    pub(crate) fn stop(
        &mut self,
        id: AttemptId,
        checkpoint: bool,
        reason: StopReason,
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
                    a.stop_request = Some((checkpoint, reason));
                });
                self.send_stop(id, now, out);
            }
        }
    }

    /// Makes the worker refuse an attempt whose start was not answered.
    fn send_refusal(&mut self, id: AttemptId, now: Time, out: &mut Vec<Action>) {
        self.update_attempt(id, |a| a.state = AttemptState::Stopping);
        self.send_stop(id, now, out);
    }

    /// Sends the stop or refusal of an attempt, and resends it until it is confirmed.
    fn send_stop(&mut self, id: AttemptId, now: Time, out: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let worker = &self.fleet.workers[attempt.worker];
        let (worker, epoch) = (worker.id, worker.epoch);
        let command = match attempt.stop_request {
            Some((checkpoint, reason)) => Action::Stop {
                worker,
                epoch,
                attempt: id,
                checkpoint,
                reason,
            },
            None => Action::Refuse {
                worker,
                epoch,
                attempt: id,
            },
        };
        out.push(command);
        self.timers.add(now.after(RESEND_MS), Timer::Resend(id));
    }

    /// Requests the record of task dispatches of one job, and resends the request until it is
    /// confirmed.
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

    /// Resends a stop, refusal or record that was not confirmed.
    pub(crate) fn resend_command(&mut self, id: AttemptId, now: Time, out: &mut Vec<Action>) {
        match self.attempts.get(&id).map(|a| a.state) {
            Some(AttemptState::Stopping) => self.send_stop(id, now, out),
            Some(AttemptState::Recording) if self.active => {
                self.request_dispatch_record(&[id], now, out);
            }
            _ => {}
        }
    }

    /// Refuses a start that was neither answered nor reported as running.
    pub(crate) fn on_start_timeout(&mut self, id: AttemptId, now: Time, out: &mut Vec<Action>) {
        let starting = |a: &crate::attempt::Attempt| a.state == AttemptState::Starting;
        if self.attempts.get(&id).is_some_and(starting) {
            self.send_refusal(id, now, out);
        }
    }
}
