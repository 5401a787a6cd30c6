//! The dispatch pass: choosing the next job and starting its tasks.

use zinnia_types::AttemptId;
use zinnia_types::Class;
use zinnia_types::JobId;
use zinnia_types::Resources;
use zinnia_types::ServiceId;
use zinnia_types::Time;
use zinnia_types::Urgency;
use zinnia_types::worker::Task;

use crate::action::Action;
use crate::attempt::Attempt;
use crate::attempt::AttemptState;
use crate::job_state::TaskPhase;
use crate::policy::PlacementRequest;
use crate::scheduler::Scheduler;

/// A task that needs more than this fraction of the largest worker gets capacity reserved. Without
/// a reservation, small tasks would take freed capacity before it adds up.
const LARGE_FRACTION: f64 = 0.4;
/// How long a job may be blocked at the head of its lane before capacity is reserved for it,
/// whatever its size.
const STARVATION_MS: u64 = 5_000;
/// Delay before a gang that did not fit is tried again.
const GANG_RETRY_MS: u64 = 250;

/// Maximum number of jobs requeued without a start in one dispatch pass.
const MAX_REQUEUES: usize = 16;

/// Maximum number of workers waiting for a probe task that are examined for one task.
const MAX_PROBE_WORKERS: usize = 4;
/// Maximum number of workers with a capacity hold that are examined for one task.
const MAX_HELD_WORKERS: usize = 256;

/// Result of dispatching the first job of a lane.
enum DispatchResult {
    /// A task was started or the queue changed.
    Progress,
    /// Nothing can be started in this pass.
    Blocked,
}

impl Scheduler {
    /// Starts queued tasks that fit. Urgent jobs of all teams come first; teams furthest below
    /// their quota are served first.
    pub(crate) fn dispatch(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.active || (!self.queue_changed && self.changes_seen == self.changes.end()) {
            return;
        }
        self.queue_changed = false;
        self.dispatch_pass += 1;
        self.requeue_count = 0;
        for urgent in [true, false] {
            let mut done = vec![false; self.teams.list.len()];
            while let Some(team) = self.next_team(urgent, &done) {
                done[team] = !self.dispatch_team(team, urgent, now, out);
            }
        }
        self.changes_seen = self.changes.end();
    }

    /// The team with queued jobs that is furthest below its quota.
    fn next_team(&self, urgent: bool, done: &[bool]) -> Option<usize> {
        let total = &self.fleet.total;
        let mut lowest: Option<(f64, usize)> = None;
        for (slot, team) in self.teams.list.iter().enumerate() {
            let queued = if urgent {
                team.queue.has_urgent()
            } else {
                team.queue.len() > 0
            };
            if !queued || done.get(slot).copied().unwrap_or(true) {
                continue;
            }
            let ratio = team.usage_ratio(total);
            if lowest.is_none_or(|(b, _)| ratio < b) {
                lowest = Some((ratio, slot));
            }
        }
        lowest.map(|(_, slot)| slot)
    }

    /// Starts one task or gang of the team. Returns whether the team may have more to start.
    fn dispatch_team(
        &mut self,
        team: usize,
        urgent: bool,
        now: Time,
        out: &mut Vec<Action>,
    ) -> bool {
        while let Some((lane, job)) = self.next_lane(team, urgent) {
            match self.dispatch_job(team, lane, job, now, out) {
                DispatchResult::Progress => return true,
                DispatchResult::Blocked => {
                    if let Some(lane) = self.teams.list[team].queue.subqueue_mut(lane) {
                        lane.blocked_pass = self.dispatch_pass;
                    }
                }
            }
        }
        false
    }

