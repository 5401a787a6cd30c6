//! Running attempts, and ended attempts that the owner has not recorded durably.

use std::collections::BTreeMap;

use zinnia_types::AttemptId;
use zinnia_types::Resources;
use zinnia_types::Time;
use zinnia_types::worker::AttemptEnd;
use zinnia_types::worker::Task;
use zinnia_types::worker::TaskState;

/// A task that runs or is stopping and still holds its resources.
#[derive(Clone, Debug)]
pub(crate) struct RunningTask {
    pub(crate) task: Box<Task>,
    /// Last reported usage; equal to the need before the first report.
    pub(crate) usage: Resources,
    /// When `usage` last changed.
    pub(crate) usage_time: Time,
    pub(crate) stopping: Option<StopReason>,
}

/// Why a task is stopping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopReason {
    /// On a command of the owner.
    Command,
    /// The task lease expired.
    Fenced,
}

/// An ended task. It is kept until the owner has recorded its end durably.
#[derive(Clone, Debug)]
pub(crate) struct EndedTask {
    pub(crate) end: AttemptEnd,
    /// Start of the interval after which the end is reported again: when the task ended, or when an
    /// owner last acknowledged the end.
    pub(crate) resend_from: Time,
}

/// Attempts of a worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tasks {
    pub(crate) running: BTreeMap<AttemptId, RunningTask>,
    pub(crate) ended: BTreeMap<AttemptId, EndedTask>,
}

impl Tasks {
    /// Resources allocated to running tasks. A stopping task holds its resources until it exits.
    pub(crate) fn allocated(&self) -> Resources {
        let needs = self.running.values().map(|r| r.task.need);
        needs.fold(Resources::ZERO, |sum, need| sum + need)
    }

    pub(crate) fn start(&mut self, attempt: AttemptId, task: Box<Task>, now: Time) {
        let usage = task.need;
        self.running.insert(
            attempt,
            RunningTask {
                task,
                usage,
                usage_time: now,
                stopping: None,
            },
        );
    }

    /// Moves an attempt from running to ended. Returns false if it did not run.
    pub(crate) fn record_exit(&mut self, attempt: AttemptId, end: AttemptEnd, now: Time) -> bool {
        let Some(run) = self.running.remove(&attempt) else {
            return false;
        };
        // After the task lease expired, the task may already run on another worker. The result of
        // this attempt must not count then.
        let end = match run.stopping {
            Some(StopReason::Fenced) => AttemptEnd::Fenced,
            _ => end,
        };
        self.ended.insert(
            attempt,
            EndedTask {
                end,
                resend_from: now,
            },
        );
        true
    }

    /// Marks all running tasks as fenced and returns those that were not fenced before.
    pub(crate) fn fence_all(&mut self) -> Vec<AttemptId> {
        let mut fenced = Vec::new();
        for (attempt, run) in &mut self.running {
            if run.stopping != Some(StopReason::Fenced) {
                run.stopping = Some(StopReason::Fenced);
                fenced.push(*attempt);
            }
        }
        fenced
    }

    /// State of an attempt for a report; `None` if it neither runs nor has ended here.
    pub(crate) fn report_state(&self, attempt: AttemptId) -> Option<TaskState> {
        if let Some(run) = self.running.get(&attempt) {
            return Some(TaskState::Running {
                task: run.task.clone(),
                usage: run.usage,
            });
        }
        let ended = self.ended.get(&attempt)?;
        Some(TaskState::Ended {
            end: ended.end.clone(),
        })
    }
}
