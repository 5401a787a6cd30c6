//! HTTP routes of a worker.

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
use zinnia_agent::OrderReply;
use zinnia_agent::Reply;
use zinnia_types::AttemptId;
use zinnia_types::Code;
use zinnia_types::Epoch;
use zinnia_types::ErrorBody;
use zinnia_types::Ran;
use zinnia_types::WorkerId;
use zinnia_types::worker::Start;
use zinnia_types::worker::Stop;
use zinnia_types::worker::Throttle;

use crate::FaultInjection;
use crate::call::call;
use crate::input::Input;
use crate::record::EventLog;
use crate::service::Services;

/// What the routes share.
#[derive(Clone, Debug)]
pub(crate) struct App {
    pub(crate) worker: WorkerId,
    pub(crate) shell: mpsc::UnboundedSender<Input>,
    pub(crate) services: Services,
    pub(crate) faults: watch::Receiver<FaultInjection>,
    pub(crate) log: EventLog,
}

/// Body of `POST /checkpoint`.
#[derive(Clone, Copy, Debug, Deserialize)]
struct Checkpoint {
    epoch: Epoch,
    attempt: AttemptId,
}

pub(crate) fn routes(app: App, body_bytes: usize) -> Router {
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
        .with_state(app)
}

/// A refusal as a response.
pub(crate) fn refuse(body: ErrorBody) -> Response {
    let status = StatusCode::from_u16(body.code.status());
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    (status, Json(body)).into_response()
}

type Body<T> = Result<Json<T>, JsonRejection>;

async fn start(State(app): State<App>, body: Body<Start>) -> Response {
    app.command("start", body, Command::Start).await
}

async fn stop(State(app): State<App>, body: Body<Stop>) -> Response {
    app.command("stop", body, Command::Stop).await
}

async fn throttle(State(app): State<App>, body: Body<Throttle>) -> Response {
    app.command("throttle", body, Command::Throttle).await
}

async fn checkpoint(State(app): State<App>, body: Body<Checkpoint>) -> Response {
    let wrap = |c: Checkpoint| Command::Checkpoint {
        epoch: c.epoch,
        attempt: c.attempt,
    };
    app.command("checkpoint", body, wrap).await
}

async fn not_found(State(app): State<App>) -> Response {
    let body = ErrorBody::new(Code::NotFound, "route", "no such route");
    refuse(body.at(app.worker.as_str()))
}

async fn leave(State(app): State<App>) -> Response {
    let _ = app.shell.send(Input::Leave);
    Json(json!({})).into_response()
}

async fn dump(State(app): State<App>) -> Response {
    let (tx, rx) = oneshot::channel();
    let _ = app.shell.send(Input::Dump(tx));
    match rx.await {
        Ok(mut value) => {
            value["calls"] = app.services.held().into();
            Json(value).into_response()
        }
        Err(_) => app.ended("dump"),
    }
}

async fn healthz(State(app): State<App>) -> Response {
    Json(json!({ "worker": app.worker })).into_response()
}

impl App {
    async fn command<T>(
        &self,
        step: &str,
        body: Body<T>,
        wrap: impl FnOnce(T) -> Command,
    ) -> Response {
        let Json(body) = match body {
            Ok(body) => body,
            Err(e) => {
                let code = match e.status() {
                    StatusCode::PAYLOAD_TOO_LARGE => Code::TooLarge,
                    _ => Code::BadRequest,
                };
                let body = ErrorBody::new(code, step, e.body_text());
                return refuse(body.at(self.worker.as_str()));
            }
        };
        let (tx, rx) = oneshot::channel();
        let _ = self.shell.send(Input::Command(wrap(body), tx));
        let Ok(reply) = rx.await else {
            return self.ended(step);
        };
        let late = self.faults.borrow().response_delay_ms;
        tokio::time::sleep(Duration::from_millis(late)).await;
        match reply {
            Reply::Start(reply) => Json(reply).into_response(),
            Reply::Stop(reply) => Json(reply).into_response(),
            Reply::Order(OrderReply::Done) => Json(json!({})).into_response(),
            Reply::Order(OrderReply::StaleEpoch) => {
                let text = "the epoch is not that of the worker's owner";
                refuse(ErrorBody::new(Code::StaleEpoch, step, text).at(self.worker.as_str()))
            }
            Reply::Order(OrderReply::NotRunning) => {
                let text = "the attempt does not run here";
                refuse(ErrorBody::new(Code::NotFound, step, text).at(self.worker.as_str()))
            }
        }
    }

    fn ended(&self, step: &str) -> Response {
        let body = ErrorBody::new(Code::Unavailable, step, "the worker is ending");
        refuse(body.at(self.worker.as_str()).ran(Ran::Unknown))
    }
}
