//! Job descriptions as submitted, and the ids of tasks and steps.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::JobId;

/// Amounts of resources: a demand, a capacity or a usage.
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
    /// Whether the demand `need` fits into these resources.
    pub fn fits(&self, need: &Self) -> bool {
        need.cpu <= self.cpu && need.mem <= self.mem && need.gpu <= self.gpu
    }

    /// Returns the sum, limited to the range of the type.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            mem: self.mem.saturating_add(other.mem),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }

    /// Returns the difference; amounts do not become negative.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem: self.mem.saturating_sub(other.mem),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    /// How many times `need` fits in these resources.
    pub(crate) fn count_of(&self, need: &Self) -> u64 {
        let count = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
        count(self.cpu, need.cpu)
            .min(count(self.mem, need.mem))
            .min(count(self.gpu, need.gpu))
    }

    /// The smaller amount of each resource.
    pub(crate) fn min(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.min(other.cpu),
            mem: self.mem.min(other.mem),
            gpu: self.gpu.min(other.gpu),
        }
    }

    /// The larger amount of each resource.
    pub(crate) fn max(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            mem: self.mem.max(other.mem),
            gpu: self.gpu.max(other.gpu),
        }
    }

    /// Returns the resources of `count` tasks, limited to the range of the type.
    #[must_use]
    pub(crate) fn times(&self, count: u64) -> Self {
        Self {
            cpu: self.cpu.saturating_mul(count),
            mem: self.mem.saturating_mul(count),
            gpu: self.gpu.saturating_mul(count),
        }
    }
}

/// One step of a job: `count` tasks of the same kind.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resource demand of each task.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// Rough estimate of the run time of a task, given by the submitter.
    #[serde(skip_serializing_if = "is_default")]
    pub estimate_ms: u64,
    /// Indices of the earlier steps that must be complete before this one starts.
    #[serde(rename = "after", skip_serializing_if = "is_default")]
    pub depends_on: Vec<usize>,
    /// Whether tasks write checkpoints.
    #[serde(rename = "saves", skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// Whether the tasks form a gang: they start together and communicate while they run.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether a gang runs slower when its members are spread over several racks.
    #[serde(skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// Label that the worker must have; empty if any worker may run the tasks.
    #[serde(skip_serializing_if = "is_default")]
    pub label: String,
    /// Rack that holds the input data; tasks run slower in other racks.
    #[serde(skip_serializing_if = "is_default")]
    pub data_rack: String,
    /// Maximum number of tasks of the step on one worker; 0 means no limit.
    #[serde(skip_serializing_if = "is_default")]
    pub per_worker: u32,
    /// Whether tasks run until the job is cancelled.
    #[serde(rename = "lasting", skip_serializing_if = "is_default")]
    pub long_running: bool,
    /// Program image that the tasks run. Tasks with the same image behave alike.
    #[serde(skip_serializing_if = "is_default")]
    pub image: String,
    /// Response time target of tasks that serve user requests; 0 for all other tasks.
    #[serde(skip_serializing_if = "is_default")]
    pub target_ms: u64,
    /// Whether the tasks use only processor time that other tasks leave idle.
    #[serde(rename = "fills", skip_serializing_if = "is_default")]
    pub best_effort: bool,
    /// Maximum number of tasks of a long-running step that the scheduler may make unavailable at
    /// the same time.
    #[serde(rename = "may_miss", skip_serializing_if = "is_default")]
    pub max_unavailable: u32,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

impl Step {
    /// Maximum number of tasks of the step on one worker.
    pub(crate) fn max_per_worker(&self) -> u32 {
        match self.per_worker {
            0 => u32::MAX,
            n => n,
        }
    }

    /// Whether a worker that has this many tasks of the step may get another one.
    pub(crate) fn accepts_more(&self, count: Option<&u32>) -> bool {
        count.is_none_or(|n| *n < self.max_per_worker())
    }

    /// Whether the tasks serve user requests.
    pub(crate) fn is_service(&self) -> bool {
        self.target_ms > 0
    }

    /// Resources that a task takes from the capacity of its worker. A best-effort task takes no
    /// processor time.
    pub fn demand(&self) -> Resources {
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

/// Repetition of all steps of a job at fixed intervals.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// Number of rounds.
    pub count: u32,
    /// When the first round is due, in milliseconds since the Unix epoch.
    pub first_ms: i64,
    /// Time between the starts of two rounds.
    pub interval_ms: i64,
}

/// Description of a job as submitted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Job description for the workers, passed on with each task.
    pub text: String,
    /// Steps in order; a step depends only on earlier ones.
    pub steps: Vec<Step>,
    /// Repetition in rounds. A job without it has a single round that is due at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeat: Option<Repeat>,
}

impl JobSpec {
    /// Maximum number of tasks of a job over all rounds.
    const MAX_TASKS: u64 = 100_000;

    /// Estimated run time of the longest chain of dependent steps.
    pub fn estimate_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let ready = step.depends_on.iter().filter_map(|&d| ends.get(d)).max();
            let end = ready.copied().unwrap_or(0).saturating_add(step.estimate_ms);
            ends.push(end);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Bytes of the texts and lists of the description, which are kept until the job ends.
    pub fn text_bytes(&self) -> usize {
        let of_step = |s: &Step| {
            let lists = s.depends_on.len().saturating_mul(size_of::<usize>());
            let texts = s.label.len() + s.data_rack.len() + s.image.len();
            lists.saturating_add(texts)
        };
        let steps = self.steps.iter().map(of_step);
        steps.fold(self.text.len(), usize::saturating_add)
    }

    /// Returns why the job cannot run as described, or `None` if it can.
    pub fn find_error(&self) -> Option<String> {
        if self.steps.is_empty() {
            return Some("a job needs at least one step".to_owned());
        }
        let mut tasks = 0;
        for (i, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Some(format!("step {i} has no tasks"));
            }
            if let Some(bad) = step.depends_on.iter().find(|&&a| a >= i) {
                return Some(format!(
                    "step {i} depends on step {bad}, which does not come before it"
                ));
            }
            tasks += u64::from(step.count);
        }
        let rounds = self
            .repeat
            .as_ref()
            .map_or(1, |r| u64::from(r.count.max(1)));
        (tasks.saturating_mul(rounds) > Self::MAX_TASKS)
            .then(|| format!("a job may have at most {} tasks", Self::MAX_TASKS))
    }
}

/// Id of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(JobId, u32, u32, u32)", into = "(JobId, u32, u32, u32)")]
pub struct TaskId {
    /// Id of the job.
    pub job: JobId,
    /// Index of the round.
    pub round: u32,
    /// Index of the step.
    pub step: u32,
    /// Index of the task within the step.
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

/// The text is not a valid task id.
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

/// Id of a step in one round of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepId {
    /// Id of the job.
    pub job: JobId,
    /// Index of the round.
    pub round: u32,
    /// Index of the step.
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
