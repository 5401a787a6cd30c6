//! Outgoing connection to one peer.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::client::Error;
use jsonrpsee::core::middleware::RpcServiceBuilder;
use jsonrpsee::core::traits::ToRpcParams;
use jsonrpsee::ws_client::PingConfig;
use jsonrpsee::ws_client::RpcService;
use jsonrpsee::ws_client::WsClient;
use jsonrpsee::ws_client::WsClientBuilder;
use serde_json::value::RawValue;
use serde_json::value::to_raw_value;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::timeout_at;
use zinnia_types::ErrorBody;
use zinnia_types::VmId;

use crate::CallStep;
use crate::PeerError;
use crate::Settings;
use crate::counted_stream::CountedStream;
use crate::counted_stream::count_into;
use crate::counters::PeerTraffic;
use crate::queue::MessageQueue;
use crate::queue::QueuedMessage;
use crate::rpc;

type Client = WsClient<RpcService>;

/// Number of messages that the WebSocket client buffers in addition to the queue. The buffer is
/// small, because only the queue drops old messages in favor of new ones.
const CLIENT_BUFFER_MESSAGES: usize = 64;

/// Request timeout of the WebSocket client. Calls have their own, shorter timeout. One-way messages
/// wait only while the connection accepts no data.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(60);

/// Parameters of a message with an already serialized value.
enum MessageParams {
    Call(Box<RawValue>),
    /// Value, and sequence number of the message on its connection.
    OneWay(Box<RawValue>, u64),
}

impl ToRpcParams for MessageParams {
    fn to_rpc_params(self) -> Result<Option<Box<RawValue>>, serde_json::Error> {
        match self {
            Self::Call(value) => to_raw_value(&(value,)).map(Some),
            Self::OneWay(value, sequence) => to_raw_value(&(value, sequence)).map(Some),
        }
    }
}

#[derive(Clone)]
enum ConnectionState {
    /// Not connected. The next message opens a connection.
    Idle,
    Connecting,
    Connected(Arc<Client>),
    /// Waiting before the next connection attempt, with the reason of the last failure.
    BackingOff(String),
}

/// State shared by a link and its connection task.
struct LinkState {
    settings: Arc<Settings>,
    local_vm: VmId,
    /// Address of the peer as `ip:port`.
    peer: String,
    queue: MessageQueue,
    /// Wakes the connection task to connect or to send queued messages.
    wake: Notify,
    connection: watch::Sender<ConnectionState>,
    traffic: Arc<PeerTraffic>,
}

