//! HTTP client and JSON error bodies shared by workers and tools.
//!
//! [`Client`] keeps connections alive and says of each failure whether the request may have
//! reached the server; [`decode_response`] turns an answer into a value or an [`zinnia_types::ErrorBody`].

mod client;
mod decode;
mod error;

pub use client::Client;
pub use decode::decode_response;
pub use error::SendError;
