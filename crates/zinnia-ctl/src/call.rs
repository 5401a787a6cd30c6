//! The command `call`.

use std::fs;
use std::time::Duration;

use http::Method;
use zinnia_types::Code;
use zinnia_types::ErrorBody;
use zinnia_types::ExecutionStatus;
use zinnia_types::ServiceId;

use crate::Failure;
use crate::api::RetryPolicy;
use crate::args;
use crate::client;
use crate::request_id;
use crate::run::Session;

/// Default time limit of a call in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// Time after the deadline in which the cell may still report the outcome of the call.
const RESPONSE_GRACE: Duration = Duration::from_secs(1);

/// Calls a service and writes the unmodified response body to the output.
pub(crate) async fn call(session: &mut Session<'_>, options: &args::Call) -> Result<(), Failure> {
    let service = ServiceId::new(&options.service)
        .map_err(|e| Failure::Usage(format!("service {}: {e}", options.service)))?;
    if options.repeat && options.no_repeat {
        let message = "--repeat and --no-repeat exclude each other";
        return Err(Failure::Usage(message.to_owned()));
    }
    let request_id = match &options.request {
        Some(id) => id.clone(),
        None => request_id::generate()?,
    };
    let deadline_ms = options.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let mut headers = vec![
        ("x-request-id", request_id.clone()),
        ("x-deadline-ms", deadline_ms.to_string()),
    ];
    // Either option makes a retry safe: with --repeat the request may run twice, and with
    // --no-repeat the cell records it under its id.
    let mut policy = RetryPolicy::Idempotent;
    match (options.repeat, options.no_repeat) {
        (true, _) => headers.push(("x-repeat", "yes".to_owned())),
        (_, true) => headers.push(("x-repeat", "no".to_owned())),
        (false, false) => policy = RetryPolicy::NotIdempotent,
    }
    let request = client::ApiRequest {
        method: Method::POST,
        path: format!("/v1/call/{service}"),
        headers,
        body: request_body(options)?.into(),
        timeout: Duration::from_millis(deadline_ms) + RESPONSE_GRACE,
    };
    let result = session.client.send_with_retries(&request, policy).await;
    let response = result.map_err(|e| match e {
        Failure::Unknown(reason) if options.no_repeat => {
            let hint = format!("repeat with --no-repeat --request {request_id}");
            Failure::Unknown(format!("{reason}; {hint}"))
        }
        other => other,
    })?;
    session.out.write_all(&response.body)?;
    session.out.flush()?;
    if response.status < 300 {
        return Ok(());
    }
    let message = format!("the service responded with status {}", response.status);
    let body = ErrorBody::new(Code::BadRequest, "answer", message);
    Err(Failure::refused(
        body.peer(options.service.as_str())
            .ran(ExecutionStatus::Ran),
    ))
}

fn request_body(options: &args::Call) -> Result<Vec<u8>, Failure> {
    match (&options.body, &options.file) {
        (Some(_), Some(_)) => {
            let message = "--body and --file exclude each other";
            Err(Failure::Usage(message.to_owned()))
        }
        (Some(text), None) => Ok(text.clone().into_bytes()),
        (None, Some(file)) => fs::read(file).map_err(|e| Failure::Local(format!("{file}: {e}"))),
        (None, None) => Ok(Vec::new()),
    }
}
