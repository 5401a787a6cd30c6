//! Routes for jobs.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::http::header::AUTHORIZATION;
use axum::http::header::CONTENT_TYPE;
use axum::response::IntoResponse;
use axum::response::Response;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use zinnia_cell::Command;
use zinnia_cell::Digest;
use zinnia_cell::JobFilter;
use zinnia_cell::JobState;
use zinnia_cell::KeyId;
use zinnia_cell::KeyRole;
use zinnia_cell::Reply;
use zinnia_types::Class;
use zinnia_types::Code;
use zinnia_types::Job;
use zinnia_types::JobId;
use zinnia_types::JobRequest;
use zinnia_types::Name;
use zinnia_types::Problem;
use zinnia_types::TeamId;

use super::auth;
use super::auth::Body;
use super::documents::faulty;
use super::documents::odd;
use super::rows::Filter;
use super::rows::Row;
use super::rows::count_running;
use crate::authority::Right;
use crate::engine::Engine;
use crate::journal;
use crate::reject::Reject;
use crate::shared::Shared;
use zinnia_replica::clock;

/// Rows of a list unless the caller asks for another number.
const ROWS: usize = 100;
/// Most rows of a list.
const MAX_ROWS: usize = 10_000;

/// `POST /v1/jobs`.
pub(super) async fn submit(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    Body(request): Body<JobRequest>,
) -> Result<Response, Reject> {
    let (team, key) = submitter(&shared, &headers, request.kind).await?;
    let digest = Digest::of_json(&request)
        .map_err(|e| Reject::new(Code::Internal, "check", e.to_string()))?;
    let most = shared.settings.bounds.jobs;
    if shared.with_engine(|b, _| b.cell.live_job_counts().values().sum::<usize>()) >= most {
        let text = format!("{most} jobs have not ended yet; retry later");
        return Err(Reject::new(Code::Overloaded, "admit", text));
    }
    let resolved = shared.with_engine(|b, _| b.resolve(team, &request));
    let resolved = match resolved {
        Err(_) => {
            // The document may have been changed a moment ago on another VM.
            shared.catch_up().await;
            shared.with_engine(|b, _| b.resolve(team, &request))
        }
        Ok(job) => Ok(job),
    };
    let job = match resolved {
        Ok(job) => job,
        Err(Unfit::Problems(problems)) => return Ok(faulty(&problems)),
        Err(Unfit::Refused(reject)) => return Err(reject),
    };
    let (id, domain) = (job.id, job.domain);
    let answer = |durable| Json(json!({"id": id, "durable": durable, "domain": domain}));
    if job.pinned {
        // The acting owner of the domain accepts its pinned jobs, with or without a quorum.
        if let Some(owner) = shared.with_engine(|b, _| b.other_owner(domain).cloned()) {
            return pass_on(&shared, &headers, &owner.http, &request).await;
        }
        if shared.with_engine(|b, now| b.right(now)) == Right::Isolated {
            journal::accept(&shared, job, digest)?;
            return Ok(answer("domain").into_response());
        }
    }
    let command = Command::AcceptJob {
        job: Box::new(job),
        request: digest,
        key,
    };
    match shared.propose(&command).await? {
        Reply::Accepted { .. } => {
            metrics::counter!("zinnia_jobs_accepted_total").increment(1);
            Ok(answer("quorum").into_response())
        }
        reply => Err(odd(&reply)),
    }
}

/// Passes a submission to the VM that accepts it and its answer back.
async fn pass_on(
    shared: &Arc<Shared>,
    headers: &HeaderMap,
    addr: &str,
    request: &JobRequest,
) -> Result<Response, Reject> {
    let body = serde_json::to_vec(request)
        .map_err(|e| Reject::new(Code::Internal, "pass_on", e.to_string()))?;
    let mut kept = HeaderMap::new();
    for name in [AUTHORIZATION, CONTENT_TYPE] {
        if let Some(value) = headers.get(&name) {
            kept.insert(name, value.clone());
        }
    }
    let limit = Duration::from_millis(2 * shared.settings.replication.propose_ms);
    let sent = shared
        .calls
        .forward(addr, "/v1/jobs", kept, body.into(), limit);
    let (status, headers, body) = sent
        .await
        .map_err(|e| Reject::from(e.to_error_body("pass_on")))?;
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = (status, body).into_response();
    if let Some(kind) = headers.get(CONTENT_TYPE) {
        response.headers_mut().insert(CONTENT_TYPE, kind.clone());
    }
    Ok(response)
}

/// The team that a submission is charged to, and the key that came with it.
async fn submitter(
    shared: &Arc<Shared>,
    headers: &HeaderMap,
    kind: Name,
) -> Result<(TeamId, Option<KeyId>), Reject> {
    if headers.contains_key(AUTHORIZATION) {
        let (team, grant) = auth::team(shared, headers).await?;
        return Ok((team, Some(grant.id)));
    }
    let open = shared.with_engine(|b, _| b.cell.document().and_then(|(_, d)| d.kind(kind)?.open));
    match open {
        Some(team) => Ok((team, None)),
        None => Err(Reject::new(
            Code::KeyRefused,
            "key",
            format!("kind {kind} is not open to all; a key of a team is needed"),
        )),
    }
}

enum Unfit {
    Problems(Vec<Problem>),
    Refused(Reject),
}

