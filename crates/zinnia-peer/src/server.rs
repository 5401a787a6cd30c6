//! Server for the connections of peers.

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
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
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
use jsonrpsee::server::stop_channel;
use serde_json::Value;
use serde_json::value::RawValue;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;
use tower::Service;
use tower::layer::util::Identity;
use tower::service_fn;
use zinnia_http::server::Admission;
use zinnia_http::server::ConnectionLimits;
use zinnia_http::server::Limits;
use zinnia_http::server::Permit;
use zinnia_types::ErrorBody;
use zinnia_types::VmId;

use crate::PeerCounters;
use crate::Settings;
use crate::counted_stream::ConnectionTraffic;
use crate::counted_stream::CountedStream;
use crate::counted_stream::count_into;
use crate::counters::PeerTraffic;
use crate::message_order::MessageOrder;
use crate::rpc;
use crate::rpc::Caller;
use crate::rpc::Handler;
use crate::rpc::HandlerService;

/// Delay after a failed accept, for example when the process has no free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of unauthenticated connections. They are allowed in addition to `max_connections`.
const MAX_HANDSHAKES: usize = 64;
/// Maximum number of unauthenticated connections of one address. The others have room beside a crowd from it.
const MAX_HANDSHAKES_OF_ADDRESS: usize = 32;
/// Largest head of a handshake in bytes.
const MAX_HANDSHAKE_BYTES: usize = 16 * 1024;

/// Timeout of [`Server::stop`] for pending calls.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Counters of incoming traffic by peer address.
#[derive(Default)]
struct TrafficByPeer(Mutex<BTreeMap<String, Arc<PeerTraffic>>>);

impl TrafficByPeer {
    fn of_peer(&self, addr: &str) -> Arc<PeerTraffic> {
        let mut traffic = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        traffic
            .entry(addr.to_owned())
            .or_insert_with(|| Arc::new(PeerTraffic::new(addr, "server")))
            .clone()
    }

    fn snapshot(&self) -> BTreeMap<String, PeerCounters> {
        let traffic = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let snapshot =
            |(addr, traffic): (&String, &Arc<PeerTraffic>)| (addr.clone(), traffic.snapshot());
        traffic.iter().map(snapshot).collect()
    }
}

/// Running server. Dropping it closes the listener and all connections.
pub struct Server {
    addr: SocketAddr,
    traffic: Arc<TrafficByPeer>,
    handle: ServerHandle,
    accept_task: JoinHandle<()>,
}

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Server").field("addr", &self.addr).finish()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accept_task.abort();
        // Fails only if the server was stopped before.
        let _ = self.handle.stop();
    }
}

impl Server {
    /// Returns the listen address, with the actual port if the server was started with port 0.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the counters by the address that each peer reports as its own.
    pub fn counters(&self) -> BTreeMap<String, PeerCounters> {
        self.traffic.snapshot()
    }

    /// Closes the listener, waits for pending calls and closes all connections.
    pub async fn stop(mut self) {
        self.accept_task.abort();
        // The listener is closed once the task has ended, so that its address can be used again.
        let _ = (&mut self.accept_task).await;
        let _ = self.handle.stop();
        if timeout(STOP_TIMEOUT, self.handle.clone().stopped())
            .await
            .is_err()
        {
            tracing::warn!("calls of peers are still pending after the stop timeout");
        }
    }
}

/// State shared by all connections of a server.
struct ServerContext {
    settings: Arc<Settings>,
    handler: Handler,
    traffic: Arc<TrafficByPeer>,
    stop: StopHandle,
    /// Shared, because it limits the number of connections.
    builder: TowerServiceBuilder<Identity, Identity>,
}

/// Listens on `listen` and passes each message of an authenticated peer to `handler`.
///
/// The arguments of the handler are the VM id of the caller, the method and the value as JSON. The
/// handler is called for the one-way messages of a connection in send order, so it can put them
/// into a channel before it returns its future. The futures run concurrently and are not cancelled
/// when the connection breaks. The result of a one-way message is ignored.
///
/// # Errors
///
/// Returns an error if binding to the address fails.
pub async fn serve<F, A>(listen: SocketAddr, settings: Settings, handler: F) -> io::Result<Server>
where
    F: Fn(VmId, String, Box<RawValue>) -> A + Send + Sync + 'static,
    A: Future<Output = Result<Value, ErrorBody>> + Send + 'static,
{
    let listener = TcpListener::bind(listen).await?;
    let addr = listener.local_addr()?;
    let (stop, handle) = stop_channel();
    let traffic = Arc::<TrafficByPeer>::default();
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
    let context = ServerContext {
        settings: Arc::new(settings),
        handler: Arc::new(move |vm, method, value| Box::pin(handler(vm, method, value))),
        traffic: traffic.clone(),
        stop,
        builder,
    };
    let accept_task = tokio::spawn(accept_connections(listener, Arc::new(context)));
    Ok(Server {
        addr,
        traffic,
        handle,
        accept_task,
    })
}