    /// The first lane that is not known to be blocked, with its first job. A lane stays blocked
    /// until a worker changed since its last try has enough free capacity.
    fn next_lane(&mut self, team: usize, urgent: bool) -> Option<(usize, JobId)> {
        let pass = self.dispatch_pass;
        let changes = &self.changes;
        let workers = &self.fleet.workers;
        let compared = &mut self.counters.compared;
        self.teams.list[team].queue.next_job(urgent, |lane| {
            if lane.blocked_pass == pass {
                return false;
            }
            let Some((need, from)) = lane.failed_fit else {
                return true;
            };
            let Some(mut changed) = changes.since(from) else {
                return true;
            };
            *compared += 1;
            if changed.any(|slot| need.fits(&workers[slot].free())) {
                return true;
            }
            lane.failed_fit = Some((need, changes.end()));
            false
        })
    }

    fn dispatch_job(
        &mut self,
        team: usize,
        lane: usize,
        id: JobId,
        now: Time,
        out: &mut Vec<Action>,
    ) -> DispatchResult {
        let Some(work) = self.jobs.get(&id) else {
            return DispatchResult::Blocked;
        };
        if work.outcome.is_some() || self.misses_deadline(id, now) {
            return self.requeue_skipped(id);
        }
        let gang = work.job.class == Class::Gang;
        let together = work.start_count();
        if gang && now < work.retry_at {
            return DispatchResult::Blocked;
        }
        let need = self.effective_need(id);
        let total_need = need.saturating_mul(together);
        if !self.is_within_quota(team, id, &total_need) {
            self.on_quota_exceeded(team, id, &total_need, now, out);
            return DispatchResult::Blocked;
        }
        let placed = if gang {
            self.place_gang(id, &need, now, out)
        } else {
            self.place_task(id, &need, now, out)
        };
        if placed {
            if let Some(work) = self.jobs.get_mut(&id) {
                work.blocked_since = None;
            }
            let saving = &mut self.teams.list[team].gang_reservation;
            if saving.is_some_and(|(owner, _)| owner == id) {
                *saving = None;
            }
            self.update_queue(id);
            return DispatchResult::Progress;
        }
        let end = self.changes.end();
        if let Some(lane) = self.teams.list[team].queue.subqueue_mut(lane) {
            lane.failed_fit = Some((need, end));
        }
        let Some(work) = self.jobs.get_mut(&id) else {
            return DispatchResult::Blocked;
        };
        if gang {
            work.retry_at = now.after(GANG_RETRY_MS);
        }
        let is_starved = now.since(*work.blocked_since.get_or_insert(now)) >= STARVATION_MS;
        let urgent = work.job.urgency == Urgency::Urgent;
        let is_preempting = urgent && self.preempt_for(id, &need, together, now, out);
        if !is_preempting && (gang || is_starved || self.is_large(&need)) {
            self.reserve_capacity(id, &need, together, now);
        }
        DispatchResult::Blocked
    }

    /// Requeues a job that is closing or can no longer meet its due time, without starting a task.
    /// The number per pass is limited, so that a burst of cancellations does not delay the pass.
    fn requeue_skipped(&mut self, id: JobId) -> DispatchResult {
        self.requeue_count += 1;
        if self.requeue_count > MAX_REQUEUES {
            return DispatchResult::Blocked;
        }
        if let Some(work) = self.jobs.get_mut(&id) {
            work.late = true;
        }
        self.update_queue(id);
        DispatchResult::Progress
    }

    /// The resources to allocate for a task: the declared ones, corrected by observed usage.
    /// Observed memory is ignored if the task would then fit on no worker or not into the team's
    /// allotment.
    pub(crate) fn effective_need(&self, id: JobId) -> Resources {
        let Some(work) = self.jobs.get(&id) else {
            return Resources::ZERO;
        };
        let job = &work.job;
        let estimate = self.estimates.get(&(job.team, job.kind));
        let Some(estimate) = estimate.filter(|_| Self::learns_usage(job.class)) else {
            return job.need;
        };
        let corrected = estimate.adjust_need(&job.need);
        let total = corrected.saturating_mul(work.start_count());
        let limit = self.teams.list[work.team].allotment;
        if total.fits(&limit) && self.fleet.shapes.keys().any(|s| corrected.fits(s)) {
            corrected
        } else {
            Resources {
                mem: job.need.mem,
                ..corrected
            }
        }
    }

