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
use zinnia_replica::clock;
use zinnia_types::Class;
use zinnia_types::Code;
use zinnia_types::Job;
use zinnia_types::JobId;
use zinnia_types::JobRequest;
use zinnia_types::Name;
use zinnia_types::TeamId;
use zinnia_types::ValidationError;

use super::auth;
use super::auth::JsonBody;
use super::documents::problems_response;
use super::documents::unexpected_reply;
use super::rows::JobQuery;
use super::rows::JobRow;
use super::rows::fill_in_progress;
use crate::api_error::ApiError;
use crate::authority::AuthorityMode;
use crate::engine::Engine;
use crate::journal;
use crate::shared::Shared;

/// Rows of a job list if the query sets no limit.
const DEFAULT_ROWS: usize = 100;
/// Most rows of a job list, and most jobs named in one cancellation.
const MAX_ROWS: usize = 10_000;

/// `POST /v1/jobs`.
pub(super) async fn submit(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    JsonBody(request): JsonBody<JobRequest>,
) -> Result<Response, ApiError> {
    let (team, key) = charged_team(&shared, &headers, request.kind).await?;
    let digest = Digest::of_json(&request)
        .map_err(|e| ApiError::new(Code::Internal, "check", e.to_string()))?;
    let max_jobs = shared.settings.bounds.jobs;
    if shared.with_engine(|engine, _| engine.cell.live_job_counts().values().sum::<usize>())
        >= max_jobs
    {
        let text = format!("{max_jobs} jobs have not ended yet; retry later");
        return Err(ApiError::new(Code::Overloaded, "admit", text));
    }
    let resolved = shared.with_engine(|engine, _| engine.resolve_job(team, &request));
    let resolved = match resolved {
        Err(_) => {
            // The document may have changed, and this VM may not have applied the change yet.
            shared.catch_up().await;
            shared.with_engine(|engine, _| engine.resolve_job(team, &request))
        }
        Ok(job) => Ok(job),
    };
    let job = match resolved {
        Ok(job) => job,
        Err(ResolveError::Problems(problems)) => return Ok(problems_response(&problems)),
        Err(ResolveError::Refused(error)) => return Err(error),
    };
    let (id, domain) = (job.id, job.domain);
    let answer = |durable| Json(json!({"id": id, "durable": durable, "domain": domain}));
    if job.pinned {
        // Pinned jobs are accepted by the acting owner of their domain, which can do so without a
        // quorum.
        if let Some(owner) = shared.with_engine(|engine, _| engine.other_owner(domain).cloned()) {
            return forward(&shared, &headers, &owner.http, &request).await;
        }
        if shared.with_engine(|engine, now| engine.authority_mode(now)) == AuthorityMode::Isolated {
            journal::accept_job(&shared, job, digest)?;
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
        reply => Err(unexpected_reply(&reply)),
    }
}

/// Forwards a submission to the VM that accepts it and returns that VM's answer.
async fn forward(
    shared: &Arc<Shared>,
    headers: &HeaderMap,
    addr: &str,
    request: &JobRequest,
) -> Result<Response, ApiError> {
    let body = serde_json::to_vec(request)
        .map_err(|e| ApiError::new(Code::Internal, "pass_on", e.to_string()))?;
    let mut forwarded = HeaderMap::new();
    for name in [AUTHORIZATION, CONTENT_TYPE] {
        if let Some(value) = headers.get(&name) {
            forwarded.insert(name, value.clone());
        }
    }
    let limit = Duration::from_millis(2 * shared.settings.replication.propose_ms);
    let sent = shared
        .call_client
        .forward(addr, "/v1/jobs", forwarded, body.into(), limit);
    let (status, headers, body) = sent
        .await
        .map_err(|e| ApiError::from(e.to_error_body("pass_on")))?;
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = (status, body).into_response();
    if let Some(content_type) = headers.get(CONTENT_TYPE) {
        response
            .headers_mut()
            .insert(CONTENT_TYPE, content_type.clone());
    }
    Ok(response)
}

/// The team to which a submission is charged, and the id of its key. Without a key the job kind
/// must be open.
async fn charged_team(
    shared: &Arc<Shared>,
    headers: &HeaderMap,
    kind: Name,
) -> Result<(TeamId, Option<KeyId>), ApiError> {
    if headers.contains_key(AUTHORIZATION) {
        let (team, grant) = auth::require_team(shared, headers).await?;
        return Ok((team, Some(grant.id)));
    }
    let open_team = shared
        .with_engine(|engine, _| engine.cell.document().and_then(|(_, d)| d.kind(kind)?.open));
    match open_team {
        Some(team) => Ok((team, None)),
        None => Err(ApiError::new(
            Code::KeyRefused,
            "key",
            format!("kind {kind} is not open; a submission needs a team's key"),
        )),
    }
}

enum ResolveError {
    Problems(Vec<ValidationError>),
    Refused(ApiError),
}

impl Engine {
    fn resolve_job(&self, team: TeamId, request: &JobRequest) -> Result<Job, ResolveError> {
        let refuse =
            |code, text: String| Err(ResolveError::Refused(ApiError::new(code, "admit", text)));
        let Some((_, document)) = self.cell.document() else {
            return refuse(Code::Unavailable, "no document is in force yet".to_owned());
        };
        let own_domain = self.identity.vm.domain;
        let mut job = document
            .resolve(team, request, own_domain, clock::wall_ms())
            .map_err(ResolveError::Problems)?;
        // A resend gets the answer of the first submission even if the job would be refused now.
        // The cell compares digests to refuse a different job under the same name.
        if let Some(known) = self.cell.job(job.id) {
            job.domain = domain_of(&known);
            return Ok(job);
        }
        let limit = self.cell.limit(team);
        let needed = match job.class {
            Class::Gang => job.need.saturating_mul(u64::from(job.tasks)),
            Class::Batch | Class::Service => job.need,
        };
        if !needed.fits(&limit) {
            let text =
                format!("the job needs {needed:?} at once, but team {team} may use {limit:?}");
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

fn domain_of(state: &JobState) -> zinnia_types::DomainId {
    match state {
        JobState::Live(live) => live.job.domain,
        JobState::Ended(ended) => ended.domain,
    }
}

/// `GET /v1/jobs`.
pub(super) async fn list(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    Query(query): Query<JobQuery>,
) -> Result<Json<Value>, ApiError> {
    let team = visible_team(&shared, &headers, query.team).await?;
    let mut rows = shared.with_engine(|engine, _| engine.job_rows(team, &query));
    rows.sort_by_key(|r| std::cmp::Reverse(r.accepted_ms));
    fill_in_progress(&shared, &mut rows).await;
    if let Some(state) = &query.state {
        rows.retain(|r| r.state() == state);
    }
    let limit = query.limit.unwrap_or(DEFAULT_ROWS).min(MAX_ROWS);
    let more = rows.len() > limit;
    rows.truncate(limit);
    let jobs: Vec<Value> = rows.iter().map(JobRow::to_json).collect();
    Ok(Json(json!({"jobs": jobs, "more": more})))
}

/// The team whose jobs the key of a request may see; `None` means all teams.
async fn visible_team(
    shared: &Arc<Shared>,
    headers: &HeaderMap,
    requested: Option<TeamId>,
) -> Result<Option<TeamId>, ApiError> {
    match auth::check_key(shared, headers).await?.role {
        KeyRole::Operator => Ok(requested),
        KeyRole::Team(team) if requested.is_none_or(|t| t == team) => Ok(Some(team)),
        KeyRole::Team(team) => {
            let text = format!("the key gives access to team {team} only");
            Err(ApiError::new(Code::Forbidden, "key", text))
        }
    }
}

/// `GET /v1/jobs/{id}`, where a team's key also accepts the name of the job.
pub(super) async fn show(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    Path(id): Path<String>,
) -> Result<Json<Value>, ApiError> {
    let team = visible_team(&shared, &headers, None).await?;
    let by_id = id.parse::<JobId>().ok();
    let by_name = team.map(|t| JobId::of(t, &id));
    let row = shared.with_engine(|engine, _| {
        let ids = by_id.into_iter().chain(by_name);
        let mut rows = ids.filter_map(|id| engine.job_row(id));
        rows.find(|r| team.is_none_or(|t| t == r.team))
    });
    let Some(row) = row else {
        return Err(ApiError::new(
            Code::NotFound,
            "show",
            format!("no job {id}"),
        ));
    };
    let mut rows = vec![row];
    fill_in_progress(&shared, &mut rows).await;
    let row = &rows[0];
    let mut json = row.to_json();
    let attempts = row.attempts.iter().map(|(attempt, worker)| {
        json!({"task": attempt.task, "attempt": attempt, "worker": worker, "state": "running"})
    });
    json["attempts"] = attempts.collect();
    Ok(Json(json))
}

/// Body of `POST /v1/cancel`.
#[derive(Deserialize)]
pub(super) struct CancelRequest {
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
    JsonBody(body): JsonBody<CancelRequest>,
) -> Result<Json<Value>, ApiError> {
    let Some(team) = visible_team(&shared, &headers, body.team).await? else {
        let text = "the team whose jobs are cancelled is missing";
        return Err(ApiError::new(Code::BadRequest, "check", text));
    };
    let filtered = body.prefix.is_some() || body.kind.is_some();
    if body.jobs.is_empty() != filtered || body.jobs.len() > MAX_ROWS {
        let text = "needs either 1 to 10000 jobs, or a prefix or kind";
        return Err(ApiError::new(Code::BadRequest, "check", text));
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
        reply => Err(unexpected_reply(&reply)),
    }
}
