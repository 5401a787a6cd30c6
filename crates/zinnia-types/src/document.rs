//! The cell's configuration document, which operators edit: teams, kinds of work and the shift
//! calendar. Also fills in submitted jobs with the defaults of their kind.

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

/// Configuration of the cell: teams, kinds of work and shifts. Each edit becomes a new version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Teams that may submit jobs and calls; at most 256.
    pub teams: Vec<Team>,
    /// Kinds of work that jobs can refer to; at most 1024.
    pub kinds: Vec<Kind>,
    /// Shifts whose start can be the deadline of jobs.
    #[serde(default)]
    pub shifts: Vec<Shift>,
}

/// A team that submits work, with its fair share and its limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team, unique in the document.
    pub name: TeamId,
    /// Weight of the team in fair sharing, relative to the other teams, when the cell is full; at
    /// least 1.
    pub share: u32,
    /// Upper limit on the resources of all running tasks of the team in the whole cell.
    pub limit: Resources,
    /// Upper limit on the team's calls in flight on each VM; at least 1.
    #[serde(default = "default_call_limit")]
    pub calls: u32,
}

fn default_call_limit() -> u32 {
    256
}

/// A kind of work: the defaults for jobs that are submitted under its name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name of the kind, unique in the document.
    pub name: Name,
    /// Policy for placing tasks on workers.
    pub class: Class,
    /// How soon jobs of this kind must start.
    #[serde(default)]
    pub urgency: Urgency,
    /// Number of tasks in a job, from 1 to 10000.
    #[serde(default = "default_task_count")]
    pub tasks: u32,
    /// Resources that each task needs.
    pub need: Resources,
    /// Expected run time of a task in milliseconds; must be 0 or absent for services.
    #[serde(default)]
    pub runtime_ms: u64,
    /// Number of retries of a failed task before the job fails.
    #[serde(default = "default_retries")]
    pub retries: u32,
    /// Whether a task that may already have run may be run again. If false, a task runs at most
    /// once.
    #[serde(default = "default_repeat")]
    pub repeat: bool,
    /// Shift whose next start is the deadline of the job; absent for no deadline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shift: Option<Name>,
    /// Team that is charged for jobs of this kind submitted without an API key; absent if a key is
    /// required.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub open: Option<TeamId>,
}

fn default_task_count() -> u32 {
    1
}

fn default_retries() -> u32 {
    3
}

fn default_repeat() -> bool {
    true
}

/// An invalid field of a document or of a job submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValidationError {
    /// Path of the field, such as `teams[2].share`.
    pub path: String,
    /// What is wrong with the value, or which values are allowed.
    pub message: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// Maximum number of tasks in one job.
const MAX_TASKS: u32 = 10_000;
/// Maximum length of a job name in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Maximum size of a job's payload in bytes, serialised as JSON.
const MAX_PAYLOAD_BYTES: usize = 16 * 1024;
/// Maximum number of teams in one document.
const MAX_TEAMS: usize = 256;
/// Maximum number of kinds of work in one document.
const MAX_KINDS: usize = 1_024;

impl Document {
    /// Returns all invalid fields of the document. The document may be applied if there are none.
    pub fn validate(&self) -> Vec<ValidationError> {
        let mut errors = Vec::new();
        let mut reject = |path: String, message: &str| {
            errors.push(ValidationError {
                path,
                message: message.to_owned(),
            });
        };
        if self.teams.len() > MAX_TEAMS {
            reject("teams".to_owned(), "at most 256 teams are allowed");
        }
        if self.kinds.len() > MAX_KINDS {
            reject("kinds".to_owned(), "at most 1024 kinds are allowed");
        }
        let mut names = BTreeSet::new();
        for (i, team) in self.teams.iter().enumerate() {
            if !names.insert(team.name.0) {
                reject(
                    format!("teams[{i}].name"),
                    "the name is used by another team",
                );
            }
            if team.share == 0 {
                reject(format!("teams[{i}].share"), "a share is at least 1");
            }
            if team.calls == 0 {
                reject(
                    format!("teams[{i}].calls"),
                    "the limit on calls must be at least 1",
                );
            }
        }
        names.clear();
        for (i, kind) in self.kinds.iter().enumerate() {
            if !names.insert(kind.name) {
                reject(
                    format!("kinds[{i}].name"),
                    "the name is used by another kind",
                );
            }
            if kind.tasks == 0 || kind.tasks > MAX_TASKS {
                reject(
                    format!("kinds[{i}].tasks"),
                    "a job must have 1 to 10000 tasks",
                );
            }
            if kind.need == Resources::ZERO {
                reject(
                    format!("kinds[{i}].need"),
                    "at least one of cpu, mem and gpu must be above 0",
                );
            }
            if kind.class == Class::Service && kind.runtime_ms != 0 {
                reject(
                    format!("kinds[{i}].runtime_ms"),
                    "a service has no expected run time; omit this field",
                );
            }
            if let Some(team) = kind.open
                && self.team(team).is_none()
            {
                reject(
                    format!("kinds[{i}].open"),
                    "the document has no team of this name",
                );
            }
            if let Some(shift) = kind.shift
                && !self.shifts.iter().any(|s| s.name == shift)
            {
                reject(
                    format!("kinds[{i}].shift"),
                    "the document has no shift of this name",
                );
            }
        }
        names.clear();
        for (i, shift) in self.shifts.iter().enumerate() {
            if !names.insert(shift.name) {
                reject(
                    format!("shifts[{i}].name"),
                    "the name is used by another shift",
                );
            }
            if let Err(e) = shift.next_start(0) {
                reject(format!("shifts[{i}]"), &e);
            }
        }
        errors
    }