    /// Whether the job can no longer finish by its due time, so that it should let other jobs go
    /// first.
    fn misses_deadline(&self, id: JobId, now: Time) -> bool {
        let Some(work) = self.jobs.get(&id) else {
            return false;
        };
        let (Some(due), Some(offset)) = (work.job.due_ms, self.offset_ms) else {
            return false;
        };
        let wall = offset.saturating_add_unsigned(now.0);
        let run_ms = self.estimated_run_ms(&work.job, 0.5);
        !work.late && wall.saturating_add_unsigned(run_ms) > due
    }

    fn is_within_quota(&self, team: usize, id: JobId, total_need: &Resources) -> bool {
        let team = &self.teams.list[team];
        if !total_need.fits(&team.available(&self.fleet.unreported_capacity, id)) {
            return false;
        }
        team.quota.may_borrow || {
            let used = team.used + *total_need;
            used.dominant_share(&self.fleet.total) <= team.quota.fraction
        }
    }

    /// Handles a job that exceeds its team's free allotment. For a gang, part of the allotment is
    /// set aside until the whole gang fits; an urgent job preempts less urgent attempts of its own
    /// team.
    fn on_quota_exceeded(
        &mut self,
        team: usize,
        id: JobId,
        total_need: &Resources,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let urgent = self.jobs.get(&id).map(|w| w.job.urgency) == Some(Urgency::Urgent);
        let entry = &mut self.teams.list[team];
        let is_feasible = total_need.fits(&entry.allotment);
        let gang = self.jobs.get(&id).map(|w| w.job.class) == Some(Class::Gang);
        if gang && is_feasible && entry.gang_reservation.is_none() {
            entry.gang_reservation = Some((id, *total_need));
        }
        if urgent && is_feasible {
            self.preempt_own_team(team, id, total_need, now, out);
        }
    }

    fn is_large(&self, need: &Resources) -> bool {
        let largest = self
            .fleet
            .shapes
            .keys()
            .filter(|s| need.fits(s))
            .fold(Resources::ZERO, |a, s| Resources::elementwise_max(&a, s));
        need.dominant_share(&largest) > LARGE_FRACTION
    }

