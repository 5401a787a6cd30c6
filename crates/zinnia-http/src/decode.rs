//! Answers as values or error bodies.

use serde::de::DeserializeOwned;
use zinnia_types::Code;
use zinnia_types::ErrorBody;
use zinnia_types::Ran;

/// Longest part of a foreign error text that is passed on, in characters.
const MAX_TEXT: usize = 200;

/// Decodes the answer of `peer`: a status of 200 to 299 as `T`, any other as an error body.
///
/// # Errors
///
/// Returns the server's [`ErrorBody`], or one with code `internal` and `ran: unknown` when the
/// body has an unexpected form.
pub fn decode_response<T: DeserializeOwned>(
    status: u16,
    body: &[u8],
    peer: &str,
) -> Result<T, ErrorBody> {
    let odd = |message: String| {
        ErrorBody::new(Code::Internal, "decode", message)
            .at(peer)
            .ran(Ran::Unknown)
    };
    if (200..300).contains(&status) {
        return serde_json::from_slice(body)
            .map_err(|e| odd(format!("answer with status {status} is malformed: {e}")));
    }
    Err(serde_json::from_slice(body).unwrap_or_else(|_| {
        let text: String = String::from_utf8_lossy(body)
            .chars()
            .take(MAX_TEXT)
            .collect();
        odd(format!("answer with status {status}: {text}"))
    }))
}
