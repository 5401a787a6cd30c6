//! A caller of a local cell.

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

/// Longest wait for an answer.
const LIMIT: Duration = Duration::from_secs(10);

/// Speaks to one daemon with one key.
#[derive(Clone, Debug)]
pub struct Client {
    http: zinnia_http::Client,
    addr: String,
    key: Option<String>,
}

impl Client {
    /// A client of the daemon at `addr`.
    pub fn new(addr: impl Into<String>, key: impl Into<String>) -> Self {
        Self {
            http: zinnia_http::Client::new(LIMIT),
            addr: addr.into(),
            key: Some(key.into()),
        }
    }

    /// The same client with another key.
    #[must_use]
    pub fn with_key(&self, key: impl Into<String>) -> Self {
        Self {
            key: Some(key.into()),
            ..self.clone()
        }
    }

    /// The same client without a key, for queues open to all.
    #[must_use]
    pub fn without_key(&self) -> Self {
        Self {
            key: None,
            ..self.clone()
        }
    }

    /// The same client for another daemon.
    #[must_use]
    pub fn with_addr(&self, addr: impl Into<String>) -> Self {
        Self {
            addr: addr.into(),
            ..self.clone()
        }
    }

    /// Sends a request and returns status and body, whatever the status.
    ///
    /// # Errors
    ///
    /// Fails when no complete answer arrives or it is not JSON.
    pub async fn send<T: Serialize + ?Sized>(
        &self,
        method: Method,
        path: &str,
        body: &T,
    ) -> Result<(u16, Value)> {
        let sent = self
            .http
            .send(method, &self.addr, path, self.key.as_deref(), body);
        let (status, bytes) = sent.await?;
        let value = serde_json::from_slice(&bytes)
            .with_context(|| format!("answer with status {status} is not JSON"))?;
        Ok((status, value))
    }

    /// `GET` that must succeed.
    ///
    /// # Errors
    ///
    /// Fails on a refusal, with its text.
    pub async fn get(&self, path: &str) -> Result<Value> {
        ok(self.send(Method::GET, path, &()).await?)
    }

    /// `POST` that must succeed.
    ///
    /// # Errors
    ///
    /// Fails on a refusal, with its text.
    pub async fn post<T: Serialize + ?Sized>(&self, path: &str, body: &T) -> Result<Value> {
        ok(self.send(Method::POST, path, body).await?)
    }

    /// `PUT` that must succeed.
    ///
    /// # Errors
    ///
    /// Fails on a refusal, with its text.
    pub async fn put<T: Serialize + ?Sized>(&self, path: &str, body: &T) -> Result<Value> {
        ok(self.send(Method::PUT, path, body).await?)
    }

    /// Calls a service and returns status, worker and body.
    ///
    /// # Errors
    ///
    /// Fails when no complete answer arrives.
    pub async fn call_service(
        &self,
        service: &str,
        headers: &[(&'static str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<(u16, Option<String>, Bytes)> {
        let mut map = HeaderMap::new();
        if let Some(key) = &self.key {
            let key = format!("Bearer {key}");
            map.insert(http::header::AUTHORIZATION, HeaderValue::from_str(&key)?);
        }
        for (name, value) in headers {
            map.insert(HeaderName::from_static(name), HeaderValue::from_str(value)?);
        }
        let path = format!("/v1/call/{service}");
        let sent = self
            .http
            .forward(&self.addr, &path, map, body.into(), LIMIT);
        let (status, headers, body) = sent.await?;
        let worker = headers.get("x-worker").and_then(|v| v.to_str().ok());
        Ok((status, worker.map(str::to_owned), body))
    }
}

fn ok((status, value): (u16, Value)) -> Result<Value> {
    if (200..300).contains(&status) {
        return Ok(value);
    }
    match serde_json::from_value::<ErrorBody>(value.clone()) {
        Ok(body) => Err(body.into()),
        Err(_) => anyhow::bail!("status {status}: {value}"),
    }
}
