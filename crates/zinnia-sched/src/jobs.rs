//! Jobs: submission, cancellation, and the ends of their attempts.

use zinnia_types::AttemptId;
use zinnia_types::Class;
use zinnia_types::Job;
use zinnia_types::JobId;
use zinnia_types::Outcome;
use zinnia_types::Time;
use zinnia_types::WorkerId;
use zinnia_types::worker::End;

use crate::action::Action;
use crate::action::StopReason;
use crate::attempt::Attempt;
use crate::policy::QueuedJob;
use crate::queue::LaneId;
use crate::scheduler::Scheduler;
use crate::work::Phase;
use crate::work::Work;

/// Cancelled jobs taken out of their queues in one step.
const UNQUEUED: usize = 256;
/// Cancelled jobs ended in one step, so that a burst of cancellations does not delay the decisions
/// between them.
const CANCELLED: usize = 8;
/// The same for a tick, so that the end is announced within seconds when nothing else happens.
const CANCELLED_TICK: usize = 512;
/// Part of the run times that the estimate for the queue order covers.
const ORDER_QUANTILE: f64 = 0.75;
/// Part of the run times that the estimate for backfill covers.
const END_QUANTILE: f64 = 0.9;

impl Scheduler {
    pub(crate) fn on_submit(
        &mut self,
        job: Job,
        done: &[u32],
        dispatched: &[u32],
        old: bool,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let id = job.id;
        let known = self.jobs.contains_key(&id);
        if !known {
            let team = self.teams.slot(job.team, &self.settings.retry);
            self.last_seq += 1;
            self.jobs
                .insert(id, Work::new(job, team, self.last_seq, !old));
            self.count_live(id);
        }
        for &task in done {
            self.mark_done(id, task, now, out);
        }
        if let Some(work) = self.jobs.get_mut(&id) {
            for &task in dispatched {
                if let Some(slot) = work.tasks.get_mut(task as usize) {
                    slot.recorded = true;
                }
            }
        }
        if !known {
            self.apply_early(id);
            for attempt in self.attempts_of(id) {
                self.link_adopted(attempt, now, out);
            }
            self.start_waiting(id);
            self.restart_partial_gang(id, now, out);
        }
        self.settle(id, out);
        self.check_job_feasibility(id, now, out);
    }

    /// Attempts that were adopted before their job was known.
    fn count_live(&mut self, id: JobId) {
        let list = self.attempts_of(id);
        let Some(work) = self.jobs.get_mut(&id) else {
            return;
        };
        for attempt in list {
            let Some(state) = self.attempts.get(&attempt) else {
                continue;
            };
            work.live += 1;
            if let Some(slot) = work.tasks.get_mut(attempt.task as usize) {
                slot.live += 1;
            }
            if state.class == Class::Service {
                let rack = self.fleet.workers[state.worker].rack;
                *work.racks.entry(rack).or_default() += 1;
            }
        }
    }

    /// Tasks of a new job become ready, unless they may be running on a worker that has not
    /// reported.
    fn start_waiting(&mut self, id: JobId) {
        let settled = self.fleet.unreported_workers.is_empty();
        if settled {
            self.resolve_held(id);
            return;
        }
        let Some(work) = self.jobs.get_mut(&id) else {
            return;
        };
        if !work.fresh {
            return;
        }
        for task in 0..work.job.tasks {
            let held = |t: &crate::work::TaskSlot| t.phase == Phase::Held && !t.recorded;
            if work.tasks.get(task as usize).is_some_and(held) {
                work.set_phase(task, Phase::Ready);
            }
        }
    }

    /// Takes over ends that were reported before the job was submitted.
    fn apply_early(&mut self, id: JobId) {
        let ends: Vec<(u32, End)> = self
            .early_ends
            .range((id, 0)..=(id, u32::MAX))
            .map(|((_, task), end)| (*task, end.clone()))
            .collect();
        for (task, end) in ends {
            self.early_ends.remove(&(id, task));
            let Some(work) = self.jobs.get_mut(&id) else {
                return;
            };
            match end {
                End::Done { .. } => work.set_phase(task, Phase::Done),
                End::Failed { why } if !work.job.repeat => {
                    work.set_phase(task, Phase::Failed);
                    work.failure = Some(why);
                }
                _ => {}
            }
        }
    }

    fn mark_done(&mut self, id: JobId, task: u32, now: Time, out: &mut Vec<Action>) {
        let Some(work) = self.jobs.get_mut(&id) else {
            return;
        };
        let phase = work.phase(task);
        work.set_phase(task, Phase::Done);
        if let Some(Phase::Live(current)) = phase {
            self.stop(current, false, StopReason::Superseded, now, out);
        }
    }

