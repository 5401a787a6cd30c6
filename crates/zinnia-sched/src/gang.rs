//! Gang scheduling (all tasks of a job start together) and reservations for jobs that do not fit
//! yet.

use zinnia_types::AttemptId;
use zinnia_types::JobId;
use zinnia_types::Resources;
use zinnia_types::Time;
use zinnia_types::Urgency;

use crate::action::Action;
use crate::fleet::Hold;
use crate::fleet::Holder;
use crate::job_state::TaskPhase;
use crate::scheduler::Scheduler;

/// Minimum interval between two computations of a reservation.
const PLAN_INTERVAL_MS: u64 = 500;
/// Minimum interval before the reservation of the same job is computed again.
const REPLAN_INTERVAL_MS: u64 = 5_000;

/// Capacity held on several workers for one job. There is only one reservation at a time, so that
/// two gangs cannot deadlock by each holding part of what the other needs.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    pub(crate) job: JobId,
    pub(crate) urgent: bool,
    /// Slots of the workers with held capacity.
    pub(crate) workers: Vec<usize>,
    /// When the job is expected to start, by the estimated ends of running tasks.
    pub(crate) start: Time,
    pub(crate) planned: Time,
}

impl Scheduler {
    /// Allocates all ready tasks of a gang, or none.
    pub(crate) fn place_gang(
        &mut self,
        id: JobId,
        need: &Resources,
        now: Time,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(work) = self.jobs.get(&id) else {
            return false;
        };
        let count = work.ready_tasks.len();
        let number = self.attempt_numbers.get(&self.term).copied().unwrap_or(0);
        let mut attempts: Vec<AttemptId> = Vec::with_capacity(count);
        while attempts.len() < count {
            let allocated = self
                .find_worker(id, need, now)
                .and_then(|slot| self.allocate(id, need, slot, now));
            let Some(attempt) = allocated else {
                self.roll_back(&attempts, number);
                return false;
            };
            attempts.push(attempt);
        }
        for attempt in &attempts {
            if let Some(slot) = self.attempts.get(attempt).map(|a| a.worker) {
                self.consume_hold(slot, id, need);
            }
        }
        self.cancel_reservation(id);
        self.release_holds(id);
        self.send_starts(&attempts, now, out);
        true
    }

    /// Rolls back attempts whose starts were not sent, and releases their numbers.
    fn roll_back(&mut self, attempts: &[AttemptId], number: u32) {
        for &attempt in attempts {
            self.remove_attempt(attempt);
            if let Some(work) = self.jobs.get_mut(&attempt.job) {
                work.set_phase(attempt.task, TaskPhase::Ready);
            }
        }
        self.counters.placed -= attempts.len() as u64;
        self.attempt_numbers.insert(self.term, number);
    }

    /// Reserves capacity for a job on the workers where it can start earliest.
    pub(crate) fn reserve_capacity(&mut self, id: JobId, need: &Resources, count: u64, now: Time) {
        let urgent = self.jobs.get(&id).map(|w| w.job.urgency) == Some(Urgency::Urgent);
        if let Some(current) = &self.reservation {
            let is_replaceable = if current.job == id {
                let closed = |&s: &usize| !self.fleet.workers[s].is_schedulable();
                let due = current.start.max(current.planned.after(REPLAN_INTERVAL_MS));
                now >= due || current.workers.iter().any(closed)
            } else {
                // Only the first job of a lane is dispatched, so a job that is no longer first
                // would hold its reservation forever.
                (urgent && !current.urgent) || !self.is_lane_head(current.job)
            };
            if !is_replaceable {
                return;
            }
        }
        // The computation scans all workers, so its rate is limited.
        if self
            .last_plan
            .is_some_and(|t| now.since(t) < PLAN_INTERVAL_MS)
        {
            return;
        }
        self.last_plan = Some(now);
        self.clear_reservation();
        let Some((start, mut plan)) = self.earliest_start(need, count, now) else {
            return;
        };
        plan.sort_unstable();
        let mut slots = Vec::new();
        for group in plan.chunk_by(|a, b| a == b) {
            let slot = group[0];
            let hold = Hold {
                holder: Holder::Job(id),
                until: None,
                amount: need.saturating_mul(group.len() as u64),
                start,
            };
            self.fleet.set_hold(slot, Some(hold));
            slots.push(slot);
        }
        self.reservation = Some(Reservation {
            job: id,
            urgent,
            workers: slots,
            start,
            planned: now,
        });
    }

