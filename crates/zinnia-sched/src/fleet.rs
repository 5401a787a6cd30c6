//! Owned workers, their room and the indices over them.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use serde::Serialize;
use zinnia_types::AttemptId;
use zinnia_types::Epoch;
use zinnia_types::JobId;
use zinnia_types::RackId;
use zinnia_types::Resources;
use zinnia_types::Time;
use zinnia_types::WorkerId;
use zinnia_types::worker::Profile;

use crate::health::Health;
use crate::index::Index;
use crate::policy::PlacementRequest;

/// Held workers examined for one backfill decision.
const MAX_BACKFILL_WORKERS: usize = 16;
/// Earlier boots remembered for each worker.
const MAX_EARLIER_BOOTS: usize = 8;

/// For whom room is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(crate) enum Holder {
    Job(JobId),
    /// Slot of a team that gets its share back.
    Team(usize),
}

/// Room that is kept on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Hold {
    pub(crate) holder: Holder,
    pub(crate) amount: Resources,
    /// When the holder should start. Others may use the room if they should end before.
    pub(crate) start: Time,
    /// When the room is given up at the latest, unless a reservation renews it.
    pub(crate) until: Option<Time>,
}

impl Hold {
    /// Whether the task may use the room.
    pub(crate) fn is_held_for(&self, req: &PlacementRequest<'_>) -> bool {
        match self.holder {
            Holder::Job(job) => job == req.job,
            Holder::Team(team) => team == req.team,
        }
    }
}

/// A worker that is or was owned.
#[derive(Debug)]
pub struct Worker {
    pub(crate) id: WorkerId,
    pub(crate) boot: u64,
    /// Earlier boots, whose late messages are ignored.
    pub(crate) earlier_boots: Vec<u64>,
    pub(crate) epoch: Epoch,
    pub(crate) rack: RackId,
    pub(crate) capacity: Resources,
    /// Charges of all its attempts. May exceed the capacity when observed memory does.
    pub(crate) used: Resources,
    /// Charges of the attempts that may be checkpointed for urgent work.
    pub(crate) preemptible: Resources,
    pub(crate) attempts: BTreeSet<AttemptId>,
    pub(crate) owned: bool,
    pub(crate) silent: bool,
    /// Messages in a row that had no answer, and until when reports do not end the silence.
    pub(crate) unanswered: u32,
    pub(crate) silent_until: Time,
    pub(crate) leaving: bool,
    pub(crate) health: Health,
    /// Room that is kept for a job.
    pub(crate) hold: Option<Hold>,
}

impl Worker {
    /// What is left.
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.used)
    }

    /// What it has.
    pub fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Whether a task that already has its place on it may be sent.
    pub(crate) fn is_reachable(&self) -> bool {
        self.owned && !self.silent && !self.leaving
    }

    /// Whether tasks may be placed on it at all.
    pub(crate) fn is_schedulable(&self) -> bool {
        self.is_reachable() && self.health.allows_tasks(self.attempts.len())
    }
}

/// All workers of the domain, in slots.
#[derive(Debug, Default)]
pub struct Fleet {
    pub(crate) workers: Vec<Worker>,
    pub(crate) slots: HashMap<WorkerId, usize>,
    /// By free room.
    pub(crate) free_index: Index,
    /// By free room plus what may be checkpointed for urgent work.
    pub(crate) preemptible_index: Index,
    /// Workers of each rack.
    pub(crate) racks: BTreeMap<RackId, Vec<usize>>,
    /// Racks in a fixed order, for spreading.
    pub(crate) rack_order: Vec<RackId>,
    /// Workers on which room is kept for a job.
    pub(crate) held_workers: BTreeSet<usize>,
    /// Workers that wait for a probe after their quarantine.
    pub(crate) probe_workers: BTreeSet<usize>,
    /// Sum of owned capacity.
    pub(crate) total: Resources,
    /// Roster workers that have neither reported nor lapsed since the takeover.
    pub(crate) unreported_workers: BTreeMap<WorkerId, Resources>,
    pub(crate) unreported_capacity: Resources,
    /// Distinct capacities with the number of owned workers that have them.
    pub(crate) shapes: BTreeMap<Resources, u32>,
    /// Capacities that no owned worker has any more, with the time of the loss.
    pub(crate) lost_shapes: BTreeMap<Resources, (u32, Time)>,
    /// Candidates examined since the counter was last read.
    pub(crate) examined: Cell<u64>,
}

impl Fleet {
    /// Whether a worker beside the one in `slot` is in use.
    pub(crate) fn has_other_usable(&self, slot: usize) -> bool {
        let mut others = (0..).zip(&self.workers).filter(|(at, _)| *at != slot);
        others.any(|(_, w)| w.is_reachable() && w.health.quarantined_until.is_none())
    }

    /// All workers by slot. Not every one may be used; ask [`Self::accepts`].
    pub fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// Whether the task may be placed on the worker in `slot`. Counts as one candidate.
    pub fn accepts(&self, slot: usize, req: &PlacementRequest<'_>) -> bool {
        self.examined.set(self.examined.get() + 1);
        let Some(worker) = self.workers.get(slot) else {
            return false;
        };
        if !worker.is_schedulable() || req.avoided_workers.contains(&slot) {
            return false;
        }
        let free = worker.free();
        let room = match worker.hold {
            Some(hold)
                if !hold.is_held_for(req) && req.expected_end.is_none_or(|t| t > hold.start) =>
            {
                free.saturating_sub(&hold.amount)
            }
            _ => free,
        };
        req.need.fits(&room)
    }

