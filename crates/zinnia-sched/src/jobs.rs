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
use crate::job_state::JobState;
use crate::job_state::TaskPhase;
use crate::policy::QueuedJob;
use crate::queue::SubqueueKey;
use crate::scheduler::Scheduler;

/// Cancelled jobs taken out of their queues in one step.
const MAX_DEQUEUED: usize = 256;
/// Cancelled jobs ended in one step, so that a burst of cancellations does not delay the decisions
/// between them.
const MAX_CANCELLED: usize = 8;
/// The same for a tick, so that the end is announced within seconds when nothing else happens.
const MAX_CANCELLED_TICK: usize = 512;
/// Part of the run times that the estimate for the queue order covers.
const ORDER_QUANTILE: f64 = 0.75;
/// Part of the run times that the estimate for backfill covers.
const BACKFILL_QUANTILE: f64 = 0.9;

impl Scheduler {
    pub(crate) fn on_submit(
        &mut self,
        job: Job,
        done: &[u32],
        dispatched: &[u32],
        recovered: bool,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let id = job.id;
        let known = self.jobs.contains_key(&id);
        if !known {
            let team = self.teams.slot(job.team, &self.settings.retry);
            self.last_seq += 1;
            self.jobs
                .insert(id, JobState::new(job, team, self.last_seq, !recovered));
            self.count_adopted(id);
        }
        for &task in done {
            self.mark_task_done(id, task, now, out);
        }
        if let Some(work) = self.jobs.get_mut(&id) {
            for &task in dispatched {
                if let Some(slot) = work.tasks.get_mut(task as usize) {
                    slot.dispatch_recorded = true;
                }
            }
        }
        if !known {
            self.apply_early_ends(id);
            for attempt in self.attempts_of(id) {
                self.link_adopted(attempt, now, out);
            }
            self.release_tasks(id);
            self.restart_partial_gang(id, now, out);
        }
        self.update_job(id, out);
        self.check_job_feasibility(id, now, out);
    }

    /// Attempts that were adopted before their job was known.
    fn count_adopted(&mut self, id: JobId) {
        let list = self.attempts_of(id);
        let Some(work) = self.jobs.get_mut(&id) else {
            return;
        };
        for attempt in list {
            let Some(state) = self.attempts.get(&attempt) else {
                continue;
            };
            work.live_attempts += 1;
            if let Some(slot) = work.tasks.get_mut(attempt.task as usize) {
                slot.live_attempts += 1;
            }
            if state.class == Class::Service {
                let rack = self.fleet.workers[state.worker].rack;
                *work.rack_counts.entry(rack).or_default() += 1;
            }
        }
    }

    /// Tasks of a new job become ready, unless they may be running on a worker that has not
    /// reported.
    fn release_tasks(&mut self, id: JobId) {
        let settled = self.fleet.unreported_workers.is_empty();
        if settled {
            self.resolve_held(id);
            return;
        }
        let Some(work) = self.jobs.get_mut(&id) else {
            return;
        };
        if !work.post_takeover {
            return;
        }
        for task in 0..work.job.tasks {
            let held = |t: &crate::job_state::TaskEntry| {
                t.phase == TaskPhase::Unconfirmed && !t.dispatch_recorded
            };
            if work.tasks.get(task as usize).is_some_and(held) {
                work.set_phase(task, TaskPhase::Ready);
            }
        }
    }

