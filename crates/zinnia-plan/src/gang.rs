//! Gangs: all of their tasks start together or none does.

use std::collections::BTreeSet;

use crate::Lead;
use crate::Plan;
use crate::Policy;
use crate::place::Due;
use crate::place::Pass;
use crate::state::Worker;

/// Gangs of a pool for which room is kept at the same time. Each keeps more than it uses, since
/// the workers do not become free at once; with many, half of a pool stands idle.
const MOST_KEPT: usize = 2;
/// How long a gang waits before room is kept free for it.
const KEEP_ROOM_MS: i64 = 500;
/// How long a gang waits for room in one rack before it is spread over several.
const RACK_WAIT_MS: i64 = 2_000;

impl Lead {
    /// Places a gang for which a policy decides.
    ///
    /// Tickets hold for a short time only, so they are renewed once the granted workers have room
    /// for the whole gang, and the room is kept until the answer is there.
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
                let mut granted = pass.capable(due);
                granted.retain(|w| advice.granted.contains(*w));
                pass.keep_room(due, &granted);
                pass.unknown(due, advice)
            }
        };
        names.dedup();
        if advice.asked.is_empty() {
            advice.ask(due.id, &names, policy, now, plan);
        }
    }
}

impl<'a> Pass<'a> {
    /// Keeps room on these workers for the members of a gang.
    fn keep(&mut self, due: &Due<'_>, names: &[&'a str]) {
        let need = due.step.charge();
        for name in names {
            if let Some(free) = self.free.get_mut(name) {
                free.kept = free.kept.plus(&need);
                free.unasked = free.unasked.minus(&need);
            }
        }
    }

    /// Keeps room that becomes free for a gang that waits: smaller tasks would take it bit by bit.
    pub(crate) fn keep_room(&mut self, due: &Due<'a>, names: &[&'a str]) {
        if !due.step.gang || self.wall_ms - due.job.accepted_ms < KEEP_ROOM_MS {
            return;
        }
        let served = self.keeps.entry(due.queue.pool.as_str()).or_default();
        if *served >= MOST_KEPT {
            return;
        }
        *served += 1;
        let need = due.step.charge();
        let mut left = due.tasks.tasks.len();
        // Workers sort by their room, those with the most last.
        for name in names.iter().rev() {
            let Some(free) = self.free.get_mut(name) else {
                continue;
            };
            let mut whole = free.worker.life.room.minus(&free.kept);
            let most = match due.step.per_worker {
                0 => u32::MAX,
                n => n,
            };
            let mut here = 0;
            while left > 0 && here < most && whole.fits(&need) {
                whole = whole.minus(&need);
                here += 1;
                free.kept = free.kept.plus(&need);
                free.unasked = free.unasked.minus(&need);
                left -= 1;
            }
            if left == 0 {
                return;
            }
        }
    }

    /// Places a gang as a whole; returns its size when there is no room for it.
    pub(crate) fn gang(&mut self, due: &Due<'a>, able: &[&'a str], plan: &mut Plan) -> usize {
        let count = due.tasks.tasks.len();
        if !self.within_cap(due, count as u64) {
            return 0;
        }
        let Some(choice) = self.choose(due, able) else {
            return count;
        };
        self.start_gang(due, &choice, plan);
        0
    }

    /// A worker for each member of a gang, if there is room for all.
    fn choose(&self, due: &Due<'_>, able: &[&'a str]) -> Option<Vec<&'a str>> {
        let count = due.tasks.tasks.len();
        if due.step.same_rack && count > 1 {
            let racks: BTreeSet<&str> = able.iter().filter_map(|w| self.rack(w)).collect();
            let choice = racks.into_iter().find_map(|rack| {
                let inside = able.iter().copied().filter(|w| self.rack(w) == Some(rack));
                self.spread(due, inside.collect(), count)
            });
            let waited = self.wall_ms - due.job.accepted_ms;
            if choice.is_some() || waited < RACK_WAIT_MS {
                return choice;
            }
        }
        self.spread(due, able.to_vec(), count)
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
        worker.life.labels.last().map(String::as_str)
    }

    /// A worker for each of `count` tasks, if there is room for all.
    fn spread(&self, due: &Due<'_>, able: Vec<&'a str>, count: usize) -> Option<Vec<&'a str>> {
        let need = due.step.charge();
        let mut names = Vec::new();
        for name in able {
            let mut room = self.free.get(name)?.open();
            let mut here = 0;
            while names.len() < count
                && room.fits(&need)
                && (due.step.per_worker == 0 || here < due.step.per_worker)
            {
                room = room.minus(&need);
                here += 1;
                names.push(name);
            }
        }
        (names.len() == count).then_some(names)
    }
}
