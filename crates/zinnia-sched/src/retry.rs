//! Handling of failed tasks: retries with backoff, and attribution of failures to jobs or workers.

use rand::Rng;
use zinnia_types::AttemptId;
use zinnia_types::JobId;
use zinnia_types::Outcome;
use zinnia_types::Time;
use zinnia_types::worker::AttemptEnd;

use crate::action::Action;
use crate::attempt::Attempt;
use crate::job_state::TaskPhase;
use crate::scheduler::Scheduler;
use crate::timer::Timer;

impl Scheduler {
    /// Schedules a retry of a failed task, or fails its job when the retries are used up or when it
    /// failed on too many workers.
    pub(crate) fn retry_or_fail(
        &mut self,
        id: AttemptId,
        attempt: &Attempt,
        why: String,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let slot = attempt.worker;
        let Some(job_state) = self.jobs.get_mut(&id.job) else {
            return;
        };
        job_state.set_phase(id.task, TaskPhase::Waiting);
        if let Some(task) = job_state.tasks.get_mut(id.task as usize) {
            task.failures += 1;
        }
        if !job_state.failed_workers.contains(&slot) {
            job_state.failed_workers.push(slot);
        }
        self.record_failure(slot, id.job, now, out);
        let settings = self.settings.retry;
        let Some(job_state) = self.jobs.get(&id.job) else {
            return;
        };
        let failures = job_state
            .tasks
            .get(id.task as usize)
            .map_or(0, |t| t.failures);
        let healthy = |s: &&usize| self.fleet.workers[**s].health.quarantined_until.is_none();
        let worker_count = job_state.failed_workers.iter().filter(healthy).count();
        let failed_everywhere = !job_state.any_succeeded && worker_count >= settings.failed_workers;
        if failed_everywhere || failures > job_state.job.retries {
            let why = if failed_everywhere {
                format!("failed on {worker_count} workers: {why}")
            } else {
                format!("retries are used up: {why}")
            };
            out.push(Action::TaskEnded {
                attempt: id,
                worker: self.fleet.workers[slot].id,
                end: AttemptEnd::Failed { why: why.clone() },
            });
            self.close_job(id.job, Outcome::Failed { why }, now, out);
            return;
        }
        let team = job_state.team;
        self.counters.retries += 1;
        let delay = settings
            .base_delay
            .saturating_mul(1 << failures.saturating_sub(1).min(16));
        let delay = delay.min(settings.max_delay).max(2);
        // Jitter spreads the retries of tasks that failed at the same time.
        let delay = self.rng.random_range(delay / 2..=delay);
        let delay = delay + self.teams.list[team].take_retry(&settings, now);
        self.timers
            .add(now.after(delay), Timer::Retry(id.job, id.task));
    }

    /// Records the success of a task. It shows that its worker is healthy, and it attributes
    /// earlier failures of the job to the workers on which they happened.
    pub(crate) fn record_success(
        &mut self,
        attempt: &Attempt,
        job: JobId,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let slot = attempt.worker;
        let worker = &mut self.fleet.workers[slot];
        if worker.health.record_success() {
            out.push(Action::Quarantine {
                worker: worker.id,
                until: now,
            });
            self.changes.push(slot);
        }
        self.fleet.probe_workers.remove(&slot);
        self.fleet.update_indexes(slot);
        let Some(job_state) = self.jobs.get_mut(&job) else {
            return;
        };
        if job_state.any_succeeded {
            return;
        }
        job_state.any_succeeded = true;
        for other in job_state.failed_workers.clone() {
            if other != slot {
                self.record_failure(other, job, now, out);
            }
        }
    }

    /// Counts a failure against the worker, and quarantines the worker after too many. A job that
    /// failed on two or more workers and never succeeded is likely the cause itself, so its
    /// failures are cleared from all of them.
    fn record_failure(&mut self, slot: usize, job: JobId, now: Time, out: &mut Vec<Action>) {
        let settings = self.settings.health;
        let Some(job_state) = self.jobs.get(&job) else {
            return;
        };
        let probing = self.fleet.workers[slot].health.probing;
        if !job_state.any_succeeded && job_state.failed_workers.len() > 1 && !probing {
            for other in job_state.failed_workers.clone() {
                self.clear_failure(other, job, now, out);
            }
            return;
        }
        let succeeded_elsewhere = job_state.any_succeeded;
        let worker = &mut self.fleet.workers[slot];
        if !worker
            .health
            .record_failure(job, succeeded_elsewhere, &settings)
        {
            return;
        }
        let only_worker = !self.fleet.has_other_usable(slot);
        let worker = &mut self.fleet.workers[slot];
        let until = worker.health.enter_quarantine(only_worker, &settings, now);
        let jobs = worker.health.failed_jobs.clone();
        out.push(Action::Quarantine {
            worker: worker.id,
            until,
        });
        self.counters.quarantines += 1;
        self.timers.add(until, Timer::QuarantineEnd(slot));
        self.fleet.probe_workers.remove(&slot);
        self.fleet.update_indexes(slot);
        // The worker caused these failures, so they do not count against the retries of the jobs.
        for job in jobs {
            if let Some(job_state) = self.jobs.get_mut(&job) {
                for task in &mut job_state.tasks {
                    task.failures = task.failures.saturating_sub(1);
                }
            }
        }
    }

    /// Clears the failure of a job from the record of a worker, which may end its quarantine.
    fn clear_failure(&mut self, slot: usize, job: JobId, now: Time, out: &mut Vec<Action>) {
        let settings = self.settings.health;
        let worker = &mut self.fleet.workers[slot];
        if !worker.health.clear_failure(job, &settings) {
            return;
        }
        out.push(Action::Quarantine {
            worker: worker.id,
            until: now,
        });
        self.fleet.update_indexes(slot);
        self.changes.push(slot);
    }

    /// Ends a quarantine and starts probing the worker, unless the quarantine was ended or renewed
    /// in the meantime.
    pub(crate) fn on_quarantine_end(&mut self, slot: usize, now: Time) {
        let health = &mut self.fleet.workers[slot].health;
        if health.quarantined_until.is_none_or(|until| until > now) {
            return;
        }
        health.start_probing();
        self.fleet.probe_workers.insert(slot);
        self.fleet.update_indexes(slot);
        self.changes.push(slot);
    }
}