    pub(crate) fn placement_request(
        &self,
        id: JobId,
        need: &Resources,
        now: Time,
    ) -> Option<PlacementRequest<'_>> {
        let work = self.jobs.get(&id)?;
        Some(PlacementRequest {
            job: id,
            team: work.team,
            need: *need,
            class: work.job.class,
            expected_end: self.estimated_end(id, now),
            avoided_workers: &work.failed_workers,
            rack_counts: &work.rack_counts,
            spread_seed: id.0.wrapping_add(u64::from(work.live_attempts)),
        })
    }

    /// Finds a worker for one more task of the job.
    pub(crate) fn find_worker(&mut self, id: JobId, need: &Resources, now: Time) -> Option<usize> {
        self.counters.searches += 1;
        let req = self.placement_request(id, need, now)?;
        let is_own_hold = |&slot: &usize| {
            let hold = self.fleet.workers[slot].hold;
            hold.is_some_and(|h| h.is_held_for(&req)) && self.fleet.accepts(slot, &req)
        };
        let mut held_slots = self
            .fleet
            .held_workers
            .iter()
            .copied()
            .take(MAX_HELD_WORKERS);
        if let Some(slot) = held_slots.find(is_own_hold) {
            return Some(slot);
        }
        if let Some(slot) = self.find_probe_worker(id, &req) {
            return Some(slot);
        }
        let found = (self.policy.place)(&self.fleet, &req);
        if found.is_some() || req.avoided_workers.is_empty() {
            return found;
        }
        // No other worker accepts the task, so workers on which the job failed before are allowed
        // as well.
        let fallback = PlacementRequest {
            avoided_workers: &[],
            ..req
        };
        (self.policy.place)(&self.fleet, &fallback)
    }

    /// A worker that waits for a probe task, if the job is repeatable batch work that loses little
    /// by a failure. Best fit prefers fuller workers, so without this step the worker might never
    /// be probed and return to service.
    fn find_probe_worker(&self, id: JobId, req: &PlacementRequest<'_>) -> Option<usize> {
        let job = &self.jobs.get(&id)?.job;
        let is_low_risk = job.class == Class::Batch && job.repeat && job.urgency < Urgency::Urgent;
        if !is_low_risk {
            return None;
        }
        let mut probe_slots = self
            .fleet
            .probe_workers
            .iter()
            .copied()
            .take(MAX_PROBE_WORKERS);
        probe_slots.find(|&slot| self.fleet.accepts(slot, req))
    }

    fn place_task(
        &mut self,
        id: JobId,
        need: &Resources,
        now: Time,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(slot) = self.find_worker(id, need, now) else {
            return false;
        };
        let Some(attempt) = self.allocate(id, need, slot, now) else {
            return false;
        };
        self.consume_hold(slot, id, need);
        self.cancel_reservation(id);
        self.send_starts(&[attempt], now, out);
        true
    }

    /// Allocates the next ready task of the job to a worker and charges its resources.
    pub(crate) fn allocate(
        &mut self,
        id: JobId,
        need: &Resources,
        slot: usize,
        now: Time,
    ) -> Option<AttemptId> {
        let until = self.estimated_end(id, now);
        let number = self.attempt_numbers.entry(self.term).or_default();
        let work = self.jobs.get_mut(&id)?;
        let task = *work.ready_tasks.first()?;
        *number += 1;
        let attempt = AttemptId {
            job: id,
            task,
            term: self.term,
            number: *number,
        };
        work.set_phase(task, TaskPhase::Assigned(attempt));
        let recorded = work
            .tasks
            .get(task as usize)
            .is_some_and(|t| t.dispatch_recorded);
        let record = !work.job.repeat && !recorded;
        let entry = Attempt {
            worker: slot,
            team: work.team,
            kind: Some(work.job.kind),
            class: work.job.class,
            urgency: work.job.urgency,
            repeat: work.job.repeat,
            need: *need,
            charge: *need,
            peak_usage: Resources::ZERO,
            state: if record {
                AttemptState::Recording
            } else {
                AttemptState::Starting
            },
            was_running: false,
            start_time: now,
            estimated_end: until,
            throttled: false,
            requested_cpu: None,
            detached: false,
            stop_request: None,
        };
        self.add_attempt(attempt, entry);
        self.counters.placed += 1;
        Some(attempt)
    }

    /// Starts allocated attempts. If any of them must not be repeated, its dispatch is recorded in
    /// the log first.
    pub(crate) fn send_starts(&mut self, attempts: &[AttemptId], now: Time, out: &mut Vec<Action>) {
        let recording = |a: &AttemptId| {
            let state = self.attempts.get(a).map(|x| x.state);
            state == Some(AttemptState::Recording)
        };
        if !attempts.iter().any(recording) {
            for &attempt in attempts {
                self.send_start(attempt, out);
            }
            return;
        }
        // Members of a gang start only after the dispatch of all of them is recorded.
        for &attempt in attempts {
            self.update_attempt(attempt, |a| a.state = AttemptState::Recording);
        }
        self.request_dispatch_record(attempts, now, out);
    }

    pub(crate) fn send_start(&mut self, id: AttemptId, out: &mut Vec<Action>) {
        let (Some(attempt), Some(work)) = (self.attempts.get(&id), self.jobs.get(&id.job)) else {
            return;
        };
        let job = &work.job;
        let service = if job.class == Class::Service {
            ServiceId::new(&job.name).ok()
        } else {
            None
        };
        let worker = &self.fleet.workers[attempt.worker];
        out.push(Action::Start {
            worker: worker.id,
            epoch: worker.epoch,
            attempt: id,
            task: Box::new(Task {
                team: job.team,
                class: job.class,
                urgency: job.urgency,
                repeat: job.repeat,
                need: attempt.need,
                service,
                payload: job.payload.clone(),
            }),
        });
    }
}
