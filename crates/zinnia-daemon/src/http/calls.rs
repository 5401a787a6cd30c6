//! Calls to services.

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
use zinnia_types::Code;
use zinnia_types::ErrorBody;
use zinnia_types::JobId;
use zinnia_types::Ran;
use zinnia_types::ServiceId;

use super::auth;
use super::dispatch::Answer;
use super::dispatch::Call;
use super::dispatch::ID_HEADER;
use super::dispatch::Repeat;
use super::dispatch::WORKER_HEADER;
use super::dispatch::dispatch;
use super::dispatch::headers;
use super::dispatch::send;
use super::documents::odd;
use crate::reject::Reject;
use crate::shared::Shared;
use zinnia_replica::clock;

/// Marks a call that another daemon passed on.
const HOP_HEADER: &str = "x-zinnia-hop";
const TEAM_HEADER: &str = "x-zinnia-team";
const REPEAT_HEADER: &str = "x-repeat";
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Longest deadline that a caller may ask for, in milliseconds.
const MAX_DEADLINE_MS: u64 = 60_000;
/// Largest answer of a call not to be repeated that the log keeps for resends, in bytes.
const MAX_KEPT_ANSWER: usize = 16 * 1024;

/// `POST /v1/call/{service}`.
pub(super) async fn call(
    State(shared): State<Arc<Shared>>,
    Path(name): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Response, Reject> {
    let call = read(&shared, name, &headers, body).await?;
    let id = call.id.clone();
    let answer = if call.repeat == Repeat::No && !call.hop {
        call_once(&shared, call).await
    } else {
        route(&shared, &call).await
    };
    Ok(match answer {
        Ok(answer) => respond(&id, answer),
        Err(body) => with_id(&id, Reject::from(body).into_response()),
    })
}

fn respond(id: &str, answer: Answer) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = (status, answer.body).into_response();
    let headers = response.headers_mut();
    if let Some(kind) = answer.kind {
        headers.insert(CONTENT_TYPE, kind);
    }
    if let Some(worker) = answer.worker {
        headers.insert(HeaderName::from_static(WORKER_HEADER), worker);
    }
    with_id(id, response)
}

fn with_id(id: &str, mut response: Response) -> Response {
    if let Ok(value) = HeaderValue::from_str(id) {
        let name = HeaderName::from_static(ID_HEADER);
        response.headers_mut().insert(name, value);
    }
    response
}

