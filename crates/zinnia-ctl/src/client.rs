//! HTTP client for one VM. The only module that uses the HTTP library.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper_util::client::legacy::Client as Http;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::time::timeout;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum size of a response body in bytes; state dumps are the largest.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A request to the HTTP API of the cell.
#[derive(Clone)]
pub(crate) struct ApiRequest {
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Bytes,
    /// Timeout until the complete response.
    pub(crate) timeout: Duration,
}

/// A complete response.
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// The reason why no complete response arrived.
pub(crate) struct SendError {
    /// Whether the server may have received any part of the request.
    pub(crate) maybe_received: bool,
    pub(crate) message: String,
}

/// Sends requests to one VM, authenticated with one key.
pub(crate) struct Client {
    http: Http<HttpConnector, Full<Bytes>>,
    server: SocketAddr,
    key: Option<String>,
}

impl Client {
    pub(crate) fn new(server: SocketAddr, key: Option<String>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        // The library must not retry by itself: only the caller knows whether a retry is safe.
        let http = Http::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { http, server, key }
    }

    /// Sends `request` once and reads the whole response.
    pub(crate) async fn send_once(&self, request: &ApiRequest) -> Result<Response, SendError> {
        let http_request = self.build(request).map_err(|message| SendError {
            maybe_received: false,
            message,
        })?;
        match timeout(request.timeout, self.round_trip(http_request)).await {
            Ok(result) => result,
            Err(_) => Err(SendError {
                maybe_received: true,
                message: format!("{}: no response within {:?}", self.server, request.timeout),
            }),
        }
    }

    fn build(&self, request: &ApiRequest) -> Result<Request<Full<Bytes>>, String> {
        let mut builder = Request::builder()
            .method(request.method.clone())
            .uri(format!("http://{}{}", self.server, request.path))
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(key) = &self.key {
            // The error of the library is not needed. It does not contain the key, and neither may
            // this message.
            let mut value =
                http::HeaderValue::from_str(&format!("Bearer {key}")).map_err(|_| {
                    "the key contains characters that are not allowed in a header".to_owned()
                })?;
            value.set_sensitive(true);
            builder = builder.header(header::AUTHORIZATION, value);
        }
        for (name, value) in &request.headers {
            builder = builder.header(*name, value);
        }
        builder
            .body(Full::new(request.body.clone()))
            .map_err(|e| e.to_string())
    }

    async fn round_trip(&self, request: Request<Full<Bytes>>) -> Result<Response, SendError> {
        let response = self.http.request(request).await.map_err(|e| SendError {
            maybe_received: !e.is_connect(),
            message: format!("{}: {}", self.server, root_cause(&e)),
        })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(|e| SendError {
                maybe_received: true,
                message: format!(
                    "{}: connection closed before the response was complete: {}",
                    self.server,
                    root_cause(&*e)
                ),
            })?;
        Ok(Response {
            status: head.status.as_u16(),
            headers: head.headers,
            body: body.to_bytes(),
        })
    }
}

/// The innermost cause of an error. The outer errors of the library name only the stage that
/// failed.
fn root_cause(error: &(dyn std::error::Error + 'static)) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
