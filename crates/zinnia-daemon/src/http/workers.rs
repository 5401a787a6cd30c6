//! Routes for workers.

use std::sync::Arc;
use std::time::Duration;

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
use zinnia_types::worker::Profile;

use super::auth::Body;
use crate::reject::Reject;
use crate::shared::Shared;

/// Pause before a proposal for the roster is repeated.
const RETRY: Duration = Duration::from_millis(500);

/// `POST /v1/workers/announce`.
pub(super) async fn announce(
    State(shared): State<Arc<Shared>>,
    Body(msg): Body<Announce>,
) -> Result<Json<AnnounceReply>, Reject> {
    let profile = msg.profile.clone();
    let name = shared.settings.name;
    let reply = shared
        .with_engine(|engine, now| engine.announce(msg, now))
        .map_err(|e| Reject::from(e).at(name.as_str()))?;
    if matches!(reply, AnnounceReply::Accepted { .. }) {
        enlist(&shared, profile);
    }
    Ok(Json(reply))
}

/// `POST /v1/workers/heartbeat`.
pub(super) async fn heartbeat(
    State(shared): State<Arc<Shared>>,
    body: Bytes,
) -> Result<Response, Reject> {
    let name = shared.settings.name;
    // Read without the usual extractor, which asks for a content type: a sixth of a heartbeat.
    let msg: Heartbeat = serde_json::from_slice(&body)
        .map_err(|e| Reject::new(Code::BadRequest, "parse", e.to_string()))?;
    let (reply, absent) = shared.with_engine(|engine, now| {
        let reply = engine.heartbeat(&msg, now);
        // The leader takes workers that stayed lost off the roster; one that returns is put back.
        let listed = engine.cell.worker(msg.worker).is_some();
        let owned = engine.owned.get(&msg.worker).filter(|_| !listed);
        (reply, owned.map(|o| o.profile.clone()))
    });
    if let Some(profile) = absent {
        enlist(&shared, profile);
    }
    let reply = reply.map_err(|e| Reject::from(e).at(name.as_str()))?;
    // Most heartbeats are answered like this, in a fifth of the bytes of the shortest JSON answer.
    if reply == HeartbeatReply::plain(msg.seq) {
        return Ok(StatusCode::NO_CONTENT.into_response());
    }
    Ok(Json(reply).into_response())
}

/// Puts a worker into the roster, unless it is there already; tried until it succeeds or the worker
/// is no longer owned.
fn enlist(shared: &Arc<Shared>, profile: Profile) {
    let known = shared.with_engine(|b, _| b.cell.worker(profile.worker) == Some(&profile));
    if known {
        return;
    }
    let shared = Arc::clone(shared);
    let worker = profile.worker;
    shared.runtime.clone().spawn(async move {
        let command = Command::Workers {
            add: vec![profile],
            remove: Vec::new(),
        };
        while shared.with_engine(|b, _| b.owned.contains_key(&worker)) {
            match shared.propose(&command).await {
                Ok(_) => return,
                Err(error) => {
                    tracing::debug!(step = "enlist", %error, "worker is not in the roster yet");
                    tokio::time::sleep(RETRY).await;
                }
            }
        }
    });
}
