//! A client's connection, with a record of how fast the client takes what is written to it.

use std::cell::Cell;
use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Time for which bytes must have waited for a client until it counts as a slow reader.
const SLOW_AFTER: Duration = Duration::from_millis(500);

/// Time after which a connection is closed whose client takes no byte at all.
const STALL_LIMIT: Duration = Duration::from_secs(30);

/// How fast a client takes what is written to it.
#[derive(Debug, Default)]
pub(crate) struct ReaderProgress {
    /// Since when bytes have always been waiting for the client.
    blocked_since: Cell<Option<Instant>>,
    /// Since when bytes have been waiting and the client has taken none.
    stalled_since: Cell<Option<Instant>>,
    /// Bytes that the client has taken since `blocked_since`.
    taken: Cell<usize>,
    is_cut: Cell<bool>,
    cut: Notify,
}

impl ReaderProgress {
    /// Records that bytes wait for the client.
    fn record_blocked(&self) {
        let now = Some(Instant::now());
        self.stalled_since.set(self.stalled_since.get().or(now));
        if self.blocked_since.get().is_none() {
            self.blocked_since.set(now);
            self.taken.set(0);
        }
    }

    /// Records that the client has taken bytes, or that there is room for them in its connection.
    fn record_taken(&self, bytes: usize) {
        self.stalled_since.set(None);
        self.taken.set(self.taken.get().saturating_add(bytes));
    }

    /// Records that no bytes wait for the client.
    fn record_all_taken(&self) {
        self.stalled_since.set(None);
        self.blocked_since.set(None);
    }

    /// Whether bytes wait for the client, and its connection is not about to end.
    pub fn is_blocked(&self) -> bool {
        self.blocked_since.get().is_some() && !self.is_cut.get()
    }

    /// Returns the bytes per second that a slow reader takes; `None` if the client is none, or is cut off already.
    pub fn slow_rate(&self) -> Option<f64> {
        let blocked_for = self.blocked_since.get()?.elapsed();
        let is_slow = blocked_for >= SLOW_AFTER && !self.is_cut.get();
        is_slow.then(|| self.taken.get() as f64 / blocked_for.as_secs_f64())
    }

    /// Whether the client has taken no byte for so long that its connection is to be closed.
    pub fn is_stalled(&self) -> bool {
        let stalled_since = self.stalled_since.get();
        stalled_since.is_some_and(|since| since.elapsed() >= STALL_LIMIT)
    }

    /// Asks for the end of the connection.
    pub fn cut(&self) {
        self.is_cut.set(true);
        self.cut.notify_one();
    }

    /// Waits until the connection is to be ended.
    pub async fn cut_requested(&self) {
        self.cut.notified().await;
    }
}

/// A client's connection.
#[derive(Debug)]
pub(crate) struct ClientStream {
    stream: TcpStream,
    progress: Rc<ReaderProgress>,
}

impl ClientStream {
    /// Wraps a connection; the progress of its client is recorded in `progress`.
    pub fn new(stream: TcpStream, progress: Rc<ReaderProgress>) -> Self {
        Self { stream, progress }
    }

    fn record_write(&self, written: Poll<Result<usize>>) -> Poll<Result<usize>> {
        match &written {
            Poll::Pending => self.progress.record_blocked(),
            Poll::Ready(Ok(bytes)) => self.progress.record_taken(*bytes),
            Poll::Ready(Err(_)) => {}
        }
        written
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        // The HTTP library flushes only after it has written all that it holds.
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.progress.record_all_taken();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
