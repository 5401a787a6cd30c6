//! Serves the peers' connections.

use std::collections::BTreeMap;
use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::time::Duration;

use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use jsonrpsee::core::BoxError;
use jsonrpsee::core::middleware::RpcServiceBuilder;
use jsonrpsee::server::BatchRequestConfig;
use jsonrpsee::server::HttpBody;
use jsonrpsee::server::Methods;
use jsonrpsee::server::PingConfig;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;
use jsonrpsee::server::StopHandle;
use jsonrpsee::server::TowerServiceBuilder;
use jsonrpsee::server::serve_with_graceful_shutdown;
use jsonrpsee::server::stop_channel;
use serde_json::Value;
use serde_json::value::RawValue;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;
use tokio::time::sleep;
use tokio::time::timeout;
use tower::Service;
use tower::layer::util::Identity;
use tower::service_fn;
use zinnia_types::ErrorBody;
use zinnia_types::VmId;

use crate::PeerCounters;
use crate::Settings;
use crate::counters::Traffic;
use crate::order::Order;
use crate::rpc;
use crate::rpc::Caller;
use crate::rpc::Dispatch;
use crate::rpc::Handler;
use crate::stream::CountedStream;
use crate::stream::Meter;
use crate::stream::add_to;

/// Pause after a failed accept, as when the process has no file descriptors left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Most connections that have not authenticated yet, beside those of peers.
const HANDSHAKES: usize = 64;

/// Longest wait of [`Server::stop`] for calls that are being answered.
const STOP_LIMIT: Duration = Duration::from_secs(5);

#[derive(Default)]
struct Peers(Mutex<BTreeMap<String, Arc<Traffic>>>);

impl Peers {
    fn traffic(&self, addr: &str) -> Arc<Traffic> {
        let mut peers = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        peers
            .entry(addr.to_owned())
            .or_insert_with(|| Arc::new(Traffic::new(addr, "server")))
            .clone()
    }

    fn read(&self) -> BTreeMap<String, PeerCounters> {
        let peers = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let read = |(addr, traffic): (&String, &Arc<Traffic>)| (addr.clone(), traffic.read());
        peers.iter().map(read).collect()
    }
}

/// A running server; dropping it closes the listener and all connections.
pub struct Server {
    addr: SocketAddr,
    peers: Arc<Peers>,
    handle: ServerHandle,
    accept: AbortHandle,
}

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Server").field("addr", &self.addr).finish()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accept.abort();
        // Fails only when the server was stopped before.
        let _ = self.handle.stop();
    }
}

impl Server {
    /// The address that the server listens on, with the port that the system chose for port 0.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Counters per peer, by the address that the peer gives as its own.
    pub fn counters(&self) -> BTreeMap<String, PeerCounters> {
        self.peers.read()
    }

    /// Closes the listener, finishes the calls that are being answered and closes all connections.
    pub async fn stop(self) {
        self.accept.abort();
        let _ = self.handle.stop();
        if timeout(STOP_LIMIT, self.handle.clone().stopped())
            .await
            .is_err()
        {
            tracing::warn!("calls of peers still pending at stop");
        }
    }
}

struct Gate {
    settings: Arc<Settings>,
    handler: Handler,
    peers: Arc<Peers>,
    stop: StopHandle,
    /// Shared by all connections, since it counts them.
    builder: TowerServiceBuilder<Identity, Identity>,
}