impl Engine {
    fn resolve(&self, team: TeamId, request: &JobRequest) -> Result<Job, Unfit> {
        let refuse = |code, text: String| Err(Unfit::Refused(Reject::new(code, "admit", text)));
        let Some((_, document)) = self.cell.document() else {
            return refuse(Code::Unavailable, "no document is in force yet".to_owned());
        };
        let home = self.me.vm.domain;
        let mut job = document
            .resolve(team, request, home, clock::wall_ms())
            .map_err(Unfit::Problems)?;
        // A resend gets the first answer even if the job would be refused by now; the cell tells it
        // from other content under the same name.
        if let Some(known) = self.cell.job(job.id) {
            job.domain = domain_of(&known);
            return Ok(job);
        }
        let limit = self.cell.limit(team);
        let whole = match job.class {
            Class::Gang => job.need.times(u64::from(job.tasks)),
            Class::Batch | Class::Service => job.need,
        };
        if !whole.fits(&limit) {
            let text =
                format!("the job needs {whole:?} at once, but team {team} may use {limit:?}");
            return refuse(Code::NeverFits, text);
        }
        let tasks = match job.class {
            Class::Gang => u64::from(job.tasks),
            Class::Batch | Class::Service => 1,
        };
        let has_workers = self
            .cell
            .owners()
            .any(|(domain, _)| self.cell.workers(domain).next().is_some());
        if job.pinned {
            if self.cell.owner(job.domain).is_none() {
                let text = format!("the cell has no failure domain {}", job.domain);
                return refuse(Code::BadRequest, text);
            }
        } else if let Some(domain) = self.fitting_domain(&job.need, tasks, None) {
            job.domain = domain;
        } else if has_workers {
            let need = job.need;
            let text = format!("no failure domain has workers for {tasks} tasks of {need:?}");
            return refuse(Code::NeverFits, text);
        }
        Ok(job)
    }
}

fn domain_of(standing: &JobState) -> zinnia_types::DomainId {
    match standing {
        JobState::Live(live) => live.job.domain,
        JobState::Ended(ended) => ended.domain,
    }
}

/// `GET /v1/jobs`.
pub(super) async fn list(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    Query(filter): Query<Filter>,
) -> Result<Json<Value>, Reject> {
    let team = visible_team(&shared, &headers, filter.team).await?;
    let mut rows = shared.with_engine(|b, _| b.rows(team, &filter));
    rows.sort_by_key(|r| std::cmp::Reverse(r.accepted_ms));
    count_running(&shared, &mut rows).await;
    if let Some(state) = &filter.state {
        rows.retain(|r| r.state() == state);
    }
    let limit = filter.limit.unwrap_or(ROWS).min(MAX_ROWS);
    let more = rows.len() > limit;
    rows.truncate(limit);
    let jobs: Vec<Value> = rows.iter().map(Row::shape).collect();
    Ok(Json(json!({"jobs": jobs, "more": more})))
}

/// The team whose jobs a key may see; `None` for all.
async fn visible_team(
    shared: &Arc<Shared>,
    headers: &HeaderMap,
    asked: Option<TeamId>,
) -> Result<Option<TeamId>, Reject> {
    match auth::key(shared, headers).await?.role {
        KeyRole::Operator => Ok(asked),
        KeyRole::Team(team) if asked.is_none_or(|t| t == team) => Ok(Some(team)),
        KeyRole::Team(team) => {
            let text = format!("the key opens team {team} only");
            Err(Reject::new(Code::Forbidden, "key", text))
        }
    }
}

/// `GET /v1/jobs/{id}`, by id or by the name within the team of the key.
pub(super) async fn show(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    Path(id): Path<String>,
) -> Result<Json<Value>, Reject> {
    let team = visible_team(&shared, &headers, None).await?;
    let by_id = id.parse::<JobId>().ok();
    let by_name = team.map(|t| JobId::of(t, &id));
    let row = shared.with_engine(|b, _| {
        let ids = by_id.into_iter().chain(by_name);
        let mut rows = ids.filter_map(|id| b.row(id));
        rows.find(|r| team.is_none_or(|t| t == r.team))
    });
    let Some(row) = row else {
        return Err(Reject::new(Code::NotFound, "show", format!("no job {id}")));
    };
    let mut rows = vec![row];
    count_running(&shared, &mut rows).await;
    let row = &rows[0];
    let mut shape = row.shape();
    let attempts = row.attempts.iter().map(|(attempt, worker)| {
        json!({"task": attempt.task, "attempt": attempt, "worker": worker, "state": "running"})
    });
    shape["attempts"] = attempts.collect();
    Ok(Json(shape))
}

/// Body of `POST /v1/cancel`.
#[derive(Deserialize)]
pub(super) struct Cancel {
    #[serde(default)]
    jobs: Vec<String>,
    #[serde(default)]
    prefix: Option<String>,
    #[serde(default)]
    kind: Option<Name>,
    #[serde(default)]
    team: Option<TeamId>,
}

/// `POST /v1/cancel`.
pub(super) async fn cancel(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    Body(body): Body<Cancel>,
) -> Result<Json<Value>, Reject> {
    let Some(team) = visible_team(&shared, &headers, body.team).await? else {
        let text = "name the team whose jobs are cancelled";
        return Err(Reject::new(Code::BadRequest, "check", text));
    };
    let filtered = body.prefix.is_some() || body.kind.is_some();
    if body.jobs.is_empty() != filtered || body.jobs.len() > MAX_ROWS {
        let text = "name either up to 10000 jobs, or a prefix or kind";
        return Err(Reject::new(Code::BadRequest, "check", text));
    }
    let which = if filtered {
        JobFilter::Matching {
            prefix: body.prefix.unwrap_or_default(),
            kind: body.kind,
        }
    } else {
        JobFilter::Jobs(body.jobs.iter().map(|n| JobId::of(team, n)).collect())
    };
    let command = Command::Cancel {
        team,
        which,
        at_ms: clock::wall_ms(),
    };
    match shared.propose(&command).await? {
        Reply::Cancelled { jobs } => Ok(Json(json!({"cancelled": jobs.len()}))),
        reply => Err(odd(&reply)),
    }
}
