//! Worker registration, reports and loss.

use std::collections::BTreeSet;

use zinnia_types::AttemptId;
use zinnia_types::Class;
use zinnia_types::Epoch;
use zinnia_types::Resources;
use zinnia_types::Time;
use zinnia_types::WorkerId;
use zinnia_types::worker::AttemptEnd;
use zinnia_types::worker::AttemptReport;
use zinnia_types::worker::Task;
use zinnia_types::worker::TaskState;
use zinnia_types::worker::WorkerProfile;

use crate::action::Action;
use crate::action::StopReason;
use crate::attempt::Attempt;
use crate::attempt::AttemptState;
use crate::job_state::TaskPhase;
use crate::scheduler::Scheduler;
use crate::timer::Timer;

impl Scheduler {
    pub(crate) fn on_worker(
        &mut self,
        profile: &WorkerProfile,
        epoch: Epoch,
        leaving: bool,
        reports: Vec<AttemptReport>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        if let Some(&slot) = self.fleet.slots.get(&profile.worker) {
            let worker = &self.fleet.workers[slot];
            if worker.earlier_boots.contains(&profile.boot) {
                return;
            }
            if worker.boot == profile.boot {
                if worker.owned && epoch == worker.epoch {
                    self.on_reports(profile.worker, profile.boot, reports, now, out);
                    return;
                }
                if epoch <= worker.epoch {
                    return;
                }
                self.end_unlisted(slot, &reports, now, out);
            } else {
                self.fence_attempts(slot, now, out);
            }
        }
        let was_pending = self.fleet.unreported_workers.contains_key(&profile.worker);
        let slot = self.fleet.add_owned(profile, epoch, leaving);
        for report in reports {
            self.apply_report(slot, report, true, now, out);
        }
        self.changes.push(slot);
        if leaving {
            self.on_leaving(profile.worker, now, out);
        }
        if was_pending {
            self.on_roster_change(now, out);
        }
    }

    pub(crate) fn on_reports(
        &mut self,
        worker: WorkerId,
        boot: u64,
        reports: Vec<AttemptReport>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(slot) = self.fleet.owned_slot(worker) else {
            return;
        };
        let worker = &mut self.fleet.workers[slot];
        if worker.boot != boot {
            return;
        }
        if worker.silent && now >= worker.silent_until {
            worker.silent = false;
            self.fleet.update_indexes(slot);
            self.changes.push(slot);
        }
        for report in reports {
            self.apply_report(slot, report, false, now, out);
        }
    }

    fn apply_report(
        &mut self,
        slot: usize,
        report: AttemptReport,
        is_complete: bool,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let id = report.attempt;
        let is_known = match self.attempts.get(&id) {
            Some(attempt) if attempt.worker != slot => return,
            found => found.is_some(),
        };
        match report.state {
            TaskState::Running { usage, .. } if is_known => self.record_usage(id, &usage),
            // A complete list is more recent than the information that the attempt had ended.
            TaskState::Running { task, usage } if is_complete || !self.is_resolved(id) => {
                self.adopt(slot, id, &task, &usage, now, out);
            }
            TaskState::Running { .. } => {}
            TaskState::Ended { end } if is_known => self.end_attempt(id, Some(end), now, out),
            TaskState::Ended { end } if !self.is_resolved(id) => {
                self.on_unexpected_end(slot, id, end, now, out);
            }
            TaskState::Refused if is_known => self.end_attempt(id, None, now, out),
            TaskState::Ended { .. } | TaskState::Refused => {}
        }
    }

