//! A job and the state of its tasks.

use serde::Deserialize;
use serde::Serialize;

use crate::JobSpec;
use crate::Queue;
use crate::Route;
use crate::Step;
use crate::late_order::LateOrder;

/// State of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// The job has not ended.
    #[default]
    Open,
    /// All tasks are complete.
    Completed,
    /// A task reached the limit of failed runs, or too many workers crashed under it.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

/// State of one task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Task {
    /// Number of the latest run; 0 before the first.
    #[serde(rename = "r")]
    pub run: u32,
    /// Number of failed runs.
    #[serde(rename = "f", skip_serializing_if = "is_default")]
    pub failures: u32,
    /// Worker to which the latest run is assigned, until the run has ended.
    #[serde(rename = "w", skip_serializing_if = "Option::is_none")]
    pub worker: Option<String>,
    /// When the assigned run was assigned, in milliseconds since the Unix epoch; 0 without one.
    #[serde(rename = "b", skip_serializing_if = "is_default")]
    pub started_ms: i64,
    /// Start time of the worker's incarnation that has carried out the start order of the assigned run;
    /// `None` if that is not known.
    #[serde(rename = "c", skip_serializing_if = "Option::is_none")]
    pub received: Option<i64>,
    /// Whether the task is complete.
    #[serde(rename = "d", skip_serializing_if = "std::ops::Not::not")]
    pub done: bool,
    /// Last checkpoint of a task that is no member of a gang; empty if there is none.
    #[serde(rename = "s", skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
    /// Worker on which the latest failed run was; empty if none failed.
    #[serde(rename = "x", skip_serializing_if = "String::is_empty")]
    pub failed_on: String,
    /// The latest start order that got no answer, if its run is not known to have begun.
    #[serde(rename = "l", skip_serializing_if = "Option::is_none")]
    pub(crate) late_order: Option<Box<LateOrder>>,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// State of one step in one round.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepState {
    /// Tasks of the step.
    pub tasks: Vec<Task>,
    /// Number of complete tasks. The tasks of a gang become complete together.
    pub done: u32,
    /// Number of tasks that are assigned to a worker.
    #[serde(rename = "placed")]
    pub assigned: u32,
    /// Number of failed runs of the gang.
    pub failures: u32,
    /// Number of the latest run of the gang that counted as failed. It keeps the failures of
    /// several members from counting more than once.
    pub failed_run: u32,
    /// Last checkpoint of a gang, which any member may store; empty if there is none.
    #[serde(rename = "saved", default, skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
}

impl StepState {
    /// Whether all tasks are complete.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Returns the number of tasks that are neither complete nor assigned to a worker.
    pub fn waiting(&self) -> usize {
        let settled = self.done as usize + self.assigned as usize;
        self.tasks.len().saturating_sub(settled)
    }
}

/// State of one job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Name of the queue at the submission.
    pub queue: String,
    /// Host and path prefix of the queue; `None` for a job that an earlier build accepted, until its queue is
    /// found by its name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub route: Option<Route>,
    /// Version of the document that admitted it; 0 if an earlier build did.
    #[serde(default)]
    pub version: u64,
    /// Name of the team; empty for a public queue without an API key.
    pub team: String,
    /// The submitted description; cleared once the job has ended and none of its tasks may run.
    pub spec: JobSpec,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: i64,
    /// State of the job.
    pub status: Status,
    /// When it ended, in milliseconds since the Unix epoch.
    pub ended_ms: i64,
    /// Whether any task of the job was ever assigned to a worker.
    pub begun: bool,
    /// Whether a worker has reported the end of a run of the job.
    #[serde(default)]
    pub ran: bool,
    /// Number of tasks that are assigned to workers, also after the end of the job.
    #[serde(rename = "placed")]
    pub assigned: u32,
    /// Step states of each round.
    pub rounds: Vec<Vec<StepState>>,
}

impl Job {
    /// Creates the state of a newly accepted job.
    pub fn new(queue: String, team: String, spec: JobSpec, accepted_ms: i64) -> Self {
        let count = spec.repeat.as_ref().map_or(1, |r| r.count.max(1));
        let step = |s: &Step| StepState {
            tasks: vec![Task::default(); s.count as usize],
            ..StepState::default()
        };
        let steps: Vec<StepState> = spec.steps.iter().map(step).collect();
        Self {
            queue,
            team,
            spec,
            accepted_ms,
            rounds: vec![steps; count as usize],
            ..Self::default()
        }
    }

    /// Whether the job belongs to a queue.
    pub fn is_of(&self, queue: &Queue) -> bool {
        match &self.route {
            Some(route) => queue.is_at(route),
            None => queue.name == self.queue,
        }
    }

    /// Whether a submission under the same id repeats the one of this job; `version` is that of the current
    /// document.
    ///
    /// A later document may have renamed the queue or moved the caller's key to another team. Then the
    /// description decides, or one of the two names once the description is cleared.
    pub(crate) fn is_same(&self, other: &Self, version: u64) -> bool {
        let same_route = self.route.is_some() && self.route == other.route;
        let same_queue = same_route || self.queue == other.queue;
        let same_team = self.team == other.team;
        if same_queue && same_team {
            return true;
        }
        let is_cleared = self.spec == JobSpec::default();
        let same_spec = self.spec == other.spec || is_cleared && (same_queue || same_team);
        self.version != version && same_spec
    }

    /// Returns when a round is due, in milliseconds since the Unix epoch.
    pub fn due_ms(&self, round: u32) -> i64 {
        match &self.spec.repeat {
            Some(r) => {
                let offset_ms = i64::from(round).saturating_mul(r.interval_ms);
                r.first_ms.saturating_add(offset_ms)
            }
            None => self.accepted_ms,
        }
    }

    /// Whether all dependencies of a step are complete.
    pub fn is_ready(&self, round: u32, step: u32) -> bool {
        let spec = self.spec.steps.get(step as usize);
        let (Some(spec), Some(states)) = (spec, self.rounds.get(round as usize)) else {
            return false;
        };
        spec.depends_on
            .iter()
            .all(|&a| states.get(a).is_some_and(StepState::is_done))
    }

    /// The steps of due rounds whose dependencies are complete.
    pub(crate) fn ready_steps(&self, wall_ms: i64) -> impl Iterator<Item = (&Step, &StepState)> {
        let rounds = (0..).zip(&self.rounds);
        let due = rounds.filter(move |(r, _)| self.due_ms(*r) <= wall_ms);
        due.flat_map(move |(r, states)| {
            let steps = (0..).zip(self.spec.steps.iter().zip(states));
            steps.filter_map(move |(s, step)| self.is_ready(r, s).then_some(step))
        })
    }

    /// Whether the job may end soon: every incomplete task is assigned to a worker, and no step is
    /// long-running.
    pub fn may_end_soon(&self) -> bool {
        let is_assigned = |s: &StepState| (s.done + s.assigned) as usize >= s.tasks.len();
        self.status == Status::Open
            && !self.spec.steps.iter().any(|s| s.long_running)
            && self.rounds.iter().flatten().all(is_assigned)
    }

    /// Whether every task of every round is complete.
    pub fn is_complete(&self) -> bool {
        // The last steps are usually complete last, so that the search from the end is short.
        self.rounds.iter().flatten().rev().all(StepState::is_done)
    }
}
