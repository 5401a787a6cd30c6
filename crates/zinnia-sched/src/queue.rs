//! Job queue of a team, divided into subqueues of similar jobs.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use zinnia_types::Class;
use zinnia_types::Job;
use zinnia_types::JobId;
use zinnia_types::Name;
use zinnia_types::Resources;
use zinnia_types::Urgency;

use crate::index::level;

/// Key of a subqueue. Its jobs are so similar that when the first fits no worker, the others rarely
/// do, so only the first is tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SubqueueKey {
    pub(crate) urgency: Urgency,
    pub(crate) class: Class,
    kind: Name,
    /// Logarithmic level of the processor need, as given by [`level`].
    cpu: u32,
    /// Logarithmic level of the memory need.
    mem: u32,
    gpu: u64,
    /// Logarithmic level of the number of tasks for gangs; 0 for other classes.
    tasks: u32,
}

impl SubqueueKey {
    /// Key of the subqueue for a job.
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

/// Rank of a job by the queue order, then its sequence number. The lowest is first.
pub(crate) type Rank = (i64, u64);

/// Slot of the subqueue of a job, and its rank there.
pub(crate) type QueuePosition = (usize, Rank);

/// Similar jobs with ready tasks, in order of rank.
#[derive(Debug)]
pub(crate) struct Subqueue {
    pub(crate) key: SubqueueKey,
    jobs: BTreeMap<Rank, JobId>,
    /// Need of the first job, and the position in the change log up to which it is known to fit no
    /// worker.
    pub(crate) failed_fit: Option<(Resources, u64)>,
    /// Number of the last dispatch pass in which its first job could not be started.
    pub(crate) blocked_pass: u64,
}

/// All queued jobs of a team.
#[derive(Debug, Default)]
pub(crate) struct TeamQueue {
    /// Subqueues by slot.
    subqueues: Vec<Subqueue>,
    slot_by_key: BTreeMap<SubqueueKey, usize>,
    /// Slots of empty subqueues, to be reused.
    free_slots: Vec<usize>,
    /// Slot of each subqueue by the urgency and rank of its first job.
    first_jobs: BTreeMap<(Reverse<Urgency>, Rank), usize>,
    job_count: usize,
}

impl TeamQueue {
    /// Queues a job and returns its position.
    pub(crate) fn insert(&mut self, key: SubqueueKey, rank: Rank, job: JobId) -> QueuePosition {
        let slot = self.slot(key);
        let urgency = Reverse(key.urgency);
        let subqueue = &mut self.subqueues[slot];
        let previous_first = subqueue.jobs.first_key_value().map(|(r, _)| *r);
        if previous_first.is_none_or(|r| rank < r) {
            subqueue.failed_fit = None;
            subqueue.blocked_pass = 0;
            if let Some(old) = previous_first {
                self.first_jobs.remove(&(urgency, old));
            }
            self.first_jobs.insert((urgency, rank), slot);
        }
        if subqueue.jobs.insert(rank, job).is_none() {
            self.job_count += 1;
        }
        (slot, rank)
    }

    /// Removes the job at a position.
    pub(crate) fn remove(&mut self, (slot, rank): QueuePosition) {
        let Some(subqueue) = self.subqueues.get_mut(slot) else {
            return;
        };
        if subqueue.jobs.remove(&rank).is_none() {
            return;
        }
        self.job_count -= 1;
        let urgency = Reverse(subqueue.key.urgency);
        if self.first_jobs.remove(&(urgency, rank)).is_none() {
            return;
        }
        subqueue.failed_fit = None;
        subqueue.blocked_pass = 0;
        if let Some((next, _)) = subqueue.jobs.first_key_value() {
            self.first_jobs.insert((urgency, *next), slot);
        } else {
            self.slot_by_key.remove(&subqueue.key);
            self.free_slots.push(slot);
        }
    }

    /// Slot of a subqueue, which is created if it does not exist.
    fn slot(&mut self, key: SubqueueKey) -> usize {
        if let Some(&slot) = self.slot_by_key.get(&key) {
            return slot;
        }
        let subqueue = Subqueue {
            key,
            jobs: BTreeMap::new(),
            failed_fit: None,
            blocked_pass: 0,
        };
        let slot = if let Some(slot) = self.free_slots.pop() {
            self.subqueues[slot] = subqueue;
            slot
        } else {
            self.subqueues.push(subqueue);
            self.subqueues.len() - 1
        };
        self.slot_by_key.insert(key, slot);
        slot
    }

    pub(crate) fn subqueue_mut(&mut self, slot: usize) -> Option<&mut Subqueue> {
        self.subqueues.get_mut(slot)
    }

    /// First job of the first subqueue that `is_candidate` accepts, with its slot. With
    /// `urgent_only`, only urgent jobs are considered.
    pub(crate) fn next_job(
        &mut self,
        urgent_only: bool,
        mut is_candidate: impl FnMut(&mut Subqueue) -> bool,
    ) -> Option<(usize, JobId)> {
        for ((urgency, rank), &slot) in &self.first_jobs {
            if urgent_only && urgency.0 != Urgency::Urgent {
                return None;
            }
            let subqueue = self.subqueues.get_mut(slot)?;
            if is_candidate(subqueue) {
                return subqueue.jobs.get(rank).map(|job| (slot, *job));
            }
        }
        None
    }

    /// Most urgent and then best ranked job of the team.
    pub(crate) fn first_job(&self) -> Option<JobId> {
        let ((_, rank), &slot) = self.first_jobs.first_key_value()?;
        self.subqueues.get(slot)?.jobs.get(rank).copied()
    }

    /// Whether the job at a position is the first of its subqueue.
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
        self.job_count
    }
}
