//! The operators' document: teams, kinds of work and the shift calendar.

use std::collections::BTreeSet;
use std::fmt;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::Class;
use crate::Job;
use crate::JobId;
use crate::JobRequest;
use crate::Name;
use crate::Resources;
use crate::Shift;
use crate::TeamId;
use crate::Urgency;

/// What operators edit: one validated document for the whole cell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Teams that may submit work.
    pub teams: Vec<Team>,
    /// Kinds of work.
    pub kinds: Vec<Kind>,
    /// Shift calendar.
    #[serde(default)]
    pub shifts: Vec<Shift>,
}

/// A team with its share and its limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Unique name.
    pub name: TeamId,
    /// Weight when the cell is full, relative to the other teams; at least 1.
    pub share: u32,
    /// Upper limit on what the team may have running in the whole cell.
    pub limit: Resources,
    /// Upper limit on calls in flight per VM.
    #[serde(default = "default_calls")]
    pub calls: u32,
}

fn default_calls() -> u32 {
    256
}

/// A kind of work, which gives jobs their defaults.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Unique name.
    pub name: Name,
    /// Placement policy.
    pub class: Class,
    /// How soon its jobs must start.
    #[serde(default)]
    pub urgency: Urgency,
    /// Number of tasks of a job.
    #[serde(default = "default_tasks")]
    pub tasks: u32,
    /// What each task needs.
    pub need: Resources,
    /// Expected run time of a task in milliseconds; 0 for services.
    #[serde(default)]
    pub runtime_ms: u64,
    /// Retries of a failed task.
    #[serde(default = "default_retries")]
    pub retries: u32,
    /// Whether a task that may have run may be run again.
    #[serde(default = "default_repeat")]
    pub repeat: bool,
    /// Shift by whose start its jobs must be done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shift: Option<Name>,
    /// Team charged for jobs of this kind that are submitted without a key; absent when a key is required.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub open: Option<TeamId>,
}

fn default_tasks() -> u32 {
    1
}

fn default_retries() -> u32 {
    3
}

fn default_repeat() -> bool {
    true
}

/// One fault of a document or a job, with the path of the field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValidationError {
    /// Path of the field, such as `teams[2].share`.
    pub path: String,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// Most tasks in one job.
const MAX_TASKS: u32 = 10_000;
/// Most bytes in a job name.
const MAX_JOB_NAME: usize = 128;
/// Most bytes in a job's serialised payload.
const MAX_PAYLOAD: usize = 16 * 1024;
/// Most teams in one document.
const MAX_TEAMS: usize = 256;
/// Most kinds of work in one document.
const MAX_KINDS: usize = 1_024;

impl Document {
    /// All faults of the document; empty when it may be applied.
    pub fn validate(&self) -> Vec<ValidationError> {
        let mut found = Vec::new();
        let mut add = |path: String, message: &str| {
            found.push(ValidationError {
                path,
                message: message.to_owned(),
            });
        };
        if self.teams.len() > MAX_TEAMS {
            add("teams".to_owned(), "at most 256 teams are allowed");
        }
        if self.kinds.len() > MAX_KINDS {
            add("kinds".to_owned(), "at most 1024 kinds are allowed");
        }
        let mut names = BTreeSet::new();
        for (i, team) in self.teams.iter().enumerate() {
            if !names.insert(team.name.0) {
                add(format!("teams[{i}].name"), "another team has this name");
            }
            if team.share == 0 {
                add(format!("teams[{i}].share"), "a share is at least 1");
            }
            if team.calls == 0 {
                add(
                    format!("teams[{i}].calls"),
                    "at least 1 call must be allowed",
                );
            }
        }
        names.clear();
        for (i, kind) in self.kinds.iter().enumerate() {
            if !names.insert(kind.name) {
                add(format!("kinds[{i}].name"), "another kind has this name");
            }
            if kind.tasks == 0 || kind.tasks > MAX_TASKS {
                add(format!("kinds[{i}].tasks"), "a job has 1 to 10000 tasks");
            }
            if kind.need == Resources::ZERO {
                add(
                    format!("kinds[{i}].need"),
                    "a task needs some processor, memory or accelerator",
                );
            }
            if kind.class == Class::Service && kind.runtime_ms != 0 {
                add(
                    format!("kinds[{i}].runtime_ms"),
                    "a service has no run time; leave it out",
                );
            }
            if let Some(team) = kind.open
                && self.team(team).is_none()
            {
                add(format!("kinds[{i}].open"), "no team has this name");
            }
            if let Some(shift) = kind.shift
                && !self.shifts.iter().any(|s| s.name == shift)
            {
                add(format!("kinds[{i}].shift"), "no shift has this name");
            }
        }
        names.clear();
        for (i, shift) in self.shifts.iter().enumerate() {
            if !names.insert(shift.name) {
                add(format!("shifts[{i}].name"), "another shift has this name");
            }
            if let Err(e) = shift.next_start(0) {
                add(format!("shifts[{i}]"), &e);
            }
        }
        found
    }

