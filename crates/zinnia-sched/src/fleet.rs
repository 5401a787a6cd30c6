//! Owned workers, their free capacity and the indexes over them.

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
use zinnia_types::worker::WorkerProfile;

use crate::health::Health;
use crate::index::WorkerIndex;
use crate::policy::PlacementRequest;

/// Maximum number of workers with a capacity hold examined for one backfill decision.
const MAX_BACKFILL_WORKERS: usize = 16;
/// Maximum number of earlier boot numbers remembered per worker.
const MAX_EARLIER_BOOTS: usize = 8;

/// The job or team for which capacity is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(crate) enum Holder {
    Job(JobId),
    /// Slot of a team below its share, for which capacity is reclaimed from others.
    Team(usize),
}

/// Capacity held on one worker for a job or team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Hold {
    pub(crate) holder: Holder,
    pub(crate) amount: Resources,
    /// When the holder is expected to start. Other tasks may use the capacity until then if they
    /// are expected to end earlier (backfill).
    pub(crate) start: Time,
    /// When the hold expires; `None` for a hold that lasts as long as its reservation.
    pub(crate) until: Option<Time>,
}

impl Hold {
    /// Whether the request comes from the holder.
    pub(crate) fn is_held_for(&self, req: &PlacementRequest<'_>) -> bool {
        match self.holder {
            Holder::Job(job) => job == req.job,
            Holder::Team(team) => team == req.team,
        }
    }
}

/// A worker that this scheduler owns or once owned.
#[derive(Debug)]
pub struct Worker {
    pub(crate) id: WorkerId,
    pub(crate) boot: u64,
    /// Earlier boot numbers; late messages that carry them are ignored.
    pub(crate) earlier_boots: Vec<u64>,
    pub(crate) epoch: Epoch,
    pub(crate) rack: RackId,
    pub(crate) capacity: Resources,
    /// Resources charged for all its attempts. May exceed the capacity if tasks use more memory
    /// than they declared.
    pub(crate) used: Resources,
    /// Resources that checkpoints and throttling could free for urgent tasks.
    pub(crate) preemptible: Resources,
    pub(crate) attempts: BTreeSet<AttemptId>,
    pub(crate) owned: bool,
    pub(crate) silent: bool,
    /// Number of consecutive requests without an answer, and the time before which a report does
    /// not end the silence.
    pub(crate) unanswered: u32,
    pub(crate) silent_until: Time,
    pub(crate) leaving: bool,
    pub(crate) health: Health,
    /// Capacity held for a job or team.
    pub(crate) hold: Option<Hold>,
}

impl Worker {
    /// Free capacity.
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.used)
    }

    /// Total capacity.
    pub fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Whether starts of allocated tasks may be sent to it.
    pub(crate) fn is_reachable(&self) -> bool {
        self.owned && !self.silent && !self.leaving
    }

    /// Whether new tasks may be placed on it. A quarantined worker takes none, and one that is
    /// being probed takes one at a time.
    pub(crate) fn is_schedulable(&self) -> bool {
        self.is_reachable() && self.health.allows_tasks(self.attempts.len())
    }
}

/// All workers of the failure domain. A slot is the position of a worker in `workers` and never
/// changes.
#[derive(Debug, Default)]
pub struct Fleet {
    pub(crate) workers: Vec<Worker>,
    pub(crate) slots: HashMap<WorkerId, usize>,
    /// Schedulable workers by free capacity that is not held.
    pub(crate) free_index: WorkerIndex,
    /// Schedulable workers without a hold, by free plus preemptible capacity.
    pub(crate) preemptible_index: WorkerIndex,
    /// Slots of the owned workers in each rack.
    pub(crate) racks: BTreeMap<RackId, Vec<usize>>,
    /// Racks in order of first registration, for spreading tasks over racks.
    pub(crate) rack_order: Vec<RackId>,
    /// Slots of the workers with a capacity hold.
    pub(crate) held_workers: BTreeSet<usize>,
    /// Slots of the workers that wait for a probe task after their quarantine.
    pub(crate) probe_workers: BTreeSet<usize>,
    /// Sum of the capacities of all owned workers.
    pub(crate) total: Resources,
    /// Workers of the takeover roster that have neither reported nor lapsed, with their capacities.
    pub(crate) unreported_workers: BTreeMap<WorkerId, Resources>,
    /// Sum of the capacities of the unreported workers.
    pub(crate) unreported_capacity: Resources,
    /// Distinct capacities of owned workers, with the number of workers of each.
    pub(crate) shapes: BTreeMap<Resources, u32>,
    /// Capacities that no owned worker has any more, with the number of workers counted for each
    /// and the time of the last loss.
    pub(crate) lost_shapes: BTreeMap<Resources, (u32, Time)>,
    /// Workers examined since the fleet was created.
    pub(crate) examined: Cell<u64>,
}

impl Fleet {
    /// Whether another worker than the one in `slot` is reachable and not quarantined.
    pub(crate) fn has_other_usable(&self, slot: usize) -> bool {
        let mut others = (0..).zip(&self.workers).filter(|(other, _)| *other != slot);
        others.any(|(_, w)| w.is_reachable() && w.health.quarantined_until.is_none())
    }

