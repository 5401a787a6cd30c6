//! Accounting of the resources that attempts use on workers and of teams.

use std::cmp::Reverse;

use zinnia_types::AttemptId;
use zinnia_types::Class;
use zinnia_types::JobId;
use zinnia_types::Resources;
use zinnia_types::Urgency;

use crate::attempt::Attempt;
use crate::attempt::AttemptState;
use crate::scheduler::Scheduler;

/// A throttled task keeps its processor share divided by this number.
pub(crate) const THROTTLE_DIVISOR: u64 = 4;

impl Attempt {
    /// Processor that throttling this attempt would free, in thousandths of a core.
    pub(crate) fn throttleable_cpu(&self) -> u64 {
        let lower = self.urgency < Urgency::Urgent && self.class != Class::Service;
        if lower && self.state == AttemptState::Running && self.requested_cpu.is_none() {
            self.charge.cpu - self.charge.cpu / THROTTLE_DIVISOR
        } else {
            0
        }
    }

    /// Resources that preempting or throttling this attempt would free for urgent jobs.
    fn preemptible_room(&self) -> Resources {
        if self.is_preemptible() {
            return self.charge;
        }
        Resources {
            cpu: self.throttleable_cpu(),
            ..Resources::ZERO
        }
    }
}

impl Scheduler {
    /// Adds an attempt and charges it to its worker and team.
    pub(crate) fn add_attempt(&mut self, id: AttemptId, attempt: Attempt) {
        self.fleet.workers[attempt.worker].attempts.insert(id);
        if let Some(job_state) = self.jobs.get_mut(&id.job) {
            job_state.live_attempts += 1;
            if let Some(task) = job_state.tasks.get_mut(id.task as usize) {
                task.live_attempts += 1;
            }
            if attempt.class == Class::Service {
                let rack = self.fleet.workers[attempt.worker].rack;
                *job_state.rack_counts.entry(rack).or_default() += 1;
            }
        }
        self.add_charge(id, &attempt);
        self.attempts.insert(id, attempt);
    }

    /// Applies a change to an attempt and updates its charge.
    pub(crate) fn update_attempt(&mut self, id: AttemptId, change: impl FnOnce(&mut Attempt)) {
        let Some(mut attempt) = self.attempts.remove(&id) else {
            return;
        };
        let before = attempt.charge;
        self.subtract_charge(id, &attempt);
        change(&mut attempt);
        self.add_charge(id, &attempt);
        if !before.fits(&attempt.charge) {
            self.changes.push(attempt.worker);
        }
        self.attempts.insert(id, attempt);
    }

    /// Removes an attempt that is known not to run, and its charge.
    pub(crate) fn remove_attempt(&mut self, id: AttemptId) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        self.fleet.workers[attempt.worker].attempts.remove(&id);
        self.subtract_charge(id, &attempt);
        self.reclaimed_attempts.remove(&id);
        self.throttled_attempts.remove(&id);
        if !self.attempt_numbers.contains_key(&id.term) {
            self.resolved_attempts.insert(id);
        }
        if let Some(job_state) = self.jobs.get_mut(&id.job) {
            job_state.live_attempts = job_state.live_attempts.saturating_sub(1);
            if let Some(task) = job_state.tasks.get_mut(id.task as usize) {
                task.live_attempts = task.live_attempts.saturating_sub(1);
            }
            let rack = self.fleet.workers[attempt.worker].rack;
            if let Some(count) = job_state.rack_counts.get_mut(&rack) {
                *count = count.saturating_sub(1);
            }
        }
        Some(attempt)
    }

    /// Attempts of a job that may be running.
    pub(crate) fn attempts_of(&self, job: JobId) -> Vec<AttemptId> {
        let first = AttemptId {
            job,
            task: 0,
            term: 0,
            number: 0,
        };
        let list = self.attempts.range(first..).map(|(id, _)| *id);
        list.take_while(|id| id.job == job).collect()
    }

    /// Whether the attempt is known not to run any more, or never to have been made.
    pub(crate) fn is_resolved(&self, id: AttemptId) -> bool {
        let own = self
            .attempt_numbers
            .get(&id.term)
            .is_some_and(|&n| id.number <= n);
        !self.attempts.contains_key(&id) && (own || self.resolved_attempts.contains(&id))
    }

    /// Adds the charge of an attempt to its worker and team.
    fn add_charge(&mut self, id: AttemptId, attempt: &Attempt) {
        let team = &mut self.teams.list[attempt.team];
        team.used += attempt.charge;
        if attempt.state == AttemptState::Stopping {
            team.stopping += attempt.charge;
        }
        if attempt.is_preemptible() {
            let key = (attempt.urgency, Reverse(attempt.start_time), id);
            team.preemptible.insert(key);
        }
        if attempt.is_gang_preemptible() {
            *team.preemptible_gangs.entry(id.job).or_default() += attempt.charge;
        }
        let worker = &mut self.fleet.workers[attempt.worker];
        worker.used += attempt.charge;
        worker.preemptible += attempt.preemptible_room();
        self.fleet.update_indexes(attempt.worker);
    }

    /// Subtracts the charge of an attempt from its worker and team.
    fn subtract_charge(&mut self, id: AttemptId, attempt: &Attempt) {
        let team = &mut self.teams.list[attempt.team];
        team.used = team.used.saturating_sub(&attempt.charge);
        if attempt.state == AttemptState::Stopping {
            team.stopping = team.stopping.saturating_sub(&attempt.charge);
        }
        if attempt.is_preemptible() {
            let key = (attempt.urgency, Reverse(attempt.start_time), id);
            team.preemptible.remove(&key);
        }
        if attempt.is_gang_preemptible()
            && let Some(charge) = team.preemptible_gangs.get_mut(&id.job)
        {
            *charge = charge.saturating_sub(&attempt.charge);
            if *charge == Resources::ZERO {
                team.preemptible_gangs.remove(&id.job);
            }
        }
        let worker = &mut self.fleet.workers[attempt.worker];
        worker.used = worker.used.saturating_sub(&attempt.charge);
        worker.preemptible = worker
            .preemptible
            .saturating_sub(&attempt.preemptible_room());
        self.fleet.update_indexes(attempt.worker);
    }
}
