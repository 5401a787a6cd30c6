//! HTTP client, and an HTTP server that bounds what its clients can take.
//!
//! [`Client`] pools connections and reports for each failure whether the server may have received the
//! request; [`decode_response`] turns a response into a value or a [`zinnia_types::ErrorBody`]. [`server::serve`] admits connections and reads bodies within limits.

mod client;
mod decode;
mod error;
pub mod server;

pub use client::Client;
pub use client::ClientSettings;
pub use decode::decode_response;
pub use error::SendError;