    /// All workers by slot. Some may not be usable for a task; see [`Self::accepts`].
    pub fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// Whether the task may be placed on the worker in `slot`. Each call counts as one examined
    /// worker.
    pub fn accepts(&self, slot: usize, req: &PlacementRequest<'_>) -> bool {
        self.examined.set(self.examined.get() + 1);
        let Some(worker) = self.workers.get(slot) else {
            return false;
        };
        if !worker.is_schedulable() || req.avoided_workers.contains(&slot) {
            return false;
        }
        let free = worker.free();
        let available = match worker.hold {
            Some(hold)
                if !hold.is_held_for(req) && req.expected_end.is_none_or(|t| t > hold.start) =>
            {
                free.saturating_sub(&hold.amount)
            }
            _ => free,
        };
        req.need.fits(&available)
    }

    /// A worker whose held capacity the task can use and free again before the holder is expected
    /// to start.
    pub(crate) fn find_backfill(&self, req: &PlacementRequest<'_>) -> Option<usize> {
        req.expected_end?;
        let mut slots = self.held_workers.iter().copied().take(MAX_BACKFILL_WORKERS);
        slots.find(|&slot| self.accepts(slot, req))
    }

    /// Whether capacity may be held on the worker: it is schedulable and has no hold yet.
    pub(crate) fn accepts_hold(&self, slot: usize) -> bool {
        let worker = &self.workers[slot];
        worker.is_schedulable() && worker.hold.is_none()
    }

    /// Whether capacity on the worker is held for `holder`.
    pub(crate) fn is_held_by(&self, slot: usize, holder: Holder) -> bool {
        self.workers[slot].hold.is_some_and(|h| h.holder == holder)
    }

    /// Sets the hold of a worker, or releases it with `None`.
    pub(crate) fn set_hold(&mut self, slot: usize, hold: Option<Hold>) {
        self.workers[slot].hold = hold;
        if hold.is_some() {
            self.held_workers.insert(slot);
        } else {
            self.held_workers.remove(&slot);
        }
        self.update_indexes(slot);
    }

    /// Slot of a worker, if it is owned.
    pub(crate) fn owned_slot(&self, id: WorkerId) -> Option<usize> {
        let slot = *self.slots.get(&id)?;
        self.workers[slot].owned.then_some(slot)
    }

    /// Registers a worker as owned, without attempts, and returns its slot.
    pub(crate) fn add_owned(
        &mut self,
        profile: &WorkerProfile,
        epoch: Epoch,
        leaving: bool,
    ) -> usize {
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
        self.remove_from_rack(slot);
        self.add_to_rack(slot, profile.rack);
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

    /// Marks a worker as no longer owned. Its attempts must have been ended before.
    pub(crate) fn remove_owned(&mut self, slot: usize, now: Time) {
        if !self.workers[slot].owned {
            return;
        }
        self.subtract_capacity(slot);
        self.remove_from_rack(slot);
        let worker = &mut self.workers[slot];
        worker.owned = false;
        let shape = worker.capacity;
        if !self.shapes.contains_key(&shape) {
            let count = self.lost_shapes.get(&shape).map_or(0, |l| l.0) + 1;
            self.lost_shapes.insert(shape, (count, now));
        }
        self.update_indexes(slot);
    }

    /// Marks a worker of the takeover roster as reported or lapsed. Returns false if it was not
    /// pending.
    pub(crate) fn mark_reported(&mut self, id: WorkerId) -> bool {
        let Some(capacity) = self.unreported_workers.remove(&id) else {
            return false;
        };
        self.unreported_capacity = self.unreported_capacity.saturating_sub(&capacity);
        true
    }

    /// Updates the index entries of a worker after its capacity or state changed.
    pub(crate) fn update_indexes(&mut self, slot: usize) {
        let worker = &self.workers[slot];
        if !worker.is_schedulable() {
            self.free_index.update(slot, None);
            self.preemptible_index.update(slot, None);
            return;
        }
        let free = worker.free();
        if let Some(hold) = worker.hold {
            self.free_index
                .update(slot, Some(&free.saturating_sub(&hold.amount)));
            self.preemptible_index.update(slot, None);
            return;
        }
        let attainable = Resources::elementwise_min(&(free + worker.preemptible), &worker.capacity);
        self.free_index.update(slot, Some(&free));
        self.preemptible_index.update(slot, Some(&attainable));
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

    fn remove_from_rack(&mut self, slot: usize) {
        let rack = self.workers[slot].rack;
        if let Some(list) = self.racks.get_mut(&rack) {
            list.retain(|&s| s != slot);
        }
    }

    fn add_to_rack(&mut self, slot: usize, rack: RackId) {
        self.workers[slot].rack = rack;
        if !self.racks.contains_key(&rack) {
            self.rack_order.push(rack);
        }
        self.racks.entry(rack).or_default().push(slot);
    }
}
