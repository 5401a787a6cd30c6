//! HTTP client of the daemons of a local cell.

use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use serde::Serialize;
use serde_json::Value;
use zinnia_types::ErrorBody;

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Client that sends requests to one daemon, authorized by one API key or by none.
#[derive(Clone, Debug)]
pub struct Client {
    http: zinnia_http::Client,
    addr: String,
    key: Option<String>,
}

impl Client {
    /// Creates a client of the daemon that serves HTTP on `addr`.
    pub fn new(addr: impl Into<String>, key: impl Into<String>) -> Self {
        Self {
            http: zinnia_http::Client::new(REQUEST_TIMEOUT),
            addr: addr.into(),
            key: Some(key.into()),
        }
    }

    /// Returns a copy of the client that uses another API key.
    #[must_use]
    pub fn with_key(&self, key: impl Into<String>) -> Self {
        Self {
            key: Some(key.into()),
            ..self.clone()
        }
    }

    /// Returns a copy of the client that sends no API key, for queues that need none.
    #[must_use]
    pub fn without_key(&self) -> Self {
        Self {
            key: None,
            ..self.clone()
        }
    }

    /// Returns a copy of the client for the daemon that serves HTTP on `addr`.
    #[must_use]
    pub fn with_addr(&self, addr: impl Into<String>) -> Self {
        Self {
            addr: addr.into(),
            ..self.clone()
        }
    }

    /// Sends a request with a JSON body and returns the status and the JSON body of the response.
    /// An error status is not an error here.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrives or its body is not JSON.
    pub async fn send<T: Serialize + ?Sized>(
        &self,
        method: Method,
        path: &str,
        body: &T,
    ) -> Result<(u16, Value)> {
        let response = self
            .http
            .send(method, &self.addr, path, self.key.as_deref(), body);
        let (status, bytes) = response.await?;
        let value = serde_json::from_slice(&bytes)
            .with_context(|| format!("body of the response with status {status} is not JSON"))?;
        Ok((status, value))
    }

    /// Sends a `GET` request and returns the JSON body of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails or the response has an error status.
    pub async fn get(&self, path: &str) -> Result<Value> {
        require_success(self.send(Method::GET, path, &()).await?)
    }

    /// Sends a `POST` request and returns the JSON body of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails or the response has an error status.
    pub async fn post<T: Serialize + ?Sized>(&self, path: &str, body: &T) -> Result<Value> {
        require_success(self.send(Method::POST, path, body).await?)
    }

    /// Sends a `PUT` request and returns the JSON body of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails or the response has an error status.
    pub async fn put<T: Serialize + ?Sized>(&self, path: &str, body: &T) -> Result<Value> {
        require_success(self.send(Method::PUT, path, body).await?)
    }

    /// Calls a service and returns the status, the worker that ran the call, and the body.
    ///
    /// # Errors
    ///
    /// Returns an error if a header value is invalid or no complete response arrives.
    pub async fn call_service(
        &self,
        service: &str,
        headers: &[(&'static str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<(u16, Option<String>, Bytes)> {
        let mut request_headers = HeaderMap::new();
        if let Some(key) = &self.key {
            let authorization = format!("Bearer {key}");
            request_headers.insert(
                http::header::AUTHORIZATION,
                HeaderValue::from_str(&authorization)?,
            );
        }
        for (name, value) in headers {
            request_headers.insert(HeaderName::from_static(name), HeaderValue::from_str(value)?);
        }
        let path = format!("/v1/call/{service}");
        let response = self.http.forward(
            &self.addr,
            &path,
            request_headers,
            body.into(),
            REQUEST_TIMEOUT,
        );
        let (status, response_headers, body) = response.await?;
        let worker = response_headers
            .get("x-worker")
            .and_then(|v| v.to_str().ok());
        Ok((status, worker.map(str::to_owned), body))
    }
}

/// Returns the body of a successful response, or the [`ErrorBody`] of a refused request as an
/// error.
fn require_success((status, value): (u16, Value)) -> Result<Value> {
    if (200..300).contains(&status) {
        return Ok(value);
    }
    match serde_json::from_value::<ErrorBody>(value.clone()) {
        Ok(body) => Err(body.into()),
        Err(_) => anyhow::bail!("request failed with status {status}: {value}"),
    }
}
