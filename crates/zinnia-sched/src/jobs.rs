//! Job lifecycle: submission, cancellation, and the ends of attempts.

use zinnia_types::AttemptId;
use zinnia_types::Class;
use zinnia_types::Job;
use zinnia_types::JobId;
use zinnia_types::Outcome;
use zinnia_types::Time;
use zinnia_types::WorkerId;
use zinnia_types::worker::AttemptEnd;

use crate::action::Action;
use crate::action::StopReason;
use crate::attempt::Attempt;
use crate::job_state::JobState;
use crate::job_state::TaskPhase;
use crate::policy::QueuedJob;
use crate::queue::SubqueueKey;
use crate::scheduler::Scheduler;

/// Cancelled jobs removed from their queues in one step.
const MAX_DEQUEUED: usize = 256;
/// Cancelled jobs ended in one step. The bound keeps a burst of cancellations from delaying other
/// scheduling decisions.
const MAX_CANCELLED: usize = 8;
/// Cancelled jobs ended in one tick. The higher bound ends all of them within seconds when no other
/// events arrive.
const MAX_CANCELLED_TICK: usize = 512;
/// Quantile of the observed run times that is used for the queue order.
const ORDER_QUANTILE: f64 = 0.75;
/// Quantile of the observed run times that is used for the estimated end of a task, on which
/// backfill relies.
const BACKFILL_QUANTILE: f64 = 0.9;