    /// Takes over ends that were reported before the job was submitted.
    fn apply_early_ends(&mut self, id: JobId) {
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
                End::Done { .. } => work.set_phase(task, TaskPhase::Done),
                End::Failed { why } if !work.job.repeat => {
                    work.set_phase(task, TaskPhase::Failed);
                    work.failure = Some(why);
                }
                _ => {}
            }
        }
    }

    fn mark_task_done(&mut self, id: JobId, task: u32, now: Time, out: &mut Vec<Action>) {
        let Some(work) = self.jobs.get_mut(&id) else {
            return;
        };
        let phase = work.phase(task);
        work.set_phase(task, TaskPhase::Done);
        if let Some(TaskPhase::Assigned(current)) = phase {
            self.stop(current, false, StopReason::Superseded, now, out);
        }
    }

    /// Decides that jobs are cancelled, so that nothing of them is started. The rest follows in
    /// parts.
    pub(crate) fn on_cancel(&mut self, jobs: Vec<JobId>) {
        for id in &jobs {
            if let Some(work) = self.jobs.get_mut(id) {
                work.outcome = Some(Outcome::Cancelled);
            }
        }
        self.queued_cancels.extend(jobs);
    }

    /// Takes some of the cancelled jobs out of their queues, and ends some.
    pub(crate) fn process_cancellations(&mut self, tick: bool, now: Time, out: &mut Vec<Action>) {
        for _ in 0..MAX_DEQUEUED {
            let Some(id) = self.queued_cancels.pop_front() else {
                break;
            };
            self.dequeue(id);
            self.unqueued_cancels.push_back(id);
        }
        let count = if tick {
            MAX_CANCELLED_TICK
        } else {
            MAX_CANCELLED
        };
        for _ in 0..count {
            let Some(id) = self.unqueued_cancels.pop_front() else {
                return;
            };
            self.close_job(id, Outcome::Cancelled, now, out);
        }
    }

    /// Decides a job's outcome and stops what runs of it.
    pub(crate) fn close_job(
        &mut self,
        id: JobId,
        outcome: Outcome,
        now: Time,
        out: &mut Vec<Action>,
    ) {
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
        work.outcome = Some(outcome);
        if stops {
            self.stop_attempts(id, false, why, now, out);
        }
        self.update_job(id, out);
    }

    pub(crate) fn stop_attempts(
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
        if work.live_attempts == 0 {
            return;
        }
        for attempt in self.attempts_of(id) {
            self.stop(attempt, checkpoint, why, now, out);
        }
    }

    /// An attempt is known not to run any more: it ended, or never ran and never will (`None`).
    pub(crate) fn end_attempt(
        &mut self,
        id: AttemptId,
        end: Option<End>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.remove_attempt(id) else {
            return;
        };
        self.changes.push(attempt.worker);
        // A refusal of something that was seen running means that it was stopped.
        let end = match end {
            None if attempt.was_running => Some(End::Fenced),
            end => end,
        };
        let worker = self.fleet.workers[attempt.worker].id;
        if let Some(End::Done { run_ms }) = &end {
            self.update_estimate(&attempt, *run_ms);
            self.record_success(&attempt, id.job, now, out);
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
        let current = work.phase(id.task) == Some(TaskPhase::Assigned(id));
        let lost = !matches!(end, Some(End::Done { .. }));
        match end {
            Some(End::Done { .. }) => {
                let phase = work.phase(id.task);
                work.set_phase(id.task, TaskPhase::Done);
                if let Some(TaskPhase::Assigned(other)) = phase
                    && other != id
                {
                    self.stop(other, false, StopReason::Superseded, now, out);
                }
            }
            _ if !current => {
                if work.phase(id.task) == Some(TaskPhase::Waiting) {
                    self.reschedule_task(id);
                }
            }
            Some(End::Failed { why }) if work.job.repeat => {
                self.retry_or_fail(id, &attempt, why, now, out);
            }
            Some(end) if !work.job.repeat => self.end_unrepeatable(id, worker, end, out),
            _ => self.reschedule_task(id),
        }
        if lost && current && attempt.repeat && attempt.class == Class::Gang {
            self.stop_attempts(id.job, true, StopReason::Gang, now, out);
        }
        self.update_job(id.job, out);
    }

    /// The task may be started again once none of its attempts may be running.
    fn reschedule_task(&mut self, id: AttemptId) {
        if let Some(work) = self.jobs.get_mut(&id.job) {
            let live = work
                .tasks
                .get(id.task as usize)
                .is_some_and(|t| t.live_attempts > 0);
            let phase = if live {
                TaskPhase::Waiting
            } else {
                TaskPhase::Ready
            };
            work.set_phase(id.task, phase);
        }
    }

    /// A task that must not be repeated ended without success.
    pub(crate) fn end_unrepeatable(
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
            work.set_phase(id.task, TaskPhase::Failed);
            work.failure = Some(why.clone());
        } else {
            work.set_phase(id.task, TaskPhase::Unknown);
        }
        out.push(Action::TaskEnded {
            attempt: id,
            worker,
            end,
        });
    }

    pub(crate) fn on_retry_due(&mut self, job: JobId, task: u32, out: &mut Vec<Action>) {
        let Some(work) = self.jobs.get_mut(&job) else {
            return;
        };
        let slot = work.tasks.get(task as usize);
        if slot.is_some_and(|t| t.phase == TaskPhase::Waiting && t.live_attempts == 0) {
            work.set_phase(task, TaskPhase::Ready);
            self.update_job(job, out);
        }
    }

    /// Ends the job if nothing is left of it, and otherwise queues what is ready.
    pub(crate) fn update_job(&mut self, id: JobId, out: &mut Vec<Action>) {
        let Some(work) = self.jobs.get_mut(&id) else {
            return;
        };
        if work.outcome.is_none() {
            work.outcome = work.final_outcome();
            if work.outcome.is_none() && work.failure.is_some() && work.unknown_tasks == 0 {
                let why = work.failure.clone().unwrap_or_default();
                work.outcome = Some(Outcome::Failed { why });
            }
        }
        if work.outcome.is_some() && work.live_attempts == 0 {
            let outcome = match work.outcome.clone() {
                Some(Outcome::Failed { .. }) if work.unknown_tasks > 0 => Outcome::Unknown {
                    why: format!(
                        "{} tasks were lost while they may have run",
                        work.unknown_tasks
                    ),
                },
                outcome => outcome.unwrap_or(Outcome::Done),
            };
            self.remove_job(id);
            out.push(Action::JobEnded { job: id, outcome });
            return;
        }
        self.update_queue(id);
    }

    /// Takes a job out of everything but the attempts.
    pub(crate) fn remove_job(&mut self, id: JobId) {
        self.dequeue(id);
        let Some(work) = self.jobs.remove(&id) else {
            return;
        };
        let team = &mut self.teams.list[work.team];
        team.queued_need = team
            .queued_need
            .saturating_sub(&work.job.need.times(work.queued_tasks));
        self.cancel_reservation(id);
    }

    fn dequeue(&mut self, id: JobId) {
        if let Some(work) = self.jobs.get_mut(&id)
            && let Some((_, place)) = work.queue_position.take()
        {
            self.teams.list[work.team].queue.remove(place);
        }
    }

    /// Puts the job where it belongs in its team's queue, or takes it out.
    pub(crate) fn update_queue(&mut self, id: JobId) {
        let Some(work) = self.jobs.get(&id) else {
            return;
        };
        let waiting = if work.outcome.is_some() {
            0
        } else {
            work.ready_tasks.len() as u64
        };
        let counted = work.queued_tasks;
        let need = work.job.need;
        let start = work.can_start();
        let team = work.team;
        if counted != waiting {
            let queued = &mut self.teams.list[team].queued_need;
            *queued = queued.saturating_sub(&need.times(counted)) + need.times(waiting);
        }
        let rank = start.then(|| (self.queue_rank(id), SubqueueKey::of(&work.job)));
        let Some(work) = self.jobs.get_mut(&id) else {
            return;
        };
        work.queued_tasks = waiting;
        let wanted = rank.map(|(rank, lane)| (lane, (rank, work.seq)));
        if work.queue_position.map(|(lane, (_, rank))| (lane, rank)) == wanted {
            return;
        }
        self.dequeue(id);
        let Some((lane, rank)) = wanted else {
            return;
        };
        let place = self.teams.list[team].queue.insert(lane, rank, id);
        if let Some(work) = self.jobs.get_mut(&id) {
            work.queue_position = Some((lane, place));
        }
        self.queue_changed = true;
    }

    fn queue_rank(&self, id: JobId) -> i64 {
        let Some(work) = self.jobs.get(&id) else {
            return 0;
        };
        let waiting = QueuedJob {
            due_ms: work.job.due_ms,
            accepted_ms: work.job.accepted_ms,
            runtime_ms: self.estimated_run_ms(&work.job, ORDER_QUANTILE),
            seq: work.seq,
            late: work.late,
        };
        (self.policy.order)(&waiting, &self.settings.queue)
    }

    /// Learned run time of a task, or the declared one.
    pub(crate) fn estimated_run_ms(&self, job: &Job, q: f64) -> u64 {
        match self.estimates.get(&(job.team, job.kind)) {
            Some(estimate) => estimate.run_quantile_ms(q, job.runtime_ms),
            None => job.runtime_ms,
        }
    }

    /// When a task of the job that starts now should end.
    pub(crate) fn estimated_end(&self, id: JobId, now: Time) -> Option<Time> {
        let work = self.jobs.get(&id)?;
        if work.job.class == Class::Service {
            return None;
        }
        Some(now.after(self.estimated_run_ms(&work.job, BACKFILL_QUANTILE)))
    }

    fn update_estimate(&mut self, attempt: &Attempt, run_ms: u64) {
        let Some(kind) = attempt.kind else {
            return;
        };
        if !Self::learns_usage(attempt.class) {
            return;
        }
        let team = self.teams.list[attempt.team].id;
        let estimate = self.estimates.entry((team, kind)).or_default();
        estimate.observe_run(run_ms);
        if attempt.peak_usage.cpu > 0 && !attempt.throttled {
            estimate.observe_usage(&attempt.peak_usage);
        }
    }
}
