//! Failures of tasks: retries, and whether the job or the worker is to blame.

use rand::Rng;
use zinnia_types::AttemptId;
use zinnia_types::JobId;
use zinnia_types::Outcome;
use zinnia_types::Time;
use zinnia_types::worker::End;

use crate::action::Action;
use crate::attempt::Attempt;
use crate::job_state::TaskPhase;
use crate::scheduler::Scheduler;
use crate::timer::Timer;

impl Scheduler {
    /// A task that may be repeated failed by itself.
    pub(crate) fn retry_or_fail(
        &mut self,
        id: AttemptId,
        attempt: &Attempt,
        why: String,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let slot = attempt.worker;
        let Some(work) = self.jobs.get_mut(&id.job) else {
            return;
        };
        work.set_phase(id.task, TaskPhase::Waiting);
        if let Some(task) = work.tasks.get_mut(id.task as usize) {
            task.failures += 1;
        }
        if !work.failed_workers.contains(&slot) {
            work.failed_workers.push(slot);
        }
        self.record_failure(slot, id.job, now, out);
        let set = self.settings.retry;
        let Some(work) = self.jobs.get(&id.job) else {
            return;
        };
        let fails = work.tasks.get(id.task as usize).map_or(0, |t| t.failures);
        let healthy = |s: &&usize| self.fleet.workers[**s].health.quarantined_until.is_none();
        let workers = work.failed_workers.iter().filter(healthy).count();
        let everywhere = !work.any_succeeded && workers >= set.failed_workers;
        if everywhere || fails > work.job.retries {
            let why = if everywhere {
                format!("failed on {workers} workers: {why}")
            } else {
                format!("retries are used up: {why}")
            };
            out.push(Action::TaskEnded {
                attempt: id,
                worker: self.fleet.workers[slot].id,
                end: End::Failed { why: why.clone() },
            });
            self.close_job(id.job, Outcome::Failed { why }, now, out);
            return;
        }
        let team = work.team;
        self.counters.retries += 1;
        let wait = set
            .base_delay
            .saturating_mul(1 << fails.saturating_sub(1).min(16));
        let wait = wait.min(set.max_delay).max(2);
        // Jitter keeps tasks that failed together from coming back together.
        let wait = self.rng.random_range(wait / 2..=wait);
        let wait = wait + self.teams.list[team].take_retry(&set, now);
        self.timers
            .add(now.after(wait), Timer::Retry(id.job, id.task));
    }

    /// A task ended well: its worker works, and if the job failed elsewhere before, that was the
    /// fault of the workers.
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
        let Some(work) = self.jobs.get_mut(&job) else {
            return;
        };
        if work.any_succeeded {
            return;
        }
        work.any_succeeded = true;
        for other in work.failed_workers.clone() {
            if other != slot {
                self.record_failure(other, job, now, out);
            }
        }
    }

    /// Decides whether a failure counts against the worker. A job that failed on two workers and
    /// never ended well is suspect itself, so its failures count against none.
    fn record_failure(&mut self, slot: usize, job: JobId, now: Time, out: &mut Vec<Action>) {
        let set = self.settings.health;
        let Some(work) = self.jobs.get(&job) else {
            return;
        };
        let probing = self.fleet.workers[slot].health.probing;
        if !work.any_succeeded && work.failed_workers.len() > 1 && !probing {
            for other in work.failed_workers.clone() {
                self.clear_failure(other, job, now, out);
            }
            return;
        }
        let sound = work.any_succeeded;
        let worker = &mut self.fleet.workers[slot];
        if !worker.health.record_failure(job, sound, &set) {
            return;
        }
        let lone = !self.fleet.has_other_usable(slot);
        let worker = &mut self.fleet.workers[slot];
        let until = worker.health.enter_quarantine(lone, &set, now);
        let jobs = worker.health.failed_jobs.clone();
        out.push(Action::Quarantine {
            worker: worker.id,
            until,
        });
        self.counters.quarantines += 1;
        self.timers.add(until, Timer::QuarantineEnd(slot));
        self.fleet.probe_workers.remove(&slot);
        self.fleet.update_indexes(slot);
        // The failures were the worker's, so they do not use up the jobs' retries.
        for job in jobs {
            if let Some(work) = self.jobs.get_mut(&job) {
                for task in &mut work.tasks {
                    task.failures = task.failures.saturating_sub(1);
                }
            }
        }
    }

    /// Takes a job's failures off a worker's record, which may end its quarantine.
    fn clear_failure(&mut self, slot: usize, job: JobId, now: Time, out: &mut Vec<Action>) {
        let set = self.settings.health;
        let worker = &mut self.fleet.workers[slot];
        if !worker.health.clear_failure(job, &set) {
            return;
        }
        out.push(Action::Quarantine {
            worker: worker.id,
            until: now,
        });
        self.fleet.update_indexes(slot);
        self.changes.push(slot);
    }

    /// A quarantine ends, unless it was ended or renewed before.
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
