//! Preemption for urgent tasks: throttling or checkpointing less urgent ones.

use std::cmp::Reverse;

use zinnia_types::AttemptId;
use zinnia_types::JobId;
use zinnia_types::Resources;
use zinnia_types::Time;
use zinnia_types::Urgency;

use crate::accounting::THROTTLE_DIVISOR;
use crate::action::Action;
use crate::action::StopReason;
use crate::attempt::Attempt;
use crate::fleet::Hold;
use crate::fleet::Holder;
use crate::scheduler::Scheduler;
use crate::timer::Timer;

/// Maximum number of feasible preemption plans compared for one urgent task.
const MAX_COMPARED: usize = 16;
/// Maximum number of workers examined for one urgent task.
const MAX_EXAMINED: usize = 96;

/// The attempts to throttle and to checkpoint on one worker.
#[derive(Debug, Default)]
struct PreemptionPlan {
    throttled: Vec<AttemptId>,
    checkpointed: Vec<AttemptId>,
    /// Lowest is best: two points per checkpointed attempt above low urgency and one per attempt of
    /// low urgency, then the number of throttled attempts, then the CPU of the checkpointed
    /// attempts.
    cost: (usize, usize, u64),
}

impl Scheduler {
    /// Preempts less urgent attempts to free capacity for `count` tasks of an urgent job. Returns
    /// whether the capacity is being freed, by this call or an earlier one.
    pub(crate) fn preempt_for(
        &mut self,
        id: JobId,
        need: &Resources,
        count: u64,
        now: Time,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(work) = self.jobs.get(&id) else {
            return false;
        };
        if now < work.preempting_until {
            return true;
        }
        self.release_holds(id);
        let mut chosen: Vec<(usize, u64, PreemptionPlan)> = Vec::new();
        if count == 1 {
            chosen.extend(self.cheapest_plan(need).map(|(slot, m)| (slot, 1, m)));
        } else {
            chosen = self.plan_gang(need, count);
        }
        if chosen.is_empty() {
            return false;
        }
        let until = now.after(self.settings.queue.hold_timeout);
        for (slot, tasks, plan) in chosen {
            self.hold_capacity(
                slot,
                Holder::Job(id),
                need.saturating_mul(tasks),
                now,
                until,
            );
            self.execute_plan(plan, now, out);
        }
        if let Some(work) = self.jobs.get_mut(&id) {
            work.preempting_until = until;
        }
        true
    }

    /// Holds capacity on a worker until the holder uses it or `until` is reached.
    pub(crate) fn hold_capacity(
        &mut self,
        slot: usize,
        holder: Holder,
        amount: Resources,
        now: Time,
        until: Time,
    ) {
        let hold = Hold {
            holder,
            amount,
            start: now,
            until: Some(until),
        };
        self.fleet.set_hold(slot, Some(hold));
        self.timers.add(until, Timer::HoldExpiry(slot));
    }

    fn execute_plan(&mut self, plan: PreemptionPlan, now: Time, out: &mut Vec<Action>) {
        for id in plan.throttled {
            let Some(attempt) = self.attempts.get(&id) else {
                continue;
            };
            self.counters.throttled += 1;
            // The charge is lowered only when the worker confirms the throttle.
            self.throttle(id, attempt.charge.cpu / THROTTLE_DIVISOR, out);
        }
        for id in plan.checkpointed {
            self.counters.preempted += 1;
            self.stop(id, true, StopReason::Urgent, now, out);
        }
    }

    fn throttle(&mut self, id: AttemptId, cpu: u64, out: &mut Vec<Action>) {
        self.update_attempt(id, |a| a.requested_cpu = Some(cpu));
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let worker = &self.fleet.workers[attempt.worker];
        out.push(Action::Throttle {
            worker: worker.id,
            epoch: worker.epoch,
            attempt: id,
            cpu,
        });
    }

    /// The worker on which capacity for one task can be freed at the lowest cost.
    fn cheapest_plan(&self, need: &Resources) -> Option<(usize, PreemptionPlan)> {
        let mut best: Option<(usize, PreemptionPlan)> = None;
        let mut compared = 0;
        for slot in self
            .fleet
            .preemptible_index
            .tightest_first(need)
            .take(MAX_EXAMINED)
        {
            let Some(plan) = self.plan_worker(slot, need) else {
                continue;
            };
            if best.as_ref().is_none_or(|(_, b)| plan.cost < b.cost) {
                best = Some((slot, plan));
            }
            compared += 1;
            if compared == MAX_COMPARED {
                break;
            }
        }
        best
    }

