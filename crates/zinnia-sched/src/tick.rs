//! Periodic work, timers and takeovers.

use zinnia_types::AttemptId;
use zinnia_types::Resources;
use zinnia_types::Time;
use zinnia_types::worker::WorkerProfile;

use crate::action::Action;
use crate::action::StopReason;
use crate::attempt::AttemptState;
use crate::queue::TeamQueue;
use crate::scheduler::Scheduler;
use crate::timer::Timer;

/// Interval at which jobs that fitted no worker are tried on all workers again. A search examines a
/// bounded number of workers, so it may have missed one.
const FULL_SEARCH_MS: u64 = 1_000;

impl Scheduler {
    /// Runs all timers that are due.
    pub(crate) fn run_timers(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Retry(job, task) => self.on_retry_due(job, task, out),
                Timer::QuarantineEnd(slot) => self.on_quarantine_end(slot, now),
                Timer::HoldExpiry(slot) => {
                    let hold = self.fleet.workers[slot].hold;
                    if hold.is_some_and(|h| h.until.is_some_and(|t| t <= now)) {
                        self.release_hold(slot);
                    }
                }
                Timer::Orphan(id) => self.stop_orphan(id, now, out),
                Timer::StartTimeout(id) => self.on_start_timeout(id, now, out),
                Timer::Resend(id) => self.resend_command(id, now, out),
            }
        }
    }

    /// Runs the periodic work.
    pub(crate) fn on_tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.queue_changed = true;
        if now.since(self.last_sweep) >= FULL_SEARCH_MS {
            self.last_sweep = now;
            self.changes.reset();
        }
        self.expire_shapes(now, out);
        if self.active {
            self.restore_throttled(out);
            self.reclaim_shares(now, out);
            self.announce_demand(now, out);
        }
    }

    /// Stops an attempt whose job is unknown. An attempt that must not be repeated runs to
    /// completion, unless it is a service.
    fn stop_orphan(&mut self, id: AttemptId, now: Time, out: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        if self.jobs.contains_key(&id.job) || attempt.state == AttemptState::Stopping {
            return;
        }
        if !self.active || !self.fleet.unreported_workers.is_empty() {
            let grace = self.settings.queue.orphan_grace;
            self.timers.add(now.after(grace), Timer::Orphan(id));
            return;
        }
        let finite = attempt.class != zinnia_types::Class::Service;
        if attempt.repeat || !finite {
            self.stop(id, false, StopReason::Orphan, now, out);
        }
    }

    /// Announces the demand of each team that has changed, at a limited rate.
    fn announce_demand(&mut self, now: Time, out: &mut Vec<Action>) {
        let interval = self.settings.queue.want_interval;
        for team in &mut self.teams.list {
            let demand = team.used + team.queued_need;
            let amount = team
                .limit
                .map_or(demand, |limit| Resources::elementwise_min(&demand, &limit));
            let unchanged = match team.last_demand {
                Some((last, at)) => last == amount || now.since(at) < interval,
                None => amount == Resources::ZERO,
            };
            if !unchanged {
                team.last_demand = Some((amount, now));
                out.push(Action::Demand {
                    team: team.id,
                    amount,
                });
            }
        }
    }

    /// Resets the state for a new term, except attempts and workers.
    pub(crate) fn on_takeover(&mut self, term: u64, workers: Vec<WorkerProfile>, now: Time) {
        if self.had_takeover && term <= self.term {
            return;
        }
        self.had_takeover = true;
        self.clear_reservation();
        let unsent: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, a)| a.state == AttemptState::Recording)
            .map(|(id, _)| *id)
            .collect();
        for id in unsent {
            self.remove_attempt(id);
        }
        self.term = term;
        self.attempt_numbers.entry(term).or_default();
        self.clear_jobs(now);
        for slot in self.fleet.held_workers.clone() {
            self.release_hold(slot);
        }
        for profile in workers {
            if self.fleet.owned_slot(profile.worker).is_none() {
                let capacity = profile.capacity;
                if self
                    .fleet
                    .unreported_workers
                    .insert(profile.worker, capacity)
                    .is_none()
                {
                    self.fleet.unreported_capacity += capacity;
                }
            }
        }
        self.changes.reset();
    }

    /// Drops all jobs. Attempts are kept until their jobs are submitted again, or stopped as
    /// orphans.
    fn clear_jobs(&mut self, now: Time) {
        self.jobs.clear();
        self.queued_cancels.clear();
        self.unqueued_cancels.clear();
        self.reclaimed_attempts.clear();
        for team in &mut self.teams.list {
            team.queue = TeamQueue::default();
            team.queued_need = Resources::ZERO;
            team.gang_reservation = None;
            team.short_since = None;
        }
        self.timers.clear();
        for (slot, worker) in self.fleet.workers.iter().enumerate() {
            if let Some(until) = worker.health.quarantined_until {
                self.timers.add(until, Timer::QuarantineEnd(slot));
            }
        }
        let grace = self.settings.queue.orphan_grace;
        let attempts: Vec<AttemptId> = self.attempts.keys().copied().collect();
        for id in attempts {
            self.update_attempt(id, |a| a.detached = true);
            let stopping = self.attempts.get(&id).map(|a| a.state) == Some(AttemptState::Stopping);
            let timer = if stopping {
                Timer::Resend(id)
            } else {
                Timer::Orphan(id)
            };
            self.timers.add(now.after(grace), timer);
        }
    }
}
