//! Routes that grant, withdraw and list keys.

use std::sync::Arc;

use axum::Json;
use axum::extract::State;
use axum::http::HeaderMap;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use zinnia_cell::Command;
use zinnia_cell::KeyHash;
use zinnia_cell::KeyId;
use zinnia_cell::KeyRole;
use zinnia_cell::Reply;
use zinnia_types::Code;
use zinnia_types::TeamId;

use super::auth;
use super::auth::JsonBody;
use super::documents::unexpected_reply;
use crate::api_error::ApiError;
use crate::peers;
use crate::shared::Shared;

/// Body of `POST /v1/keys`.
#[derive(Deserialize)]
pub(super) struct GrantRequest {
    request: String,
    #[serde(default)]
    team: Option<TeamId>,
    #[serde(default)]
    operator: bool,
}

/// Body of `POST /v1/keys/withdraw`.
#[derive(Deserialize)]
pub(super) struct WithdrawRequest {
    ids: Vec<KeyId>,
}

/// `POST /v1/keys`.
pub(super) async fn grant(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    JsonBody(body): JsonBody<GrantRequest>,
) -> Result<Json<Value>, ApiError> {
    auth::require_operator(&shared, &headers).await?;
    let role = match (body.team, body.operator) {
        (Some(team), false) => KeyRole::Team(team),
        (None, true) => KeyRole::Operator,
        _ => {
            let text = "needs either a team or operator: true";
            return Err(ApiError::new(Code::BadRequest, "check", text));
        }
    };
    if let KeyRole::Team(team) = role {
        let team_exists = || {
            shared.with_engine(|engine, _| {
                engine
                    .cell
                    .document()
                    .is_some_and(|(_, d)| d.team(team).is_some())
            })
        };
        let mut known = team_exists();
        if !known {
            shared.catch_up().await;
            known = team_exists();
        }
        if !known {
            let text = format!("the document has no team {team}");
            return Err(ApiError::new(Code::NotFound, "check", text));
        }
    }
    let (id, key) = new_key().ok_or_else(|| {
        ApiError::new(
            Code::Internal,
            "grant",
            "the system's random number generator failed",
        )
    })?;
    let command = Command::GrantKey {
        id,
        hash: KeyHash::of(&key),
        role,
        request: body.request,
    };
    match shared.propose(&command).await? {
        Reply::Done => Ok(Json(json!({"id": id, "key": key}))),
        reply => Err(unexpected_reply(&reply)),
    }
}

/// Generates a random key and its id.
pub(super) fn new_key() -> Option<(KeyId, String)> {
    let random = || getrandom::u64().ok();
    let id = format!("{:08x}", random()? >> 32);
    let secret = format!("{:016x}{:016x}", random()?, random()?);
    let key = format!("zk_{id}_{secret}");
    Some((id.parse().ok()?, key))
}

/// `POST /v1/keys/withdraw`, which needs no quorum.
pub(super) async fn withdraw(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    JsonBody(body): JsonBody<WithdrawRequest>,
) -> Result<Json<Value>, ApiError> {
    auth::require_operator(&shared, &headers).await?;
    if body.ids.is_empty() || body.ids.len() > 10_000 {
        let text = "needs 1 to 10000 key ids";
        return Err(ApiError::new(Code::BadRequest, "check", text));
    }
    let on_disk = peers::withdraw_keys(&shared, &body.ids);
    let on_other_disk = announce_withdrawal(&shared, &body.ids).await;
    let command = Command::WithdrawKeys { ids: body.ids };
    let logged = matches!(shared.propose(&command).await, Ok(Reply::Done));
    let durable = if logged {
        "quorum"
    } else if matches!(on_disk, Ok(true)) || on_other_disk {
        "domain"
    } else {
        "memory"
    };
    Ok(Json(json!({ "durable": durable })))
}

/// Sends the withdrawal to every other VM; returns whether one of them has it on disk.
async fn announce_withdrawal(shared: &Arc<Shared>, ids: &[KeyId]) -> bool {
    let vms = shared.with_engine(|engine, _| {
        let own_id = engine.identity.vm.id;
        let others = engine.cell.vms().filter(|v| v.id != own_id);
        others.map(|v| v.peer.clone()).collect::<Vec<_>>()
    });
    let calls = vms.into_iter().map(|addr| {
        let shared = Arc::clone(shared);
        async move {
            let answer = shared.links.call::<_, bool>(&addr, "withdraw", ids).await;
            matches!(answer, Ok(true))
        }
    });
    let answers = futures_util::future::join_all(calls).await;
    answers.contains(&true)
}

/// `GET /v1/keys`.
pub(super) async fn list(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
) -> Result<Json<Value>, ApiError> {
    auth::require_operator(&shared, &headers).await?;
    let rows: Vec<Value> = shared.with_engine(|engine, _| {
        let row = |(grant, withdrawn): (zinnia_cell::KeyGrant, bool)| {
            let team = match grant.role {
                KeyRole::Team(team) => Some(team),
                KeyRole::Operator => None,
            };
            json!({
                "id": grant.id,
                "team": team,
                "operator": team.is_none(),
                "withdrawn": withdrawn,
            })
        };
        engine.cell.keys().map(row).collect()
    });
    Ok(Json(json!({ "keys": rows })))
}