    /// Workers that can together hold a gang after preemption, with their task counts and plans.
    /// Empty if the gang does not fit.
    fn plan_gang(&self, need: &Resources, count: u64) -> Vec<(usize, u64, PreemptionPlan)> {
        let mut missing = count;
        let mut chosen = Vec::new();
        for slot in self.fleet.preemptible_index.emptiest_first(need) {
            let worker = &self.fleet.workers[slot];
            let attainable =
                Resources::elementwise_min(&(worker.free() + worker.preemptible), &worker.capacity);
            let tasks = attainable.count_fitting(need).min(missing);
            if tasks == 0 {
                continue;
            }
            let Some(plan) = self.plan_worker(slot, &need.saturating_mul(tasks)) else {
                continue;
            };
            chosen.push((slot, tasks, plan));
            missing -= tasks;
            if missing == 0 {
                return chosen;
            }
        }
        Vec::new()
    }

    fn plan_worker(&self, slot: usize, need: &Resources) -> Option<PreemptionPlan> {
        self.fleet.examined.set(self.fleet.examined.get() + 1);
        let worker = &self.fleet.workers[slot];
        if !worker.is_schedulable() || worker.hold.is_some() {
            return None;
        }
        let free = worker.free();
        if need.fits(&free) {
            return Some(PreemptionPlan::default());
        }
        let list = worker.attempts.iter();
        let running: Vec<(AttemptId, &Attempt)> = list
            .filter_map(|id| self.attempts.get(id).map(|a| (*id, a)))
            .collect();
        if let Some(throttled) = select_throttles(&running, &free, need) {
            return Some(PreemptionPlan {
                cost: (0, throttled.len(), 0),
                throttled,
                checkpointed: Vec::new(),
            });
        }
        let mut candidates: Vec<_> = running.iter().filter(|(_, a)| a.is_preemptible()).collect();
        candidates.sort_by_key(|(_, a)| (a.urgency, Reverse(a.start_time)));
        let mut available = free;
        let mut plan = PreemptionPlan::default();
        for (id, attempt) in candidates {
            if need.fits(&available) {
                break;
            }
            available += attempt.charge;
            plan.checkpointed.push(*id);
            plan.cost.0 += usize::from(attempt.urgency > Urgency::Low) + 1;
            plan.cost.2 += attempt.charge.cpu;
        }
        need.fits(&available).then_some(plan)
    }

    /// Checkpoints less urgent attempts of the job's own team when the team's allotment is used up.
    pub(crate) fn preempt_own_team(
        &mut self,
        team: usize,
        id: JobId,
        total_need: &Resources,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(work) = self.jobs.get(&id) else {
            return;
        };
        if now < work.preempting_until {
            return;
        }
        let entry = &self.teams.list[team];
        let mut available = entry.available(&self.fleet.unreported_capacity, id) + entry.stopping;
        let mut selected = Vec::new();
        for (_, _, victim) in &entry.preemptible {
            if total_need.fits(&available) {
                break;
            }
            if let Some(attempt) = self.attempts.get(victim) {
                available += attempt.charge;
                selected.push(*victim);
            }
        }
        if !total_need.fits(&available) {
            return;
        }
        for victim in selected {
            self.counters.preempted += 1;
            self.stop(victim, true, StopReason::Urgent, now, out);
        }
        let until = now.after(self.settings.queue.hold_timeout);
        if let Some(work) = self.jobs.get_mut(&id) {
            work.preempting_until = until;
        }
    }

    /// Lifts throttles where the worker has enough free CPU again.
    pub(crate) fn restore_throttled(&mut self, out: &mut Vec<Action>) {
        let list: Vec<AttemptId> = self.throttled_attempts.iter().copied().collect();
        for id in list {
            let Some(attempt) = self.attempts.get(&id) else {
                continue;
            };
            let worker = &self.fleet.workers[attempt.worker];
            let missing = attempt.need.cpu.saturating_sub(attempt.charge.cpu);
            if worker.hold.is_some() || worker.free().cpu < missing {
                continue;
            }
            let cpu = attempt.need.cpu;
            self.throttle(id, cpu, out);
            self.on_throttled(id, cpu);
        }
    }
}

/// Attempts to throttle so that `need` fits, if CPU is the only resource that is short.
fn select_throttles(
    running: &[(AttemptId, &Attempt)],
    free: &Resources,
    need: &Resources,
) -> Option<Vec<AttemptId>> {
    if need.mem > free.mem || need.gpu > free.gpu {
        return None;
    }
    let mut spare: Vec<_> = running
        .iter()
        .map(|(id, a)| (a.urgency, Reverse(a.throttleable_cpu()), *id))
        .filter(|(_, cpu, _)| cpu.0 > 0)
        .collect();
    spare.sort_unstable();
    let mut missing = need.cpu.saturating_sub(free.cpu);
    let mut chosen = Vec::new();
    for (_, Reverse(cpu), id) in spare {
        if missing == 0 {
            break;
        }
        missing = missing.saturating_sub(cpu);
        chosen.push(id);
    }
    (missing == 0).then_some(chosen)
}
