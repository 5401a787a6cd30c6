//! Calls to services.

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
use zinnia_types::Ran;
use zinnia_types::ServiceId;
use zinnia_types::WorkerId;

use crate::WorkerEvent;
use crate::digest;
use crate::server::App;
use crate::server::refuse;

/// Header with the request id of a call.
pub const REQUEST_ID: &str = "x-request-id";

/// Header of an answer with the number of calls that the service held, this one included.
///
/// Several VMs send calls to one worker; from this each knows how long its own calls wait there.
pub const HELD: &str = "x-held";

/// Answer of a service: the whole request body with where it ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallAnswer {
    /// The worker.
    pub worker: WorkerId,
    /// The service.
    pub service: ServiceId,
    /// Request id, when the caller sent one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<String>,
    /// The request body; a JSON string when it was not JSON.
    pub body: Value,
}

/// Writes the end of a call to the log, also when its caller has gone.
struct Served<'a> {
    app: &'a App,
    service: ServiceId,
    id: Option<String>,
    response: Option<u64>,
}

impl Drop for Served<'_> {
    fn drop(&mut self) {
        self.app.log.add(WorkerEvent::Served {
            service: self.service,
            id: self.id.take(),
            response: self.response,
        });
    }
}

pub(crate) async fn call(
    app: State<App>,
    path: Path<String>,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Response {
    let service = ServiceId::new(&path.0).ok();
    let service = service.and_then(|id| app.services.find(id));
    let mut response = serve(app, path, headers, body).await;
    if let Some(service) = service {
        // The place of this call was given back just now.
        let held = service.held() + 1;
        response.headers_mut().insert(HELD, held.into());
    }
    response
}

async fn serve(
    State(app): State<App>,
    Path(name): Path<String>,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Response {
    let peer = app.worker.as_str();
    let body = match body {
        Ok(body) => body,
        Err(e) => {
            let code = match e.status() {
                StatusCode::PAYLOAD_TOO_LARGE => Code::TooLarge,
                _ => Code::BadRequest,
            };
            return refuse(ErrorBody::new(code, "call", e.body_text()).at(peer));
        }
    };
    let not_found = || {
        let text = format!("service {name} does not run here");
        refuse(ErrorBody::new(Code::NotFound, "call", text).at(peer))
    };
    let Ok(id) = ServiceId::new(&name) else {
        return not_found();
    };
    let Some(service) = app.services.find(id) else {
        return not_found();
    };
    let Some(place) = service.enter() else {
        let text = format!("all connections of {name} are taken");
        return refuse(ErrorBody::new(Code::Overloaded, "call", text).at(peer));
    };
    let Ok(_slot) = place.0.slots.acquire().await else {
        return not_found();
    };
    let request = headers
        .get(REQUEST_ID)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    app.log.add(WorkerEvent::Called {
        service: id,
        id: request.clone(),
        request: digest(&body),
    });
    let mut served = Served {
        app: &app,
        service: id,
        id: request.clone(),
        response: None,
    };
    let faults = app.faults.borrow().clone();
    tokio::time::sleep(Duration::from_millis(service.delay_ms())).await;
    if faults.stall {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(Duration::from_millis(faults.response_delay_ms)).await;
    if faults.fail {
        let text = "every call fails here";
        return refuse(
            ErrorBody::new(Code::Internal, "call", text)
                .at(peer)
                .ran(Ran::Yes),
        );
    }
    let body = serde_json::from_slice(&body)
        .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(&body).into_owned()));
    let answer = CallAnswer {
        worker: app.worker,
        service: id,
        id: request,
        body,
    };
    let Ok(answer) = serde_json::to_vec(&answer) else {
        let body = ErrorBody::new(Code::Internal, "call", "the answer cannot be written");
        return refuse(body.at(peer).ran(Ran::Yes));
    };
    served.response = Some(digest(&answer));
    ([(CONTENT_TYPE, "application/json")], answer).into_response()
}
