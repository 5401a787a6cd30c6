//! The outgoing connection to one peer.

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
use crate::counters::Traffic;
use crate::queue::Message;
use crate::queue::Queue;
use crate::rpc;
use crate::stream::CountedStream;
use crate::stream::add_to;

type Client = WsClient<RpcService>;

/// Messages that the client buffers below the queue. A small buffer leaves the choice of what to
/// drop to the queue.
const CLIENT_BUFFER: usize = 64;

/// Longest wait of the client itself; calls have their own, shorter timeout, and notifications wait
/// only while the connection accepts no bytes.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(60);

/// Parameters of a message whose value is serialised already.
enum Params {
    Call(Box<RawValue>),
    /// The value and the number of the message on its connection.
    OneWay(Box<RawValue>, u64),
}

impl ToRpcParams for Params {
    fn to_rpc_params(self) -> Result<Option<Box<RawValue>>, serde_json::Error> {
        match self {
            Self::Call(value) => to_raw_value(&(value,)).map(Some),
            Self::OneWay(value, number) => to_raw_value(&(value, number)).map(Some),
        }
    }
}

#[derive(Clone)]
enum State {
    Idle,
    Connecting,
    Up(Arc<Client>),
    Down(String),
}

struct Shared {
    settings: Arc<Settings>,
    me: VmId,
    peer: String,
    queue: Queue,
    wake: Notify,
    state: watch::Sender<State>,
    traffic: Arc<Traffic>,
}

/// The outgoing connection to one peer, with the task that keeps it.
pub(crate) struct Link {
    shared: Arc<Shared>,
    task: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Link {
    /// Prepares the link; the connection opens with the first message.
    pub(crate) fn new(settings: Arc<Settings>, me: VmId, peer: &str) -> Self {
        let shared = Arc::new(Shared {
            queue: Queue::new(settings.queue),
            settings,
            me,
            peer: peer.to_owned(),
            wake: Notify::new(),
            state: watch::Sender::new(State::Idle),
            traffic: Arc::new(Traffic::new(peer, "link")),
        });
        let task = tokio::spawn(run(shared.clone())).abort_handle();
        Self { shared, task }
    }

    pub(crate) fn traffic(&self) -> &Traffic {
        &self.shared.traffic
    }

    /// Queues a one-way message.
    pub(crate) fn notify(&self, message: Message) {
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
        let client = self.client(deadline).await?;
        self.shared.traffic.sent_messages.add(1);
        let peer = &self.shared.peer;
        match timeout_at(deadline, client.request(method, Params::Call(value))).await {
            Ok(Ok(answer)) => {
                self.shared.traffic.received_messages.add(1);
                Ok(answer)
            }
            Ok(Err(Error::Call(refusal))) => {
                self.shared.traffic.received_messages.add(1);
                let body = refusal
                    .data()
                    .and_then(|raw| serde_json::from_str::<ErrorBody>(raw.get()).ok());
                Err(match body {
                    Some(body) => PeerError::refused(peer, body),
                    None => PeerError::new(CallStep::Answer, peer, true, refusal.message()),
                })
            }
            Ok(Err(e)) => Err(PeerError::new(CallStep::Answer, peer, true, e.to_string())),
            Err(_) => Err(PeerError::timeout(CallStep::Answer, peer, true)),
        }
    }

    /// Waits for the connection; fails at once while the link pauses after a failed attempt.
    async fn client(&self, deadline: Instant) -> Result<Arc<Client>, PeerError> {
        let peer = &self.shared.peer;
        let mut state = self.shared.state.subscribe();
        loop {
            let now = state.borrow_and_update().clone();
            match now {
                State::Up(client) if client.is_connected() => return Ok(client),
                State::Down(why) => {
                    return Err(PeerError::new(CallStep::Connect, peer, false, why));
                }
                State::Idle => self.shared.wake.notify_one(),
                State::Up(_) | State::Connecting => {}
            }
            match timeout_at(deadline, state.changed()).await {
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

/// Connects when there is something to send, and keeps the connection until it breaks.
async fn run(shared: Arc<Shared>) {
    let mut fails = 0;
    loop {
        if shared.queue.is_empty() {
            shared.wake.notified().await;
        }
        shared.state.send_replace(State::Connecting);
        let why = match connect(&shared).await {
            Ok(client) => {
                let opened = Instant::now();
                let client = Arc::new(client);
                shared.traffic.connects.add(1);
                shared.state.send_replace(State::Up(client.clone()));
                let why = pump(&shared, &client).await;
                tracing::info!(peer = %shared.peer, %why, "connection to peer lost");
                // A peer that accepts and closes at once is treated like one that refuses.
                if opened.elapsed() > shared.settings.backoff.max {
                    fails = 0;
                }
                why
            }
            Err(why) => {
                shared.traffic.failures.add(1);
                if fails == 0 {
                    tracing::info!(peer = %shared.peer, %why, "peer not reachable");
                }
                why
            }
        };
        fails += 1;
        shared.state.send_replace(State::Down(why));
        sleep(shared.settings.backoff.delay(fails)).await;
        shared.state.send_replace(State::Idle);
    }
}

/// Sends queued messages until the connection breaks; returns why it did.
async fn pump(shared: &Shared, client: &Client) -> String {
    let mut number = 0;
    loop {
        while let Some(message) = shared.queue.pop() {
            if shared.settings.drops_messages_to(&shared.peer) {
                shared.traffic.cut.add(1);
                continue;
            }
            let params = Params::OneWay(message.value, number);
            if let Err(e) = client.notification(&message.method, params).await {
                return e.to_string();
            }
            number += 1;
            shared.traffic.sent_messages.add(1);
        }
        tokio::select! {
            why = client.on_disconnect() => return why.to_string(),
            () = shared.wake.notified() => {}
        }
    }
}

async fn connect(shared: &Shared) -> Result<Client, String> {
    let limit = shared.settings.connect_timeout;
    match timeout(limit, handshake(shared)).await {
        Ok(done) => done,
        Err(_) => Err("no connection within the time for connecting".to_owned()),
    }
}

async fn handshake(shared: &Shared) -> Result<Client, String> {
    let settings = &shared.settings;
    let stream = TcpStream::connect(&shared.peer)
        .await
        .map_err(|e| e.to_string())?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let meter = Arc::new(OnceLock::from(shared.traffic.clone()));
    let ping = PingConfig::new()
        .ping_interval(settings.ping.interval)
        .inactive_limit(settings.ping.timeout)
        .max_failures(1);
    WsClientBuilder::new()
        .set_headers(headers(shared)?)
        .max_request_size(settings.max_message)
        .max_response_size(settings.max_message)
        .max_concurrent_requests(CLIENT_BUFFER)
        .request_timeout(CLIENT_TIMEOUT)
        .connection_timeout(settings.connect_timeout)
        .enable_ws_ping(ping)
        // The default middleware would log message bodies.
        .set_rpc_middleware(RpcServiceBuilder::new())
        .build_with_stream(
            format!("ws://{}/", shared.peer),
            CountedStream::new(stream, add_to(meter)),
        )
        .await
        .map_err(|e| e.to_string())
}

fn headers(shared: &Shared) -> Result<HeaderMap, String> {
    let text = |value: &str| HeaderValue::from_str(value).map_err(|e| e.to_string());
    let mut headers = HeaderMap::new();
    headers.insert(rpc::KEY_HEADER, shared.settings.key.header());
    headers.insert(rpc::VM_HEADER, text(&shared.me.to_string())?);
    headers.insert(rpc::ADDR_HEADER, text(&shared.settings.addr)?);
    Ok(headers)
}
