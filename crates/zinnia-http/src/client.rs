//! A small JSON client with keep-alive.

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

/// Largest accepted answer in bytes.
const MAX_ANSWER: usize = 16 * 1024 * 1024;
/// Idle connections kept per server.
const MAX_IDLE: usize = 64;
/// How long an idle connection is kept; less than servers keep theirs, so that a request does not
/// meet a connection that is being closed.
const IDLE: Duration = Duration::from_secs(30);

/// HTTP client that keeps connections alive; cheap to clone.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl Client {
    /// A client that gives each request `timeout` until its answer is complete.
    ///
    /// Connecting may take half of it, so that a server that does not answer the handshake is
    /// reported as [`SendError::NotSent`].
    pub fn new(timeout: Duration) -> Self {
        Self::with_max_idle(timeout, MAX_IDLE)
    }

    /// Like [`Client::new`], with another bound on idle connections per server.
    pub fn with_max_idle(timeout: Duration, idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout / 2));
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE)
            .pool_max_idle_per_host(idle)
            .build(connector);
        Self { inner, timeout }
    }

    /// Sends `body` as JSON and returns status and body of the answer, whatever the status.
    ///
    /// `addr` is `ip:port`, `path` starts with `/`, and `key` goes into the header
    /// `authorization: Bearer`. A `GET` carries no body.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] when no complete answer arrived.
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
    /// The header is a third of the head of a heartbeat; the server has to take the body as JSON
    /// without it.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] when no complete answer arrived.
    pub async fn post_untyped<T: Serialize + ?Sized>(
        &self,
        addr: &str,
        path: &str,
        body: &T,
    ) -> Result<(u16, Bytes), SendError> {
        let body = serde_json::to_vec(body).map_err(|e| not_sent(addr, &e))?;
        let request = Request::post(format!("http://{addr}{path}"));
        self.finish(addr, request, Bytes::from(body)).await
    }

    /// Like [`Client::send`] with a body that is passed on as it is.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] when no complete answer arrived.
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
        self.finish(addr, request, body).await
    }

    async fn finish(
        &self,
        addr: &str,
        request: Builder,
        body: Bytes,
    ) -> Result<(u16, Bytes), SendError> {
        let request = request
            .body(Full::new(body))
            .map_err(|e| not_sent(addr, &e))?;
        match tokio::time::timeout(self.timeout, self.exchange(addr, request)).await {
            Ok(answer) => answer.map(|(status, _, body)| (status, body)),
            Err(_) => Err(SendError::NoResponse {
                addr: addr.to_owned(),
                cause: format!("no answer within {} ms", self.timeout.as_millis()),
            }),
        }
    }

    /// Sends a `POST` with these headers and passes the whole answer with its headers back.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] when no complete answer arrived within `limit`.
    pub async fn forward(
        &self,
        addr: &str,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        limit: Duration,
    ) -> Result<(u16, HeaderMap, Bytes), SendError> {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{addr}{path}"))
            .body(Full::new(body))
            .map_err(|e| not_sent(addr, &e))?;
        *request.headers_mut() = headers;
        match tokio::time::timeout(limit, self.exchange(addr, request)).await {
            Ok(answer) => answer,
            Err(_) => Err(SendError::NoResponse {
                addr: addr.to_owned(),
                cause: format!("no answer within {} ms", limit.as_millis()),
            }),
        }
    }

    async fn exchange(
        &self,
        addr: &str,
        request: Request<Full<Bytes>>,
    ) -> Result<(u16, HeaderMap, Bytes), SendError> {
        let answer = self.inner.request(request).await.map_err(|e| {
            if e.is_connect() {
                not_sent(addr, &e)
            } else {
                unknown(addr, &e)
            }
        })?;
        let status = answer.status().as_u16();
        let headers = answer.headers().clone();
        let body = Limited::new(answer.into_body(), MAX_ANSWER)
            .collect()
            .await
            .map_err(|e| unknown(addr, e.as_ref()))?;
        Ok((status, headers, body.to_bytes()))
    }
}

fn not_sent(addr: &str, e: &dyn Error) -> SendError {
    SendError::NotSent {
        addr: addr.to_owned(),
        cause: chain(e),
    }
}

fn unknown(addr: &str, e: &dyn Error) -> SendError {
    SendError::NoResponse {
        addr: addr.to_owned(),
        cause: chain(e),
    }
}

/// The error with its causes, since hyper's outer error does not name the system error.
fn chain(e: &dyn Error) -> String {
    let mut text = e.to_string();
    let mut cause = e.source();
    while let Some(e) = cause {
        text = format!("{text}: {e}");
        cause = e.source();
    }
    text
}