async fn accept_connections(listener: TcpListener, context: Arc<ServerContext>) {
    let admission = Admission::new(handshake_limits(&context.settings));
    loop {
        let (stream, addr) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                tracing::warn!(error = %e, "cannot accept a connection");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        // Without a permit, the connection is closed immediately.
        if let Some(permit) = admission.admit(addr.ip()) {
            tokio::spawn(authenticate_connection(stream, context.clone(), permit));
        }
    }
}

/// Limits on unauthenticated connections; their requests have no bodies.
fn handshake_limits(settings: &Settings) -> Limits {
    Limits {
        listener: "peers",
        connections: MAX_HANDSHAKES,
        per_address: MAX_HANDSHAKES_OF_ADDRESS,
        body_bytes: 0,
        held_bytes: 0,
        each: ConnectionLimits {
            head_bytes: MAX_HANDSHAKE_BYTES,
            head_time: settings.connect_timeout,
            ..ConnectionLimits::default()
        },
    }
}

/// Serves HTTP on a connection until it is authenticated and upgraded to a WebSocket. jsonrpsee
/// then serves the WebSocket in a separate task.
async fn authenticate_connection(stream: TcpStream, context: Arc<ServerContext>, permit: Permit) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let traffic: ConnectionTraffic = Arc::new(OnceLock::new());
    let io = CountedStream::new(stream, count_into(traffic.clone()));
    let stopped = context.stop.clone().shutdown();
    // Idle unauthenticated connections must not use up the handshake permits.
    let limit = context.settings.connect_timeout;
    let service =
        service_fn(move |request| upgrade_request(request, context.clone(), traffic.clone()));
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(MAX_HANDSHAKE_BYTES)
        .serve_connection(TokioIo::new(io), TowerToHyperService::new(service))
        .with_upgrades();
    tokio::select! {
        served = timeout(limit, connection) => match served {
            Ok(Ok(())) => {}
            Ok(Err(e)) => tracing::debug!(error = %e, "connection failed before the WebSocket upgrade"),
            Err(_) => tracing::debug!("connection closed: authentication timed out"),
        },
        () = permit.evicted() => tracing::debug!("connection closed: newer ones need its place"),
        () = stopped => {}
    }
}

/// Authenticates an upgrade request and upgrades its connection to a WebSocket.
async fn upgrade_request(
    mut request: Request<Incoming>,
    context: Arc<ServerContext>,
    connection_traffic: ConnectionTraffic,
) -> Result<Response<HttpBody>, BoxError> {
    let Some((vm, addr)) = authenticate(request.headers(), &context.settings) else {
        let mut response = Response::new(HttpBody::empty());
        *response.status_mut() = StatusCode::UNAUTHORIZED;
        return Ok(response);
    };
    // jsonrpsee logs requests with their headers at trace level.
    request.headers_mut().remove(rpc::KEY_HEADER);
    let traffic = context.traffic.of_peer(&addr);
    traffic.connects.add(1);
    let _ = connection_traffic.set(traffic.clone());
    let caller = Caller {
        vm,
        addr,
        traffic,
        order: Arc::<MessageOrder>::default(),
    };
    let rpc = RpcServiceBuilder::new().layer_fn({
        let context = context.clone();
        move |inner| HandlerService {
            _inner: inner,
            settings: context.settings.clone(),
            handler: context.handler.clone(),
            caller: caller.clone(),
            stop: context.stop.clone(),
        }
    });
    context
        .builder
        .clone()
        .set_rpc_middleware(rpc)
        .build(Methods::new(), context.stop.clone())
        .call(request)
        .await
}

/// Checks the cluster key in the headers. Returns the VM id and the address of the caller.
fn authenticate(headers: &HeaderMap, settings: &Settings) -> Option<(VmId, Arc<str>)> {
    let key = headers.get(rpc::KEY_HEADER)?;
    if !settings.key.matches(key) {
        return None;
    }
    let header_text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let vm = header_text(rpc::VM_HEADER)?.parse().ok()?;
    let addr = header_text(rpc::ADDR_HEADER).unwrap_or_default().into();
    Some((vm, addr))
}
