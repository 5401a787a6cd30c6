//! Routes for the operators' document.

use std::sync::Arc;

use axum::Json;
use axum::extract::Query;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::response::IntoResponse;
use axum::response::Response;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use zinnia_cell::Command;
use zinnia_cell::Refusal;
use zinnia_cell::Reply;
use zinnia_cell::VersionStamp;
use zinnia_types::Code;
use zinnia_types::Document;
use zinnia_types::ErrorBody;
use zinnia_types::Problem;

use super::auth;
use super::auth::Body;
use crate::reject::Reject;
use crate::shared::Shared;
use zinnia_replica::clock;

/// Body of `PUT /v1/document`.
#[derive(Deserialize)]
pub(super) struct Apply {
    request: String,
    from: u64,
    document: Value,
}

/// Query of `GET /v1/document/history`.
#[derive(Deserialize)]
pub(super) struct Which {
    version: Option<u64>,
}

/// `GET /v1/document`.
pub(super) async fn show(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
) -> Result<Json<Value>, Reject> {
    auth::operator(&shared, &headers).await?;
    Ok(Json(shared.with_engine(|b, _| match b.cell.document() {
        Some((stamp, document)) => shape(stamp, document),
        None => json!({"version": 0, "hash": "", "document": Document::default()}),
    })))
}

fn shape(stamp: &VersionStamp, document: &Document) -> Value {
    json!({"version": stamp.version, "hash": stamp.hash, "document": document})
}

/// `PUT /v1/document`.
pub(super) async fn apply(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    Body(body): Body<Apply>,
) -> Result<Response, Reject> {
    auth::operator(&shared, &headers).await?;
    let document = match read(body.document) {
        Ok(document) => document,
        Err(problems) => return Ok(faulty(&problems)),
    };
    let command = Command::ApplyDocument {
        request: body.request,
        from: body.from,
        document,
        at_ms: clock::wall_ms(),
    };
    match shared.propose(&command).await? {
        Reply::Document { stamp, .. } => {
            Ok(Json(json!({"version": stamp.version, "hash": stamp.hash})).into_response())
        }
        Reply::Refused(refusal) => Ok(refused(&refusal)),
        reply => Err(odd(&reply)),
    }
}

fn refused(refusal: &Refusal) -> Response {
    let reject = Reject::new(refusal.code(), "apply", refusal.to_string());
    let Refusal::DocumentConflict { winner, current } = refusal else {
        return reject.into_response();
    };
    let mut response = Reject::new(Code::Conflict, "apply", refusal.to_string()).into_response();
    let mut body = serde_json::to_value(&reject.0).unwrap_or_default();
    if let Some(stamp) = winner.as_ref().or(current.as_ref()) {
        body["winner"] = json!({
            "version": stamp.version,
            "hash": stamp.hash,
            "request": stamp.request,
        });
    }
    *response.body_mut() = Json(body).into_response().into_body();
    response.headers_mut().remove("content-length");
    response
}

/// Reads a document and checks it.
fn read(value: Value) -> Result<Document, Vec<Problem>> {
    let document: Document = serde_json::from_value(value).map_err(|e| {
        vec![Problem {
            path: String::new(),
            message: e.to_string(),
        }]
    })?;
    let problems = document.check();
    if problems.is_empty() {
        Ok(document)
    } else {
        Err(problems)
    }
}

/// A refusal that lists the faults of a document or a job.
pub(super) fn faulty(problems: &[Problem]) -> Response {
    let first = problems.first().map(ToString::to_string);
    let text = first.unwrap_or_else(|| "the request has faults".to_owned());
    let reject = Reject::new(Code::BadRequest, "check", text);
    let mut body = serde_json::to_value(&reject.0).unwrap_or_default();
    body["problems"] = serde_json::to_value(problems).unwrap_or_default();
    (axum::http::StatusCode::BAD_REQUEST, Json(body)).into_response()
}

/// The refusal for an answer of the cell that does not belong to the command.
pub(super) fn odd(reply: &Reply) -> Reject {
    match reply {
        Reply::Refused(refusal) => Reject::new(refusal.code(), "apply", refusal.to_string()),
        _ => Reject::unknown(
            Code::Internal,
            "apply",
            "the cell gave an unexpected answer",
        ),
    }
}

/// `POST /v1/document/check`.
pub(super) async fn check(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    Body(body): Body<Value>,
) -> Result<Json<Value>, Reject> {
    auth::operator(&shared, &headers).await?;
    let problems = read(body).err().unwrap_or_default();
    Ok(Json(json!({ "problems": problems })))
}

/// `GET /v1/document/history`.
pub(super) async fn history(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    Query(which): Query<Which>,
) -> Result<Json<Value>, Reject> {
    auth::operator(&shared, &headers).await?;
    shared.with_engine(|b, _| {
        let mut versions = b.cell.history();
        if let Some(wanted) = which.version {
            let found = versions.find(|v| v.stamp.version == wanted);
            let found = found.ok_or_else(|| {
                let text = format!("version {wanted} is not kept");
                Reject::from(ErrorBody::new(Code::NotFound, "history", text))
            })?;
            return Ok(Json(shape(&found.stamp, &found.document)));
        }
        let rows: Vec<Value> = versions
            .map(|v| {
                json!({
                    "version": v.stamp.version,
                    "hash": v.stamp.hash,
                    "from": v.stamp.version - 1,
                    "request": v.stamp.request,
                    "at_ms": v.stamp.at_ms,
                })
            })
            .collect();
        Ok(Json(json!({ "versions": rows })))
    })
}

/// `GET /v1/document/schema`.
pub(super) async fn schema() -> Json<Value> {
    Json(Document::schema())
}
