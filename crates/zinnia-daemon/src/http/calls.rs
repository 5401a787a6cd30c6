//! The route for service calls, and the forwarding of calls between daemons.

use std::sync::Arc;

use axum::body::Bytes;
use axum::extract::Path;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::HeaderName;
use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::response::IntoResponse;
use axum::response::Response;
use subtle::ConstantTimeEq;
use zinnia_cell::CallOutcome;
use zinnia_cell::CallState;
use zinnia_cell::Command;
use zinnia_cell::Digest;
use zinnia_cell::Reply;
use zinnia_replica::clock;
use zinnia_types::Code;
use zinnia_types::ErrorBody;
use zinnia_types::ExecutionStatus;
use zinnia_types::JobId;
use zinnia_types::ServiceId;

use super::auth;
use super::dispatch::Answer;
use super::dispatch::Call;
use super::dispatch::ID_HEADER;
use super::dispatch::RepeatPolicy;
use super::dispatch::WORKER_HEADER;
use super::dispatch::call_headers;
use super::dispatch::dispatch;
use super::dispatch::send_call;
use super::documents::unexpected_reply;
use crate::api_error::ApiError;
use crate::shared::Shared;

/// Header of a forwarded call, with the secret that daemons share.
const HOP_HEADER: &str = "x-zinnia-hop";
const TEAM_HEADER: &str = "x-zinnia-team";
const REPEAT_HEADER: &str = "x-repeat";
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Longest deadline that a caller may set, in milliseconds.
const MAX_DEADLINE_MS: u64 = 60_000;
/// Largest answer to a non-repeatable call that the log stores for resends, in bytes.
const MAX_STORED_ANSWER: usize = 16 * 1024;

/// `POST /v1/call/{service}`.
pub(super) async fn call(
    State(shared): State<Arc<Shared>>,
    Path(name): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Response, ApiError> {
    let call = parse_call(&shared, name, &headers, body).await?;
    let id = call.id.clone();
    let answer = if call.repeat == RepeatPolicy::Forbidden && !call.forwarded {
        call_at_most_once(&shared, call).await
    } else {
        route_call(&shared, &call).await
    };
    Ok(match answer {
        Ok(answer) => answer_response(&id, answer),
        Err(body) => with_request_id(&id, ApiError::from(body).into_response()),
    })
}

fn answer_response(id: &str, answer: Answer) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = (status, answer.body).into_response();
    let headers = response.headers_mut();
    if let Some(content_type) = answer.content_type {
        headers.insert(CONTENT_TYPE, content_type);
    }
    if let Some(worker) = answer.worker {
        headers.insert(HeaderName::from_static(WORKER_HEADER), worker);
    }
    with_request_id(id, response)
}

fn with_request_id(id: &str, mut response: Response) -> Response {
    if let Ok(value) = HeaderValue::from_str(id) {
        let name = HeaderName::from_static(ID_HEADER);
        response.headers_mut().insert(name, value);
    }
    response
}

