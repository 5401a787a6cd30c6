//! Stream of a connection that closes it when its client sends or reads too slowly.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep_until;

use super::Admission;
use super::connection::Connection;
use super::connection::Phase;

/// Longest time in which the rest of a refused request is read. A connection that is closed with unread bytes is
/// reset, and the client might lose the answer.
const DRAIN_TIME: Duration = Duration::from_millis(500);
/// Most bytes of a refused request that are read.
const DRAIN_BYTES: usize = 256 * 1024;
/// Bytes of a refused request that are read at once.
const SCRATCH_BYTES: usize = 4 * 1024;

/// A wait for the client: the phase and number of requests at its start, and the start.
#[derive(Clone, Copy, Debug)]
struct Wait {
    phase: Phase,
    requests: u64,
    since: Instant,
}

/// Stream with the time limits of a listener.
pub(super) struct GuardedStream<S> {
    inner: S,
    admission: Arc<Admission>,
    connection: Arc<Connection>,
    read_wait: Wait,
    read_timer: Pin<Box<Sleep>>,
    /// Time limit of a write, or of reading the rest of a refused request.
    write_timer: Option<Pin<Box<Sleep>>>,
    drained: usize,
}

fn timed_out(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, what)
}

impl<S> GuardedStream<S> {
    pub(super) fn new(inner: S, admission: Arc<Admission>, connection: Arc<Connection>) -> Self {
        let since = Instant::now();
        let read_timer = Box::pin(sleep_until(since + admission.limits().each.idle_time));
        Self {
            inner,
            admission,
            connection,
            read_wait: Wait {
                phase: Phase::Idle,
                requests: 0,
                since,
            },
            read_timer,
            write_timer: None,
            drained: 0,
        }
    }

    /// Checks how long the client has sent nothing.
    fn poll_read_limit(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let (phase, requests) = (self.connection.phase(), self.connection.requests());
        if (phase, requests) != (self.read_wait.phase, self.read_wait.requests) {
            self.read_wait = Wait {
                phase,
                requests,
                since: Instant::now(),
            };
        }
        let limits = &self.admission.limits().each;
        let (limit, reason) = match phase {
            Phase::Idle => (limits.idle_time, "idle"),
            Phase::Head => (limits.head_time, "head_time"),
            Phase::Body | Phase::Handling => return Poll::Pending,
        };
        let deadline = self.read_wait.since + limit;
        if self.read_timer.deadline() != deadline {
            self.read_timer.as_mut().reset(deadline);
        }
        ready!(self.read_timer.as_mut().poll(cx));
        if phase == Phase::Head {
            self.admission.report().refused(reason);
        }
        Poll::Ready(Err(timed_out(reason)))
    }

    /// Checks how long the client has taken nothing of an answer.
    fn poll_write_limit(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        let limit = self.admission.limits().each.write_time;
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep_until(Instant::now() + limit)));
        ready!(timer.as_mut().poll(cx));
        self.admission.report().refused("write_time");
        Poll::Ready(timed_out("the answer was not read"))
    }

    /// Passes on the result of a write, within the time limit.
    fn limit_write<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_pending() {
            return self.poll_write_limit(cx).map(Err);
        }
        self.write_timer = None;
        written
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for GuardedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        if read.is_pending() {
            return self.poll_read_limit(cx);
        }
        if buf.filled().len() > before && self.connection.phase() == Phase::Idle {
            self.connection.set_phase(Phase::Head);
        }
        read
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> GuardedStream<S> {
    /// Reads the rest of a refused request, within limits.
    fn poll_drain(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep_until(Instant::now() + DRAIN_TIME)));
        if timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let mut scratch = [0; SCRATCH_BYTES];
        while self.drained < DRAIN_BYTES {
            let mut buf = ReadBuf::new(&mut scratch);
            let read = ready!(Pin::new(&mut self.inner).poll_read(cx, &mut buf));
            let count = buf.filled().len();
            if read.is_err() || count == 0 {
                break;
            }
            self.drained = self.drained.saturating_add(count);
        }
        Poll::Ready(())
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for GuardedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.limit_write(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.limit_write(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.inner).poll_shutdown(cx))?;
        if self.connection.is_refused() {
            ready!(self.poll_drain(cx));
        }
        Poll::Ready(Ok(()))
    }
}