    /// Decides that jobs are cancelled, so that nothing of them is started. The rest follows in
    /// parts.
    pub(crate) fn on_cancel(&mut self, jobs: Vec<JobId>) {
        for id in &jobs {
            if let Some(work) = self.jobs.get_mut(id) {
                work.closing = Some(Outcome::Cancelled);
            }
        }
        self.queued_cancels.extend(jobs);
    }

    /// Takes some of the cancelled jobs out of their queues, and ends some.
    pub(crate) fn cancel_some(&mut self, tick: bool, now: Time, out: &mut Vec<Action>) {
        for _ in 0..UNQUEUED {
            let Some(id) = self.queued_cancels.pop_front() else {
                break;
            };
            self.unqueue(id);
            self.unqueued_cancels.push_back(id);
        }
        let count = if tick { CANCELLED_TICK } else { CANCELLED };
        for _ in 0..count {
            let Some(id) = self.unqueued_cancels.pop_front() else {
                return;
            };
            self.close(id, Outcome::Cancelled, now, out);
        }
    }

    /// Decides a job's outcome and stops what runs of it.
    pub(crate) fn close(&mut self, id: JobId, outcome: Outcome, now: Time, out: &mut Vec<Action>) {
        let Some(work) = self.jobs.get_mut(&id) else {
            return;
        };
        let why = if outcome == Outcome::Cancelled {
            StopReason::Cancelled
        } else {
            StopReason::JobFailed
        };
        // What must not be repeated runs to its end unless its team cancels it.
        let stops = work.job.repeat || outcome == Outcome::Cancelled;
        work.closing = Some(outcome);
        if stops {
            self.stop_live(id, false, why, now, out);
        }
        self.settle(id, out);
    }

    pub(crate) fn stop_live(
        &mut self,
        id: JobId,
        checkpoint: bool,
        why: StopReason,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(work) = self.jobs.get(&id) else {
            return;
        };
        if work.live == 0 {
            return;
        }
        for attempt in self.attempts_of(id) {
            self.stop(attempt, checkpoint, why, now, out);
        }
    }

    /// An attempt is known not to run any more: it ended, or never ran and never will (`None`).
    pub(crate) fn finish(
        &mut self,
        id: AttemptId,
        end: Option<End>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.discharge(id) else {
            return;
        };
        self.changes.push(attempt.worker);
        // A refusal of something that was seen running means that it was stopped.
        let end = match end {
            None if attempt.ran => Some(End::Fenced),
            end => end,
        };
        let worker = self.fleet.workers[attempt.worker].id;
        if let Some(End::Done { run_ms }) = &end {
            self.learn(&attempt, *run_ms);
            self.credit(&attempt, id.job, now, out);
            out.push(Action::TaskEnded {
                attempt: id,
                worker,
                end: End::Done { run_ms: *run_ms },
            });
        }
        let Some(work) = self.jobs.get_mut(&id.job) else {
            if let Some(end) = end {
                self.early_ends.insert((id.job, id.task), end);
            }
            return;
        };
        let current = work.phase(id.task) == Some(Phase::Live(id));
        let lost = !matches!(end, Some(End::Done { .. }));
        match end {
            Some(End::Done { .. }) => {
                let phase = work.phase(id.task);
                work.set_phase(id.task, Phase::Done);
                if let Some(Phase::Live(other)) = phase
                    && other != id
                {
                    self.stop(other, false, StopReason::Superseded, now, out);
                }
            }
            _ if !current => {
                if work.phase(id.task) == Some(Phase::Waiting) {
                    self.again(id);
                }
            }
            Some(End::Failed { why }) if work.job.repeat => {
                self.fail(id, &attempt, why, now, out);
            }
            Some(end) if !work.job.repeat => self.end_unrepeated(id, worker, end, out),
            _ => self.again(id),
        }
        if lost && current && attempt.repeat && attempt.class == Class::Gang {
            self.stop_live(id.job, true, StopReason::Gang, now, out);
        }
        self.settle(id.job, out);
    }

    /// The task may be started again once none of its attempts may be running.
    fn again(&mut self, id: AttemptId) {
        if let Some(work) = self.jobs.get_mut(&id.job) {
            let live = work.tasks.get(id.task as usize).is_some_and(|t| t.live > 0);
            let phase = if live { Phase::Waiting } else { Phase::Ready };
            work.set_phase(id.task, phase);
        }
    }

    /// A task that must not be repeated ended without success.
    pub(crate) fn end_unrepeated(
        &mut self,
        id: AttemptId,
        worker: WorkerId,
        end: End,
        out: &mut Vec<Action>,
    ) {
        let Some(work) = self.jobs.get_mut(&id.job) else {
            return;
        };
        if let End::Failed { why } = &end {
            work.set_phase(id.task, Phase::Failed);
            work.failure = Some(why.clone());
        } else {
            work.set_phase(id.task, Phase::Unknown);
        }
        out.push(Action::TaskEnded {
            attempt: id,
            worker,
            end,
        });
    }

