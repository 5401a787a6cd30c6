//! HTTP routes of the worker.

use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::extract::State;
use axum::extract::rejection::JsonRejection;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use zinnia_agent::Command;
use zinnia_agent::ControlReply;
use zinnia_agent::Reply;
use zinnia_types::AttemptId;
use zinnia_types::Code;
use zinnia_types::Epoch;
use zinnia_types::ErrorBody;
use zinnia_types::ExecutionStatus;
use zinnia_types::WorkerId;
use zinnia_types::worker::Start;
use zinnia_types::worker::Stop;
use zinnia_types::worker::Throttle;

use crate::FaultInjection;
use crate::call::call;
use crate::event_log::EventLog;
use crate::input::DriverInput;
use crate::service::Services;

/// State shared by the routes.
#[derive(Clone, Debug)]
pub(crate) struct ServerState {
    pub(crate) worker: WorkerId,
    pub(crate) input_tx: mpsc::UnboundedSender<DriverInput>,
    pub(crate) services: Services,
    pub(crate) faults: watch::Receiver<FaultInjection>,
    pub(crate) event_log: EventLog,
}

/// Body of `POST /checkpoint`.
#[derive(Clone, Copy, Debug, Deserialize)]
struct CheckpointRequest {
    epoch: Epoch,
    attempt: AttemptId,
}

pub(crate) fn routes(state: ServerState, body_bytes: usize) -> Router {
    Router::new()
        .route("/start", post(start))
        .route("/stop", post(stop))
        .route("/throttle", post(throttle))
        .route("/checkpoint", post(checkpoint))
        .route("/call/{service}", post(call))
        .route("/leave", post(leave))
        .route("/dump", get(dump))
        .route("/healthz", get(healthz))
        .fallback(not_found)
        .layer(DefaultBodyLimit::max(body_bytes))
        .with_state(state)
}

/// Response with an error body and the status of its code.
pub(crate) fn error_response(body: ErrorBody) -> Response {
    let status = StatusCode::from_u16(body.code.status());
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    (status, Json(body)).into_response()
}

type JsonBody<T> = Result<Json<T>, JsonRejection>;

async fn start(State(state): State<ServerState>, body: JsonBody<Start>) -> Response {
    state.command("start", body, Command::Start).await
}

async fn stop(State(state): State<ServerState>, body: JsonBody<Stop>) -> Response {
    state.command("stop", body, Command::Stop).await
}

async fn throttle(State(state): State<ServerState>, body: JsonBody<Throttle>) -> Response {
    state.command("throttle", body, Command::Throttle).await
}

async fn checkpoint(
    State(state): State<ServerState>,
    body: JsonBody<CheckpointRequest>,
) -> Response {
    let command = |c: CheckpointRequest| Command::Checkpoint {
        epoch: c.epoch,
        attempt: c.attempt,
    };
    state.command("checkpoint", body, command).await
}

async fn not_found(State(state): State<ServerState>) -> Response {
    let body = ErrorBody::new(Code::NotFound, "route", "no such route");
    error_response(body.peer(state.worker.as_str()))
}

async fn leave(State(state): State<ServerState>) -> Response {
    let _ = state.input_tx.send(DriverInput::Leave);
    Json(json!({})).into_response()
}

async fn dump(State(state): State<ServerState>) -> Response {
    let (tx, rx) = oneshot::channel();
    let _ = state.input_tx.send(DriverInput::Dump(tx));
    match rx.await {
        Ok(mut value) => {
            value["calls"] = state.services.in_flight().into();
            Json(value).into_response()
        }
        Err(_) => state.stopping_response("dump"),
    }
}

async fn healthz(State(state): State<ServerState>) -> Response {
    Json(json!({ "worker": state.worker })).into_response()
}

impl ServerState {
    async fn command<T>(
        &self,
        step: &str,
        body: JsonBody<T>,
        into_command: impl FnOnce(T) -> Command,
    ) -> Response {
        let Json(body) = match body {
            Ok(body) => body,
            Err(e) => {
                let code = match e.status() {
                    StatusCode::PAYLOAD_TOO_LARGE => Code::TooLarge,
                    _ => Code::BadRequest,
                };
                let body = ErrorBody::new(code, step, e.body_text());
                return error_response(body.peer(self.worker.as_str()));
            }
        };
        let (tx, rx) = oneshot::channel();
        let _ = self
            .input_tx
            .send(DriverInput::Command(into_command(body), tx));
        let Ok(reply) = rx.await else {
            return self.stopping_response(step);
        };
        let delay = self.faults.borrow().response_delay_ms;
        tokio::time::sleep(Duration::from_millis(delay)).await;
        match reply {
            Reply::Start(reply) => Json(reply).into_response(),
            Reply::Stop(reply) => Json(reply).into_response(),
            Reply::Control(ControlReply::Done) => Json(json!({})).into_response(),
            Reply::Control(ControlReply::StaleEpoch) => {
                let text = "the epoch is not that of the worker's current owner";
                error_response(
                    ErrorBody::new(Code::StaleEpoch, step, text).peer(self.worker.as_str()),
                )
            }
            Reply::Control(ControlReply::NotRunning) => {
                let text = "the attempt does not run on this worker";
                error_response(
                    ErrorBody::new(Code::NotFound, step, text).peer(self.worker.as_str()),
                )
            }
        }
    }

    fn stopping_response(&self, step: &str) -> Response {
        let body = ErrorBody::new(Code::Unavailable, step, "the worker is stopping");
        error_response(
            body.peer(self.worker.as_str())
                .ran(ExecutionStatus::Unknown),
        )
    }
}
