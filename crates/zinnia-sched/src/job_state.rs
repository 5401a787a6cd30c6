//! State of jobs and their tasks.

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

/// Phase of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskPhase {
    /// It may be running on a worker that has not reported since the takeover.
    Unconfirmed,
    /// It can be started.
    Ready,
    /// It is assigned to this attempt, which may be running.
    Assigned(AttemptId),
    /// It waits for its retry delay, or for the end of an earlier attempt.
    Waiting,
    /// It succeeded.
    Done,
    /// It failed and is not retried.
    Failed,
    /// It may have run, its result was lost, and it must not be repeated.
    Unknown,
}

/// State of one task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TaskEntry {
    pub(crate) phase: TaskPhase,
    /// Whether the log records its dispatch.
    pub(crate) dispatch_recorded: bool,
    /// Failed attempts that count against the retries of the job.
    pub(crate) failures: u32,
    /// Attempts that may be running.
    pub(crate) live_attempts: u32,
}

/// State of a job that has not ended.
#[derive(Debug)]
pub(crate) struct JobState {
    pub(crate) job: Job,
    /// Slot of its team.
    pub(crate) team: usize,
    /// Sequence number of its submission.
    pub(crate) seq: u64,
    pub(crate) tasks: Vec<TaskEntry>,
    /// Tasks in the phase `Ready`.
    pub(crate) ready_tasks: BTreeSet<u32>,
    /// Attempts of all tasks that may be running.
    pub(crate) live_attempts: u32,
    /// Tasks in a final phase.
    pub(crate) ended_tasks: u32,
    /// Tasks in the phase `Unknown`.
    pub(crate) unknown_tasks: u32,
    /// Why a task failed, if one failed and is not retried.
    pub(crate) failure: Option<String>,
    /// Outcome, once decided. The job ends when none of its attempts may be running.
    pub(crate) outcome: Option<Outcome>,
    /// Subqueue and position at which it is queued.
    pub(crate) queue_position: Option<(SubqueueKey, QueuePosition)>,
    /// Tasks that are counted in the queued need of its team.
    pub(crate) queued_tasks: u64,
    /// Slots of the workers on which its tasks failed.
    pub(crate) failed_workers: Vec<usize>,
    /// Whether any of its tasks succeeded.
    pub(crate) any_succeeded: bool,
    /// Number of live attempts on each rack; counted for services only.
    pub(crate) rack_counts: BTreeMap<RackId, u32>,
    /// Time until which preemption for this job is in progress, so that it is not requested twice.
    pub(crate) preempting_until: Time,
    /// Time since which it has been first in its subqueue and fits no worker.
    pub(crate) blocked_since: Option<Time>,
    /// Time of the next placement attempt of a gang that did not fit.
    pub(crate) retry_at: Time,
    /// Whether it can no longer meet its deadline.
    pub(crate) late: bool,
    /// Whether it was accepted after the takeover, so that no earlier attempt can be running.
    pub(crate) post_takeover: bool,
}

impl JobState {
    /// Creates the state of a job whose tasks are all unconfirmed. `post_takeover` tells that the
    /// job was accepted after the takeover.
    pub(crate) fn new(job: Job, team: usize, seq: u64, post_takeover: bool) -> Self {
        let entry = TaskEntry {
            phase: TaskPhase::Unconfirmed,
            dispatch_recorded: false,
            failures: 0,
            live_attempts: 0,
        };
        Self {
            tasks: vec![entry; job.tasks as usize],
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
            post_takeover,
        }
    }

    /// Changes the phase of a task and updates the counts. A final phase is never left.
    pub(crate) fn set_phase(&mut self, task: u32, phase: TaskPhase) {
        let Some(entry) = self.tasks.get_mut(task as usize) else {
            return;
        };
        let is_final =
            |p: TaskPhase| matches!(p, TaskPhase::Done | TaskPhase::Failed | TaskPhase::Unknown);
        if is_final(entry.phase) {
            return;
        }
        entry.phase = phase;
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

    /// Phase of a task, or `None` if the job has no such task.
    pub(crate) fn phase(&self, task: u32) -> Option<TaskPhase> {
        self.tasks.get(task as usize).map(|t| t.phase)
    }

    /// Whether the job can be queued: some task is ready, and a gang can start as a whole.
    pub(crate) fn can_start(&self) -> bool {
        if self.outcome.is_some() || self.ready_tasks.is_empty() {
            return false;
        }
        if self.job.class != Class::Gang {
            return true;
        }
        let unfinished = self.job.tasks - self.ended_tasks;
        // A gang that must not be repeated cannot be stopped and restarted as a whole, so its
        // remaining tasks are started while the others run.
        self.ready_tasks.len() as u32 == unfinished || !self.job.repeat && self.none_waiting()
    }

    /// Whether no task is waiting or unconfirmed.
    fn none_waiting(&self) -> bool {
        let is_waiting =
            |t: &TaskEntry| matches!(t.phase, TaskPhase::Waiting | TaskPhase::Unconfirmed);
        !self.tasks.iter().any(is_waiting)
    }

    /// Number of tasks that must start together: all ready tasks of a gang, 1 for other classes.
    pub(crate) fn start_count(&self) -> u64 {
        if self.job.class == Class::Gang {
            self.ready_tasks.len() as u64
        } else {
            1
        }
    }

    /// Outcome of the job, if every task has ended.
    pub(crate) fn final_outcome(&self) -> Option<Outcome> {
        if self.ended_tasks < self.job.tasks {
            return None;
        }
        if self.unknown_tasks > 0 {
            let why = format!(
                "{} of {} tasks may have run and their results were lost",
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