async fn parse_call(
    shared: &Arc<Shared>,
    name: String,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<Call, ApiError> {
    let bad = |text: &str| ApiError::new(Code::BadRequest, "parse", text);
    let text = |header: &str| headers.get(header).and_then(|v| v.to_str().ok());
    let forwarded =
        text(HOP_HEADER).is_some_and(|v| v.as_bytes().ct_eq(shared.hop_secret.as_bytes()).into());
    let team = if forwarded {
        let team = text(TEAM_HEADER).and_then(|t| t.parse().ok());
        team.ok_or_else(|| bad("a forwarded call must name its team"))?
    } else {
        auth::require_team(shared, headers).await?.0
    };
    let repeat = match text(REPEAT_HEADER) {
        None => RepeatPolicy::OnlyUnsent,
        Some("yes") => RepeatPolicy::Allowed,
        Some("no") => RepeatPolicy::Forbidden,
        Some(_) => return Err(bad("x-repeat must be yes or no")),
    };
    let id = match text(ID_HEADER) {
        Some(id)
            if !id.is_empty()
                && id.len() <= 64
                && id.bytes().all(|byte| byte.is_ascii_graphic()) =>
        {
            id.to_owned()
        }
        Some(_) => {
            return Err(bad(
                "x-request-id must have 1 to 64 visible ASCII characters",
            ));
        }
        None if repeat == RepeatPolicy::Forbidden => {
            return Err(bad("x-repeat: no needs the header x-request-id"));
        }
        None => format!("{}-{}", shared.settings.name, shared.next_id()),
    };
    let deadline_ms = match text(DEADLINE_HEADER).map(str::parse) {
        None => shared.settings.bounds.call_ms,
        Some(Ok(ms)) if (1..=MAX_DEADLINE_MS).contains(&ms) => ms,
        Some(_) => return Err(bad("x-deadline-ms must be 1 to 60000")),
    };
    let job = JobId::of(team, &name).to_string();
    let service =
        ServiceId::new(&job).map_err(|e| ApiError::new(Code::Internal, "parse", e.to_string()))?;
    Ok(Call {
        team,
        id,
        service,
        name,
        repeat,
        deadline_ms,
        content_type: headers.get(CONTENT_TYPE).cloned(),
        body,
        forwarded,
    })
}

/// Records a call that must not be repeated, dispatches it if it is new, and records its outcome.
/// A resend gets the recorded outcome.
async fn call_at_most_once(shared: &Arc<Shared>, call: Call) -> Result<Answer, ErrorBody> {
    // A call to a service without endpoints is refused before its id is recorded, so that a resend
    // can still run.
    if !is_served(shared, call.service)
        && shared.with_engine(|engine, _| !engine.is_recorded(&call))
    {
        return Err(no_service(&call.name));
    }
    let mut content = call.name.clone().into_bytes();
    content.push(0);
    content.extend_from_slice(&call.body);
    let command = Command::RecordCall {
        team: call.team,
        id: call.id.clone(),
        hash: Digest::of(&content),
        at_ms: clock::wall_ms(),
    };
    let state = match shared.propose(&command).await {
        Ok(Reply::Call(state)) => state,
        Ok(reply) => return Err(*unexpected_reply(&reply).0),
        // The call was not dispatched, even if its record is applied later.
        Err(body) => return Err(body.ran(ExecutionStatus::NotRun)),
    };
    match state {
        CallState::Fresh => {}
        CallState::Unknown => {
            let text = "this request was recorded before and its outcome is not known";
            return Err(
                ErrorBody::new(Code::Conflict, "record", text).ran(ExecutionStatus::Unknown)
            );
        }
        CallState::Finished(outcome) => return recorded_answer(outcome),
    }
    let answer = route_call(shared, &call).await;
    let (status, stored_body) = match &answer {
        Ok(answer) => (
            answer.status,
            String::from_utf8(answer.body.to_vec()).unwrap_or_default(),
        ),
        // An unknown outcome is not recorded, so a resend learns that it is unknown.
        Err(body) if body.ran == ExecutionStatus::Unknown => return answer,
        Err(body) => (
            body.code.status(),
            serde_json::to_string(body).unwrap_or_default(),
        ),
    };
    let command = Command::FinishCall {
        team: call.team,
        id: call.id,
        status,
        body: if stored_body.len() <= MAX_STORED_ANSWER {
            stored_body
        } else {
            String::new()
        },
    };
    if let Err(error) = shared.propose(&command).await {
        tracing::debug!(step = "finish", %error, "recording the outcome of a call failed");
    }
    answer
}

fn recorded_answer(outcome: CallOutcome) -> Result<Answer, ErrorBody> {
    let body = outcome.body.unwrap_or_default();
    if let Ok(refusal) = serde_json::from_str::<ErrorBody>(&body)
        && outcome.status >= 400
    {
        return Err(refusal);
    }
    if body.is_empty() {
        let text = "this request has run; its answer is not stored";
        return Err(ErrorBody::new(Code::Conflict, "record", text).ran(ExecutionStatus::Ran));
    }
    Ok(Answer {
        status: outcome.status,
        content_type: None,
        worker: None,
        in_flight: None,
        body: Bytes::from(body),
    })
}

fn no_service(name: &str) -> ErrorBody {
    let text = format!("no reachable worker serves {name}");
    ErrorBody::new(Code::NotFound, "dispatch", text)
}

fn is_served(shared: &Arc<Shared>, service: ServiceId) -> bool {
    shared.routing.serves(service) || !serving_vms(shared, service).is_empty()
}

impl crate::engine::Engine {
    fn is_recorded(&self, call: &Call) -> bool {
        self.cell.call(call.team, &call.id).is_some()
    }
}

/// HTTP addresses of the reachable VMs that have endpoints of a service, most endpoints first.
fn serving_vms(shared: &Arc<Shared>, service: ServiceId) -> Vec<String> {
    let mut vms = shared.with_engine(|engine, now| {
        let vm_lease = engine.identity.leases.vm_ms;
        let serving = engine.peer_statuses.iter().filter_map(|(vm, status)| {
            let count = *status.services.get(service.as_str())?;
            let reachable = !status.draining && now.since(status.last_ping) < vm_lease;
            let http = engine.cell.vm(*vm)?.http.clone();
            reachable.then_some((count, http))
        });
        serving.collect::<Vec<_>>()
    });
    vms.sort_by(|x, y| y.cmp(x));
    vms.into_iter().map(|(_, http)| http).collect()
}

/// Dispatches a call to a worker of this VM, or forwards it to a VM that has endpoints of the
/// service.
async fn route_call(shared: &Arc<Shared>, call: &Call) -> Result<Answer, ErrorBody> {
    let started = clock::now();
    let mut refusal = no_service(&call.name);
    if shared.routing.serves(call.service) {
        match dispatch(shared, call).await {
            // The workers were lost before the call was sent. Another VM may own them now.
            Err(body) if body.ran == ExecutionStatus::NotRun && body.code == Code::Unavailable => {
                refusal = body;
            }
            answer => return answer,
        }
    }
    if call.forwarded {
        return Err(refusal);
    }
    for addr in serving_vms(shared, call.service) {
        let elapsed = clock::now().since(started);
        let Some(deadline_ms) = call.deadline_ms.checked_sub(elapsed).filter(|&ms| ms > 0) else {
            return Err(refusal);
        };
        let call = Call {
            deadline_ms,
            ..call.clone()
        };
        match forward(shared, &call, &addr).await {
            Err(body) if body.ran == ExecutionStatus::NotRun => refusal = body,
            answer => return answer,
        }
    }
    Err(refusal)
}

async fn forward(shared: &Arc<Shared>, call: &Call, addr: &str) -> Result<Answer, ErrorBody> {
    let mut headers = call_headers(call);
    let mut set = |name: &'static str, text: &str| {
        if let Ok(value) = HeaderValue::from_str(text) {
            headers.insert(HeaderName::from_static(name), value);
        }
    };
    set(HOP_HEADER, &shared.hop_secret);
    set(TEAM_HEADER, call.team.as_str());
    set(DEADLINE_HEADER, &call.deadline_ms.to_string());
    if call.repeat != RepeatPolicy::OnlyUnsent {
        let allowed = call.repeat == RepeatPolicy::Allowed;
        set(REPEAT_HEADER, if allowed { "yes" } else { "no" });
    }
    let path = format!("/v1/call/{}", call.name);
    let sent = send_call(shared, addr, &path, headers, call).await;
    let answer = sent.map_err(|e| e.to_error_body("pass_on"))?;
    // An answer of a worker names the worker. Without the name, an error is a refusal of the other
    // VM.
    if answer.worker.is_none() && answer.status >= 400 {
        return match serde_json::from_slice::<ErrorBody>(&answer.body) {
            Ok(body) => Err(body),
            Err(_) => {
                let text = "the other VM returned an unreadable refusal";
                Err(ErrorBody::new(Code::Unavailable, "pass_on", text)
                    .peer(addr)
                    .ran(ExecutionStatus::Unknown))
            }
        };
    }
    Ok(answer)
}
