//! Checks of request keys, and the extractor of JSON bodies.

use std::sync::Arc;

use axum::Json;
use axum::extract::FromRequest;
use axum::extract::Request;
use axum::extract::rejection::JsonRejection;
use axum::http::HeaderMap;
use axum::http::header::AUTHORIZATION;
use serde::de::DeserializeOwned;
use zinnia_cell::KeyError;
use zinnia_cell::KeyGrant;
use zinnia_cell::KeyRole;
use zinnia_types::Code;
use zinnia_types::TeamId;

use crate::api_error::ApiError;
use crate::shared::Shared;

/// Checks the key of a request and returns its grant.
///
/// # Errors
///
/// Refuses missing, malformed, unknown and withdrawn keys. Refuses all keys once this VM has been
/// without quorum contact for the isolation period.
pub(super) async fn check_key(
    shared: &Arc<Shared>,
    headers: &HeaderMap,
) -> Result<KeyGrant, ApiError> {
    let text = headers
        .get(AUTHORIZATION)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.strip_prefix("Bearer "))
        .ok_or_else(|| {
            let text = "the header Authorization: Bearer <key> is missing or malformed";
            ApiError::new(Code::KeyRefused, "key", text)
        })?;
    let keys_expired = shared
        .with_engine(|engine, now| !engine.authority.accepts_keys(now, &engine.identity.leases));
    if keys_expired {
        let text = "this VM has been without a quorum for too long to tell which keys are valid";
        return Err(ApiError::new(Code::Unavailable, "key", text));
    }
    let mut checked = shared.with_engine(|engine, _| engine.cell.check_key(text));
    if checked == Err(KeyError::Unknown) {
        // The key may have been granted on another VM, and this VM may not have applied that yet.
        shared.catch_up().await;
        checked = shared.with_engine(|engine, _| engine.cell.check_key(text));
    }
    checked.map_err(|e| {
        metrics::counter!("zinnia_keys_refused_total").increment(1);
        ApiError::new(Code::KeyRefused, "key", e.to_string())
    })
}

/// Checks that a request has a team's key; returns the team and the grant.
///
/// # Errors
///
/// As [`check_key`]. Refuses operator keys, since the route charges a team.
pub(super) async fn require_team(
    shared: &Arc<Shared>,
    headers: &HeaderMap,
) -> Result<(TeamId, KeyGrant), ApiError> {
    let grant = check_key(shared, headers).await?;
    match grant.role {
        KeyRole::Team(team) => Ok((team, grant)),
        KeyRole::Operator => {
            let text = "an operator's key cannot submit work; use a key of the team";
            Err(ApiError::new(Code::Forbidden, "key", text))
        }
    }
}

/// Checks that a request has an operator's key.
///
/// # Errors
///
/// As [`check_key`]. Refuses team keys.
pub(super) async fn require_operator(
    shared: &Arc<Shared>,
    headers: &HeaderMap,
) -> Result<(), ApiError> {
    match check_key(shared, headers).await?.role {
        KeyRole::Operator => Ok(()),
        KeyRole::Team(_) => {
            let text = "this route needs an operator's key";
            Err(ApiError::new(Code::Forbidden, "key", text))
        }
    }
}

/// Extractor of a JSON body that refuses invalid bodies with an [`ApiError`].
pub(super) struct JsonBody<T>(pub T);

impl<T, S> FromRequest<S> for JsonBody<T>
where
    T: DeserializeOwned,
    S: Send + Sync,
{
    type Rejection = ApiError;

    async fn from_request(request: Request, state: &S) -> Result<Self, ApiError> {
        match Json::<T>::from_request(request, state).await {
            Ok(Json(value)) => Ok(Self(value)),
            Err(e) => Err(body_error(&e)),
        }
    }
}

fn body_error(rejection: &JsonRejection) -> ApiError {
    let code = match rejection.status().as_u16() {
        413 => Code::TooLarge,
        _ => Code::BadRequest,
    };
    ApiError::new(code, "parse", rejection.body_text())
}
