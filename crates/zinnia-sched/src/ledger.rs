//! Charges of attempts on workers and teams.

use std::cmp::Reverse;

use zinnia_types::AttemptId;
use zinnia_types::Class;
use zinnia_types::JobId;
use zinnia_types::Resources;
use zinnia_types::Urgency;

use crate::attempt::Attempt;
use crate::attempt::State;
use crate::scheduler::Scheduler;

/// Part of its processor that a throttled task keeps: one in this many.
pub(crate) const THROTTLED_PART: u64 = 4;

impl Attempt {
    /// Processor that throttling would free.
    pub(crate) fn spare_cpu(&self) -> u64 {
        let lower = self.urgency < Urgency::Urgent && self.class != Class::Service;
        if lower && self.state == State::Running && self.share.is_none() {
            self.charge.cpu - self.charge.cpu / THROTTLED_PART
        } else {
            0
        }
    }

    /// What it adds to the room that urgent work could get.
    fn soft(&self) -> Resources {
        if self.is_victim() {
            return self.charge;
        }
        Resources {
            cpu: self.spare_cpu(),
            ..Resources::ZERO
        }
    }
}

impl Scheduler {
    /// Charges a new attempt.
    pub(crate) fn charge(&mut self, id: AttemptId, attempt: Attempt) {
        self.fleet.workers[attempt.worker].attempts.insert(id);
        if let Some(work) = self.jobs.get_mut(&id.job) {
            work.live += 1;
            if let Some(task) = work.tasks.get_mut(id.task as usize) {
                task.live += 1;
            }
            if attempt.class == Class::Service {
                let rack = self.fleet.workers[attempt.worker].rack;
                *work.racks.entry(rack).or_default() += 1;
            }
        }
        self.add(id, &attempt);
        self.attempts.insert(id, attempt);
    }

    /// Changes an attempt and what is charged for it.
    pub(crate) fn edit(&mut self, id: AttemptId, change: impl FnOnce(&mut Attempt)) {
        let Some(mut attempt) = self.attempts.remove(&id) else {
            return;
        };
        let before = attempt.charge;
        self.subtract(id, &attempt);
        change(&mut attempt);
        self.add(id, &attempt);
        if !before.fits(&attempt.charge) {
            self.changes.push(attempt.worker);
        }
        self.attempts.insert(id, attempt);
    }

    /// Gives up the charge of an attempt that is known not to run.
    pub(crate) fn discharge(&mut self, id: AttemptId) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        self.fleet.workers[attempt.worker].attempts.remove(&id);
        self.subtract(id, &attempt);
        self.reclaimed_attempts.remove(&id);
        self.throttled_attempts.remove(&id);
        if !self.attempt_numbers.contains_key(&id.term) {
            self.resolved_attempts.insert(id);
        }
        if let Some(work) = self.jobs.get_mut(&id.job) {
            work.live = work.live.saturating_sub(1);
            if let Some(task) = work.tasks.get_mut(id.task as usize) {
                task.live = task.live.saturating_sub(1);
            }
            let rack = self.fleet.workers[attempt.worker].rack;
            if let Some(count) = work.racks.get_mut(&rack) {
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

    fn add(&mut self, id: AttemptId, attempt: &Attempt) {
        let team = &mut self.teams.list[attempt.team];
        team.used += attempt.charge;
        if attempt.state == State::Stopping {
            team.ending += attempt.charge;
        }
        if attempt.is_victim() {
            let key = (attempt.urgency, Reverse(attempt.since), id);
            team.victims.insert(key);
        }
        if attempt.is_gang_victim() {
            *team.gangs.entry(id.job).or_default() += attempt.charge;
        }
        let worker = &mut self.fleet.workers[attempt.worker];
        worker.used += attempt.charge;
        worker.preemptible += attempt.soft();
        self.fleet.update_indexes(attempt.worker);
    }

    fn subtract(&mut self, id: AttemptId, attempt: &Attempt) {
        let team = &mut self.teams.list[attempt.team];
        team.used = team.used.saturating_sub(&attempt.charge);
        if attempt.state == State::Stopping {
            team.ending = team.ending.saturating_sub(&attempt.charge);
        }
        if attempt.is_victim() {
            let key = (attempt.urgency, Reverse(attempt.since), id);
            team.victims.remove(&key);
        }
        if attempt.is_gang_victim()
            && let Some(charge) = team.gangs.get_mut(&id.job)
        {
            *charge = charge.saturating_sub(&attempt.charge);
            if *charge == Resources::ZERO {
                team.gangs.remove(&id.job);
            }
        }
        let worker = &mut self.fleet.workers[attempt.worker];
        worker.used = worker.used.saturating_sub(&attempt.charge);
        worker.preemptible = worker.preemptible.saturating_sub(&attempt.soft());
        self.fleet.update_indexes(attempt.worker);
    }
}
