//! HTTP server that bounds what its clients can take.
//!
//! Each listener has an [`Admission`] of its own, so that a crowd at one of them takes nothing from the
//! others. It bounds the connections, the time for heads, bodies and answers, and the memory that open
//! requests hold. Bodies are read here, before the router sees the request: a request that is refused has
//! not run.

mod admission;
mod answer;
mod body;
mod connection;
mod hold;
mod limits;
mod report;
mod stream;

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use http::Method;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tower::ServiceExt;

pub use admission::Admission;
pub use admission::Permit;
pub use hold::Hold;
pub use limits::ConnectionLimits;
pub use limits::Limits;
pub use limits::ProcessLimits;

use connection::Phase;
use stream::GuardedStream;

/// Delay after a failed accept, for example when the process has no free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Ends a server.
#[derive(Clone, Debug, Default)]
pub struct Stop {
    /// Closes the listener, and each connection after its open request.
    pub close: CancellationToken,
    /// Closes all connections at once.
    pub abort: CancellationToken,
}

/// Serves `router` on `listener` until it is stopped and the open requests are answered.
///
/// `wrap` makes the stream of a connection, for example one that counts its bytes. All limits of `admission` hold for each connection.
pub async fn serve<W, S>(
    listener: TcpListener,
    router: Router,
    admission: Arc<Admission>,
    stop: Stop,
    wrap: W,
) where
    W: Fn(TcpStream) -> S,
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let mut builder = http1::Builder::new();
    builder
        // Heartbeats are most of the traffic, and workers do not use the date header.
        .auto_date_header(false)
        // Times are limited by the stream, which tells an idle connection from a slow head.
        .header_read_timeout(None)
        .max_buf_size(admission.limits().buffer_bytes());
    loop {
        let accepted = tokio::select! {
            () = stop.close.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let (stream, address) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                tracing::warn!(event = "serve", %error, "accepting a connection failed");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Some(permit) = admission.admit(address.ip()) else {
            continue;
        };
        let evicting = permit.is_evicting();
        let _ = stream.set_nodelay(true);
        let connection = Arc::clone(permit.connection());
        let guarded = GuardedStream::new(wrap(stream), Arc::clone(&admission), connection);
        let service = service_fn({
            let connection = Arc::clone(permit.connection());
            let (router, admission) = (router.clone(), Arc::clone(&admission));
            move |request| {
                let connection = Arc::clone(&connection);
                handle(request, router.clone(), Arc::clone(&admission), connection)
            }
        });
        let served = builder.serve_connection(TokioIo::new(guarded), service);
        tokio::spawn(run(permit, graceful.watch(served), stop.abort.clone()));
        if evicting {
            // The evicted connection is closed before the next one is accepted.
            yield_now().await;
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Drives a connection until it ends, is evicted, or the server is aborted.
async fn run<F>(permit: Permit, served: F, abort: CancellationToken)
where
    F: Future<Output = hyper::Result<()>>,
{
    tokio::select! {
        result = served => {
            if let Err(error) = result {
                tracing::debug!(%error, "connection failed");
            }
        }
        () = permit.evicted() => {}
        () = abort.cancelled() => {}
    }
}

/// Reads the body of a request within the limits, then passes the request to the router.
async fn handle(
    request: Request<Incoming>,
    router: Router,
    admission: Arc<Admission>,
    connection: Arc<connection::Connection>,
) -> Result<Response<Body>, Infallible> {
    connection.begin_request();
    let (parts, body) = request.into_parts();
    let bytes = match body::read(body, &admission).await {
        Ok(bytes) => bytes,
        Err(refusal) => {
            connection.refuse();
            admission.report().refused(refusal.name());
            connection.set_phase(Phase::Idle);
            return Ok(answer::refusal(refusal));
        }
    };
    connection.set_phase(Phase::Handling);
    let is_read = parts.method == Method::GET;
    let request = Request::from_parts(parts, Body::from(bytes));
    let Ok(mut response) = router.oneshot(request).await;
    if is_read {
        response = answer::held_read(response, &admission).await;
    }
    connection.set_phase(Phase::Idle);
    Ok(response)
}
