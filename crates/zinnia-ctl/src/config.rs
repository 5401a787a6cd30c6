//! The commands `config check`, `config apply`, `config show` and `config history`.

use std::fs;

use http::Method;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use zinnia_types::Code;
use zinnia_types::Document;
use zinnia_types::ErrorBody;
use zinnia_types::ValidationError;
use zinnia_types::parse_jsonc;

use crate::Failure;
use crate::api;
use crate::api::RetryPolicy;
use crate::args::Apply;
use crate::args::Check;
use crate::args::Show;
use crate::output;
use crate::output::Column;
use crate::request_id;
use crate::run::Session;

const HISTORY_COLUMNS: [Column; 5] = [
    ("VERSION", "version"),
    ("FROM", "from"),
    ("HASH", "hash"),
    ("AT_MS", "at_ms"),
    ("REQUEST", "request"),
];

/// Body of a request to apply a document.
#[derive(Serialize)]
struct ApplyRequest<'a> {
    request: &'a str,
    from: u64,
    document: &'a Document,
}

/// Version and hash of the document in force.
#[derive(Deserialize, Serialize)]
struct DocumentVersion {
    version: u64,
    hash: String,
}

/// Checks a document file without a server.
pub(crate) fn check(session: &mut Session<'_>, options: &Check) -> Result<(), Failure> {
    let document = read_document(&options.file)?;
    if session.json {
        return output::write_json(session.out, &json!({"problems": []}));
    }
    writeln!(
        session.out,
        "{}: {} teams, {} kinds, {} shifts, no problems",
        options.file,
        document.teams.len(),
        document.kinds.len(),
        document.shifts.len()
    )?;
    Ok(())
}

/// Applies a document file, which then becomes the version in force.
pub(crate) async fn apply(session: &mut Session<'_>, options: &Apply) -> Result<(), Failure> {
    let document = read_document(&options.file)?;
    let from = match options.from {
        Some(version) => version,
        None => {
            let request = api::get_request("/v1/document");
            let current: DocumentVersion = session
                .client
                .request_json(&request, RetryPolicy::ReadOnly)
                .await?;
            current.version
        }
    };
    let request_id = match &options.request {
        Some(id) => id.clone(),
        None => request_id::generate()?,
    };
    let body = ApplyRequest {
        request: &request_id,
        from,
        document: &document,
    };
    let request = api::json_request(Method::PUT, "/v1/document", &body)?;
    let result = session
        .client
        .request_json(&request, RetryPolicy::Idempotent)
        .await;
    let current: DocumentVersion = result.map_err(|e| with_repeat_hint(e, &request_id, from))?;
    if session.json {
        let response =
            json!({"version": current.version, "hash": current.hash, "request": request_id});
        return output::write_json(session.out, &response);
    }
    let hash = output::replace_control_chars(&current.hash);
    writeln!(
        session.out,
        "version {} in force, hash {hash}",
        current.version
    )?;
    Ok(())
}

/// Adds to an unknown outcome the options that repeat the request safely.
fn with_repeat_hint(failure: Failure, request_id: &str, from: u64) -> Failure {
    match failure {
        Failure::Unknown(reason) => Failure::Unknown(format!(
            "{reason}; repeat with --request {request_id} --from {from}"
        )),
        other => other,
    }
}

/// Prints the document in force, or an earlier one.
pub(crate) async fn show(session: &mut Session<'_>, options: &Show) -> Result<(), Failure> {
    let path = match options.version {
        Some(version) => format!("/v1/document/history?version={version}"),
        None => "/v1/document".to_owned(),
    };
    let response: Value = session
        .client
        .request_json(&api::get_request(path), RetryPolicy::ReadOnly)
        .await?;
    if session.json {
        return output::write_json(session.out, &response);
    }
    // Printed as a comment, so that the output can be edited and applied again.
    let version = output::format_value(&response["version"]);
    let hash = output::format_value(&response["hash"]);
    writeln!(session.out, "// version {version}, hash {hash}")?;
    output::write_json(session.out, &response["document"])
}

/// Lists the versions of the document that the cell still keeps.
pub(crate) async fn history(session: &mut Session<'_>) -> Result<(), Failure> {
    let request = api::get_request("/v1/document/history");
    let response: Value = session
        .client
        .request_json(&request, RetryPolicy::ReadOnly)
        .await?;
    output::write_rows(session, &response, "versions", &HISTORY_COLUMNS)
}

/// Reads a document file and checks its rules.
fn read_document(file: &str) -> Result<Document, Failure> {
    let text = fs::read_to_string(file).map_err(|e| Failure::Local(format!("{file}: {e}")))?;
    let document: Document =
        parse_jsonc(&text).map_err(|e| Failure::Usage(format!("{file}: {e}")))?;
    let problems = document.validate();
    if problems.is_empty() {
        return Ok(document);
    }
    Err(invalid_document(file, &problems))
}

fn invalid_document(file: &str, problems: &[ValidationError]) -> Failure {
    let message = match problems.len() {
        1 => format!("{file} has 1 problem"),
        n => format!("{file} has {n} problems"),
    };
    let body = ErrorBody::new(Code::BadRequest, "check", message);
    let mut raw = serde_json::to_value(&body).unwrap_or_default();
    raw["problems"] = json!(problems);
    Failure::Refused { body, raw }
}
