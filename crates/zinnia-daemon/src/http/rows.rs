//! Job rows of the answers of `GET /v1/jobs` and `GET /v1/jobs/{id}`.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use zinnia_cell::EndedJob;
use zinnia_cell::JobState;
use zinnia_cell::LiveJob;
use zinnia_cell::TaskOutcome;
use zinnia_types::AttemptId;
use zinnia_types::Class;
use zinnia_types::JobId;
use zinnia_types::Name;
use zinnia_types::TeamId;
use zinnia_types::WorkerId;

use crate::domain_scheduler::UnrecordedEnd;
use crate::engine::Engine;
use crate::journal::IsolatedJob;
use crate::peers;
use crate::peers::JobProgress;
use crate::shared::Shared;

/// Query of `GET /v1/jobs`.
#[derive(Deserialize)]
pub(super) struct JobQuery {
    pub(super) team: Option<TeamId>,
    pub(super) state: Option<String>,
    pub(super) kind: Option<Name>,
    pub(super) prefix: Option<String>,
    pub(super) limit: Option<usize>,
}

/// A live or ended job.
pub(super) struct JobRow {
    pub(super) id: JobId,
    pub(super) team: TeamId,
    pub(super) name: String,
    pub(super) kind: Name,
    pub(super) class: Option<Class>,
    domain: zinnia_types::DomainId,
    pub(super) tasks: u32,
    pub(super) done: u32,
    pub(super) running: u32,
    pub(super) cancelled: bool,
    pub(super) outcome: Option<Value>,
    pub(super) accepted_ms: i64,
    pub(super) due_ms: Option<i64>,
    pub(super) attempts: Vec<(AttemptId, WorkerId)>,
    pub(super) reason: Option<String>,
}

impl JobRow {
    fn from_state(state: &JobState) -> Self {
        match state {
            JobState::Live(live) => Self::from_live(live),
            JobState::Ended(ended) => Self::from_ended(ended),
        }
    }

    fn from_live(live: &LiveJob) -> Self {
        let job = &live.job;
        let done = live
            .ends
            .values()
            .filter(|outcome| **outcome == TaskOutcome::Done)
            .count();
        Self {
            id: job.id,
            team: job.team,
            name: job.name.clone(),
            kind: job.kind,
            class: Some(job.class),
            domain: job.domain,
            tasks: job.tasks,
            done: u32::try_from(done).unwrap_or(u32::MAX),
            running: 0,
            cancelled: live.cancelled,
            outcome: None,
            accepted_ms: job.accepted_ms,
            due_ms: job.due_ms,
            attempts: Vec::new(),
            reason: None,
        }
    }

    fn from_ended(ended: &EndedJob) -> Self {
        Self {
            id: ended.id,
            team: ended.team,
            name: ended.name.to_string(),
            kind: ended.kind,
            class: None,
            domain: ended.domain,
            tasks: ended.tasks,
            done: ended.done,
            running: 0,
            cancelled: false,
            outcome: serde_json::to_value(&ended.outcome).ok(),
            accepted_ms: ended.accepted_ms,
            due_ms: None,
            attempts: Vec::new(),
            reason: None,
        }
    }

    pub(super) fn state(&self) -> &'static str {
        match (&self.outcome, self.running) {
            (Some(_), _) => "ended",
            (None, 0) => "queued",
            (None, _) => "running",
        }
    }

    pub(super) fn to_json(&self) -> Value {
        json!({
            "id": self.id,
            "team": self.team,
            "name": self.name,
            "kind": self.kind,
            "class": self.class,
            "state": self.state(),
            "domain": self.domain,
            "tasks": self.tasks,
            "running": self.running,
            "done": self.done,
            "cancelled": self.cancelled,
            "why": self.reason,
            "outcome": self.outcome,
            "accepted_ms": self.accepted_ms,
            "due_ms": self.due_ms,
        })
    }
}

impl Engine {
    pub(super) fn job_row(&self, id: JobId) -> Option<JobRow> {
        match self.cell.job(id) {
            Some(state) => Some(JobRow::from_state(&state)),
            None => self
                .isolated_jobs
                .get(&id)
                .map(|job| self.isolated_row(job)),
        }
    }

    /// Row of a job accepted in isolation. Its ends are in no log yet, so they come from its
    /// scheduler.
    fn isolated_row(&self, isolated: &IsolatedJob) -> JobRow {
        let mut row = JobRow::from_live(&isolated.to_live());
        if let Some(scheduler) = self.schedulers.get(&row.domain) {
            let done =
                |e: &&UnrecordedEnd| e.end.job == row.id && e.end.finish == TaskOutcome::Done;
            let done = scheduler.task_ends.iter().filter(done).count();
            row.done = u32::try_from(done).unwrap_or(u32::MAX);
            let outcome = scheduler.job_outcomes.get(&row.id);
            row.outcome = outcome.and_then(|o| serde_json::to_value(o).ok());
        }
        row
    }

    pub(super) fn job_rows(&self, team: Option<TeamId>, query: &JobQuery) -> Vec<JobRow> {
        let live = self.cell.live_jobs().map(|l| JobRow::from_live(&l));
        let ended = self.cell.ended_jobs().map(|e| JobRow::from_ended(&e));
        let isolated = self
            .isolated_jobs
            .values()
            .map(|job| self.isolated_row(job));
        live.chain(ended)
            .chain(isolated)
            .filter(|r| team.is_none_or(|t| t == r.team))
            .filter(|r| query.kind.is_none_or(|k| k == r.kind))
            .filter(|r| query.prefix.as_ref().is_none_or(|p| r.name.starts_with(p)))
            .collect()
    }
}

/// Fills in the progress of live jobs, which is known to the acting owners of their domains.
pub(super) async fn fill_in_progress(shared: &Arc<Shared>, rows: &mut [JobRow]) {
    let mut owners: BTreeMap<String, Vec<JobId>> = BTreeMap::new();
    let mut local = Vec::new();
    shared.with_engine(|engine, _| {
        for row in rows.iter().filter(|r| r.outcome.is_none()) {
            let owner = engine
                .cell
                .owner(row.domain)
                .and_then(|o| engine.cell.vm(o.vm));
            match owner {
                Some(vm) if vm.id == engine.identity.vm.id => local.push(row.id),
                Some(vm) => owners.entry(vm.peer.clone()).or_default().push(row.id),
                None => {}
            }
        }
    });
    let mut progress_by_job = peers::job_progress(shared, &local);
    let calls = owners.iter().map(|(addr, jobs)| {
        shared
            .links
            .call::<_, BTreeMap<JobId, JobProgress>>(addr, "running", jobs)
    });
    for answer in futures_util::future::join_all(calls).await {
        progress_by_job.extend(answer.unwrap_or_default());
    }
    for row in rows {
        if let Some(progress) = progress_by_job.remove(&row.id) {
            row.running = progress.running;
            row.attempts = progress.attempts;
            row.reason = progress.reason;
        }
    }
}
