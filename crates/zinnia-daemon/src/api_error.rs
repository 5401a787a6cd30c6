//! Refusals of requests as HTTP responses.

use axum::Json;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use zinnia_types::Code;
use zinnia_types::ErrorBody;
use zinnia_types::ExecutionStatus;

/// The refusal of a request, with the body of its HTTP response.
#[derive(Debug)]
pub struct ApiError(pub Box<ErrorBody>);

impl ApiError {
    /// A refusal of a request that did not run.
    pub fn new(code: Code, step: &str, message: impl Into<String>) -> Self {
        Self(Box::new(ErrorBody::new(code, step, message)))
    }

    /// A refusal of a request that may have run.
    pub fn unknown_outcome(code: Code, step: &str, message: impl Into<String>) -> Self {
        Self(Box::new(
            ErrorBody::new(code, step, message).ran(ExecutionStatus::Unknown),
        ))
    }

    /// Adds the name of the peer that refused the request.
    #[must_use]
    pub fn at(self, peer: impl Into<String>) -> Self {
        Self(Box::new(self.0.peer(peer)))
    }
}

impl From<ErrorBody> for ApiError {
    fn from(body: ErrorBody) -> Self {
        Self(Box::new(body))
    }
}

impl IntoResponse for ApiError {
    fn into_response(self) -> Response {
        let status =
            StatusCode::from_u16(self.0.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        (status, Json(*self.0)).into_response()
    }
}
