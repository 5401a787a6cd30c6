//! Simulated worker, and the messages in the simulated cluster.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use zinnia_sched::Event;
use zinnia_sched::StartRefusal;
use zinnia_types::AttemptId;
use zinnia_types::JobId;
use zinnia_types::Resources;
use zinnia_types::WorkerId;
use zinnia_types::worker::AttemptEnd;
use zinnia_types::worker::AttemptReport;
use zinnia_types::worker::Task;
use zinnia_types::worker::TaskState;
use zinnia_types::worker::WorkerProfile;

/// A worker that follows the protocol: it refuses commands under older epochs, fences itself when
/// its lease expires, and keeps tombstones.
#[derive(Clone, Debug)]
pub(crate) struct SimWorker {
    pub(crate) profile: WorkerProfile,
    pub(crate) epoch: u64,
    pub(crate) running: BTreeMap<AttemptId, Task>,
    /// Ends of its attempts.
    pub(crate) ends: BTreeMap<AttemptId, AttemptEnd>,
    /// Attempts that it refuses for good.
    pub(crate) tombstones: BTreeSet<AttemptId>,
    /// Whether it has no owner and refuses every command until its next announcement.
    pub(crate) fenced: bool,
    pub(crate) leaving: bool,
}

/// A message in flight.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    /// Commands to a worker under an epoch.
    Start(WorkerId, u64, AttemptId, Box<Task>),
    Stop(WorkerId, u64, AttemptId, bool),
    Refuse(WorkerId, u64, AttemptId),
    Throttle(WorkerId, u64, AttemptId, u64),
    /// Proposal to record dispatched tasks in the log.
    Record(JobId, Vec<u32>),
    /// Event for the scheduler.
    Event(Event),
}

impl Message {
    /// Worker to which the message is sent.
    pub(crate) fn target(&self) -> Option<WorkerId> {
        match self {
            Self::Start(w, ..) | Self::Stop(w, ..) | Self::Refuse(w, ..) => Some(*w),
            Self::Throttle(w, ..) => Some(*w),
            Self::Record(..) | Self::Event(_) => None,
        }
    }
}

impl SimWorker {
    pub(crate) fn start(&mut self, epoch: u64, attempt: AttemptId, task: Task) -> Event {
        let refused = |reason| Event::Refused { attempt, reason };
        if self.fenced || epoch != self.epoch {
            return refused(StartRefusal::StaleEpoch);
        }
        if self.tombstones.contains(&attempt) {
            return refused(StartRefusal::Tombstone);
        }
        if self.running.contains_key(&attempt) || self.ends.contains_key(&attempt) {
            return Event::Started { attempt };
        }
        // A refused start is refused for good.
        if self.leaving {
            self.tombstones.insert(attempt);
            return refused(StartRefusal::Leaving);
        }
        let free = self.profile.capacity.saturating_sub(&self.used());
        assert!(task.need.fits(&free), "P1: {attempt} overfills its worker");
        self.running.insert(attempt, task);
        Event::Started { attempt }
    }

    /// Stops an attempt and returns its end, or `None` in place of the end if it never ran. Returns
    /// an outer `None` if the command is from an older owner.
    pub(crate) fn stop(
        &mut self,
        epoch: u64,
        attempt: AttemptId,
        checkpoint: bool,
    ) -> Option<Option<AttemptEnd>> {
        if self.fenced || epoch != self.epoch {
            return None;
        }
        if self.running.remove(&attempt).is_some() {
            self.ends
                .insert(attempt, AttemptEnd::Stopped { checkpoint });
        }
        self.tombstones.insert(attempt);
        Some(self.ends.get(&attempt).cloned())
    }

    pub(crate) fn used(&self) -> Resources {
        let add = |sum: Resources, t: &Task| sum + t.need;
        self.running.values().fold(Resources::ZERO, add)
    }

    pub(crate) fn throttle(&mut self, attempt: &AttemptId, cpu: u64) -> bool {
        let Some(task) = self.running.get_mut(attempt) else {
            return false;
        };
        task.need.cpu = cpu;
        true
    }

    pub(crate) fn reports(&self) -> Vec<AttemptReport> {
        let running = self.running.iter().map(|(id, task)| AttemptReport {
            attempt: *id,
            state: TaskState::Running {
                task: Box::new(task.clone()),
                usage: Resources::ZERO,
            },
        });
        let ended = self.ends.iter().map(|(id, end)| AttemptReport {
            attempt: *id,
            state: TaskState::Ended { end: end.clone() },
        });
        let refused = self
            .tombstones
            .iter()
            .filter(|t| !self.ends.contains_key(t));
        let refused = refused.map(|id| AttemptReport {
            attempt: *id,
            state: TaskState::Refused,
        });
        running.chain(ended).chain(refused).collect()
    }
}
