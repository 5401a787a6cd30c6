//! HTTP client for messages to VMs.

use axum::body::Bytes;
use http::Method;
use serde::de::DeserializeOwned;
use zinnia_agent::Message;
use zinnia_agent::SendOutcome;
use zinnia_http::Client;
use zinnia_http::SendError;
use zinnia_http::decode_response;
use zinnia_types::worker::HeartbeatReply;

/// Sends `message` to the VM at `addr` and waits for the outcome.
pub(crate) async fn send_message(client: &Client, addr: &str, message: &Message) -> SendOutcome {
    match message {
        Message::Announce(announce) => {
            let path = "/v1/workers/announce";
            let result = client.send(Method::POST, addr, path, None, announce).await;
            decode_outcome(addr, result, SendOutcome::Announce)
        }
        Message::Heartbeat(heartbeat) => {
            let path = "/v1/workers/heartbeat";
            match client.post_untyped(addr, path, heartbeat).await {
                // Status 204 stands for the plain reply, which renews the leases and requests
                // nothing.
                Ok((204, _)) => SendOutcome::Heartbeat(HeartbeatReply::renewal(heartbeat.seq)),
                result => decode_outcome(addr, result, SendOutcome::Heartbeat),
            }
        }
    }
}

/// Decodes a response into the outcome that the agent gets.
fn decode_outcome<A: DeserializeOwned>(
    addr: &str,
    result: Result<(u16, Bytes), SendError>,
    wrap: fn(A) -> SendOutcome,
) -> SendOutcome {
    match result {
        Ok((status, bytes)) => match decode_response(status, &bytes, addr) {
            Ok(reply) => wrap(reply),
            Err(body) => {
                tracing::debug!(addr, error = %body, "VM answered with an error");
                SendOutcome::Error(body.code)
            }
        },
        Err(error) => {
            tracing::debug!(%error, "no answer from VM");
            SendOutcome::NoResponse
        }
    }
}
