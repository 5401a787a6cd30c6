//! A job and the state of its tasks.

use serde::Deserialize;
use serde::Serialize;

use crate::JobSpec;
use crate::Step;

/// Where a job stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// Not at its end.
    #[default]
    Open,
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

/// One task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Task {
    /// Number of the latest run; 0 before the first.
    #[serde(rename = "r")]
    pub run: u32,
    /// Runs that failed.
    #[serde(rename = "f", skip_serializing_if = "is_zero")]
    pub failures: u32,
    /// Worker on which the latest run may be.
    #[serde(rename = "w", skip_serializing_if = "Option::is_none")]
    pub worker: Option<String>,
    /// Whether the task is complete.
    #[serde(rename = "d", skip_serializing_if = "std::ops::Not::not")]
    pub done: bool,
    /// Saved progress; empty for none.
    #[serde(rename = "s", skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
    /// Worker on which the latest run failed.
    #[serde(rename = "x", skip_serializing_if = "String::is_empty")]
    pub failed_on: String,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
fn is_zero(n: &u32) -> bool {
    *n == 0
}

/// State of one step in one round.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepState {
    /// Tasks.
    pub tasks: Vec<Task>,
    /// Tasks that are complete; a gang is complete as a whole.
    pub done: u32,
    /// Tasks that have a worker.
    pub placed: u32,
    /// Runs of the gang that failed.
    pub failures: u32,
    /// Latest run of the gang that counted as failed.
    pub failed_run: u32,
}

impl StepState {
    /// Whether all tasks are complete.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Tasks that are neither complete nor on a worker.
    pub fn waiting(&self) -> usize {
        self.tasks
            .iter()
            .filter(|t| !t.done && t.worker.is_none())
            .count()
    }
}

/// A job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Queue.
    pub queue: String,
    /// Team; empty for a public queue without a key.
    pub team: String,
    /// What was submitted; emptied once the job is at its end.
    pub spec: JobSpec,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: i64,
    /// Where it stands.
    pub status: Status,
    /// When it came to its end.
    pub ended_ms: i64,
    /// Whether a task was started.
    pub begun: bool,
    /// Tasks on workers, those of ended jobs included.
    pub placed: u32,
    /// Steps of each round.
    pub rounds: Vec<Vec<StepState>>,
}

impl Job {
    /// An accepted job.
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

    /// When a round is due, in milliseconds since the Unix epoch.
    pub fn due_ms(&self, round: u32) -> i64 {
        match &self.spec.repeat {
            Some(r) => r.first_ms + i64::from(round) * r.interval_ms,
            None => self.accepted_ms,
        }
    }

    /// Whether all steps that `step` depends on are complete.
    pub fn is_ready(&self, round: u32, step: u32) -> bool {
        let spec = self.spec.steps.get(step as usize);
        let (Some(spec), Some(states)) = (spec, self.rounds.get(round as usize)) else {
            return false;
        };
        spec.depends_on
            .iter()
            .all(|&a| states.get(a).is_some_and(StepState::is_done))
    }

    /// Whether the job may end soon: all that is left of it is on workers, and none of it lasts.
    pub fn is_closing(&self) -> bool {
        let on_way = |s: &StepState| (s.done + s.placed) as usize >= s.tasks.len();
        self.status == Status::Open
            && !self.spec.steps.iter().any(|s| s.long_running)
            && self.rounds.iter().flatten().all(on_way)
    }

    /// Whether every task of every round is complete.
    pub fn is_complete(&self) -> bool {
        self.rounds.iter().flatten().all(StepState::is_done)
    }
}
