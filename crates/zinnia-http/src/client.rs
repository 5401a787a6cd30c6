//! JSON client with a connection pool.

use std::error::Error;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::header::AUTHORIZATION;
use http::header::CONTENT_TYPE;
use http::request::Builder;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use serde::Serialize;

use crate::SendError;

/// Largest accepted response body in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Settings of a [`Client`].
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Timeout of a request. The connect timeout is half of it, so that a server that does not complete the
    /// handshake is reported as [`SendError::NotSent`].
    pub timeout: Duration,
    /// Limit on idle connections per server. With 0, each request has a connection of its own.
    pub max_idle: usize,
    /// Time after which an idle connection is closed; shorter than the idle timeout of the servers, so that
    /// no request is sent on a connection that the server is closing.
    pub idle_timeout: Duration,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(10),
            max_idle: 64,
            idle_timeout: Duration::from_secs(30),
        }
    }
}

/// HTTP client with a connection pool; cheap to clone.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl Client {
    /// Creates a client with the default settings and this request timeout.
    pub fn new(timeout: Duration) -> Self {
        Self::with_settings(&ClientSettings {
            timeout,
            ..ClientSettings::default()
        })
    }

    /// Creates a client.
    pub fn with_settings(settings: &ClientSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(settings.timeout / 2));
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(settings.idle_timeout)
            .pool_max_idle_per_host(settings.max_idle)
            .build(connector);
        Self {
            inner,
            timeout: settings.timeout,
        }
    }

    /// Sends `body` as JSON and returns the status and body of the response, also for error statuses.
    ///
    /// `addr` is `ip:port`, `path` starts with `/`, and `key` is sent as bearer token in the header
    /// `authorization`. A `GET` has no body.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] when no complete response arrives.
    pub async fn send<T: Serialize + ?Sized>(
        &self,
        method: Method,
        addr: &str,
        path: &str,
        key: Option<&str>,
        body: &T,
    ) -> Result<(u16, Bytes), SendError> {
        let bytes = if method == Method::GET {
            Bytes::new()
        } else {
            let bytes = serde_json::to_vec(body).map_err(|e| not_sent(addr, &e))?;
            Bytes::from(bytes)
        };
        self.send_bytes(method, addr, path, key, bytes).await
    }

    /// Posts `body` as JSON without the header `content-type`, for small frequent messages.
    ///
    /// The header would be a third of the header bytes of a heartbeat. The server must read the body as JSON
    /// without it.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] when no complete response arrives.
    pub async fn post_untyped<T: Serialize + ?Sized>(
        &self,
        addr: &str,
        path: &str,
        body: &T,
    ) -> Result<(u16, Bytes), SendError> {
        let body = serde_json::to_vec(body).map_err(|e| not_sent(addr, &e))?;
        let request = Request::post(format!("http://{addr}{path}"));
        self.send_request(addr, request, Bytes::from(body)).await
    }

    /// Like [`Client::send`] with a body that is already encoded.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] when no complete response arrives.
    pub async fn send_bytes(
        &self,
        method: Method,
        addr: &str,
        path: &str,
        key: Option<&str>,
        body: Bytes,
    ) -> Result<(u16, Bytes), SendError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"));
        if !body.is_empty() {
            request = request.header(CONTENT_TYPE, "application/json");
        }
        if let Some(key) = key {
            request = request.header(AUTHORIZATION, format!("Bearer {key}"));
        }
        self.send_request(addr, request, body).await
    }

    async fn send_request(
        &self,
        addr: &str,
        request: Builder,
        body: Bytes,
    ) -> Result<(u16, Bytes), SendError> {
        let request = request
            .body(Full::new(body))
            .map_err(|e| not_sent(addr, &e))?;
        match tokio::time::timeout(self.timeout, self.round_trip(addr, request)).await {
            Ok(response) => response.map(|(status, _, body)| (status, body)),
            Err(_) => Err(SendError::NoResponse {
                addr: addr.to_owned(),
                cause: format!("no answer within {} ms", self.timeout.as_millis()),
            }),
        }
    }

    /// Posts `body` with `headers` and returns the status, headers and body of the response.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] when no complete response arrives within `timeout`.
    pub async fn forward(
        &self,
        addr: &str,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(u16, HeaderMap, Bytes), SendError> {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{addr}{path}"))
            .body(Full::new(body))
            .map_err(|e| not_sent(addr, &e))?;
        *request.headers_mut() = headers;
        match tokio::time::timeout(timeout, self.round_trip(addr, request)).await {
            Ok(response) => response,
            Err(_) => Err(SendError::NoResponse {
                addr: addr.to_owned(),
                cause: format!("no answer within {} ms", timeout.as_millis()),
            }),
        }
    }

    async fn round_trip(
        &self,
        addr: &str,
        request: Request<Full<Bytes>>,
    ) -> Result<(u16, HeaderMap, Bytes), SendError> {
        let response = self.inner.request(request).await.map_err(|e| {
            if e.is_connect() {
                not_sent(addr, &e)
            } else {
                no_response(addr, &e)
            }
        })?;
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(|e| no_response(addr, e.as_ref()))?;
        Ok((status, headers, body.to_bytes()))
    }
}

fn not_sent(addr: &str, e: &dyn Error) -> SendError {
    SendError::NotSent {
        addr: addr.to_owned(),
        cause: error_chain(e),
    }
}

fn no_response(addr: &str, e: &dyn Error) -> SendError {
    SendError::NoResponse {
        addr: addr.to_owned(),
        cause: error_chain(e),
    }
}

/// Joins the error with its sources, since hyper's outermost error omits the system error.
fn error_chain(e: &dyn Error) -> String {
    let mut text = e.to_string();
    let mut source = e.source();
    while let Some(e) = source {
        text = format!("{text}: {e}");
        source = e.source();
    }
    text
}