async fn read(
    shared: &Arc<Shared>,
    name: String,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<Call, Reject> {
    let bad = |text: &str| Reject::new(Code::BadRequest, "parse", text);
    let text = |header: &str| headers.get(header).and_then(|v| v.to_str().ok());
    let hop = text(HOP_HEADER).is_some_and(|v| v.as_bytes().ct_eq(shared.hop.as_bytes()).into());
    let team = if hop {
        let team = text(TEAM_HEADER).and_then(|t| t.parse().ok());
        team.ok_or_else(|| bad("a passed-on call names its team"))?
    } else {
        auth::team(shared, headers).await?.0
    };
    let repeat = match text(REPEAT_HEADER) {
        None => Repeat::Unsent,
        Some("yes") => Repeat::Yes,
        Some("no") => Repeat::No,
        Some(_) => return Err(bad("x-repeat is yes or no")),
    };
    let id = match text(ID_HEADER) {
        Some(id)
            if !id.is_empty() && id.len() <= 64 && id.bytes().all(|b| b.is_ascii_graphic()) =>
        {
            id.to_owned()
        }
        Some(_) => return Err(bad("x-request-id has 1 to 64 visible ASCII characters")),
        None if repeat == Repeat::No => {
            return Err(bad("x-repeat: no needs the header x-request-id"));
        }
        None => format!("{}-{}", shared.settings.name, shared.number()),
    };
    let deadline_ms = match text(DEADLINE_HEADER).map(str::parse) {
        None => shared.settings.bounds.call_ms,
        Some(Ok(ms)) if (1..=MAX_DEADLINE_MS).contains(&ms) => ms,
        Some(_) => return Err(bad("x-deadline-ms is 1 to 60000")),
    };
    let job = JobId::of(team, &name).to_string();
    let service =
        ServiceId::new(&job).map_err(|e| Reject::new(Code::Internal, "parse", e.to_string()))?;
    Ok(Call {
        team,
        id,
        service,
        name,
        repeat,
        deadline_ms,
        kind: headers.get(CONTENT_TYPE).cloned(),
        body,
        hop,
    })
}

/// Records a call that must not be repeated, dispatches it if it is new, and records its outcome.
async fn call_once(shared: &Arc<Shared>, call: Call) -> Result<Answer, ErrorBody> {
    // A service that runs nowhere is refused before anything is recorded under the id.
    if !is_served(shared, call.service) && shared.with_engine(|b, _| !b.is_recorded(&call)) {
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
        Ok(reply) => return Err(*odd(&reply).0),
        // Nothing was dispatched under this request, whatever becomes of the record.
        Err(body) => return Err(body.ran(Ran::No)),
    };
    match state {
        CallState::Fresh => {}
        CallState::Unknown => {
            let text = "this request was recorded before and its outcome is not known";
            return Err(ErrorBody::new(Code::Conflict, "record", text).ran(Ran::Unknown));
        }
        CallState::Finished(outcome) => return recorded(outcome),
    }
    let answer = route(shared, &call).await;
    let (status, kept) = match &answer {
        Ok(answer) => (
            answer.status,
            String::from_utf8(answer.body.to_vec()).unwrap_or_default(),
        ),
        // An unknown outcome stays unknown in the log as well.
        Err(body) if body.ran == Ran::Unknown => return answer,
        Err(body) => (
            body.code.status(),
            serde_json::to_string(body).unwrap_or_default(),
        ),
    };
    let command = Command::FinishCall {
        team: call.team,
        id: call.id,
        status,
        body: if kept.len() <= MAX_KEPT_ANSWER {
            kept
        } else {
            String::new()
        },
    };
    if let Err(error) = shared.propose(&command).await {
        tracing::debug!(step = "finish", %error, "outcome of a call is not recorded");
    }
    answer
}

fn recorded(outcome: CallOutcome) -> Result<Answer, ErrorBody> {
    let body = outcome.body.unwrap_or_default();
    if let Ok(refusal) = serde_json::from_str::<ErrorBody>(&body)
        && outcome.status >= 400
    {
        return Err(refusal);
    }
    if body.is_empty() {
        let text = "this request has run; its answer is no longer kept";
        return Err(ErrorBody::new(Code::Conflict, "record", text).ran(Ran::Yes));
    }
    Ok(Answer {
        status: outcome.status,
        kind: None,
        worker: None,
        held: None,
        body: Bytes::from(body),
    })
}

fn no_service(name: &str) -> ErrorBody {
    let text = format!("no worker in reach serves {name}");
    ErrorBody::new(Code::NotFound, "dispatch", text)
}

fn is_served(shared: &Arc<Shared>, service: ServiceId) -> bool {
    shared.routing.serves(service) || !neighbours(shared, service).is_empty()
}

impl crate::engine::Engine {
    fn is_recorded(&self, call: &Call) -> bool {
        self.cell.call(call.team, &call.id).is_some()
    }
}

/// HTTP addresses of VMs in reach that serve a service, the one with most endpoints first.
fn neighbours(shared: &Arc<Shared>, service: ServiceId) -> Vec<String> {
    let mut list = shared.with_engine(|b, now| {
        let fresh = b.me.leases.vm_ms;
        let near = b.neighbours.iter().filter_map(|(vm, n)| {
            let count = *n.services.get(service.as_str())?;
            let reachable = !n.draining && now.since(n.heard) < fresh;
            let http = b.cell.vm(*vm)?.http.clone();
            reachable.then_some((count, http))
        });
        near.collect::<Vec<_>>()
    });
    list.sort_by(|a, b| b.cmp(a));
    list.into_iter().map(|(_, http)| http).collect()
}

/// Runs a call on an own worker, or passes it to a VM that has one.
async fn route(shared: &Arc<Shared>, call: &Call) -> Result<Answer, ErrorBody> {
    let begun = clock::now();
    let mut last = no_service(&call.name);
    if shared.routing.serves(call.service) {
        match dispatch(shared, call).await {
            // The workers were lost before the call was sent; another VM may own them by now.
            Err(body) if body.ran == Ran::No && body.code == Code::Unavailable => last = body,
            answer => return answer,
        }
    }
    if call.hop {
        return Err(last);
    }
    for addr in neighbours(shared, call.service) {
        let spent = clock::now().since(begun);
        let Some(deadline_ms) = call.deadline_ms.checked_sub(spent).filter(|&ms| ms > 0) else {
            return Err(last);
        };
        let call = Call {
            deadline_ms,
            ..call.clone()
        };
        match pass_on(shared, &call, &addr).await {
            Err(body) if body.ran == Ran::No => last = body,
            answer => return answer,
        }
    }
    Err(last)
}

async fn pass_on(shared: &Arc<Shared>, call: &Call, addr: &str) -> Result<Answer, ErrorBody> {
    let mut headers = headers(call);
    let mut set = |name: &'static str, text: &str| {
        if let Ok(value) = HeaderValue::from_str(text) {
            headers.insert(HeaderName::from_static(name), value);
        }
    };
    set(HOP_HEADER, &shared.hop);
    set(TEAM_HEADER, call.team.as_str());
    set(DEADLINE_HEADER, &call.deadline_ms.to_string());
    if call.repeat != Repeat::Unsent {
        let yes = call.repeat == Repeat::Yes;
        set(REPEAT_HEADER, if yes { "yes" } else { "no" });
    }
    let path = format!("/v1/call/{}", call.name);
    let sent = send(shared, addr, &path, headers, call).await;
    let answer = sent.map_err(|e| e.to_error_body("pass_on"))?;
    // Only a worker's answer names a worker; anything else is a refusal of the other VM.
    if answer.worker.is_none() && answer.status >= 400 {
        return match serde_json::from_slice::<ErrorBody>(&answer.body) {
            Ok(body) => Err(body),
            Err(_) => {
                let text = "the other VM gave no usable answer";
                Err(ErrorBody::new(Code::Unavailable, "pass_on", text)
                    .at(addr)
                    .ran(Ran::Unknown))
            }
        };
    }
    Ok(answer)
}
