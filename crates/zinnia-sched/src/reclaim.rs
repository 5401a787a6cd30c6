//! Taking lent shares back.

use std::collections::BTreeMap;

use zinnia_types::AttemptId;
use zinnia_types::Resources;
use zinnia_types::Time;

use crate::action::Action;
use crate::action::StopReason;
use crate::fleet::Holder;
use crate::scheduler::Scheduler;
use crate::team::Team;

/// Attempts looked at in one round for one team.
const MAX_EXAMINED: usize = 512;
/// Teams served in one round, the furthest from their share first. It bounds the time of a tick.
const MAX_TEAMS: usize = 4;
/// Tasks for which room is taken back in one round for one team.
const MAX_TASKS: u64 = 256;

impl Scheduler {
    /// Checkpoints the youngest work of teams above their share for teams that are short of
    /// theirs and have waited for it.
    pub(crate) fn reclaim_shares(&mut self, now: Time, out: &mut Vec<Action>) {
        self.update_fair_shares();
        let total = self.fleet.total;
        let set = self.settings.queue;
        let waits = self.reclaimed_attempts.len();
        let mut due = Vec::new();
        for (slot, team) in self.teams.list.iter_mut().enumerate() {
            let gap = team.fair_share - team.used.dominant(&total);
            let short =
                gap > set.share_tolerance && team.queue.len() > 0 && team.portion.may_borrow;
            if !short {
                team.short_since = None;
                continue;
            }
            let since = *team.short_since.get_or_insert(now);
            // A round ends before the next begins, so that nothing is taken back twice.
            if waits == 0 && now.since(since) >= set.reclaim_delay {
                due.push((gap, slot));
            }
        }
        due.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (gap, slot) in due.into_iter().take(MAX_TEAMS) {
            self.reclaim_for(slot, gap, now, out);
        }
    }

    /// Splits what is in use by weighted max-min: no team gets more than it runs and waits for,
    /// and the rest is split by portion.
    fn update_fair_shares(&mut self) {
        let total = self.fleet.total;
        let demand = |t: &Team| (t.used + t.queued_need).dominant(&total);
        let mut left: f64 = self
            .teams
            .list
            .iter()
            .map(|t| t.used.dominant(&total))
            .sum();
        let mut parts: f64 = self.teams.list.iter().map(|t| t.portion.fraction).sum();
        let mut order: Vec<usize> = (0..self.teams.list.len()).collect();
        let fill = |t: &Team| demand(t) / t.portion.fraction.max(f64::MIN_POSITIVE);
        order.sort_by(|a, b| {
            let (a, b) = (&self.teams.list[*a], &self.teams.list[*b]);
            fill(a).total_cmp(&fill(b))
        });
        for slot in order {
            let team = &mut self.teams.list[slot];
            let part = team.portion.fraction;
            let split = if parts > 0.0 {
                left * part / parts
            } else {
                0.0
            };
            team.fair_share = demand(team).min(split);
            left = (left - team.fair_share).max(0.0);
            parts = (parts - part).max(0.0);
        }
    }

    fn reclaim_for(&mut self, short: usize, gap: f64, now: Time, out: &mut Vec<Action>) {
        let Some(job) = self.teams.list[short].queue.first_job() else {
            return;
        };
        let need = self.effective_need(job);
        let step = need.dominant(&self.fleet.total);
        let Some(work) = self.jobs.get(&job) else {
            return;
        };
        if now < work.preempting_until || step <= 0.0 {
            return;
        }
        let together = work.start_count();
        let room = self.teams.list[short].available(&self.fleet.unreported_capacity, job);
        let most = room
            .count(&need)
            .min(self.teams.list[short].queued_need.count(&need));
        let wanted = ((gap / step).round() as u64).min(MAX_TASKS).min(most);
        // Whole gangs only.
        let wanted = (wanted / together).max(1) * together;
        if !need.times(wanted).fits(&room) {
            return;
        }
        let chosen = self.select_offers(short, &need, wanted, together);
        if chosen.is_empty() {
            return;
        }
        let until = now.after(self.settings.queue.hold_timeout);
        // The room comes in parts, which smaller work of others would take if it were not kept.
        let single = together > 1 && wanted == together;
        let holder = if single {
            self.release_holds(job);
            Holder::Job(job)
        } else {
            Holder::Team(short)
        };
        for (offer, tasks) in &chosen {
            self.hold_capacity(offer.slot, holder, need.times(*tasks), now, until);
        }
        for id in chosen.into_iter().flat_map(|(offer, _)| offer.victims) {
            self.counters.reclaimed += 1;
            self.stop(id, true, StopReason::Share, now, out);
            self.reclaimed_attempts.insert(id);
        }
        if single && let Some(work) = self.jobs.get_mut(&job) {
            work.preempting_until = until;
        }
    }