/// Outgoing connection to one peer, with the task that maintains it.
pub(crate) struct Link {
    shared: Arc<LinkState>,
    task: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Link {
    /// Creates a link. The connection opens with the first message.
    pub(crate) fn new(settings: Arc<Settings>, local_vm: VmId, peer: &str) -> Self {
        let shared = Arc::new(LinkState {
            queue: MessageQueue::new(settings.queue),
            settings,
            local_vm,
            peer: peer.to_owned(),
            wake: Notify::new(),
            connection: watch::Sender::new(ConnectionState::Idle),
            traffic: Arc::new(PeerTraffic::new(peer, "link")),
        });
        let task = tokio::spawn(maintain_connection(shared.clone())).abort_handle();
        Self { shared, task }
    }

    pub(crate) fn traffic(&self) -> &PeerTraffic {
        &self.shared.traffic
    }

    /// Queues a one-way message.
    pub(crate) fn notify(&self, message: QueuedMessage) {
        let dropped = self.shared.queue.push(message);
        self.shared.traffic.overflowed.add(dropped);
        self.shared.wake.notify_one();
    }

    /// Sends a request and waits for its answer until `deadline`.
    pub(crate) async fn call(
        &self,
        method: &str,
        value: Box<RawValue>,
        deadline: Instant,
    ) -> Result<Box<RawValue>, PeerError> {
        let client = self.wait_connected(deadline).await?;
        self.shared.traffic.sent_messages.add(1);
        let peer = &self.shared.peer;
        match timeout_at(deadline, client.request(method, MessageParams::Call(value))).await {
            Ok(Ok(answer)) => {
                self.shared.traffic.received_messages.add(1);
                Ok(answer)
            }
            Ok(Err(Error::Call(error))) => {
                self.shared.traffic.received_messages.add(1);
                let body = error
                    .data()
                    .and_then(|raw| serde_json::from_str::<ErrorBody>(raw.get()).ok());
                Err(match body {
                    Some(body) => PeerError::from_handler(peer, body),
                    None => PeerError::new(CallStep::Answer, peer, true, error.message()),
                })
            }
            Ok(Err(e)) => Err(PeerError::new(CallStep::Answer, peer, true, e.to_string())),
            Err(_) => Err(PeerError::timeout(CallStep::Answer, peer, true)),
        }
    }

    /// Waits until the link is connected. Fails immediately during the backoff after a failure.
    async fn wait_connected(&self, deadline: Instant) -> Result<Arc<Client>, PeerError> {
        let peer = &self.shared.peer;
        let mut connection = self.shared.connection.subscribe();
        loop {
            let state = connection.borrow_and_update().clone();
            match state {
                ConnectionState::Connected(client) if client.is_connected() => return Ok(client),
                ConnectionState::BackingOff(reason) => {
                    return Err(PeerError::new(CallStep::Connect, peer, false, reason));
                }
                ConnectionState::Idle => self.shared.wake.notify_one(),
                ConnectionState::Connected(_) | ConnectionState::Connecting => {}
            }
            match timeout_at(deadline, connection.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => {
                    return Err(PeerError::new(
                        CallStep::Connect,
                        peer,
                        false,
                        "the link is closed",
                    ));
                }
                Err(_) => return Err(PeerError::timeout(CallStep::Connect, peer, false)),
            }
        }
    }
}

/// Connects when there is a message to send, and sends the queued messages until the connection
/// breaks.
async fn maintain_connection(shared: Arc<LinkState>) {
    let mut failures = 0;
    loop {
        if shared.queue.is_empty() {
            shared.wake.notified().await;
        }
        shared.connection.send_replace(ConnectionState::Connecting);
        let reason = match connect(&shared).await {
            Ok(client) => {
                let connected_at = Instant::now();
                let client = Arc::new(client);
                shared.traffic.connects.add(1);
                shared
                    .connection
                    .send_replace(ConnectionState::Connected(client.clone()));
                let reason = send_queued_messages(&shared, &client).await;
                tracing::info!(peer = %shared.peer, why = %reason, "connection to peer lost");
                // A peer that accepts connections and closes them immediately is treated like one
                // that refuses them.
                if connected_at.elapsed() > shared.settings.backoff.max {
                    failures = 0;
                }
                reason
            }
            Err(reason) => {
                shared.traffic.failures.add(1);
                if failures == 0 {
                    tracing::info!(peer = %shared.peer, why = %reason, "cannot connect to peer");
                }
                reason
            }
        };
        failures += 1;
        shared
            .connection
            .send_replace(ConnectionState::BackingOff(reason));
        sleep(shared.settings.backoff.delay(failures)).await;
        shared.connection.send_replace(ConnectionState::Idle);
    }
}

/// Sends queued messages until the connection breaks. Returns the reason.
async fn send_queued_messages(shared: &LinkState, client: &Client) -> String {
    let mut sequence = 0;
    loop {
        while let Some(message) = shared.queue.pop() {
            if shared.settings.drops_messages_to(&shared.peer) {
                shared.traffic.cut.add(1);
                continue;
            }
            let params = MessageParams::OneWay(message.value, sequence);
            if let Err(e) = client.notification(&message.method, params).await {
                return e.to_string();
            }
            sequence += 1;
            shared.traffic.sent_messages.add(1);
        }
        tokio::select! {
            reason = client.on_disconnect() => return reason.to_string(),
            () = shared.wake.notified() => {}
        }
    }
}

async fn connect(shared: &LinkState) -> Result<Client, String> {
    let limit = shared.settings.connect_timeout;
    match timeout(limit, handshake(shared)).await {
        Ok(result) => result,
        Err(_) => Err("the connect timeout expired".to_owned()),
    }
}

async fn handshake(shared: &LinkState) -> Result<Client, String> {
    let settings = &shared.settings;
    let stream = TcpStream::connect(&shared.peer)
        .await
        .map_err(|e| e.to_string())?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let traffic = Arc::new(OnceLock::from(shared.traffic.clone()));
    let ping = PingConfig::new()
        .ping_interval(settings.ping.interval)
        .inactive_limit(settings.ping.timeout)
        .max_failures(1);
    WsClientBuilder::new()
        .set_headers(handshake_headers(shared)?)
        .max_request_size(settings.max_message)
        .max_response_size(settings.max_message)
        .max_concurrent_requests(CLIENT_BUFFER_MESSAGES)
        .request_timeout(CLIENT_TIMEOUT)
        .connection_timeout(settings.connect_timeout)
        .enable_ws_ping(ping)
        // The default middleware logs message bodies.
        .set_rpc_middleware(RpcServiceBuilder::new())
        .build_with_stream(
            format!("ws://{}/", shared.peer),
            CountedStream::new(stream, count_into(traffic)),
        )
        .await
        .map_err(|e| e.to_string())
}

fn handshake_headers(shared: &LinkState) -> Result<HeaderMap, String> {
    let header_value = |value: &str| HeaderValue::from_str(value).map_err(|e| e.to_string());
    let mut headers = HeaderMap::new();
    headers.insert(rpc::KEY_HEADER, shared.settings.key.header_value());
    headers.insert(rpc::VM_HEADER, header_value(&shared.local_vm.to_string())?);
    headers.insert(rpc::ADDR_HEADER, header_value(&shared.settings.addr)?);
    Ok(headers)
}
