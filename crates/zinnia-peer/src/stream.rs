//! A TCP stream that counts its bytes.

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

use crate::counters::Traffic;

/// Counters of a connection, set once the peer is known.
pub(crate) type Meter = Arc<OnceLock<Arc<Traffic>>>;

/// Direction of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Read from the connection.
    Received,
    /// Written to the connection.
    Sent,
}

/// A TCP stream that reports the bytes of each read and write to a closure.
#[derive(Debug)]
pub struct CountedStream<F> {
    inner: TcpStream,
    note: F,
}

impl<F: Fn(Direction, u64)> CountedStream<F> {
    /// Reports to `note` from now on.
    pub fn new(inner: TcpStream, note: F) -> Self {
        Self { inner, note }
    }
}

/// Adds to the counters of `meter`, once they are set.
pub(crate) fn add_to(meter: Meter) -> impl Fn(Direction, u64) + Unpin + Send + 'static {
    move |way, n| {
        if let Some(traffic) = meter.get() {
            match way {
                Direction::Received => traffic.received_bytes.add(n),
                Direction::Sent => traffic.sent_bytes.add(n),
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
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        (self.note)(Direction::Received, (buf.filled().len() - before) as u64);
        Poll::Ready(Ok(()))
    }
}

impl<F: Fn(Direction, u64) + Unpin> AsyncWrite for CountedStream<F> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let n = ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        (self.note)(Direction::Sent, n as u64);
        Poll::Ready(Ok(n))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