    /// Workers that take up to `wanted` tasks after checkpoints, in groups of `together`.
    fn select_offers(
        &self,
        short: usize,
        need: &Resources,
        wanted: u64,
        together: u64,
    ) -> Vec<(WorkerOffer, u64)> {
        let gang = together > 1;
        let mut sources = self.reclaimable_attempts(short);
        if gang {
            for slot in self
                .fleet
                .free_index
                .emptiest_first(need)
                .take(MAX_EXAMINED)
            {
                sources.entry(slot).or_default();
            }
        }
        let mut offers = Vec::new();
        for (slot, victims) in sources {
            let worker = &self.fleet.workers[slot];
            if self.fleet.accepts_hold(slot) && need.fits(&worker.capacity) {
                let offer = self.worker_offer(slot, victims, need, wanted);
                offers.extend(offer.filter(|o| gang || !o.victims.is_empty()));
            }
        }
        // The fewest checkpoints for each task come first.
        offers.sort_by_key(|o| (o.victims.len() as u64 * 1_000 / o.tasks, o.slot));
        let offered: u64 = offers.iter().map(|o| o.tasks).sum();
        let mut missing = wanted.min(offered / together * together);
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

    /// What teams above what they are entitled to can give, by worker, without falling below it.
    /// Single tasks come before gangs, which are checkpointed as a whole.
    fn reclaimable_attempts(&self, short: usize) -> BTreeMap<usize, Vec<AttemptId>> {
        let total = &self.fleet.total;
        let mut sources: BTreeMap<usize, Vec<AttemptId>> = BTreeMap::new();
        for (slot, team) in self.teams.list.iter().enumerate() {
            let used = team.used.saturating_sub(&team.stopping).dominant(total);
            let mut over = used - team.fair_share;
            if slot == short || over <= 0.0 {
                continue;
            }
            for (_, _, id) in team.preemptible.iter().take(MAX_EXAMINED) {
                let Some(attempt) = self.attempts.get(id) else {
                    continue;
                };
                let part = attempt.charge.dominant(total);
                if part > over {
                    break;
                }
                if !self.fleet.accepts_hold(attempt.worker) {
                    continue;
                }
                over -= part;
                sources.entry(attempt.worker).or_default().push(*id);
            }
            for (job, charge) in &team.preemptible_gangs {
                let part = charge.dominant(total);
                if part > over {
                    continue;
                }
                let members = self.attempts_of(*job).into_iter();
                let members = members.filter_map(|id| Some((id, self.attempts.get(&id)?.worker)));
                let members: Vec<_> = members.filter(|m| self.fleet.accepts_hold(m.1)).collect();
                if !members.is_empty() {
                    over -= part;
                }
                for (id, worker) in members {
                    sources.entry(worker).or_default().push(id);
                }
            }
        }
        sources
    }

    /// How many tasks a worker takes, with as few of the victims as needed for them.
    fn worker_offer(
        &self,
        slot: usize,
        victims: Vec<AttemptId>,
        need: &Resources,
        wanted: u64,
    ) -> Option<WorkerOffer> {
        let mut room = self.fleet.workers[slot].free();
        let mut tasks = room.count(need);
        let mut used = 0;
        for (n, id) in victims.iter().enumerate() {
            if tasks >= wanted {
                break;
            }
            room += self.attempts.get(id)?.charge;
            if room.count(need) > tasks {
                tasks = room.count(need);
                used = n + 1;
            }
        }
        let victims = victims.into_iter().take(used).collect();
        (tasks > 0).then_some(WorkerOffer {
            slot,
            tasks,
            victims,
        })
    }
}

/// Tasks that a worker could take after checkpoints.
struct WorkerOffer {
    slot: usize,
    tasks: u64,
    victims: Vec<AttemptId>,
}
