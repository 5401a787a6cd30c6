//! Reclaiming capacity for teams below their fair share.

use std::collections::BTreeMap;

use zinnia_types::AttemptId;
use zinnia_types::Resources;
use zinnia_types::Time;

use crate::action::Action;
use crate::action::StopReason;
use crate::fleet::Holder;
use crate::scheduler::Scheduler;
use crate::team::Team;

/// Attempts or workers examined for one team in one reclaim round.
const MAX_EXAMINED: usize = 512;
/// Teams served in one reclaim round, those with the largest deficit first. Bounds the duration of
/// a tick.
const MAX_TEAMS: usize = 4;
/// Tasks for which capacity is reclaimed for one team in one round.
const MAX_TASKS: u64 = 256;

impl Scheduler {
    /// Checkpoints the youngest attempts of teams above their fair share, for teams that have been
    /// below theirs for the reclaim delay.
    pub(crate) fn reclaim_shares(&mut self, now: Time, out: &mut Vec<Action>) {
        self.update_fair_shares();
        let total = self.fleet.total;
        let settings = self.settings.queue;
        let pending = self.reclaimed_attempts.len();
        let mut due = Vec::new();
        for (slot, team) in self.teams.list.iter_mut().enumerate() {
            let deficit = team.fair_share - team.used.dominant_share(&total);
            let short =
                deficit > settings.share_tolerance && team.queue.len() > 0 && team.quota.may_borrow;
            if !short {
                team.short_since = None;
                continue;
            }
            let since = *team.short_since.get_or_insert(now);
            // The next round waits until the previous one has ended, so that the same capacity is
            // not reclaimed twice.
            if pending == 0 && now.since(since) >= settings.reclaim_delay {
                due.push((deficit, slot));
            }
        }
        due.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (deficit, slot) in due.into_iter().take(MAX_TEAMS) {
            self.reclaim_for(slot, deficit, now, out);
        }
    }

    /// Splits the capacity in use by weighted max-min fairness: no team gets more than its demand,
    /// and the rest is split by the quotas of the teams.
    fn update_fair_shares(&mut self) {
        let total = self.fleet.total;
        let demand = |t: &Team| (t.used + t.queued_need).dominant_share(&total);
        let mut remaining: f64 = self
            .teams
            .list
            .iter()
            .map(|t| t.used.dominant_share(&total))
            .sum();
        let mut fraction_sum: f64 = self.teams.list.iter().map(|t| t.quota.fraction).sum();
        let mut order: Vec<usize> = (0..self.teams.list.len()).collect();
        let saturation = |t: &Team| demand(t) / t.quota.fraction.max(f64::MIN_POSITIVE);
        order.sort_by(|a, b| {
            let (a, b) = (&self.teams.list[*a], &self.teams.list[*b]);
            saturation(a).total_cmp(&saturation(b))
        });
        for slot in order {
            let team = &mut self.teams.list[slot];
            let fraction = team.quota.fraction;
            let team_fraction = if fraction_sum > 0.0 {
                remaining * fraction / fraction_sum
            } else {
                0.0
            };
            team.fair_share = demand(team).min(team_fraction);
            remaining = (remaining - team.fair_share).max(0.0);
            fraction_sum = (fraction_sum - fraction).max(0.0);
        }
    }

    /// Reclaims capacity for the first queued job of a team that is `deficit` below its fair share.
    fn reclaim_for(&mut self, team: usize, deficit: f64, now: Time, out: &mut Vec<Action>) {
        let Some(job) = self.teams.list[team].queue.first_job() else {
            return;
        };
        let need = self.effective_need(job);
        let task_share = need.dominant_share(&self.fleet.total);
        let Some(job_state) = self.jobs.get(&job) else {
            return;
        };
        if now < job_state.preempting_until || task_share <= 0.0 {
            return;
        }
        let group_size = job_state.start_count();
        let room = self.teams.list[team].available(&self.fleet.unreported_capacity, job);
        let max_tasks = room
            .count_fitting(&need)
            .min(self.teams.list[team].queued_need.count_fitting(&need));
        let wanted = ((deficit / task_share).round() as u64)
            .min(MAX_TASKS)
            .min(max_tasks);
        // Capacity is reclaimed for whole gangs only.
        let wanted = (wanted / group_size).max(1) * group_size;
        if !need.saturating_mul(wanted).fits(&room) {
            return;
        }
        let chosen = self.select_offers(team, &need, wanted, group_size);
        if chosen.is_empty() {
            return;
        }
        let until = now.after(self.settings.queue.hold_timeout);
        // The capacity becomes free in parts. Without a hold, smaller tasks of other teams would
        // take it.
        let single_gang = group_size > 1 && wanted == group_size;
        let holder = if single_gang {
            self.release_holds(job);
            Holder::Job(job)
        } else {
            Holder::Team(team)
        };
        for (offer, tasks) in &chosen {
            self.hold_capacity(offer.slot, holder, need.saturating_mul(*tasks), now, until);
        }
        for id in chosen.into_iter().flat_map(|(offer, _)| offer.victims) {
            self.counters.reclaimed += 1;
            self.stop(id, true, StopReason::Share, now, out);
            self.reclaimed_attempts.insert(id);
        }
        if single_gang && let Some(job_state) = self.jobs.get_mut(&job) {
            job_state.preempting_until = until;
        }
    }

