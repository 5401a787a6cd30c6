//! Jobs and their tasks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use zinnia_types::AttemptId;
use zinnia_types::Class;
use zinnia_types::Job;
use zinnia_types::Outcome;
use zinnia_types::RackId;
use zinnia_types::Time;

use crate::queue::QueuePosition;
use crate::queue::SubqueueKey;

/// Where a task stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskPhase {
    /// It may be running on a worker that has not reported since the takeover.
    Unconfirmed,
    /// It may be started.
    Ready,
    /// Its current attempt may be running.
    Assigned(AttemptId),
    /// It waits for its next retry, or for the end of another attempt.
    Waiting,
    /// It ended well.
    Done,
    /// It failed for good.
    Failed,
    /// It must not be repeated and may have run.
    Unknown,
}

/// One task of a job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TaskEntry {
    pub(crate) phase: TaskPhase,
    /// Whether its dispatch is recorded in the log.
    pub(crate) dispatch_recorded: bool,
    pub(crate) failures: u32,
    /// Attempts of it that may be running.
    pub(crate) live_attempts: u32,
}

/// A job that has not ended.
#[derive(Debug)]
pub(crate) struct JobState {
    pub(crate) job: Job,
    pub(crate) team: usize,
    pub(crate) seq: u64,
    pub(crate) tasks: Vec<TaskEntry>,
    /// Tasks in phase `Ready`.
    pub(crate) ready_tasks: BTreeSet<u32>,
    /// Attempts that may be running.
    pub(crate) live_attempts: u32,
    /// Tasks in a final phase.
    pub(crate) ended_tasks: u32,
    pub(crate) unknown_tasks: u32,
    /// Why a task failed for good.
    pub(crate) failure: Option<String>,
    /// Its outcome, once decided; it ends when nothing of it runs any more.
    pub(crate) outcome: Option<Outcome>,
    /// Where it is queued, and how many of its tasks are counted as queued.
    pub(crate) queue_position: Option<(SubqueueKey, QueuePosition)>,
    pub(crate) queued_tasks: u64,
    /// Workers on which it failed.
    pub(crate) failed_workers: Vec<usize>,
    /// Whether any of its tasks ended well.
    pub(crate) any_succeeded: bool,
    /// Running tasks per rack, for services.
    pub(crate) rack_counts: BTreeMap<RackId, u32>,
    /// Until when room is being made for it, so that it is not made twice.
    pub(crate) preempting_until: Time,
    /// Since when it has been first in its queue without fitting anywhere.
    pub(crate) blocked_since: Option<Time>,
    /// When a gang that did not fit is next tried.
    pub(crate) retry_at: Time,
    /// Whether it can no longer be in time.
    pub(crate) late: bool,
    /// Whether it was accepted after the takeover, so that nothing of it can be running.
    pub(crate) post_takeover: bool,
}

impl JobState {
    /// A job of which it is not yet known what may be running. `fresh` says that it was accepted
    /// after the takeover.
    pub(crate) fn new(job: Job, team: usize, seq: u64, fresh: bool) -> Self {
        let slot = TaskEntry {
            phase: TaskPhase::Unconfirmed,
            dispatch_recorded: false,
            failures: 0,
            live_attempts: 0,
        };
        Self {
            tasks: vec![slot; job.tasks as usize],
            job,
            team,
            seq,
            ready_tasks: BTreeSet::new(),
            live_attempts: 0,
            ended_tasks: 0,
            unknown_tasks: 0,
            failure: None,
            outcome: None,
            queue_position: None,
            queued_tasks: 0,
            failed_workers: Vec::new(),
            any_succeeded: false,
            rack_counts: BTreeMap::new(),
            preempting_until: Time(0),
            blocked_since: None,
            retry_at: Time(0),
            late: false,
            post_takeover: fresh,
        }
    }

    /// Moves a task into another phase and keeps the counts.
    pub(crate) fn set_phase(&mut self, task: u32, phase: TaskPhase) {
        let Some(slot) = self.tasks.get_mut(task as usize) else {
            return;
        };
        let is_final =
            |p: TaskPhase| matches!(p, TaskPhase::Done | TaskPhase::Failed | TaskPhase::Unknown);
        if is_final(slot.phase) {
            return;
        }
        slot.phase = phase;
        if phase == TaskPhase::Ready {
            self.ready_tasks.insert(task);
        } else {
            self.ready_tasks.remove(&task);
        }
        if is_final(phase) {
            self.ended_tasks += 1;
        }
        if phase == TaskPhase::Unknown {
            self.unknown_tasks += 1;
        }
    }

    pub(crate) fn phase(&self, task: u32) -> Option<TaskPhase> {
        self.tasks.get(task as usize).map(|t| t.phase)
    }

    /// Whether it may be queued: some task is ready, and a gang can start as a whole.
    pub(crate) fn can_start(&self) -> bool {
        if self.outcome.is_some() || self.ready_tasks.is_empty() {
            return false;
        }
        if self.job.class != Class::Gang {
            return true;
        }
        let open = self.job.tasks - self.ended_tasks;
        // What must not be repeated cannot be stopped to start again, so the rest of such a gang
        // joins the tasks that run.
        self.ready_tasks.len() as u32 == open || !self.job.repeat && self.none_waiting()
    }

    fn none_waiting(&self) -> bool {
        let waits = |t: &TaskEntry| matches!(t.phase, TaskPhase::Waiting | TaskPhase::Unconfirmed);
        !self.tasks.iter().any(waits)
    }

    /// Tasks of a gang that start together; 1 for other classes.
    pub(crate) fn start_count(&self) -> u64 {
        if self.job.class == Class::Gang {
            self.ready_tasks.len() as u64
        } else {
            1
        }
    }

    /// The outcome, if every task has ended.
    pub(crate) fn final_outcome(&self) -> Option<Outcome> {
        if self.ended_tasks < self.job.tasks {
            return None;
        }
        if self.unknown_tasks > 0 {
            let why = format!(
                "{} of {} tasks were lost while they may have run",
                self.unknown_tasks, self.job.tasks
            );
            return Some(Outcome::Unknown { why });
        }
        match &self.failure {
            Some(why) => Some(Outcome::Failed { why: why.clone() }),
            None => Some(Outcome::Done),
        }
    }
}
