//! Outgoing connections to the peers.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use serde_json::value::to_raw_value;
use tokio::time::Instant;
use tokio::time::sleep_until;
use zinnia_types::VmId;

use crate::CallStep;
use crate::PeerCounters;
use crate::PeerError;
use crate::Settings;
use crate::link::Link;
use crate::queue::QueuedMessage;

/// Bytes added to the size of a message for the JSON-RPC fields other than method and parameters.
const ENVELOPE_BYTES: usize = 96;

/// Outgoing connections, one per peer. Clones share the connections.
#[derive(Clone)]
pub struct Links {
    settings: Arc<Settings>,
    local_vm: VmId,
    links: Arc<Mutex<BTreeMap<String, Arc<Link>>>>,
}

impl fmt::Debug for Links {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Links").field("me", &self.local_vm).finish()
    }
}

impl Links {
    /// Creates the links of the VM `local_vm`. A connection opens with the first message to its
    /// peer.
    pub fn new(settings: Settings, local_vm: VmId) -> Self {
        Self {
            settings: Arc::new(settings),
            local_vm,
            links: Arc::default(),
        }
    }

    /// Sends a one-way message to `addr` (`ip:port`) without waiting.
    ///
    /// The message is queued. A full queue drops its oldest messages and counts them. Delivery is
    /// not guaranteed and not reported. Must be called within a tokio runtime.
    pub fn notify<T: Serialize + ?Sized>(&self, addr: &str, method: &str, value: &T) {
        let link = self.link(addr);
        if self.settings.drops_messages_to(addr) {
            link.traffic().cut.add(1);
            return;
        }
        match self.encode(addr, method, value) {
            Ok(value) => link.notify(QueuedMessage {
                method: method.to_owned(),
                value,
            }),
            Err(e) => {
                link.traffic().oversized.add(1);
                tracing::warn!(peer = %addr, method, error = %e, "cannot encode one-way message; message dropped");
            }
        }
    }

    /// Calls `method` at `addr` (`ip:port`) and waits for the answer with the default timeout.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`]. Its `maybe_sent` is whether the peer may have received the request.
    pub async fn call<T, R>(&self, addr: &str, method: &str, value: &T) -> Result<R, PeerError>
    where
        T: Serialize + ?Sized,
        R: DeserializeOwned,
    {
        self.call_with_timeout(addr, method, value, self.settings.call_timeout)
            .await
    }

    /// Calls `method` at `addr` (`ip:port`) and waits for the answer for at most `timeout`.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`]. Its `maybe_sent` is whether the peer may have received the request.
    pub async fn call_with_timeout<T, R>(
        &self,
        addr: &str,
        method: &str,
        value: &T,
        timeout: Duration,
    ) -> Result<R, PeerError>
    where
        T: Serialize + ?Sized,
        R: DeserializeOwned,
    {
        let deadline = Instant::now() + timeout;
        let link = self.link(addr);
        let value = self.encode(addr, method, value).inspect_err(|_| {
            link.traffic().oversized.add(1);
        })?;
        if self.settings.drops_messages_to(addr) {
            // To the sender, a lost request looks the same as a late answer.
            link.traffic().cut.add(1);
            sleep_until(deadline).await;
            return Err(PeerError::timeout(CallStep::Answer, addr, true));
        }
        let answer = link.call(method, value, deadline).await?;
        serde_json::from_str(answer.get())
            .map_err(|e| PeerError::new(CallStep::Decode, addr, true, e.to_string()))
    }

    /// Closes the links to peers for which `keep` returns false. Otherwise the connection task of a
    /// removed VM would run forever.
    pub fn retain(&self, mut keep: impl FnMut(&str) -> bool) {
        self.lock().retain(|addr, _| keep(addr));
    }

    /// Returns the counters by peer address.
    pub fn counters(&self) -> BTreeMap<String, PeerCounters> {
        let links = self.lock();
        let snapshot =
            |(addr, link): (&String, &Arc<Link>)| (addr.clone(), link.traffic().snapshot());
        links.iter().map(snapshot).collect()
    }

    /// Returns the link to a peer, creating it if necessary.
    fn link(&self, addr: &str) -> Arc<Link> {
        let mut links = self.lock();
        if let Some(link) = links.get(addr) {
            return link.clone();
        }
        let link = Arc::new(Link::new(self.settings.clone(), self.local_vm, addr));
        links.insert(addr.to_owned(), link.clone());
        link
    }

    /// Serializes `value` and checks the size of the message.
    ///
    /// The peer would close the connection on an oversized message, which fails all pending
    /// messages.
    fn encode<T: Serialize + ?Sized>(
        &self,
        addr: &str,
        method: &str,
        value: &T,
    ) -> Result<Box<RawValue>, PeerError> {
        let to_error = |message: String| PeerError::new(CallStep::Encode, addr, false, message);
        let value = to_raw_value(value).map_err(|e| to_error(e.to_string()))?;
        let size = value.get().len() + method.len() + ENVELOPE_BYTES;
        let max_size = self.settings.max_message;
        if size > max_size as usize {
            return Err(to_error(format!(
                "the message size of {size} bytes exceeds the limit of {max_size} bytes"
            )));
        }
        Ok(value)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Arc<Link>>> {
        // No code panics while it holds the lock, so the map is consistent even if poisoned.
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
