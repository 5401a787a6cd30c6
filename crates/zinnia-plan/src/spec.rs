//! What a caller submits: a job of steps, each of which has tasks of one size.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::JobId;

/// An amount of each resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub cpu: u64,
    /// Memory in megabytes.
    pub mem: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl Resources {
    /// Whether `need` fits into this room.
    pub fn fits(&self, need: &Self) -> bool {
        need.cpu <= self.cpu && need.mem <= self.mem && need.gpu <= self.gpu
    }

    /// The sum of both.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            mem: self.mem.saturating_add(other.mem),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }

    /// What is left without `other`, at least nothing.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem: self.mem.saturating_sub(other.mem),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }
}

/// One step: `count` equal tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// What each task needs.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// The submitter's rough estimate of a task's run time.
    #[serde(skip_serializing_if = "is_default")]
    pub estimate_ms: u64,
    /// Numbers of earlier steps of which all tasks have to be done first.
    #[serde(rename = "after", skip_serializing_if = "is_default")]
    pub depends_on: Vec<usize>,
    /// Whether tasks save their progress.
    #[serde(rename = "saves", skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// Whether the tasks work only together.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether a gang is slower when it runs in more than one rack.
    #[serde(skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// Label that a worker has to have.
    #[serde(skip_serializing_if = "is_default")]
    pub label: String,
    /// Rack that holds the data; tasks run slower elsewhere.
    #[serde(skip_serializing_if = "is_default")]
    pub data_rack: String,
    /// Most tasks of the step on one worker; 0 for no bound.
    #[serde(skip_serializing_if = "is_default")]
    pub per_worker: u32,
    /// Whether tasks run until the job is cancelled.
    #[serde(rename = "lasting", skip_serializing_if = "is_default")]
    pub long_running: bool,
    /// What the tasks run; tasks with the same image behave alike.
    #[serde(skip_serializing_if = "is_default")]
    pub image: String,
    /// Bound of the response times of tasks that serve; 0 for tasks that do not serve.
    #[serde(skip_serializing_if = "is_default")]
    pub target_ms: u64,
    /// Whether the tasks use only processor time that others leave.
    #[serde(rename = "fills", skip_serializing_if = "is_default")]
    pub best_effort: bool,
    /// Most tasks of a lasting step that the scheduler may make unavailable at the same time.
    #[serde(rename = "may_miss", skip_serializing_if = "is_default")]
    pub max_unavailable: u32,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

impl Step {
    /// Most tasks of the step on one worker.
    pub(crate) fn most_beside(&self) -> u32 {
        match self.per_worker {
            0 => u32::MAX,
            n => n,
        }
    }

    /// Whether its tasks serve users of their own.
    pub(crate) fn is_service(&self) -> bool {
        self.target_ms > 0
    }

    /// What a task takes from its worker's room; a task that fills takes no processor time.
    pub fn charge(&self) -> Resources {
        let cpu = if self.best_effort {
            0
        } else {
            self.resources.cpu
        };
        Resources {
            cpu,
            ..self.resources
        }
    }
}

/// Repeated rounds of the same steps at fixed times.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// Number of rounds.
    pub count: u32,
    /// When the first is due, in milliseconds since the Unix epoch.
    pub first_ms: i64,
    /// Time between two rounds.
    pub interval_ms: i64,
}

/// A job as submitted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Text that workers get with each task.
    pub text: String,
    /// Steps.
    pub steps: Vec<Step>,
    /// Rounds at fixed times; a job without them has one round that is due at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeat: Option<Repeat>,
}

impl JobSpec {
    /// Most tasks of one job.
    const MAX_TASKS: u64 = 100_000;

    /// What makes the job impossible to run as described, if anything.
    pub fn find_error(&self) -> Option<String> {
        if self.steps.is_empty() {
            return Some("a job has at least one step".to_owned());
        }
        let mut tasks = 0;
        for (i, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Some(format!("step {i} has no tasks"));
            }
            if let Some(bad) = step.depends_on.iter().find(|&&a| a >= i) {
                return Some(format!(
                    "step {i} depends on step {bad}, which is not before it"
                ));
            }
            tasks += u64::from(step.count);
        }
        let rounds = self
            .repeat
            .as_ref()
            .map_or(1, |r| u64::from(r.count.max(1)));
        (tasks.saturating_mul(rounds) > Self::MAX_TASKS)
            .then(|| format!("a job has at most {} tasks", Self::MAX_TASKS))
    }
}

/// Names one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(JobId, u32, u32, u32)", into = "(JobId, u32, u32, u32)")]
pub struct TaskId {
    /// Job.
    pub job: JobId,
    /// Round, from 0.
    pub round: u32,
    /// Step, from 0.
    pub step: u32,
    /// Number within the step, from 0.
    pub index: u32,
}

impl From<(JobId, u32, u32, u32)> for TaskId {
    fn from((job, round, step, index): (JobId, u32, u32, u32)) -> Self {
        Self {
            job,
            round,
            step,
            index,
        }
    }
}

impl From<TaskId> for (JobId, u32, u32, u32) {
    fn from(id: TaskId) -> Self {
        (id.job, id.round, id.step, id.index)
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{}.{}.{}",
            self.job, self.round, self.step, self.index
        )
    }
}

/// The text names no task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadTaskId;

impl FromStr for TaskId {
    type Err = BadTaskId;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('.');
        let job = parts.next().and_then(|p| p.parse().ok());
        let mut number = || parts.next().and_then(|p| p.parse::<u32>().ok());
        let (round, step, index) = (number(), number(), number());
        match (job, round, step, index, parts.next()) {
            (Some(job), Some(round), Some(step), Some(index), None) => Ok(Self {
                job,
                round,
                step,
                index,
            }),
            _ => Err(BadTaskId),
        }
    }
}

/// Names a step of one round of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepId {
    /// Job.
    pub job: JobId,
    /// Round, from 0.
    pub round: u32,
    /// Step, from 0.
    pub step: u32,
}

impl From<TaskId> for StepId {
    fn from(task: TaskId) -> Self {
        Self {
            job: task.job,
            round: task.round,
            step: task.step,
        }
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.round, self.step)
    }
}
