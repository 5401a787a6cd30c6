//! Placement of gangs, whose tasks start all together or not at all.

use std::collections::BTreeSet;

use crate::Leader;
use crate::Plan;
use crate::Policy;
use crate::Resources;
use crate::place::Due;
use crate::place::Free;
use crate::place::Pass;
use crate::state::Worker;

/// Maximum number of gangs per pool with reserved resources. A reservation exceeds what the gang
/// uses at the time, since its workers become free one after the other. Without the limit, half of
/// a pool was idle.
const MOST_KEPT: usize = 2;
/// Waiting time after which resources are reserved for a gang.
const KEEP_ROOM_MS: i64 = 500;
/// How long a gang waits for enough resources in one rack before it is spread over several racks.
const RACK_WAIT_MS: i64 = 2_000;

impl Leader {
    /// Places a gang that needs tickets.
    ///
    /// Tickets are valid for a short time only. They are renewed once the workers that the policy
    /// allows have enough free resources for the whole gang, and these are reserved until the
    /// policy answers.
    pub(crate) fn place_gang<'a>(
        &mut self,
        pass: &mut Pass<'a>,
        due: &Due<'a>,
        policy: &Policy,
        plan: &mut Plan,
    ) {
        let now = pass.now;
        if !pass.within_cap(due, due.tasks.tasks.len() as u64) {
            return;
        }
        let advice = self.advice.entry(due.id).or_default();
        let mut able = pass.able(due);
        able.retain(|w| advice.granted.contains(*w));
        able.sort_by_key(|w| advice.ticket(w, now).is_none());
        let mut names = match pass.choose(due, &able) {
            Some(choice) => {
                if choice.iter().all(|w| advice.ticket(w, now).is_some()) {
                    pass.start_gang(due, &choice, plan);
                    return;
                }
                pass.keep(due, &choice);
                choice
            }
            None => {
                let capable = pass.capable(due);
                let mut granted = capable.clone();
                granted.retain(|w| advice.granted.contains(*w));
                pass.keep_room(due, &granted);
                pass.unknown(due, advice, capable)
            }
        };
        names.dedup();
        if advice.may_ask(now, plan) {
            advice.ask(due.id, &names, policy, plan);
        }
    }
}

impl<'a> Pass<'a> {
    /// Reserves resources on these workers for the members of a gang.
    fn keep(&mut self, due: &Due<'_>, names: &[&'a str]) {
        let need = due.step.charge();
        for name in names {
            if let Some(free) = self.free.get_mut(name) {
                free.kept = free.kept.plus(&need);
                free.unasked = free.unasked.minus(&need);
            }
        }
    }

    /// Reserves resources for a waiting gang, since smaller tasks would otherwise take whatever
    /// becomes free.
    fn keep_room(&mut self, due: &Due<'a>, names: &[&'a str]) {
        if self.wall_ms - due.job.accepted_ms < KEEP_ROOM_MS {
            return;
        }
        let served = self.keeps.entry(due.queue.pool.as_str()).or_default();
        if *served >= MOST_KEPT {
            return;
        }
        *served += 1;
        // The workers are sorted by free resources in ascending order, so the reverse order prefers
        // the largest.
        let names = names.iter().rev().copied();
        let chosen = self.spread(due, names, |f| {
            f.worker.incarnation.resources.minus(&f.kept)
        });
        self.keep(due, &chosen);
    }

    /// Starts a gang as a whole, or reserves resources for it if there are not enough.
    pub(crate) fn gang(&mut self, due: &Due<'a>, plan: &mut Plan) {
        if !self.within_cap(due, due.tasks.tasks.len() as u64) {
            return;
        }
        match self.choose(due, &self.able(due)) {
            Some(choice) => self.start_gang(due, &choice, plan),
            None => self.keep_room(due, &self.capable(due)),
        }
    }

    /// Selects a worker for each member of a gang, if all of them fit.
    fn choose(&self, due: &Due<'_>, able: &[&'a str]) -> Option<Vec<&'a str>> {
        let count = due.tasks.tasks.len();
        let all = |names: Vec<&'a str>| (names.len() == count).then_some(names);
        if due.step.same_rack && count > 1 {
            let racks: BTreeSet<&str> = able.iter().filter_map(|w| self.rack(w)).collect();
            let choice = racks.into_iter().find_map(|rack| {
                let inside = able.iter().copied().filter(|w| self.rack(w) == Some(rack));
                all(self.spread(due, inside, Free::open))
            });
            let waited = self.wall_ms - due.job.accepted_ms;
            if choice.is_some() || waited < RACK_WAIT_MS {
                return choice;
            }
        }
        all(self.spread(due, able.iter().copied(), Free::open))
    }

    fn start_gang(&mut self, due: &Due<'a>, choice: &[&'a str], plan: &mut Plan) {
        let run = due.tasks.tasks.iter().map(|t| t.run).max().unwrap_or(0) + 1;
        for (index, name) in (0..).zip(choice) {
            if let Some(start) = self.start(due, index, run, name) {
                plan.starts.push(start);
                self.put(due, name);
            }
        }
    }

    fn rack(&self, name: &str) -> Option<&'a str> {
        let worker: &'a Worker = self.free.get(name)?.worker;
        worker.incarnation.rack()
    }

    /// Selects workers for the members of a gang while the given resources suffice.
    fn spread(
        &self,
        due: &Due<'_>,
        names: impl Iterator<Item = &'a str>,
        resources: impl Fn(&Free<'a>) -> Resources,
    ) -> Vec<&'a str> {
        let need = due.step.charge();
        let count = due.tasks.tasks.len();
        let mut chosen = Vec::new();
        for name in names {
            let mut resources = self.free.get(name).map(&resources).unwrap_or_default();
            let mut here = 0;
            while chosen.len() < count && resources.fits(&need) && here < due.step.most_beside() {
                resources = resources.minus(&need);
                here += 1;
                chosen.push(name);
            }
        }
        chosen
    }
}
