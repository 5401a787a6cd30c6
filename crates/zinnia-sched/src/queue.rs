//! Queues of one team: lanes of similar jobs, each ordered.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use zinnia_types::Class;
use zinnia_types::Job;
use zinnia_types::JobId;
use zinnia_types::Name;
use zinnia_types::Resources;
use zinnia_types::Urgency;

use crate::index::level;

/// Jobs in one lane are so alike that when the first fits nowhere, the others rarely do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SubqueueKey {
    pub(crate) urgency: Urgency,
    pub(crate) class: Class,
    kind: Name,
    cpu: u32,
    mem: u32,
    gpu: u64,
    /// Level of the task count, for gangs.
    tasks: u32,
}

impl SubqueueKey {
    pub(crate) fn of(job: &Job) -> Self {
        Self {
            urgency: job.urgency,
            class: job.class,
            kind: job.kind,
            cpu: level(job.need.cpu),
            mem: level(job.need.mem),
            gpu: job.need.gpu,
            tasks: if job.class == Class::Gang {
                level(job.tasks.into())
            } else {
                0
            },
        }
    }
}

/// Rank of a job, then its order of arrival.
pub(crate) type Rank = (i64, u64);

/// Where a job is queued.
pub(crate) type QueuePosition = (usize, Rank);

/// Jobs of one lane with ready tasks.
#[derive(Debug)]
pub(crate) struct Subqueue {
    pub(crate) id: SubqueueKey,
    jobs: BTreeMap<Rank, JobId>,
    /// The need of the first job, and the position in the log of changed workers up to which it
    /// is known to fit nowhere.
    pub(crate) failed_fit: Option<(Resources, u64)>,
    /// The last dispatch in which it was blocked.
    pub(crate) blocked_pass: u64,
}

/// All lanes of one team.
#[derive(Debug, Default)]
pub(crate) struct TeamQueue {
    subqueues: Vec<Subqueue>,
    slot_by_key: BTreeMap<SubqueueKey, usize>,
    /// Empty lanes to be used again.
    free_slots: Vec<usize>,
    /// First job of each lane, the most urgent and then the best ranked first.
    first_jobs: BTreeMap<(Reverse<Urgency>, Rank), usize>,
    jobs: usize,
}

impl TeamQueue {
    pub(crate) fn insert(&mut self, id: SubqueueKey, rank: Rank, job: JobId) -> QueuePosition {
        let slot = self.slot(id);
        let urgency = Reverse(id.urgency);
        let lane = &mut self.subqueues[slot];
        let head = lane.jobs.first_key_value().map(|(r, _)| *r);
        if head.is_none_or(|r| rank < r) {
            lane.failed_fit = None;
            lane.blocked_pass = 0;
            if let Some(old) = head {
                self.first_jobs.remove(&(urgency, old));
            }
            self.first_jobs.insert((urgency, rank), slot);
        }
        if lane.jobs.insert(rank, job).is_none() {
            self.jobs += 1;
        }
        (slot, rank)
    }

    pub(crate) fn remove(&mut self, (slot, rank): QueuePosition) {
        let Some(lane) = self.subqueues.get_mut(slot) else {
            return;
        };
        if lane.jobs.remove(&rank).is_none() {
            return;
        }
        self.jobs -= 1;
        let urgency = Reverse(lane.id.urgency);
        if self.first_jobs.remove(&(urgency, rank)).is_none() {
            return;
        }
        lane.failed_fit = None;
        lane.blocked_pass = 0;
        if let Some((next, _)) = lane.jobs.first_key_value() {
            self.first_jobs.insert((urgency, *next), slot);
        } else {
            self.slot_by_key.remove(&lane.id);
            self.free_slots.push(slot);
        }
    }

    fn slot(&mut self, id: SubqueueKey) -> usize {
        if let Some(&slot) = self.slot_by_key.get(&id) {
            return slot;
        }
        let lane = Subqueue {
            id,
            jobs: BTreeMap::new(),
            failed_fit: None,
            blocked_pass: 0,
        };
        let slot = if let Some(slot) = self.free_slots.pop() {
            self.subqueues[slot] = lane;
            slot
        } else {
            self.subqueues.push(lane);
            self.subqueues.len() - 1
        };
        self.slot_by_key.insert(id, slot);
        slot
    }

    pub(crate) fn subqueue_mut(&mut self, slot: usize) -> Option<&mut Subqueue> {
        self.subqueues.get_mut(slot)
    }

    /// First job of the first lane for which `open` holds.
    pub(crate) fn next_job(
        &mut self,
        urgent: bool,
        mut open: impl FnMut(&mut Subqueue) -> bool,
    ) -> Option<(usize, JobId)> {
        for ((urgency, rank), &slot) in &self.first_jobs {
            if urgent && urgency.0 != Urgency::Urgent {
                return None;
            }
            let lane = self.subqueues.get_mut(slot)?;
            if open(lane) {
                return lane.jobs.get(rank).map(|job| (slot, *job));
            }
        }
        None
    }

    /// The first job of all.
    pub(crate) fn first_job(&self) -> Option<JobId> {
        let ((_, rank), &slot) = self.first_jobs.first_key_value()?;
        self.subqueues.get(slot)?.jobs.get(rank).copied()
    }

    /// Whether the job at a place is the first one of its lane.
    pub(crate) fn is_first(&self, (slot, rank): QueuePosition) -> bool {
        let first = self
            .subqueues
            .get(slot)
            .and_then(|l| l.jobs.first_key_value());
        first.is_some_and(|(r, _)| *r == rank)
    }

    /// Whether an urgent job is queued.
    pub(crate) fn has_urgent(&self) -> bool {
        let first = self.first_jobs.first_key_value();
        first.is_some_and(|((urgency, _), _)| urgency.0 == Urgency::Urgent)
    }

    /// Number of queued jobs.
    pub(crate) fn len(&self) -> usize {
        self.jobs
    }
}
