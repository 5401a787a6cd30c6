//! HTTP client and JSON error bodies shared by workers and tools.
//!
//! [`Client`] pools connections and reports for each failure whether the server may have received the
//! request; [`decode_response`] turns a response into a value or a [`zinnia_types::ErrorBody`].

mod client;
mod decode;
mod error;

pub use client::Client;
pub use client::ClientSettings;
pub use decode::decode_response;
pub use error::SendError;
