//! HTTP calls to the services that run on the worker.

use std::time::Duration;

use axum::body::Bytes;
use axum::extract::Path;
use axum::extract::State;
use axum::extract::rejection::BytesRejection;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::response::IntoResponse;
use axum::response::Response;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use zinnia_types::Code;
use zinnia_types::ErrorBody;
use zinnia_types::ExecutionStatus;
use zinnia_types::ServiceId;
use zinnia_types::WorkerId;

use crate::FaultInjection;
use crate::WorkerEvent;
use crate::digest;
use crate::server::ServerState;
use crate::server::error_response;

/// Request header with the id of a call.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Response header with the number of calls in flight at the service, including this one.
///
/// Several VMs send calls to one worker. From this header, each can estimate how long a call waits
/// there.
pub const IN_FLIGHT_HEADER: &str = "x-held";

/// Response of a simulated service: echoes the request body and names the worker and the service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallResponse {
    /// The worker.
    pub worker: WorkerId,
    /// The service.
    pub service: ServiceId,
    /// Request id, if the caller sent one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<String>,
    /// The request body; a body that is not JSON becomes a JSON string.
    pub body: Value,
}

/// Logs the end of a call, at the latest when dropped: the caller may close the connection.
struct CallGuard<'a> {
    state: &'a ServerState,
    service: ServiceId,
    id: Option<String>,
    ended: bool,
}

impl CallGuard<'_> {
    /// Logs the end of the call with the digest of its response body.
    ///
    /// Returns false if the worker was stopped: a process that has ended sends no response.
    fn end(&mut self, response: Option<u64>) -> bool {
        self.ended = true;
        self.state.event_log.add(WorkerEvent::Served {
            service: self.service,
            id: self.id.take(),
            response,
        })
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.end(None);
        }
    }
}

pub(crate) async fn call(
    state: State<ServerState>,
    path: Path<String>,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Response {
    let service = ServiceId::new(&path.0).ok();
    let service = service.and_then(|id| state.services.get(id));
    let mut response = serve(state, path, headers, body).await;
    if let Some(service) = service {
        // The permit of this call has already been released.
        let in_flight = service.in_flight() + 1;
        response
            .headers_mut()
            .insert(IN_FLIGHT_HEADER, in_flight.into());
    }
    response
}

async fn serve(
    State(state): State<ServerState>,
    Path(name): Path<String>,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Response {
    let worker = state.worker.as_str();
    let body = match body {
        Ok(body) => body,
        Err(e) => {
            let code = match e.status() {
                StatusCode::PAYLOAD_TOO_LARGE => Code::TooLarge,
                _ => Code::BadRequest,
            };
            return error_response(ErrorBody::new(code, "call", e.body_text()).peer(worker));
        }
    };
    let not_found = || {
        let text = format!("service {name} does not run on this worker");
        error_response(ErrorBody::new(Code::NotFound, "call", text).peer(worker))
    };
    let Ok(id) = ServiceId::new(&name) else {
        return not_found();
    };
    let Some(service) = state.services.get(id) else {
        return not_found();
    };
    let Some(permit) = service.try_acquire() else {
        let text = format!("service {name} has reached its limit of calls in flight");
        return error_response(ErrorBody::new(Code::Overloaded, "call", text).peer(worker));
    };
    let Ok(_slot) = permit.0.slots.acquire().await else {
        return not_found();
    };
    let request_id = headers
        .get(REQUEST_ID_HEADER)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    state.event_log.add(WorkerEvent::Called {
        service: id,
        id: request_id.clone(),
        request: digest(&body),
    });
    let mut guard = CallGuard {
        state: &state,
        service: id,
        id: request_id.clone(),
        ended: false,
    };
    let faults = state.faults.borrow().clone();
    tokio::time::sleep(Duration::from_millis(service.delay_ms())).await;
    let (response, digest) = respond(&state, &faults, id, request_id, &body).await;
    if !guard.end(digest) {
        // The connection ends with the worker, which has been stopped.
        std::future::pending::<()>().await;
    }
    response
}

/// Makes the response of a call that ran, with the digest of its body unless it is an error.
async fn respond(
    state: &ServerState,
    faults: &FaultInjection,
    service: ServiceId,
    id: Option<String>,
    body: &[u8],
) -> (Response, Option<u64>) {
    let failed = |text| {
        let body = ErrorBody::new(Code::Internal, "call", text);
        let body = body.peer(state.worker.as_str());
        (error_response(body.ran(ExecutionStatus::Ran)), None)
    };
    if faults.stall {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(Duration::from_millis(faults.response_delay_ms)).await;
    if faults.fail {
        return failed("fault injection fails every call");
    }
    let body = serde_json::from_slice(body)
        .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(body).into_owned()));
    let response = CallResponse {
        worker: state.worker,
        service,
        id,
        body,
    };
    let Ok(response) = serde_json::to_vec(&response) else {
        return failed("failed to serialize the response");
    };
    let digest = digest(&response);
    let response = ([(CONTENT_TYPE, "application/json")], response);
    (response.into_response(), Some(digest))
}
