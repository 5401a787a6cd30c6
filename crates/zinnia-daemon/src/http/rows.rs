//! Rows of jobs in answers.

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

use crate::acting::FinalEnd;
use crate::engine::Engine;
use crate::journal::Accepted;
use crate::peers;
use crate::peers::Progress;
use crate::shared::Shared;

/// Query of `GET /v1/jobs`.
#[derive(Deserialize)]
pub(super) struct Filter {
    pub(super) team: Option<TeamId>,
    pub(super) state: Option<String>,
    pub(super) kind: Option<Name>,
    pub(super) prefix: Option<String>,
    pub(super) limit: Option<usize>,
}

/// One job in a list.
pub(super) struct Row {
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
    pub(super) why: Option<String>,
}

impl Row {
    fn of(standing: &JobState) -> Self {
        match standing {
            JobState::Live(live) => Self::live(live),
            JobState::Ended(ended) => Self::ended(ended),
        }
    }

    fn live(live: &LiveJob) -> Self {
        let job = &live.job;
        let done = live
            .ends
            .values()
            .filter(|f| **f == TaskOutcome::Done)
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
            why: None,
        }
    }

    fn ended(ended: &EndedJob) -> Self {
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
            why: None,
        }
    }

    pub(super) fn state(&self) -> &'static str {
        match (&self.outcome, self.running) {
            (Some(_), _) => "ended",
            (None, 0) => "queued",
            (None, _) => "running",
        }
    }

    pub(super) fn shape(&self) -> Value {
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
            "why": self.why,
            "outcome": self.outcome,
            "accepted_ms": self.accepted_ms,
            "due_ms": self.due_ms,
        })
    }
}

impl Engine {
    pub(super) fn row(&self, id: JobId) -> Option<Row> {
        match self.cell.job(id) {
            Some(standing) => Some(Row::of(&standing)),
            None => self.local.get(&id).map(|a| self.local_row(a)),
        }
    }

    /// Row of a job accepted in isolation, with what its scheduler knows and the log does not yet.
    fn local_row(&self, accepted: &Accepted) -> Row {
        let mut row = Row::live(&accepted.live());
        if let Some(acting) = self.acting.get(&row.domain) {
            let done = |e: &&FinalEnd| e.end.job == row.id && e.end.finish == TaskOutcome::Done;
            let done = acting.ends.iter().filter(done).count();
            row.done = u32::try_from(done).unwrap_or(u32::MAX);
            let outcome = acting.outcomes.get(&row.id);
            row.outcome = outcome.and_then(|o| serde_json::to_value(o).ok());
        }
        row
    }

    pub(super) fn rows(&self, team: Option<TeamId>, filter: &Filter) -> Vec<Row> {
        let live = self.cell.live_jobs().map(|l| Row::live(&l));
        let ended = self.cell.ended_jobs().map(|e| Row::ended(&e));
        let local = self.local.values().map(|a| self.local_row(a));
        live.chain(ended)
            .chain(local)
            .filter(|r| team.is_none_or(|t| t == r.team))
            .filter(|r| filter.kind.is_none_or(|k| k == r.kind))
            .filter(|r| filter.prefix.as_ref().is_none_or(|p| r.name.starts_with(p)))
            .collect()
    }
}

/// Asks the acting owners how many tasks of each live job run.
pub(super) async fn count_running(shared: &Arc<Shared>, rows: &mut [Row]) {
    let mut owners: BTreeMap<String, Vec<JobId>> = BTreeMap::new();
    let mut here = Vec::new();
    shared.with_engine(|b, _| {
        for row in rows.iter().filter(|r| r.outcome.is_none()) {
            let owner = b.cell.owner(row.domain).and_then(|o| b.cell.vm(o.vm));
            match owner {
                Some(vm) if vm.id == b.me.vm.id => here.push(row.id),
                Some(vm) => owners.entry(vm.peer.clone()).or_default().push(row.id),
                None => {}
            }
        }
    });
    let mut counts = peers::progress(shared, &here);
    let calls = owners.iter().map(|(addr, jobs)| {
        shared
            .links
            .call::<_, BTreeMap<JobId, Progress>>(addr, "running", jobs)
    });
    for answer in futures_util::future::join_all(calls).await {
        counts.extend(answer.unwrap_or_default());
    }
    for row in rows {
        if let Some(progress) = counts.remove(&row.id) {
            row.running = progress.running;
            row.attempts = progress.attempts;
            row.why = progress.why;
        }
    }
}
