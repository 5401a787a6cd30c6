//! Compact in-memory rows of jobs, of which the cell keeps tens of thousands.
//!
//! Names are interned, payloads are JSON text, and fields with their default value are left out of
//! snapshots. `examples/cell_figures.rs` measures 32,000 jobs.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use zinnia_types::Class;
use zinnia_types::DomainId;
use zinnia_types::Job;
use zinnia_types::JobId;
use zinnia_types::Name;
use zinnia_types::Outcome;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_types::Urgency;

use crate::Digest;
use crate::EndedJob;
use crate::LiveJob;
use crate::TaskOutcome;
use crate::names::Names;

/// First half of a digest. 128 bits suffice to distinguish requests and save memory.
pub(crate) fn digest_prefix(digest: Digest) -> u128 {
    let mut prefix = [0; 16];
    prefix.copy_from_slice(&digest.0[..16]);
    u128::from_be_bytes(prefix)
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// Dispatch records and task outcomes of a live job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Progress {
    /// Term of the acting owner that dispatched each non-repeatable task.
    #[serde(rename = "d", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(crate) dispatched: BTreeMap<u32, u64>,
    #[serde(rename = "e", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(crate) ends: BTreeMap<u32, TaskOutcome>,
}

/// Row of a live job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LiveRow {
    #[serde(rename = "t")]
    pub(crate) team: u32,
    #[serde(rename = "k")]
    pub(crate) kind: u32,
    #[serde(rename = "d")]
    pub(crate) domain: u32,
    #[serde(rename = "n")]
    pub(crate) name: Box<str>,
    #[serde(rename = "q")]
    pub(crate) request: u128,
    #[serde(rename = "c")]
    class: Class,
    #[serde(rename = "u")]
    urgency: Urgency,
    #[serde(rename = "w")]
    pub(crate) tasks: u32,
    #[serde(rename = "x")]
    need: Resources,
    #[serde(rename = "r")]
    runtime_ms: u64,
    #[serde(rename = "y")]
    retries: u32,
    #[serde(rename = "f", default, skip_serializing_if = "is_default")]
    repeat: bool,
    #[serde(rename = "m", default, skip_serializing_if = "is_default")]
    due_ms: Option<i64>,
    #[serde(rename = "a")]
    accepted_ms: i64,
    #[serde(rename = "i", default, skip_serializing_if = "is_default")]
    pub(crate) pinned: bool,
    #[serde(rename = "z", default, skip_serializing_if = "is_default")]
    pub(crate) cancelled: bool,
    /// Payload as JSON text; empty for null.
    #[serde(rename = "p", default, skip_serializing_if = "str::is_empty")]
    payload: Box<str>,
    #[serde(rename = "s", default, skip_serializing_if = "is_default")]
    pub(crate) progress: Option<Box<Progress>>,
}

impl LiveRow {
    pub(crate) fn new(job: &Job, request: Digest, names: &mut Names) -> Self {
        let payload = match &job.payload {
            Value::Null => String::new(),
            value => value.to_string(),
        };
        Self {
            team: names.intern(job.team.0),
            kind: names.intern(job.kind),
            domain: names.intern(job.domain.0),
            name: job.name.as_str().into(),
            request: digest_prefix(request),
            class: job.class,
            urgency: job.urgency,
            tasks: job.tasks,
            need: job.need,
            runtime_ms: job.runtime_ms,
            retries: job.retries,
            repeat: job.repeat,
            due_ms: job.due_ms,
            accepted_ms: job.accepted_ms,
            pinned: job.pinned,
            cancelled: false,
            payload: payload.into_boxed_str(),
            progress: None,
        }
    }

    /// Expands the row; `None` if a name number is not in `names`, which a valid log never causes.
    pub(crate) fn expand(&self, id: JobId, names: &Names) -> Option<LiveJob> {
        let progress = self.progress.as_deref();
        Some(LiveJob {
            job: Job {
                id,
                team: TeamId(names.name(self.team)?),
                name: self.name.to_string(),
                kind: names.name(self.kind)?,
                class: self.class,
                urgency: self.urgency,
                tasks: self.tasks,
                need: self.need,
                runtime_ms: self.runtime_ms,
                retries: self.retries,
                repeat: self.repeat,
                due_ms: self.due_ms,
                accepted_ms: self.accepted_ms,
                pinned: self.pinned,
                domain: DomainId(names.name(self.domain)?),
                payload: serde_json::from_str(&self.payload).unwrap_or_default(),
            },
            cancelled: self.cancelled,
            dispatched: progress.map(|p| p.dispatched.clone()).unwrap_or_default(),
            ends: progress.map(|p| p.ends.clone()).unwrap_or_default(),
        })
    }

    /// Numbers of the interned names in this row.
    pub(crate) fn name_numbers(&self) -> [u32; 3] {
        [self.team, self.kind, self.domain]
    }

    /// Progress of the job, created on first use.
    pub(crate) fn progress_mut(&mut self) -> &mut Progress {
        self.progress.get_or_insert_default()
    }

    /// Marks the job as cancelled. Returns false if it belongs to another team or was marked
    /// before.
    pub(crate) fn mark_cancelled(&mut self, team: u32) -> bool {
        let newly_cancelled = self.team == team && !self.cancelled;
        self.cancelled |= newly_cancelled;
        newly_cancelled
    }
}

/// Row of an ended job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EndedRow {
    #[serde(rename = "t")]
    team: u32,
    #[serde(rename = "k")]
    kind: u32,
    #[serde(rename = "d")]
    domain: u32,
    #[serde(rename = "n")]
    name: Box<str>,
    #[serde(rename = "w")]
    tasks: u32,
    /// Number of tasks that succeeded.
    #[serde(rename = "g", default, skip_serializing_if = "is_default")]
    done: u32,
    #[serde(rename = "q")]
    pub(crate) request: u128,
    #[serde(rename = "o")]
    pub(crate) outcome: Outcome,
    #[serde(rename = "a")]
    accepted_ms: i64,
    #[serde(rename = "e")]
    ended_ms: i64,
}

impl EndedRow {
    pub(crate) fn new(live: LiveRow, outcome: &Outcome, at_ms: i64) -> Self {
        let ends = live.progress.iter().flat_map(|p| p.ends.values());
        let done = ends.filter(|&&finish| finish == TaskOutcome::Done).count();
        Self {
            team: live.team,
            kind: live.kind,
            domain: live.domain,
            name: live.name,
            tasks: live.tasks,
            done: done as u32,
            request: live.request,
            outcome: outcome.clone(),
            accepted_ms: live.accepted_ms,
            ended_ms: at_ms,
        }
    }

    /// Expands the row; `None` if a name number is not in `names`, which a valid log never causes.
    pub(crate) fn expand(&self, id: JobId, names: &Names) -> Option<EndedJob> {
        let kind: Name = names.name(self.kind)?;
        Some(EndedJob {
            id,
            team: TeamId(names.name(self.team)?),
            name: self.name.to_string(),
            kind,
            domain: DomainId(names.name(self.domain)?),
            tasks: self.tasks,
            done: self.done,
            outcome: self.outcome.clone(),
            accepted_ms: self.accepted_ms,
            ended_ms: self.ended_ms,
        })
    }

    /// Numbers of the interned names in this row.
    pub(crate) fn name_numbers(&self) -> [u32; 3] {
        [self.team, self.kind, self.domain]
    }
}
