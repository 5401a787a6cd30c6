//! TCP stream that counts the transferred bytes.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::OnceLock;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::counters::PeerTraffic;

/// Counters for the traffic of a connection. They are set after the peer is authenticated.
pub(crate) type ConnectionTraffic = Arc<OnceLock<Arc<PeerTraffic>>>;

/// Direction of transferred bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Bytes read from the connection.
    Received,
    /// Bytes written to the connection.
    Sent,
}

/// TCP stream that calls a closure with the number of bytes of each read and write.
#[derive(Debug)]
pub struct CountedStream<F> {
    inner: TcpStream,
    on_transfer: F,
}

impl<F: Fn(Direction, u64)> CountedStream<F> {
    /// Wraps a stream. Reads and writes call `on_transfer`.
    pub fn new(inner: TcpStream, on_transfer: F) -> Self {
        Self { inner, on_transfer }
    }
}

/// Returns a closure that adds bytes to `traffic`. It ignores bytes before the counters are set.
pub(crate) fn count_into(
    traffic: ConnectionTraffic,
) -> impl Fn(Direction, u64) + Unpin + Send + 'static {
    move |direction, bytes| {
        if let Some(traffic) = traffic.get() {
            match direction {
                Direction::Received => traffic.received_bytes.add(bytes),
                Direction::Sent => traffic.sent_bytes.add(bytes),
            }
        }
    }
}

impl<F: Fn(Direction, u64) + Unpin> AsyncRead for CountedStream<F> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        (self.on_transfer)(
            Direction::Received,
            (buf.filled().len() - filled_before) as u64,
        );
        Poll::Ready(Ok(()))
    }
}

impl<F: Fn(Direction, u64) + Unpin> AsyncWrite for CountedStream<F> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        (self.on_transfer)(Direction::Sent, written as u64);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
