//! Decoding of responses.

use serde::de::DeserializeOwned;
use zinnia_types::Code;
use zinnia_types::ErrorBody;
use zinnia_types::ExecutionStatus;

/// Characters of an unstructured error response that are kept in the error message.
const MAX_MESSAGE_CHARS: usize = 200;

/// Decodes the response of `peer`: a body with a status of 200 to 299 as `T`, others as an error body.
///
/// # Errors
///
/// Returns the server's [`ErrorBody`], or one with code `internal` and `ran: unknown` when the body does not
/// have the expected format.
pub fn decode_response<T: DeserializeOwned>(
    status: u16,
    body: &[u8],
    peer: &str,
) -> Result<T, ErrorBody> {
    let malformed = |message: String| {
        ErrorBody::new(Code::Internal, "decode", message)
            .peer(peer)
            .ran(ExecutionStatus::Unknown)
    };
    if (200..300).contains(&status) {
        return serde_json::from_slice(body)
            .map_err(|e| malformed(format!("answer with status {status} is malformed: {e}")));
    }
    Err(serde_json::from_slice(body).unwrap_or_else(|_| {
        let text: String = String::from_utf8_lossy(body)
            .chars()
            .take(MAX_MESSAGE_CHARS)
            .collect();
        malformed(format!("answer with status {status}: {text}"))
    }))
}