impl Scheduler {
    /// Adds a job, or updates the recorded state of one that is already known.
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
        if let Some(job_state) = self.jobs.get_mut(&id) {
            for &task in dispatched {
                if let Some(task_entry) = job_state.tasks.get_mut(task as usize) {
                    task_entry.dispatch_recorded = true;
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

    /// Counts attempts that were adopted before their job was submitted.
    fn count_adopted(&mut self, id: JobId) {
        let attempts = self.attempts_of(id);
        let Some(job_state) = self.jobs.get_mut(&id) else {
            return;
        };
        for attempt in attempts {
            let Some(state) = self.attempts.get(&attempt) else {
                continue;
            };
            job_state.live_attempts += 1;
            if let Some(task_entry) = job_state.tasks.get_mut(attempt.task as usize) {
                task_entry.live_attempts += 1;
            }
            if state.class == Class::Service {
                let rack = self.fleet.workers[state.worker].rack;
                *job_state.rack_counts.entry(rack).or_default() += 1;
            }
        }
    }

    /// Makes the tasks of a new job ready, except those that may be running on a worker that has
    /// not reported since the takeover.
    fn release_tasks(&mut self, id: JobId) {
        let all_reported = self.fleet.unreported_workers.is_empty();
        if all_reported {
            self.resolve_held(id);
            return;
        }
        let Some(job_state) = self.jobs.get_mut(&id) else {
            return;
        };
        if !job_state.post_takeover {
            return;
        }
        for task in 0..job_state.job.tasks {
            let unconfirmed = |t: &crate::job_state::TaskEntry| {
                t.phase == TaskPhase::Unconfirmed && !t.dispatch_recorded
            };
            if job_state.tasks.get(task as usize).is_some_and(unconfirmed) {
                job_state.set_phase(task, TaskPhase::Ready);
            }
        }
    }

    /// Applies task ends that were reported before the job was submitted.
    fn apply_early_ends(&mut self, id: JobId) {
        let ends: Vec<(u32, AttemptEnd)> = self
            .early_ends
            .range((id, 0)..=(id, u32::MAX))
            .map(|((_, task), end)| (*task, end.clone()))
            .collect();
        for (task, end) in ends {
            self.early_ends.remove(&(id, task));
            let Some(job_state) = self.jobs.get_mut(&id) else {
                return;
            };
            match end {
                AttemptEnd::Done { .. } => job_state.set_phase(task, TaskPhase::Done),
                AttemptEnd::Failed { why } if !job_state.job.repeat => {
                    job_state.set_phase(task, TaskPhase::Failed);
                    job_state.failure = Some(why);
                }
                _ => {}
            }
        }
    }

    /// Marks a task as done that the log records as done, and stops its current attempt.
    fn mark_task_done(&mut self, id: JobId, task: u32, now: Time, out: &mut Vec<Action>) {
        let Some(job_state) = self.jobs.get_mut(&id) else {
            return;
        };
        let phase = job_state.phase(task);
        job_state.set_phase(task, TaskPhase::Done);
        if let Some(TaskPhase::Assigned(current)) = phase {
            self.stop(current, false, StopReason::Superseded, now, out);
        }
    }

    /// Marks jobs as cancelled, so that none of their tasks is started. They are dequeued and ended
    /// in batches by [`Self::process_cancellations`].
    pub(crate) fn on_cancel(&mut self, jobs: Vec<JobId>) {
        for id in &jobs {
            if let Some(job_state) = self.jobs.get_mut(id) {
                job_state.outcome = Some(Outcome::Cancelled);
            }
        }
        self.queued_cancels.extend(jobs);
    }

    /// Dequeues one batch of the cancelled jobs and ends another.
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

    /// Sets the outcome of a job and stops its running attempts.
    pub(crate) fn close_job(
        &mut self,
        id: JobId,
        outcome: Outcome,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(job_state) = self.jobs.get_mut(&id) else {
            return;
        };
        let reason = if outcome == Outcome::Cancelled {
            StopReason::Cancelled
        } else {
            StopReason::JobFailed
        };
        // Attempts that must not be repeated run to completion unless the job is cancelled.
        let stop = job_state.job.repeat || outcome == Outcome::Cancelled;
        job_state.outcome = Some(outcome);
        if stop {
            self.stop_attempts(id, false, reason, now, out);
        }
        self.update_job(id, out);
    }

    /// Stops all attempts of a job.
    pub(crate) fn stop_attempts(
        &mut self,
        id: JobId,
        checkpoint: bool,
        reason: StopReason,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(job_state) = self.jobs.get(&id) else {
            return;
        };
        if job_state.live_attempts == 0 {
            return;
        }
        for attempt in self.attempts_of(id) {
            self.stop(attempt, checkpoint, reason, now, out);
        }
    }

    /// Handles the end of an attempt. `None` means that it never ran and never will.
    pub(crate) fn end_attempt(
        &mut self,
        id: AttemptId,
        end: Option<AttemptEnd>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.remove_attempt(id) else {
            return;
        };
        self.changes.push(attempt.worker);
        // An attempt that ran and is now refused has been stopped by its worker.
        let end = match end {
            None if attempt.was_running => Some(AttemptEnd::Fenced),
            end => end,
        };
        let worker = self.fleet.workers[attempt.worker].id;
        if let Some(AttemptEnd::Done { run_ms }) = &end {
            self.update_estimate(&attempt, *run_ms);
            self.record_success(&attempt, id.job, now, out);
            out.push(Action::TaskEnded {
                attempt: id,
                worker,
                end: AttemptEnd::Done { run_ms: *run_ms },
            });
        }
        let Some(job_state) = self.jobs.get_mut(&id.job) else {
            if let Some(end) = end {
                self.early_ends.insert((id.job, id.task), end);
            }
            return;
        };
        let is_current = job_state.phase(id.task) == Some(TaskPhase::Assigned(id));
        let lost = !matches!(end, Some(AttemptEnd::Done { .. }));
        match end {
            Some(AttemptEnd::Done { .. }) => {
                let phase = job_state.phase(id.task);
                job_state.set_phase(id.task, TaskPhase::Done);
                if let Some(TaskPhase::Assigned(other)) = phase
                    && other != id
                {
                    self.stop(other, false, StopReason::Superseded, now, out);
                }
            }
            _ if !is_current => {
                if job_state.phase(id.task) == Some(TaskPhase::Waiting) {
                    self.reschedule_task(id);
                }
            }
            Some(AttemptEnd::Failed { why }) if job_state.job.repeat => {
                self.retry_or_fail(id, &attempt, why, now, out);
            }
            Some(end) if !job_state.job.repeat => self.end_unrepeatable(id, worker, end, out),
            _ => self.reschedule_task(id),
        }
        if lost && is_current && attempt.repeat && attempt.class == Class::Gang {
            self.stop_attempts(id.job, true, StopReason::Gang, now, out);
        }
        self.update_job(id.job, out);
    }

    /// Makes a task ready again, or waiting while another of its attempts may be running.
    fn reschedule_task(&mut self, id: AttemptId) {
        if let Some(job_state) = self.jobs.get_mut(&id.job) {
            let has_live = job_state
                .tasks
                .get(id.task as usize)
                .is_some_and(|t| t.live_attempts > 0);
            let phase = if has_live {
                TaskPhase::Waiting
            } else {
                TaskPhase::Ready
            };
            job_state.set_phase(id.task, phase);
        }
    }

    /// Ends a task that must not be repeated and did not succeed.
    pub(crate) fn end_unrepeatable(
        &mut self,
        id: AttemptId,
        worker: WorkerId,
        end: AttemptEnd,
        out: &mut Vec<Action>,
    ) {
        let Some(job_state) = self.jobs.get_mut(&id.job) else {
            return;
        };
        if let AttemptEnd::Failed { why } = &end {
            job_state.set_phase(id.task, TaskPhase::Failed);
            job_state.failure = Some(why.clone());
        } else {
            job_state.set_phase(id.task, TaskPhase::Unknown);
        }
        out.push(Action::TaskEnded {
            attempt: id,
            worker,
            end,
        });
    }

    /// Makes a failed task ready after its retry delay.
    pub(crate) fn on_retry_due(&mut self, job: JobId, task: u32, out: &mut Vec<Action>) {
        let Some(job_state) = self.jobs.get_mut(&job) else {
            return;
        };
        let task_entry = job_state.tasks.get(task as usize);
        if task_entry.is_some_and(|t| t.phase == TaskPhase::Waiting && t.live_attempts == 0) {
            job_state.set_phase(task, TaskPhase::Ready);
            self.update_job(job, out);
        }
    }

    /// Ends the job if its outcome is known and no attempt may be running; otherwise queues its
    /// ready tasks.
    pub(crate) fn update_job(&mut self, id: JobId, out: &mut Vec<Action>) {
        let Some(job_state) = self.jobs.get_mut(&id) else {
            return;
        };
        if job_state.outcome.is_none() {
            job_state.outcome = job_state.final_outcome();
            if job_state.outcome.is_none()
                && job_state.failure.is_some()
                && job_state.unknown_tasks == 0
            {
                let why = job_state.failure.clone().unwrap_or_default();
                job_state.outcome = Some(Outcome::Failed { why });
            }
        }
        if job_state.outcome.is_some() && job_state.live_attempts == 0 {
            let outcome = match job_state.outcome.clone() {
                Some(Outcome::Failed { .. }) if job_state.unknown_tasks > 0 => Outcome::Unknown {
                    why: format!(
                        "{} tasks may have run and their results were lost",
                        job_state.unknown_tasks
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

    /// Removes a job and its queue entry and reservation. Its attempts stay charged.
    pub(crate) fn remove_job(&mut self, id: JobId) {
        self.dequeue(id);
        let Some(job_state) = self.jobs.remove(&id) else {
            return;
        };
        let team = &mut self.teams.list[job_state.team];
        team.queued_need = team
            .queued_need
            .saturating_sub(&job_state.job.need.saturating_mul(job_state.queued_tasks));
        self.cancel_reservation(id);
    }

    /// Removes a job from its team's queue.
    fn dequeue(&mut self, id: JobId) {
        if let Some(job_state) = self.jobs.get_mut(&id)
            && let Some((_, position)) = job_state.queue_position.take()
        {
            self.teams.list[job_state.team].queue.remove(position);
        }
    }

    /// Moves the job to its current position in its team's queue, or removes it if it cannot start.
    pub(crate) fn update_queue(&mut self, id: JobId) {
        let Some(job_state) = self.jobs.get(&id) else {
            return;
        };
        let ready_count = if job_state.outcome.is_some() {
            0
        } else {
            job_state.ready_tasks.len() as u64
        };
        let queued_count = job_state.queued_tasks;
        let need = job_state.job.need;
        let can_start = job_state.can_start();
        let team = job_state.team;
        if queued_count != ready_count {
            let queued = &mut self.teams.list[team].queued_need;
            *queued = queued.saturating_sub(&need.saturating_mul(queued_count))
                + need.saturating_mul(ready_count);
        }
        let rank = can_start.then(|| (self.queue_rank(id), SubqueueKey::of(&job_state.job)));
        let Some(job_state) = self.jobs.get_mut(&id) else {
            return;
        };
        job_state.queued_tasks = ready_count;
        let target = rank.map(|(rank, key)| (key, (rank, job_state.seq)));
        if job_state.queue_position.map(|(key, (_, rank))| (key, rank)) == target {
            return;
        }
        self.dequeue(id);
        let Some((key, rank)) = target else {
            return;
        };
        let position = self.teams.list[team].queue.insert(key, rank, id);
        if let Some(job_state) = self.jobs.get_mut(&id) {
            job_state.queue_position = Some((key, position));
        }
        self.queue_changed = true;
    }

    /// Rank of a job in its team's queue, by the configured order.
    fn queue_rank(&self, id: JobId) -> i64 {
        let Some(job_state) = self.jobs.get(&id) else {
            return 0;
        };
        let queued_job = QueuedJob {
            due_ms: job_state.job.due_ms,
            accepted_ms: job_state.job.accepted_ms,
            runtime_ms: self.estimated_run_ms(&job_state.job, ORDER_QUANTILE),
            seq: job_state.seq,
            late: job_state.late,
        };
        (self.policy.order)(&queued_job, &self.settings.queue)
    }

    /// Run time of a task by the learned estimate, or the declared one when nothing was learned.
    pub(crate) fn estimated_run_ms(&self, job: &Job, quantile: f64) -> u64 {
        match self.estimates.get(&(job.team, job.kind)) {
            Some(estimate) => estimate.run_quantile_ms(quantile, job.runtime_ms),
            None => job.runtime_ms,
        }
    }

    /// Estimated end of a task that starts now; `None` for services.
    pub(crate) fn estimated_end(&self, id: JobId, now: Time) -> Option<Time> {
        let job_state = self.jobs.get(&id)?;
        if job_state.job.class == Class::Service {
            return None;
        }
        Some(now.after(self.estimated_run_ms(&job_state.job, BACKFILL_QUANTILE)))
    }

    /// Adds the run time and the peak usage of a successful attempt to the estimate of its kind.
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
