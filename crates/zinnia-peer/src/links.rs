//! Outgoing connections to all peers.

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
use crate::queue::Message;

/// Bytes of a JSON-RPC envelope beside method and parameters, for the check of the size.
const ENVELOPE: usize = 96;

/// Outgoing connections, one per peer; clones share them.
#[derive(Clone)]
pub struct Links {
    settings: Arc<Settings>,
    me: VmId,
    links: Arc<Mutex<BTreeMap<String, Arc<Link>>>>,
}

impl fmt::Debug for Links {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Links").field("me", &self.me).finish()
    }
}

impl Links {
    /// Prepares links from the VM `me`; connections open with the first message to a peer.
    pub fn new(settings: Settings, me: VmId) -> Self {
        Self {
            settings: Arc::new(settings),
            me,
            links: Arc::default(),
        }
    }

    /// Sends a one-way message to `addr` (`ip:port`) without waiting.
    ///
    /// The message is queued; on overflow the oldest one is dropped and counted. Nothing tells
    /// whether it arrives. Must be called within a tokio runtime.
    pub fn notify<T: Serialize + ?Sized>(&self, addr: &str, method: &str, value: &T) {
        let link = self.link(addr);
        if self.settings.drops_messages_to(addr) {
            link.traffic().cut.add(1);
            return;
        }
        match self.encode(addr, method, value) {
            Ok(value) => link.notify(Message {
                method: method.to_owned(),
                value,
            }),
            Err(e) => {
                link.traffic().oversized.add(1);
                tracing::warn!(peer = %addr, method, error = %e, "one-way message dropped");
            }
        }
    }

    /// Calls `method` at `addr` (`ip:port`) and waits for the answer for the usual time.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] whose `sent` tells whether the peer may have received the request.
    pub async fn call<T, R>(&self, addr: &str, method: &str, value: &T) -> Result<R, PeerError>
    where
        T: Serialize + ?Sized,
        R: DeserializeOwned,
    {
        self.call_with_timeout(addr, method, value, self.settings.call_timeout)
            .await
    }

    /// Calls `method` at `addr` and waits for the answer for at most `limit`.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] whose `sent` tells whether the peer may have received the request.
    pub async fn call_with_timeout<T, R>(
        &self,
        addr: &str,
        method: &str,
        value: &T,
        limit: Duration,
    ) -> Result<R, PeerError>
    where
        T: Serialize + ?Sized,
        R: DeserializeOwned,
    {
        let deadline = Instant::now() + limit;
        let link = self.link(addr);
        let value = self.encode(addr, method, value).inspect_err(|_| {
            link.traffic().oversized.add(1);
        })?;
        if self.settings.drops_messages_to(addr) {
            // A lost message looks to its sender like one whose answer is late.
            link.traffic().cut.add(1);
            sleep_until(deadline).await;
            return Err(PeerError::timeout(CallStep::Answer, addr, true));
        }
        let answer = link.call(method, value, deadline).await?;
        serde_json::from_str(answer.get())
            .map_err(|e| PeerError::new(CallStep::Decode, addr, true, e.to_string()))
    }

    /// Closes the links to peers for which `keep` is false, so that removed VMs leave no task behind.
    pub fn retain(&self, mut keep: impl FnMut(&str) -> bool) {
        self.lock().retain(|addr, _| keep(addr));
    }

    /// Counters per peer address.
    pub fn counters(&self) -> BTreeMap<String, PeerCounters> {
        let links = self.lock();
        let read = |(addr, link): (&String, &Arc<Link>)| (addr.clone(), link.traffic().read());
        links.iter().map(read).collect()
    }

    fn link(&self, addr: &str) -> Arc<Link> {
        let mut links = self.lock();
        if let Some(link) = links.get(addr) {
            return link.clone();
        }
        let link = Arc::new(Link::new(self.settings.clone(), self.me, addr));
        links.insert(addr.to_owned(), link.clone());
        link
    }

    /// Serialises `value` and checks the size of the message.
    ///
    /// An oversized message would make the peer close the connection under all other messages.
    fn encode<T: Serialize + ?Sized>(
        &self,
        addr: &str,
        method: &str,
        value: &T,
    ) -> Result<Box<RawValue>, PeerError> {
        let fail = |why: String| PeerError::new(CallStep::Encode, addr, false, why);
        let value = to_raw_value(value).map_err(|e| fail(e.to_string()))?;
        let size = value.get().len() + method.len() + ENVELOPE;
        let limit = self.settings.max_message;
        if size > limit as usize {
            return Err(fail(format!(
                "the message has {size} bytes, more than the limit of {limit}"
            )));
        }
        Ok(value)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Arc<Link>>> {
        // No code panics while it holds the lock, so a poisoned map is still whole.
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