    /// Whether the job is the first one of its lane.
    fn is_lane_head(&self, id: JobId) -> bool {
        let work = self.jobs.get(&id);
        let place = work.and_then(|w| Some((w.team, w.queue_position?.1)));
        place.is_some_and(|(team, place)| self.teams.list[team].queue.is_first(place))
    }

    /// The earliest time at which `count` tasks fit, by the estimated ends of running attempts,
    /// with the worker of each task. Scans all workers, and is called only to compute a
    /// reservation.
    fn earliest_start(
        &self,
        need: &Resources,
        count: u64,
        now: Time,
    ) -> Option<(Time, Vec<usize>)> {
        let mut openings: Vec<(Time, usize)> = Vec::new();
        for (slot, worker) in self.fleet.workers.iter().enumerate() {
            if !worker.is_schedulable() || worker.hold.is_some() || !need.fits(&worker.capacity) {
                continue;
            }
            let mut free = worker.free();
            let mut fits = free.count_fitting(need).min(count);
            openings.extend((0..fits).map(|_| (now, slot)));
            let mut ends: Vec<(Time, Resources)> = worker
                .attempts
                .iter()
                .filter_map(|id| self.attempts.get(id))
                .filter_map(|a| {
                    a.estimated_end
                        .map(|t| (expected_end(t, a.start_time, now), a.charge))
                })
                .collect();
            ends.sort_unstable();
            for (time, charge) in ends {
                free = Resources::elementwise_min(&(free + charge), &worker.capacity);
                let more = free.count_fitting(need).min(count);
                openings.extend((fits..more).map(|_| (time, slot)));
                fits = fits.max(more);
            }
        }
        let count = usize::try_from(count).ok()?;
        if count == 0 || openings.len() < count {
            return None;
        }
        openings.sort_unstable();
        openings.truncate(count);
        let start = openings.last()?.0;
        Some((start, openings.into_iter().map(|(_, slot)| slot).collect()))
    }

    pub(crate) fn cancel_reservation(&mut self, job: JobId) {
        if self.reservation.as_ref().is_some_and(|r| r.job == job) {
            self.clear_reservation();
        }
        for team in &mut self.teams.list {
            if team.gang_reservation.is_some_and(|(owner, _)| owner == job) {
                team.gang_reservation = None;
                self.changes.reset();
            }
        }
    }

    pub(crate) fn clear_reservation(&mut self) {
        let Some(current) = self.reservation.take() else {
            return;
        };
        for slot in current.workers {
            if self.fleet.is_held_by(slot, Holder::Job(current.job)) {
                self.release_hold(slot);
            }
        }
    }

    /// Deducts a newly placed task from the hold on its worker, if the hold is for its job or team.
    pub(crate) fn consume_hold(&mut self, slot: usize, job: JobId, need: &Resources) {
        let Some(mut hold) = self.fleet.workers[slot].hold else {
            return;
        };
        let team = self.jobs.get(&job).map(|w| w.team);
        let is_team_hold = team.is_some_and(|t| hold.holder == Holder::Team(t));
        if hold.holder != Holder::Job(job) && !is_team_hold {
            return;
        }
        hold.amount = hold.amount.saturating_sub(need);
        if is_team_hold && need.fits(&hold.amount) {
            self.fleet.set_hold(slot, Some(hold));
        } else {
            self.release_hold(slot);
        }
    }

    /// Releases the hold on one worker.
    pub(crate) fn release_hold(&mut self, slot: usize) {
        if self.fleet.workers[slot].hold.is_some() {
            self.fleet.set_hold(slot, None);
            self.changes.push(slot);
        }
    }

    /// Releases all holds of a job.
    pub(crate) fn release_holds(&mut self, job: JobId) {
        let held = self.fleet.held_workers.iter().copied();
        let is_of_job = |&s: &usize| self.fleet.is_held_by(s, Holder::Job(job));
        let slots: Vec<usize> = held.filter(is_of_job).collect();
        for slot in slots {
            self.release_hold(slot);
        }
    }
}

/// Estimated end of an attempt. One that exceeds its estimate is expected to run once more as long
/// as it has run so far.
fn expected_end(until: Time, since: Time, now: Time) -> Time {
    if until > now {
        until
    } else {
        now.after(now.since(since).max(1))
    }
}
