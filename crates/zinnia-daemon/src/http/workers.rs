//! Routes for workers: announcements and heartbeats.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use axum::Json;
use axum::body::Bytes;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use zinnia_cell::Command;
use zinnia_types::Code;
use zinnia_types::worker::Announce;
use zinnia_types::worker::AnnounceReply;
use zinnia_types::worker::Heartbeat;
use zinnia_types::worker::HeartbeatReply;
use zinnia_types::worker::WorkerProfile;

use super::auth::JsonBody;
use crate::api_error::ApiError;
use crate::shared::Shared;

/// Delay before a failed proposal to register a worker is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest time for which the announcement of a silent worker waits until the log resumes the
/// renewal of its leases. It is shorter than the timeout of the announcement, 700 ms.
const RESUME_WAIT: Duration = Duration::from_millis(600);
/// Interval at which a waiting announcement is tried again.
const RESUME_POLL: Duration = Duration::from_millis(20);

/// `POST /v1/workers/announce`.
pub(super) async fn announce(
    State(shared): State<Arc<Shared>>,
    JsonBody(message): JsonBody<Announce>,
) -> Result<Json<AnnounceReply>, ApiError> {
    let profile = message.profile.clone();
    let name = shared.settings.name;
    let deadline = Instant::now() + RESUME_WAIT;
    let reply = loop {
        let (reply, is_resuming) = shared.with_engine(|engine, now| {
            let reply = engine.announce(message.clone(), now);
            let is_resuming = engine.awaits_resumption(profile.domain, profile.worker);
            (reply, is_resuming)
        });
        // The worker would try again only after a backoff.
        if reply.is_ok() || !is_resuming || Instant::now() >= deadline {
            break reply;
        }
        tokio::time::sleep(RESUME_POLL).await;
    };
    let reply = reply.map_err(|e| ApiError::from(e).at(name.as_str()))?;
    if matches!(reply, AnnounceReply::Accepted { .. }) {
        register_worker(&shared, profile);
    }
    Ok(Json(reply))
}

/// `POST /v1/workers/heartbeat`.
pub(super) async fn heartbeat(
    State(shared): State<Arc<Shared>>,
    body: Bytes,
) -> Result<Response, ApiError> {
    let name = shared.settings.name;
    // The body is read without the JSON extractor, which requires a content type header. That
    // header alone would be a sixth of a heartbeat's bytes.
    let message: Heartbeat = serde_json::from_slice(&body)
        .map_err(|e| ApiError::new(Code::BadRequest, "parse", e.to_string()))?;
    let (reply, unregistered) = shared.with_engine(|engine, now| {
        let reply = engine.heartbeat(&message, now);
        // The leader deregisters workers that stay lost. One that returns is registered again.
        let registered = engine.cell.worker(message.worker).is_some();
        let owned = engine
            .owned_workers
            .get(&message.worker)
            .filter(|_| !registered);
        (reply, owned.map(|o| o.profile.clone()))
    });
    if let Some(profile) = unregistered {
        register_worker(&shared, profile);
    }
    let reply = reply.map_err(|e| ApiError::from(e).at(name.as_str()))?;
    // Most heartbeats get this answer without a body, which takes a fifth of the bytes of the
    // shortest JSON answer.
    if reply == HeartbeatReply::renewal(message.seq) {
        return Ok(StatusCode::NO_CONTENT.into_response());
    }
    Ok(Json(reply).into_response())
}

/// Registers a worker in the cell unless it is registered already. The proposal is retried until it
/// succeeds or this VM no longer owns the worker.
fn register_worker(shared: &Arc<Shared>, profile: WorkerProfile) {
    let registered =
        shared.with_engine(|engine, _| engine.cell.worker(profile.worker) == Some(&profile));
    if registered {
        return;
    }
    let shared = Arc::clone(shared);
    let worker = profile.worker;
    shared.runtime.clone().spawn(async move {
        let command = Command::Workers {
            add: vec![profile],
            remove: Vec::new(),
            leases: None,
        };
        while shared.with_engine(|engine, _| engine.owned_workers.contains_key(&worker)) {
            match shared.propose(&command).await {
                Ok(_) => return,
                Err(error) => {
                    tracing::debug!(step = "enlist", %error, "registering a worker failed; retrying");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    });
}
