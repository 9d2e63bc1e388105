//! Frees what a client held when its connection is gone.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures_util::Stream;
use gs_protocol::ids::AttemptId;
use tokio::sync::mpsc;

use super::batch::{StreamCut, StreamPart};
use super::server::EngineShared;

/// Gives a prefill up unless it is closed first.
pub struct PrefillGuard {
    shared: Arc<EngineShared>,
    serial: u64,
    armed: bool,
}

impl PrefillGuard {
    /// Guards a prefill that waits or runs.
    pub fn new(shared: Arc<EngineShared>, serial: u64) -> Self {
        Self {
            shared,
            serial,
            armed: true,
        }
    }

    /// The prefill has ended by itself.
    pub fn close(mut self) {
        self.armed = false;
    }
}

impl Drop for PrefillGuard {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        if self.armed && !state.faults.keep_orphans {
            let serial = self.serial;
            state.drop_jobs(|job| job.serial == serial);
        }
    }
}

/// Ends a stream when its reader is gone.
pub struct StreamGuard {
    shared: Arc<EngineShared>,
    attempt: AttemptId,
    serial: u64,
}

impl StreamGuard {
    /// Guards a stream.
    pub fn new(shared: Arc<EngineShared>, attempt: AttemptId, serial: u64) -> Self {
        Self {
            shared,
            attempt,
            serial,
        }
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.shared.lock().drop_stream(self.attempt, self.serial);
    }
}

/// A stream's events as the body of an answer.
pub struct StreamBody {
    receiver: mpsc::Receiver<StreamPart>,
    cut: Option<StreamCut>,
    _guard: StreamGuard,
}

impl StreamBody {
    /// The body of a guarded stream.
    pub fn new(receiver: mpsc::Receiver<StreamPart>, guard: StreamGuard) -> Self {
        Self {
            receiver,
            cut: None,
            _guard: guard,
        }
    }
}

impl Stream for StreamBody {
    type Item = StreamPart;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<StreamPart>> {
        if let Some(cut) = self.cut.take() {
            return Poll::Ready(Some(Err(cut)));
        }
        match self.receiver.poll_recv(context) {
            Poll::Ready(Some(Err(cut))) => {
                // The server drops what is not flushed on an error, and flushes when the body waits.
                self.cut = Some(cut);
                context.waker().wake_by_ref();
                Poll::Pending
            }
            polled => polled,
        }
    }
}

/// Keeps a result while it is sent; its time to live goes on if the transfer breaks off.
pub struct ExportGuard {
    shared: Arc<EngineShared>,
    attempt: AttemptId,
    armed: bool,
}

impl ExportGuard {
    /// Guards a transfer.
    pub fn new(shared: Arc<EngineShared>, attempt: AttemptId) -> Self {
        Self {
            shared,
            attempt,
            armed: true,
        }
    }

    /// The transfer has ended: frees the result. False if the result is gone.
    pub fn close(mut self) -> bool {
        self.armed = false;
        self.shared.lock().finish_export(self.attempt)
    }
}

impl Drop for ExportGuard {
    fn drop(&mut self) {
        if self.armed {
            self.shared.lock().abandon_export(self.attempt);
        }
    }
}
