//! Worker registration, reports and loss.

use std::collections::BTreeSet;

use zinnia_types::AttemptId;
use zinnia_types::Class;
use zinnia_types::Epoch;
use zinnia_types::Resources;
use zinnia_types::Time;
use zinnia_types::WorkerId;
use zinnia_types::worker::End;
use zinnia_types::worker::Profile;
use zinnia_types::worker::Report;
use zinnia_types::worker::Task;
use zinnia_types::worker::TaskState;

use crate::action::Action;
use crate::action::StopReason;
use crate::attempt::Attempt;
use crate::attempt::State;
use crate::scheduler::Scheduler;
use crate::timer::Timer;
use crate::work::Phase;

impl Scheduler {
    pub(crate) fn on_worker(
        &mut self,
        profile: &Profile,
        epoch: Epoch,
        leaving: bool,
        reports: Vec<Report>,
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
        reports: Vec<Report>,
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
        report: Report,
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
            TaskState::Ended { end } if is_known => self.finish(id, Some(end), now, out),
            TaskState::Ended { end } if !self.is_resolved(id) => {
                self.on_unexpected_end(slot, id, end, now, out);
            }
            TaskState::Refused if is_known => self.finish(id, None, now, out),
            TaskState::Ended { .. } | TaskState::Refused => {}
        }
    }

    /// Records reported usage. Reports lag behind and usage may rise again, so the memory charge
    /// never falls below the peak seen.
    fn record_usage(&mut self, id: AttemptId, usage: &Resources) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let peak = Resources::max(&attempt.peak, usage);
        if peak == attempt.peak && attempt.state != State::Starting {
            return;
        }
        self.edit(id, |a| {
            a.ran = true;
            a.peak = peak;
            a.charge.mem = a.need.mem.max(peak.mem);
            if a.state == State::Starting {
                a.state = State::Running;
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
            peak: *usage,
            state: State::Running,
            ran: true,
            since: now,
            until: None,
            throttled: false,
            share: None,
            extra: true,
            stop: None,
        };
        self.charge(id, attempt);
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
        let is_unassigned = matches!(phase, Some(Phase::Held | Phase::Ready | Phase::Waiting));
        if !is_unassigned || work.closing.is_some() {
            self.stop(id, false, StopReason::Superseded, now, out);
            return;
        }
        work.set_phase(id.task, Phase::Live(id));
        if let Some(task) = work.tasks.get_mut(id.task as usize) {
            task.recorded |= !work.job.repeat;
        }
        let kind = work.job.kind;
        let until = self.run_end(id.job, now);
        self.edit(id, |a| {
            a.extra = false;
            a.kind = Some(kind);
            a.until = until;
        });
        self.requeue(id.job);
    }

    /// Handles the end of an attempt that the scheduler did not know.
    fn on_unexpected_end(
        &mut self,
        slot: usize,
        id: AttemptId,
        end: End,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.resolved_attempts.insert(id);
        let worker = self.fleet.workers[slot].id;
        let Some(work) = self.jobs.get_mut(&id.job) else {
            self.early_ends.insert((id.job, id.task), end.clone());
            if matches!(end, End::Done { .. }) {
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
            (_, None | Some(Phase::Done | Phase::Failed | Phase::Unknown)) => return,
            (End::Done { .. }, Some(phase)) => {
                work.set_phase(id.task, Phase::Done);
                out.push(Action::TaskEnded {
                    attempt: id,
                    worker,
                    end,
                });
                if let Phase::Live(current) = phase {
                    self.stop(current, false, StopReason::Superseded, now, out);
                }
            }
            // A non-repeatable task has no other attempt, so this end is final.
            (_, Some(Phase::Held)) if !repeat => self.end_unrepeated(id, worker, end, out),
            _ => return,
        }
        self.settle(id.job, out);
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
            (attempt.repeat && !attempt.extra).then_some(*id)
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
        let was_sent = attempt.state != State::Recording;
        self.finish(id, was_sent.then_some(End::Fenced), now, out);
    }

    /// Ends attempts that are absent from the complete list of a worker under a new epoch. The
    /// worker refuses starts sent under an older epoch, so unlisted attempts do not run and never
    /// will.
    fn end_unlisted(&mut self, slot: usize, reports: &[Report], now: Time, out: &mut Vec<Action>) {
        let listed: BTreeSet<AttemptId> = reports.iter().map(|r| r.attempt).collect();
        let list: Vec<AttemptId> = self.fleet.workers[slot].attempts.iter().copied().collect();
        for id in list {
            let Some(attempt) = self.attempts.get(&id) else {
                continue;
            };
            if !listed.contains(&id) && attempt.state != State::Recording {
                let end = attempt.ran.then_some(End::Fenced);
                self.finish(id, end, now, out);
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
            self.settle(id, out);
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
            if slot.phase != Phase::Held {
                continue;
            }
            let phase = match (slot.live > 0, slot.recorded && !work.job.repeat) {
                (true, _) => Phase::Waiting,
                (false, true) => Phase::Unknown,
                (false, false) => Phase::Ready,
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
        let is_partial = work.live > 0 && !work.ready.is_empty();
        if is_partial && work.job.class == Class::Gang && work.job.repeat {
            self.stop_live(job, true, StopReason::Gang, now, out);
        }
    }

    /// Whether usage of this class corrects later needs. A service's usage follows its load, not
    /// its size, so services are excluded.
    pub(crate) fn learns_usage(class: Class) -> bool {
        class != Class::Service
    }
}