/// Listens on `listen` and passes every message of an authenticated peer to `handler`.
///
/// The handler gets the caller's VM id, the method and the value as JSON. It is called for the
/// one-way messages of a connection in the order in which they were sent, so it may put them into a
/// channel before it returns its future. The futures run side by side, each to its end even when the
/// connection breaks. The answer to a one-way message is ignored.
///
/// # Errors
///
/// Returns an error when the address cannot be listened on.
pub async fn serve<F, A>(listen: SocketAddr, settings: Settings, handler: F) -> io::Result<Server>
where
    F: Fn(VmId, String, Box<RawValue>) -> A + Send + Sync + 'static,
    A: Future<Output = Result<Value, ErrorBody>> + Send + 'static,
{
    let listener = TcpListener::bind(listen).await?;
    let addr = listener.local_addr()?;
    let (stop, handle) = stop_channel();
    let peers = Arc::<Peers>::default();
    let ping = PingConfig::new()
        .ping_interval(settings.ping.timeout)
        .inactive_limit(settings.ping.timeout * 2)
        .max_failures(1);
    let config = ServerConfig::builder()
        .max_request_body_size(settings.max_message)
        .max_response_body_size(settings.max_message)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .enable_ws_ping(ping)
        .max_connections(settings.max_connections)
        .ws_only()
        .build();
    let builder = jsonrpsee::server::Server::builder()
        .set_config(config)
        .to_service_builder();
    let gate = Gate {
        settings: Arc::new(settings),
        handler: Arc::new(move |vm, method, value| Box::pin(handler(vm, method, value))),
        peers: peers.clone(),
        stop,
        builder,
    };
    let accept = tokio::spawn(accept(listener, Arc::new(gate))).abort_handle();
    Ok(Server {
        addr,
        peers,
        handle,
        accept,
    })
}

async fn accept(listener: TcpListener, gate: Arc<Gate>) {
    let slots = Arc::new(Semaphore::new(HANDSHAKES));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                tracing::warn!(error = %e, "accepting a peer failed");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        // Without a free slot the connection is closed at once.
        if let Ok(slot) = slots.clone().try_acquire_owned() {
            let gate = gate.clone();
            tokio::spawn(async move {
                connection(stream, gate).await;
                drop(slot);
            });
        }
    }
}

/// Serves a connection until it is a WebSocket, which the library then serves in its own task.
async fn connection(stream: TcpStream, gate: Arc<Gate>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let meter: Meter = Arc::new(OnceLock::new());
    let io = CountedStream::new(stream, add_to(meter.clone()));
    let stopped = gate.stop.clone().shutdown();
    // Strangers that say nothing must not keep peers out.
    let limit = gate.settings.connect_timeout;
    let service = service_fn(move |request| answer(request, gate.clone(), meter.clone()));
    let served = serve_with_graceful_shutdown(io, service, stopped);
    match timeout(limit, served).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => tracing::debug!(error = %e, "connection of a peer ended"),
        Err(_) => tracing::debug!("connection closed that did not authenticate in time"),
    }
}

/// Authenticates the request and upgrades it to a WebSocket.
async fn answer(
    mut request: Request<Incoming>,
    gate: Arc<Gate>,
    meter: Meter,
) -> Result<Response<HttpBody>, BoxError> {
    let Some((vm, addr)) = authenticate(request.headers(), &gate.settings) else {
        let mut refusal = Response::new(HttpBody::empty());
        *refusal.status_mut() = StatusCode::UNAUTHORIZED;
        return Ok(refusal);
    };
    // The library logs requests with their headers at trace level.
    request.headers_mut().remove(rpc::KEY_HEADER);
    let traffic = gate.peers.traffic(&addr);
    traffic.connects.add(1);
    let _ = meter.set(traffic.clone());
    let caller = Caller {
        vm,
        addr,
        traffic,
        order: Arc::<Order>::default(),
    };
    let rpc = RpcServiceBuilder::new().layer_fn({
        let gate = gate.clone();
        move |inner| Dispatch {
            _inner: inner,
            settings: gate.settings.clone(),
            handler: gate.handler.clone(),
            caller: caller.clone(),
            stop: gate.stop.clone(),
        }
    });
    gate.builder
        .clone()
        .set_rpc_middleware(rpc)
        .build(Methods::new(), gate.stop.clone())
        .call(request)
        .await
}

fn authenticate(headers: &HeaderMap, settings: &Settings) -> Option<(VmId, Arc<str>)> {
    let key = headers.get(rpc::KEY_HEADER)?;
    if !settings.key.matches(key) {
        return None;
    }
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let vm = text(rpc::VM_HEADER)?.parse().ok()?;
    let addr = text(rpc::ADDR_HEADER).unwrap_or_default().into();
    Some((vm, addr))
}