    /// Records reported usage. Reports lag behind and usage may rise again, so the memory charge
    /// never falls below the peak seen.
    fn record_usage(&mut self, id: AttemptId, usage: &Resources) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let peak = Resources::elementwise_max(&attempt.peak_usage, usage);
        if peak == attempt.peak_usage && attempt.state != AttemptState::Starting {
            return;
        }
        self.update_attempt(id, |a| {
            a.was_running = true;
            a.peak_usage = peak;
            a.charge.mem = a.need.mem.max(peak.mem);
            if a.state == AttemptState::Starting {
                a.state = AttemptState::Running;
            }
        });
    }

    /// Adopts a running attempt that the scheduler did not know, and charges its resources.
    fn adopt(
        &mut self,
        slot: usize,
        id: AttemptId,
        task: &Task,
        usage: &Resources,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.counters.adopted += 1;
        // An owner that restarted within its term must not reuse an attempt number.
        if id.term == self.term {
            let number = self.attempt_numbers.entry(id.term).or_default();
            *number = (*number).max(id.number);
        }
        let team = self.teams.slot(task.team, &self.settings.retry);
        let charge = Resources {
            mem: task.need.mem.max(usage.mem),
            ..task.need
        };
        let attempt = Attempt {
            worker: slot,
            team,
            kind: None,
            class: task.class,
            urgency: task.urgency,
            repeat: task.repeat,
            need: task.need,
            charge,
            peak_usage: *usage,
            state: AttemptState::Running,
            was_running: true,
            start_time: now,
            estimated_end: None,
            throttled: false,
            requested_cpu: None,
            detached: true,
            stop_request: None,
        };
        self.add_attempt(id, attempt);
        if self.jobs.contains_key(&id.job) {
            self.link_adopted(id, now, out);
        } else {
            let grace = self.settings.queue.orphan_grace;
            self.timers.add(now.after(grace), Timer::Orphan(id));
        }
    }

    /// Makes an adopted attempt the current one of its task. Stops it if the task has ended or has
    /// another attempt.
    pub(crate) fn link_adopted(&mut self, id: AttemptId, now: Time, out: &mut Vec<Action>) {
        let Some(work) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let phase = work.phase(id.task);
        let is_unassigned = matches!(
            phase,
            Some(TaskPhase::Unconfirmed | TaskPhase::Ready | TaskPhase::Waiting)
        );
        if !is_unassigned || work.outcome.is_some() {
            self.stop(id, false, StopReason::Superseded, now, out);
            return;
        }
        work.set_phase(id.task, TaskPhase::Assigned(id));
        if let Some(task) = work.tasks.get_mut(id.task as usize) {
            task.dispatch_recorded |= !work.job.repeat;
        }
        let kind = work.job.kind;
        let until = self.estimated_end(id.job, now);
        self.update_attempt(id, |a| {
            a.detached = false;
            a.kind = Some(kind);
            a.estimated_end = until;
        });
        self.update_queue(id.job);
    }

    /// Handles the end of an attempt that the scheduler did not know.
    fn on_unexpected_end(
        &mut self,
        slot: usize,
        id: AttemptId,
        end: AttemptEnd,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.resolved_attempts.insert(id);
        let worker = self.fleet.workers[slot].id;
        let Some(work) = self.jobs.get_mut(&id.job) else {
            self.early_ends.insert((id.job, id.task), end.clone());
            if matches!(end, AttemptEnd::Done { .. }) {
                out.push(Action::TaskEnded {
                    attempt: id,
                    worker,
                    end,
                });
            }
            return;
        };
        let repeat = work.job.repeat;
        let phase = work.phase(id.task);
        match (&end, phase) {
            (_, None | Some(TaskPhase::Done | TaskPhase::Failed | TaskPhase::Unknown)) => return,
            (AttemptEnd::Done { .. }, Some(phase)) => {
                work.set_phase(id.task, TaskPhase::Done);
                out.push(Action::TaskEnded {
                    attempt: id,
                    worker,
                    end,
                });
                if let TaskPhase::Assigned(current) = phase {
                    self.stop(current, false, StopReason::Superseded, now, out);
                }
            }
            // A non-repeatable task has no other attempt, so this end is final.
            (_, Some(TaskPhase::Unconfirmed)) if !repeat => {
                self.end_unrepeatable(id, worker, end, out);
            }
            _ => return,
        }
        self.update_job(id.job, out);
    }

    pub(crate) fn on_silent(&mut self, worker: WorkerId, now: Time) {
        if let Some(slot) = self.fleet.owned_slot(worker) {
            self.mark_silent(slot, now);
        }
    }

    /// Excludes the worker from placement until its next report.
    pub(crate) fn mark_silent(&mut self, slot: usize, now: Time) {
        let worker = &mut self.fleet.workers[slot];
        worker.silent = true;
        worker.silent_until = worker.silent_until.max(now);
        self.fleet.update_indexes(slot);
    }

    pub(crate) fn on_lost(&mut self, worker: WorkerId, now: Time, out: &mut Vec<Action>) {
        if let Some(slot) = self.fleet.owned_slot(worker) {
            self.fence_attempts(slot, now, out);
            self.fleet.remove_owned(slot, now);
            self.release_hold(slot);
        }
        if self.fleet.mark_reported(worker) {
            self.on_roster_change(now, out);
        }
    }

    pub(crate) fn on_leaving(&mut self, worker: WorkerId, now: Time, out: &mut Vec<Action>) {
        let Some(slot) = self.fleet.owned_slot(worker) else {
            return;
        };
        self.fleet.workers[slot].leaving = true;
        self.fleet.update_indexes(slot);
        if !self.active {
            return;
        }
        let movable = |id: &AttemptId| {
            let attempt = self.attempts.get(id)?;
            (attempt.repeat && !attempt.detached).then_some(*id)
        };
        let list = self.fleet.workers[slot].attempts.iter();
        let list: Vec<AttemptId> = list.filter_map(movable).collect();
        for id in list {
            self.stop(id, true, StopReason::Leaving, now, out);
        }
    }

    /// Ends all attempts of a lost worker.
    fn fence_attempts(&mut self, slot: usize, now: Time, out: &mut Vec<Action>) {
        let list: Vec<AttemptId> = self.fleet.workers[slot].attempts.iter().copied().collect();
        for id in list {
            self.fence_attempt(id, now, out);
        }
    }

    fn fence_attempt(&mut self, id: AttemptId, now: Time, out: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let was_sent = attempt.state != AttemptState::Recording;
        self.end_attempt(id, was_sent.then_some(AttemptEnd::Fenced), now, out);
    }

    /// Ends attempts that are absent from the complete list of a worker under a new epoch. The
    /// worker refuses starts sent under an older epoch, so unlisted attempts do not run and never
    /// will.
    fn end_unlisted(
        &mut self,
        slot: usize,
        reports: &[AttemptReport],
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let listed: BTreeSet<AttemptId> = reports.iter().map(|r| r.attempt).collect();
        let list: Vec<AttemptId> = self.fleet.workers[slot].attempts.iter().copied().collect();
        for id in list {
            let Some(attempt) = self.attempts.get(&id) else {
                continue;
            };
            if !listed.contains(&id) && attempt.state != AttemptState::Recording {
                let end = attempt.was_running.then_some(AttemptEnd::Fenced);
                self.end_attempt(id, end, now, out);
            }
        }
    }

    /// Called when a worker of the takeover roster has reported or lapsed. After the last one,
    /// tasks that no worker reported are known not to run.
    pub(crate) fn on_roster_change(&mut self, now: Time, out: &mut Vec<Action>) {
        self.changes.reset();
        if !self.fleet.unreported_workers.is_empty() {
            return;
        }
        let jobs: Vec<_> = self.jobs.keys().copied().collect();
        for id in jobs {
            self.resolve_held(id);
            self.restart_partial_gang(id, now, out);
            self.update_job(id, out);
        }
        self.check_feasibility(now, out);
    }

    /// Resolves tasks that may have been running on an unreported worker. They become ready again,
    /// or end as unknown if they were recorded as dispatched and must not be repeated.
    pub(crate) fn resolve_held(&mut self, job: zinnia_types::JobId) {
        let Some(work) = self.jobs.get_mut(&job) else {
            return;
        };
        for task in 0..work.job.tasks {
            let Some(slot) = work.tasks.get(task as usize) else {
                continue;
            };
            if slot.phase != TaskPhase::Unconfirmed {
                continue;
            }
            let phase = match (
                slot.live_attempts > 0,
                slot.dispatch_recorded && !work.job.repeat,
            ) {
                (true, _) => TaskPhase::Waiting,
                (false, true) => TaskPhase::Unknown,
                (false, false) => TaskPhase::Ready,
            };
            work.set_phase(task, phase);
        }
    }

    /// Restarts a repeatable gang of which only some members were found running.
    pub(crate) fn restart_partial_gang(
        &mut self,
        job: zinnia_types::JobId,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(work) = self.jobs.get(&job) else {
            return;
        };
        let is_partial = work.live_attempts > 0 && !work.ready_tasks.is_empty();
        if is_partial && work.job.class == Class::Gang && work.job.repeat {
            self.stop_attempts(job, true, StopReason::Gang, now, out);
        }
    }

    /// Whether usage of this class corrects later needs. A service's usage follows its load, not
    /// its size, so services are excluded.
    pub(crate) fn learns_usage(class: Class) -> bool {
        class != Class::Service
    }
}
