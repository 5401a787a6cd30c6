//! Keys and bodies of requests.

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

use crate::reject::Reject;
use crate::shared::Shared;

/// The key of a request, checked.
///
/// # Errors
///
/// Refuses missing, malformed, unknown and withdrawn keys, and all keys once this VM has been
/// isolated for longer than the isolation period.
pub(super) async fn key(shared: &Arc<Shared>, headers: &HeaderMap) -> Result<KeyGrant, Reject> {
    let text = headers
        .get(AUTHORIZATION)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.strip_prefix("Bearer "))
        .ok_or_else(|| {
            let text = "a key is needed: Authorization: Bearer <key>";
            Reject::new(Code::KeyRefused, "key", text)
        })?;
    let isolated = shared.with_engine(|b, now| !b.authority.accepts_keys(now, &b.me.leases));
    if isolated {
        let text = "this VM has been without a quorum for too long to know which keys hold";
        return Err(Reject::new(Code::Unavailable, "key", text));
    }
    let mut checked = shared.with_engine(|b, _| b.cell.check_key(text));
    if checked == Err(KeyError::Unknown) {
        // The key may have been granted a moment ago on another VM.
        shared.catch_up().await;
        checked = shared.with_engine(|b, _| b.cell.check_key(text));
    }
    checked.map_err(|e| {
        metrics::counter!("zinnia_keys_refused_total").increment(1);
        Reject::new(Code::KeyRefused, "key", e.to_string())
    })
}

/// The team whose key came with a request.
///
/// # Errors
///
/// As [`key`]; an operator's key opens no route that charges a team.
pub(super) async fn team(
    shared: &Arc<Shared>,
    headers: &HeaderMap,
) -> Result<(TeamId, KeyGrant), Reject> {
    let grant = key(shared, headers).await?;
    match grant.role {
        KeyRole::Team(team) => Ok((team, grant)),
        KeyRole::Operator => {
            let text = "an operator's key submits no work; use a key of the team";
            Err(Reject::new(Code::Forbidden, "key", text))
        }
    }
}

/// Checks that an operator's key came with a request.
///
/// # Errors
///
/// As [`key`]; a team's key opens no operator route.
pub(super) async fn operator(shared: &Arc<Shared>, headers: &HeaderMap) -> Result<(), Reject> {
    match key(shared, headers).await?.role {
        KeyRole::Operator => Ok(()),
        KeyRole::Team(_) => {
            let text = "this route needs an operator's key";
            Err(Reject::new(Code::Forbidden, "key", text))
        }
    }
}

/// A JSON body whose refusal has the usual form.
pub(super) struct Body<T>(pub T);

impl<T, S> FromRequest<S> for Body<T>
where
    T: DeserializeOwned,
    S: Send + Sync,
{
    type Rejection = Reject;

    async fn from_request(request: Request, state: &S) -> Result<Self, Reject> {
        match Json::<T>::from_request(request, state).await {
            Ok(Json(value)) => Ok(Self(value)),
            Err(e) => Err(refuse(&e)),
        }
    }
}

fn refuse(e: &JsonRejection) -> Reject {
    let code = match e.status().as_u16() {
        413 => Code::TooLarge,
        _ => Code::BadRequest,
    };
    Reject::new(code, "parse", e.body_text())
}