    /// JSON Schema of a document, from which forms are built.
    pub fn schema() -> serde_json::Value {
        schemars::schema_for!(Self).to_value()
    }

    /// The team called `id`.
    pub fn team(&self, id: TeamId) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == id)
    }

    /// The kind called `name`.
    pub fn kind(&self, name: Name) -> Option<&Kind> {
        self.kinds.iter().find(|k| k.name == name)
    }

    /// Fills a submission in from its kind.
    ///
    /// `now_ms` is the time of acceptance in milliseconds since the Unix epoch; `domain` is the
    /// failure domain that gets the job unless it is pinned.
    ///
    /// # Errors
    ///
    /// Returns every [`ValidationError`] of the submission.
    pub fn resolve(
        &self,
        team: TeamId,
        req: &JobRequest,
        domain: crate::DomainId,
        now_ms: i64,
    ) -> Result<Job, Vec<ValidationError>> {
        let mut found = Vec::new();
        let mut add = |path: &str, message: String| {
            found.push(ValidationError {
                path: path.to_owned(),
                message,
            });
        };
        if req.name.is_empty() || req.name.len() > MAX_JOB_NAME {
            add("name", format!("a job name has 1 to {MAX_JOB_NAME} bytes"));
        }
        if req.name.chars().any(char::is_control) {
            add("name", "a job name has no control characters".to_owned());
        }
        if self.team(team).is_none() {
            add("team", format!("the document has no team {team}"));
        }
        if req.payload.to_string().len() > MAX_PAYLOAD {
            add(
                "payload",
                format!("a payload has at most {MAX_PAYLOAD} bytes"),
            );
        }
        if req.tasks.is_some_and(|n| n == 0 || n > MAX_TASKS) {
            add("tasks", format!("a job has 1 to {MAX_TASKS} tasks"));
        }
        if req.need == Some(Resources::ZERO) {
            add(
                "need",
                "a task needs some processor, memory or accelerator".to_owned(),
            );
        }
        let Some(kind) = self.kind(req.kind) else {
            add("kind", format!("the document has no kind {}", req.kind));
            return Err(found);
        };
        if kind.class == Class::Service {
            if let Err(e) = Name::new(&req.name) {
                add("name", format!("callers address a service by it: {e}"));
            }
            if req.runtime_ms.is_some_and(|ms| ms != 0) {
                add(
                    "runtime_ms",
                    "a service has no run time; leave it out".to_owned(),
                );
            }
        }
        let shift = req.shift.or(kind.shift);
        let mut due_ms = None;
        if let Some(name) = shift {
            match self.shifts.iter().find(|s| s.name == name) {
                Some(s) => due_ms = s.next_start(now_ms).ok(),
                None => add("shift", format!("the document has no shift {name}")),
            }
        }
        if !found.is_empty() {
            return Err(found);
        }
        Ok(Job {
            id: JobId::of(team, &req.name),
            team,
            name: req.name.clone(),
            kind: kind.name,
            class: kind.class,
            urgency: kind.urgency,
            tasks: req.tasks.unwrap_or(kind.tasks),
            need: req.need.unwrap_or(kind.need),
            runtime_ms: req.runtime_ms.unwrap_or(kind.runtime_ms),
            retries: kind.retries,
            repeat: req.repeat.unwrap_or(kind.repeat),
            due_ms,
            accepted_ms: now_ms,
            pinned: req.domain.is_some(),
            domain: req.domain.unwrap_or(domain),
            payload: req.payload.clone(),
        })
    }
}