    /// Returns the JSON Schema of a document. The web console generates its forms from it.
    pub fn schema() -> serde_json::Value {
        schemars::schema_for!(Self).to_value()
    }

    /// Returns the team with the name `id`.
    pub fn team(&self, id: TeamId) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == id)
    }

    /// Returns the kind of work with the name `name`.
    pub fn kind(&self, name: Name) -> Option<&Kind> {
        self.kinds.iter().find(|k| k.name == name)
    }

    /// Creates a job from a submission; fields that the submission omits are taken from its kind.
    ///
    /// `now_ms` is the time of acceptance in milliseconds since the Unix epoch. `domain` is the
    /// failure domain of the job unless the submission pins it to another one.
    ///
    /// # Errors
    ///
    /// Returns all invalid fields of the submission.
    pub fn resolve(
        &self,
        team: TeamId,
        request: &JobRequest,
        domain: crate::DomainId,
        now_ms: i64,
    ) -> Result<Job, Vec<ValidationError>> {
        let mut errors = Vec::new();
        let mut reject = |path: &str, message: String| {
            errors.push(ValidationError {
                path: path.to_owned(),
                message,
            });
        };
        if request.name.is_empty() || request.name.len() > MAX_NAME_BYTES {
            reject(
                "name",
                format!("a job name must have 1 to {MAX_NAME_BYTES} bytes"),
            );
        }
        if request.name.chars().any(char::is_control) {
            reject(
                "name",
                "a job name must not contain control characters".to_owned(),
            );
        }
        if self.team(team).is_none() {
            reject("team", format!("the document has no team {team}"));
        }
        if request.payload.to_string().len() > MAX_PAYLOAD_BYTES {
            reject(
                "payload",
                format!("a payload must have at most {MAX_PAYLOAD_BYTES} bytes"),
            );
        }
        if request.tasks.is_some_and(|n| n == 0 || n > MAX_TASKS) {
            reject("tasks", format!("a job must have 1 to {MAX_TASKS} tasks"));
        }
        if request.need == Some(Resources::ZERO) {
            reject(
                "need",
                "at least one of cpu, mem and gpu must be above 0".to_owned(),
            );
        }
        let Some(kind) = self.kind(request.kind) else {
            reject("kind", format!("the document has no kind {}", request.kind));
            return Err(errors);
        };
        if kind.class == Class::Service {
            if let Err(e) = Name::new(&request.name) {
                reject(
                    "name",
                    format!("callers address a service by its job name: {e}"),
                );
            }
            if request.runtime_ms.is_some_and(|ms| ms != 0) {
                reject(
                    "runtime_ms",
                    "a service has no expected run time; omit this field".to_owned(),
                );
            }
        }
        let shift = request.shift.or(kind.shift);
        let mut due_ms = None;
        if let Some(name) = shift {
            match self.shifts.iter().find(|s| s.name == name) {
                Some(s) => due_ms = s.next_start(now_ms).ok(),
                None => reject("shift", format!("the document has no shift {name}")),
            }
        }
        if !errors.is_empty() {
            return Err(errors);
        }
        Ok(Job {
            id: JobId::of(team, &request.name),
            team,
            name: request.name.clone(),
            kind: kind.name,
            class: kind.class,
            urgency: kind.urgency,
            tasks: request.tasks.unwrap_or(kind.tasks),
            need: request.need.unwrap_or(kind.need),
            runtime_ms: request.runtime_ms.unwrap_or(kind.runtime_ms),
            retries: kind.retries,
            repeat: request.repeat.unwrap_or(kind.repeat),
            due_ms,
            accepted_ms: now_ms,
            pinned: request.domain.is_some(),
            domain: request.domain.unwrap_or(domain),
            payload: request.payload.clone(),
        })
    }
}
