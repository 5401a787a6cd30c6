//! Answers of the server itself, and large answers within the memory of their listener.

use std::sync::Arc;

use axum::body::Body;
use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use zinnia_types::Code;
use zinnia_types::ErrorBody;

use super::Admission;
use super::body::Refusal;
use super::hold::HeldBytes;

/// Answers up to this length are not counted; the number of connections bounds them.
const SMALL_BYTES: u64 = 4 * 1024;

/// Answers a request that was not run, and closes its connection.
pub(super) fn refusal(refusal: Refusal) -> Response<Body> {
    let (status, code, why) = match refusal {
        Refusal::TooLarge => (
            StatusCode::PAYLOAD_TOO_LARGE,
            Code::TooLarge,
            "the body is too large",
        ),
        Refusal::TooSlow => (
            StatusCode::REQUEST_TIMEOUT,
            Code::Timeout,
            "the body came too slowly",
        ),
        Refusal::NoMemory => (
            StatusCode::SERVICE_UNAVAILABLE,
            Code::Unavailable,
            "open requests hold all memory that they may; come back later",
        ),
        Refusal::Broken => (
            StatusCode::BAD_REQUEST,
            Code::BadRequest,
            "the body is malformed or incomplete",
        ),
    };
    let body = serde_json::to_vec(&ErrorBody::new(code, "receive", why)).unwrap_or_default();
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if refusal == Refusal::NoMemory {
        headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
    }
    response
}

/// Reserves memory for a large answer to a read until it is sent; without enough memory, the read is refused.
/// Answers to other requests are passed on as they are, since those have run.
pub(super) async fn held_read(
    response: Response<Body>,
    admission: &Arc<Admission>,
) -> Response<Body> {
    let length = response.body().size_hint().exact();
    let Some(length) = length.filter(|n| *n > SMALL_BYTES) else {
        return response;
    };
    let hold = usize::try_from(length).ok().and_then(|n| admission.hold(n));
    let Some(hold) = hold else {
        admission.report().refused(Refusal::NoMemory.name());
        return refusal(Refusal::NoMemory);
    };
    let (parts, body) = response.into_parts();
    match body.collect().await {
        Ok(collected) => {
            let held = HeldBytes {
                bytes: collected.to_bytes(),
                hold,
            };
            Response::from_parts(parts, Body::from(Bytes::from_owner(held)))
        }
        Err(error) => {
            tracing::warn!(event = "serve", %error, "an answer could not be read");
            refusal(Refusal::Broken)
        }
    }
}
