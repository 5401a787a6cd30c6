//! Sends API requests with retries where a retry is safe, and classifies the failures.

use std::time::Duration;

use http::Method;
use rand::Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::time::Instant;
use tokio::time::sleep;
use zinnia_types::Code;
use zinnia_types::ErrorBody;
use zinnia_types::ExecutionStatus;

use crate::Failure;
use crate::client::ApiRequest;
use crate::client::Client;
use crate::client::Response;
use crate::client::SendError;

/// Maximum number of attempts, including the first one.
const MAX_ATTEMPTS: u32 = 4;

/// Delay before the first retry; doubles with each further retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Timeout of a request, except of a call with its own deadline. It is longer than an election
/// (4 s).
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);

/// Header on every response of a service; a refusal by the cell does not have it.
pub(crate) const WORKER_HEADER: &str = "x-worker";

/// Whether a request may be sent again after a failed attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryPolicy {
    /// The request changes nothing and may always be repeated.
    ReadOnly,
    /// A repeated request has no further effect.
    Idempotent,
    /// A repeated request may have another effect, so it is repeated only when the cell has not run
    /// the first one.
    NotIdempotent,
}

/// Result of one attempt.
enum Attempt {
    Response(Response),
    Refused(ErrorBody, Value),
    /// No complete response arrived.
    NoResponse {
        /// Whether the server may have received the request.
        maybe_received: bool,
        reason: String,
    },
}

/// A GET request.
pub(crate) fn get_request(path: impl Into<String>) -> ApiRequest {
    ApiRequest {
        method: Method::GET,
        path: path.into(),
        headers: Vec::new(),
        body: bytes::Bytes::new(),
        timeout: REQUEST_TIMEOUT,
    }
}

/// A request with `value` as its JSON body.
///
/// # Errors
///
/// Returns [`Failure::Local`] when `value` cannot be serialised.
pub(crate) fn json_request<T: Serialize>(
    method: Method,
    path: &str,
    value: &T,
) -> Result<ApiRequest, Failure> {
    let body = serde_json::to_vec(value)
        .map_err(|e| Failure::Local(format!("cannot serialise the request: {e}")))?;
    Ok(ApiRequest {
        method,
        body: body.into(),
        ..get_request(path)
    })
}

impl Client {
    /// Sends `request`, up to [`MAX_ATTEMPTS`] times if `policy` allows it.
    ///
    /// # Errors
    ///
    /// Fails when the cell refuses the request, when it cannot be reached and when the outcome is
    /// unknown.
    pub(crate) async fn send_with_retries(
        &self,
        request: &ApiRequest,
        policy: RetryPolicy,
    ) -> Result<Response, Failure> {
        // No attempt starts later than one timeout after the first, so that a call fails soon after
        // its deadline.
        let last_start = Instant::now() + request.timeout;
        let mut backoff = INITIAL_BACKOFF;
        // Whether an attempt may have taken effect.
        let mut maybe_applied = false;
        for attempts_left in (0..MAX_ATTEMPTS).rev() {
            let attempt = classify(self.send_once(request).await);
            let failure = match attempt {
                Attempt::Response(response) => return Ok(response),
                Attempt::NoResponse {
                    maybe_received,
                    reason,
                } => {
                    maybe_applied |= maybe_received && policy != RetryPolicy::ReadOnly;
                    if maybe_received && policy == RetryPolicy::NotIdempotent {
                        return Err(Failure::Unknown(reason));
                    }
                    if maybe_applied {
                        Failure::Unknown(reason)
                    } else {
                        Failure::Unreachable(reason)
                    }
                }
                Attempt::Refused(body, raw) => {
                    let unknown =
                        body.ran == ExecutionStatus::Unknown && policy != RetryPolicy::ReadOnly;
                    maybe_applied |= unknown;
                    let may_retry = policy != RetryPolicy::NotIdempotent || !unknown;
                    // A transient refusal does not tell whether an earlier attempt took effect.
                    let transient = matches!(
                        body.code,
                        Code::Unavailable | Code::Draining | Code::Overloaded
                    ) || unknown;
                    let failure = if maybe_applied && transient {
                        Failure::Unknown(body.to_string())
                    } else {
                        Failure::Refused { body, raw }
                    };
                    if !transient || !may_retry {
                        return Err(failure);
                    }
                    failure
                }
            };
            if attempts_left == 0 || Instant::now() >= last_start {
                return Err(failure);
            }
            sleep(backoff.mul_f64(rand::rng().random_range(0.5..=1.0))).await;
            backoff *= 2;
        }
        Err(Failure::Unreachable("the request was not sent".to_owned()))
    }

    /// Like [`Self::send_with_retries`], for responses in JSON.
    ///
    /// # Errors
    ///
    /// As for [`Self::send_with_retries`]. A response of another shape returns
    /// [`Failure::Unreachable`] for [`RetryPolicy::ReadOnly`] and [`Failure::Unknown`] otherwise.
    pub(crate) async fn request_json<T: DeserializeOwned>(
        &self,
        request: &ApiRequest,
        policy: RetryPolicy,
    ) -> Result<T, Failure> {
        let response = self.send_with_retries(request, policy).await?;
        serde_json::from_slice(&response.body).map_err(|e| {
            let reason = format!("the response has an unexpected shape: {e}");
            match policy {
                RetryPolicy::ReadOnly => Failure::Unreachable(reason),
                RetryPolicy::Idempotent | RetryPolicy::NotIdempotent => Failure::Unknown(reason),
            }
        })
    }
}

fn classify(result: Result<Response, SendError>) -> Attempt {
    let response = match result {
        Ok(response) => response,
        Err(SendError {
            maybe_received,
            message,
        }) => {
            return Attempt::NoResponse {
                maybe_received,
                reason: message,
            };
        }
    };
    if response.status < 300 || response.headers.contains_key(WORKER_HEADER) {
        return Attempt::Response(response);
    }
    let raw: Value = serde_json::from_slice(&response.body).unwrap_or_default();
    match serde_json::from_value::<ErrorBody>(raw.clone()) {
        Ok(body) => Attempt::Refused(body, raw),
        // A load balancer responds like this when it loses the connection to the VM.
        Err(_) => Attempt::NoResponse {
            maybe_received: true,
            reason: format!("status {} without an error body", response.status),
        },
    }
}