    pub(crate) fn on_retry(&mut self, job: JobId, task: u32, out: &mut Vec<Action>) {
        let Some(work) = self.jobs.get_mut(&job) else {
            return;
        };
        let slot = work.tasks.get(task as usize);
        if slot.is_some_and(|t| t.phase == Phase::Waiting && t.live == 0) {
            work.set_phase(task, Phase::Ready);
            self.settle(job, out);
        }
    }

    /// Ends the job if nothing is left of it, and otherwise queues what is ready.
    pub(crate) fn settle(&mut self, id: JobId, out: &mut Vec<Action>) {
        let Some(work) = self.jobs.get_mut(&id) else {
            return;
        };
        if work.closing.is_none() {
            work.closing = work.verdict();
            if work.closing.is_none() && work.failure.is_some() && work.unknown == 0 {
                let why = work.failure.clone().unwrap_or_default();
                work.closing = Some(Outcome::Failed { why });
            }
        }
        if work.closing.is_some() && work.live == 0 {
            let outcome = match work.closing.clone() {
                Some(Outcome::Failed { .. }) if work.unknown > 0 => Outcome::Unknown {
                    why: format!("{} tasks were lost while they may have run", work.unknown),
                },
                outcome => outcome.unwrap_or(Outcome::Done),
            };
            self.forget(id);
            out.push(Action::JobEnded { job: id, outcome });
            return;
        }
        self.requeue(id);
    }

    /// Takes a job out of everything but the attempts.
    pub(crate) fn forget(&mut self, id: JobId) {
        self.unqueue(id);
        let Some(work) = self.jobs.remove(&id) else {
            return;
        };
        let team = &mut self.teams.list[work.team];
        team.queued = team
            .queued
            .saturating_sub(&work.job.need.times(work.counted));
        self.cancel_reservation(id);
    }

    fn unqueue(&mut self, id: JobId) {
        if let Some(work) = self.jobs.get_mut(&id)
            && let Some((_, place)) = work.queued.take()
        {
            self.teams.list[work.team].lanes.remove(place);
        }
    }

    /// Puts the job where it belongs in its team's queue, or takes it out.
    pub(crate) fn requeue(&mut self, id: JobId) {
        let Some(work) = self.jobs.get(&id) else {
            return;
        };
        let waiting = if work.closing.is_some() {
            0
        } else {
            work.ready.len() as u64
        };
        let counted = work.counted;
        let need = work.job.need;
        let start = work.can_start();
        let team = work.team;
        if counted != waiting {
            let queued = &mut self.teams.list[team].queued;
            *queued = queued.saturating_sub(&need.times(counted)) + need.times(waiting);
        }
        let rank = start.then(|| (self.rank(id), LaneId::of(&work.job)));
        let Some(work) = self.jobs.get_mut(&id) else {
            return;
        };
        work.counted = waiting;
        let wanted = rank.map(|(rank, lane)| (lane, (rank, work.seq)));
        if work.queued.map(|(lane, (_, rank))| (lane, rank)) == wanted {
            return;
        }
        self.unqueue(id);
        let Some((lane, rank)) = wanted else {
            return;
        };
        let place = self.teams.list[team].lanes.insert(lane, rank, id);
        if let Some(work) = self.jobs.get_mut(&id) {
            work.queued = Some((lane, place));
        }
        self.queue_changed = true;
    }

    fn rank(&self, id: JobId) -> i64 {
        let Some(work) = self.jobs.get(&id) else {
            return 0;
        };
        let waiting = QueuedJob {
            due_ms: work.job.due_ms,
            accepted_ms: work.job.accepted_ms,
            runtime_ms: self.run_ms(&work.job, ORDER_QUANTILE),
            seq: work.seq,
            late: work.late,
        };
        (self.policy.order)(&waiting, &self.settings.queue)
    }

    /// Learned run time of a task, or the declared one.
    pub(crate) fn run_ms(&self, job: &Job, q: f64) -> u64 {
        match self.estimates.get(&(job.team, job.kind)) {
            Some(estimate) => estimate.run_ms(q, job.runtime_ms),
            None => job.runtime_ms,
        }
    }

    /// When a task of the job that starts now should end.
    pub(crate) fn run_end(&self, id: JobId, now: Time) -> Option<Time> {
        let work = self.jobs.get(&id)?;
        if work.job.class == Class::Service {
            return None;
        }
        Some(now.after(self.run_ms(&work.job, END_QUANTILE)))
    }

    fn learn(&mut self, attempt: &Attempt, run_ms: u64) {
        let Some(kind) = attempt.kind else {
            return;
        };
        if !Self::learns_usage(attempt.class) {
            return;
        }
        let team = self.teams.list[attempt.team].id;
        let estimate = self.estimates.entry((team, kind)).or_default();
        estimate.observe_run(run_ms);
        if attempt.peak.cpu > 0 && !attempt.throttled {
            estimate.observe_usage(&attempt.peak);
        }
    }
}