    /// A worker whose room is kept for a later start and which the task leaves before that.
    pub(crate) fn find_backfill(&self, req: &PlacementRequest<'_>) -> Option<usize> {
        req.expected_end?;
        let mut slots = self.held_workers.iter().copied().take(MAX_BACKFILL_WORKERS);
        slots.find(|&slot| self.accepts(slot, req))
    }

    /// Whether room may be made on the worker: it is open and none is kept on it yet.
    pub(crate) fn accepts_hold(&self, slot: usize) -> bool {
        let worker = &self.workers[slot];
        worker.is_schedulable() && worker.hold.is_none()
    }

    /// Whether room on the worker is kept for `holder`.
    pub(crate) fn is_held_by(&self, slot: usize, holder: Holder) -> bool {
        self.workers[slot].hold.is_some_and(|h| h.holder == holder)
    }

    /// Keeps room, or gives it up with `None`.
    pub(crate) fn set_hold(&mut self, slot: usize, hold: Option<Hold>) {
        self.workers[slot].hold = hold;
        if hold.is_some() {
            self.held_workers.insert(slot);
        } else {
            self.held_workers.remove(&slot);
        }
        self.update_indexes(slot);
    }

    /// Slot of an owned worker.
    pub(crate) fn owned_slot(&self, id: WorkerId) -> Option<usize> {
        let slot = *self.slots.get(&id)?;
        self.workers[slot].owned.then_some(slot)
    }

    /// Takes a worker over as owned and empty, and returns its slot.
    pub(crate) fn add_owned(&mut self, profile: &Profile, epoch: Epoch, leaving: bool) -> usize {
        self.mark_reported(profile.worker);
        let slot = match self.slots.get(&profile.worker) {
            Some(&slot) => slot,
            None => {
                self.workers.push(Worker {
                    id: profile.worker,
                    boot: profile.boot,
                    earlier_boots: Vec::new(),
                    epoch,
                    rack: profile.rack,
                    capacity: Resources::ZERO,
                    used: Resources::ZERO,
                    preemptible: Resources::ZERO,
                    attempts: BTreeSet::new(),
                    owned: false,
                    silent: false,
                    unanswered: 0,
                    silent_until: Time(0),
                    leaving: false,
                    health: Health::default(),
                    hold: None,
                });
                self.slots.insert(profile.worker, self.workers.len() - 1);
                self.workers.len() - 1
            }
        };
        self.leave_rack(slot);
        self.join_rack(slot, profile.rack);
        if self.workers[slot].owned {
            self.subtract_capacity(slot);
        }
        let worker = &mut self.workers[slot];
        if worker.boot != profile.boot {
            if worker.earlier_boots.len() == MAX_EARLIER_BOOTS {
                worker.earlier_boots.remove(0);
            }
            worker.earlier_boots.push(worker.boot);
            worker.boot = profile.boot;
        }
        worker.epoch = epoch;
        worker.capacity = profile.capacity;
        worker.owned = true;
        worker.silent = false;
        worker.leaving = leaving;
        self.total += profile.capacity;
        *self.shapes.entry(profile.capacity).or_default() += 1;
        self.lost_shapes.remove(&profile.capacity);
        self.update_indexes(slot);
        slot
    }

    /// The worker is no longer owned. Its attempts must have been dropped.
    pub(crate) fn remove_owned(&mut self, slot: usize, now: Time) {
        if !self.workers[slot].owned {
            return;
        }
        self.subtract_capacity(slot);
        self.leave_rack(slot);
        let worker = &mut self.workers[slot];
        worker.owned = false;
        let shape = worker.capacity;
        if !self.shapes.contains_key(&shape) {
            let count = self.lost_shapes.get(&shape).map_or(0, |l| l.0) + 1;
            self.lost_shapes.insert(shape, (count, now));
        }
        self.update_indexes(slot);
    }

    /// A roster worker has reported or lapsed.
    pub(crate) fn mark_reported(&mut self, id: WorkerId) -> bool {
        let Some(capacity) = self.unreported_workers.remove(&id) else {
            return false;
        };
        self.unreported_capacity = self.unreported_capacity.saturating_sub(&capacity);
        true
    }

    /// Files the worker under its present room.
    pub(crate) fn update_indexes(&mut self, slot: usize) {
        let worker = &self.workers[slot];
        if !worker.is_schedulable() {
            self.free_index.set(slot, None);
            self.preemptible_index.set(slot, None);
            return;
        }
        let free = worker.free();
        if let Some(hold) = worker.hold {
            self.free_index
                .set(slot, Some(&free.saturating_sub(&hold.amount)));
            self.preemptible_index.set(slot, None);
            return;
        }
        let soft = Resources::min(&(free + worker.preemptible), &worker.capacity);
        self.free_index.set(slot, Some(&free));
        self.preemptible_index.set(slot, Some(&soft));
    }

    fn subtract_capacity(&mut self, slot: usize) {
        let shape = self.workers[slot].capacity;
        self.total = self.total.saturating_sub(&shape);
        if let Some(count) = self.shapes.get_mut(&shape) {
            *count -= 1;
            if *count == 0 {
                self.shapes.remove(&shape);
            }
        }
    }

    fn leave_rack(&mut self, slot: usize) {
        let rack = self.workers[slot].rack;
        if let Some(list) = self.racks.get_mut(&rack) {
            list.retain(|&s| s != slot);
        }
    }

    fn join_rack(&mut self, slot: usize, rack: RackId) {
        self.workers[slot].rack = rack;
        if !self.racks.contains_key(&rack) {
            self.rack_order.push(rack);
        }
        self.racks.entry(rack).or_default().push(slot);
    }
}