    /// Selects workers that can run up to `wanted` tasks after checkpoints, with the number of
    /// tasks for each. The total is a multiple of `group_size`.
    fn select_offers(
        &self,
        team: usize,
        need: &Resources,
        wanted: u64,
        group_size: u64,
    ) -> Vec<(WorkerOffer, u64)> {
        let gang = group_size > 1;
        let mut candidates = self.reclaimable_attempts(team);
        if gang {
            for slot in self
                .fleet
                .free_index
                .emptiest_first(need)
                .take(MAX_EXAMINED)
            {
                candidates.entry(slot).or_default();
            }
        }
        let mut offers = Vec::new();
        for (slot, victims) in candidates {
            let worker = &self.fleet.workers[slot];
            if self.fleet.accepts_hold(slot) && need.fits(&worker.capacity) {
                let offer = self.worker_offer(slot, victims, need, wanted);
                offers.extend(offer.filter(|o| gang || !o.victims.is_empty()));
            }
        }
        // Prefers the fewest checkpoints for each task.
        offers.sort_by_key(|o| (o.victims.len() as u64 * 1_000 / o.tasks, o.slot));
        let offered: u64 = offers.iter().map(|o| o.tasks).sum();
        let mut missing = wanted.min(offered / group_size * group_size);
        let mut chosen = Vec::new();
        for offer in offers {
            if missing == 0 {
                break;
            }
            let tasks = offer.tasks.min(missing);
            missing -= tasks;
            chosen.push((offer, tasks));
        }
        chosen
    }

    /// Attempts by worker that other teams can give up without falling below their fair share.
    /// Single tasks come before gangs, which are checkpointed as a whole.
    fn reclaimable_attempts(&self, team: usize) -> BTreeMap<usize, Vec<AttemptId>> {
        let total = &self.fleet.total;
        let mut candidates: BTreeMap<usize, Vec<AttemptId>> = BTreeMap::new();
        for (slot, other) in self.teams.list.iter().enumerate() {
            let used = other
                .used
                .saturating_sub(&other.stopping)
                .dominant_share(total);
            let mut excess = used - other.fair_share;
            if slot == team || excess <= 0.0 {
                continue;
            }
            for (_, _, id) in other.preemptible.iter().take(MAX_EXAMINED) {
                let Some(attempt) = self.attempts.get(id) else {
                    continue;
                };
                let fraction = attempt.charge.dominant_share(total);
                if fraction > excess {
                    break;
                }
                if !self.fleet.accepts_hold(attempt.worker) {
                    continue;
                }
                excess -= fraction;
                candidates.entry(attempt.worker).or_default().push(*id);
            }
            for (job, charge) in &other.preemptible_gangs {
                let fraction = charge.dominant_share(total);
                if fraction > excess {
                    continue;
                }
                let members = self.attempts_of(*job).into_iter();
                let members = members.filter_map(|id| Some((id, self.attempts.get(&id)?.worker)));
                let members: Vec<_> = members.filter(|m| self.fleet.accepts_hold(m.1)).collect();
                if !members.is_empty() {
                    excess -= fraction;
                }
                for (id, worker) in members {
                    candidates.entry(worker).or_default().push(id);
                }
            }
        }
        candidates
    }

    /// Number of tasks that a worker can run, with the fewest victims that make room for them.
    fn worker_offer(
        &self,
        slot: usize,
        victims: Vec<AttemptId>,
        need: &Resources,
        wanted: u64,
    ) -> Option<WorkerOffer> {
        let mut room = self.fleet.workers[slot].free();
        let mut tasks = room.count_fitting(need);
        let mut victim_count = 0;
        for (n, id) in victims.iter().enumerate() {
            if tasks >= wanted {
                break;
            }
            room += self.attempts.get(id)?.charge;
            if room.count_fitting(need) > tasks {
                tasks = room.count_fitting(need);
                victim_count = n + 1;
            }
        }
        let victims = victims.into_iter().take(victim_count).collect();
        (tasks > 0).then_some(WorkerOffer {
            slot,
            tasks,
            victims,
        })
    }
}

/// Tasks that a worker can run after its victims were checkpointed.
struct WorkerOffer {
    /// Slot of the worker.
    slot: usize,
    tasks: u64,
    victims: Vec<AttemptId>,
}
