//! Routes that show, check and change the operators' document.

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
use zinnia_replica::clock;
use zinnia_types::Code;
use zinnia_types::Document;
use zinnia_types::ErrorBody;
use zinnia_types::ValidationError;

use super::auth;
use super::auth::JsonBody;
use crate::api_error::ApiError;
use crate::shared::Shared;

/// Body of `PUT /v1/document`.
#[derive(Deserialize)]
pub(super) struct ApplyRequest {
    request: String,
    from: u64,
    document: Value,
}

/// Query of `GET /v1/document/history`.
#[derive(Deserialize)]
pub(super) struct HistoryQuery {
    version: Option<u64>,
}

/// `GET /v1/document`.
pub(super) async fn show(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
) -> Result<Json<Value>, ApiError> {
    auth::require_operator(&shared, &headers).await?;
    Ok(Json(shared.with_engine(
        |engine, _| match engine.cell.document() {
            Some((stamp, document)) => document_json(stamp, document),
            None => json!({"version": 0, "hash": "", "document": Document::default()}),
        },
    )))
}

fn document_json(stamp: &VersionStamp, document: &Document) -> Value {
    json!({"version": stamp.version, "hash": stamp.hash, "document": document})
}

/// `PUT /v1/document`.
pub(super) async fn apply(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    JsonBody(body): JsonBody<ApplyRequest>,
) -> Result<Response, ApiError> {
    auth::require_operator(&shared, &headers).await?;
    let document = match parse_document(body.document) {
        Ok(document) => document,
        Err(problems) => return Ok(problems_response(&problems)),
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
        Reply::Refused(refusal) => Ok(refusal_response(&refusal)),
        reply => Err(unexpected_reply(&reply)),
    }
}

fn refusal_response(refusal: &Refusal) -> Response {
    let error = ApiError::new(refusal.code(), "apply", refusal.to_string());
    let Refusal::DocumentConflict { winner, current } = refusal else {
        return error.into_response();
    };
    let mut response = ApiError::new(Code::Conflict, "apply", refusal.to_string()).into_response();
    let mut body = serde_json::to_value(&error.0).unwrap_or_default();
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

/// Parses a document and checks it.
fn parse_document(value: Value) -> Result<Document, Vec<ValidationError>> {
    let document: Document = serde_json::from_value(value).map_err(|e| {
        vec![ValidationError {
            path: String::new(),
            message: e.to_string(),
        }]
    })?;
    let problems = document.validate();
    if problems.is_empty() {
        Ok(document)
    } else {
        Err(problems)
    }
}

/// The refusal of a document or a job, with all its problems.
pub(super) fn problems_response(problems: &[ValidationError]) -> Response {
    let message = problems.first().map(ToString::to_string);
    let text = message.unwrap_or_else(|| "the request is invalid".to_owned());
    let error = ApiError::new(Code::BadRequest, "check", text);
    let mut body = serde_json::to_value(&error.0).unwrap_or_default();
    body["problems"] = serde_json::to_value(problems).unwrap_or_default();
    (axum::http::StatusCode::BAD_REQUEST, Json(body)).into_response()
}

/// The refusal for a reply of the cell that the command does not expect.
pub(super) fn unexpected_reply(reply: &Reply) -> ApiError {
    match reply {
        Reply::Refused(refusal) => ApiError::new(refusal.code(), "apply", refusal.to_string()),
        _ => ApiError::unknown_outcome(
            Code::Internal,
            "apply",
            "the cell returned an unexpected reply",
        ),
    }
}

/// `POST /v1/document/check`.
pub(super) async fn check(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    JsonBody(body): JsonBody<Value>,
) -> Result<Json<Value>, ApiError> {
    auth::require_operator(&shared, &headers).await?;
    let problems = parse_document(body).err().unwrap_or_default();
    Ok(Json(json!({ "problems": problems })))
}

/// `GET /v1/document/history`.
pub(super) async fn history(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    Query(query): Query<HistoryQuery>,
) -> Result<Json<Value>, ApiError> {
    auth::require_operator(&shared, &headers).await?;
    shared.with_engine(|engine, _| {
        let mut versions = engine.cell.history();
        if let Some(wanted) = query.version {
            let found = versions.find(|v| v.stamp.version == wanted);
            let found = found.ok_or_else(|| {
                let text = format!("version {wanted} is not kept");
                ApiError::from(ErrorBody::new(Code::NotFound, "history", text))
            })?;
            return Ok(Json(document_json(&found.stamp, &found.document)));
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
