//! Guards that free the resources of a client whose connection has closed.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures_util::Stream;
use gs_protocol::ids::AttemptId;
use tokio::sync::mpsc;

use super::batch::{StreamCut, StreamItem};
use super::server::SharedEngine;

/// Cancels a prefill on drop, unless it was disarmed before.
pub struct PrefillGuard {
    engine: Arc<SharedEngine>,
    serial: u64,
    armed: bool,
}

impl PrefillGuard {
    /// Guards a queued or running prefill.
    pub fn new(engine: Arc<SharedEngine>, serial: u64) -> Self {
        Self {
            engine,
            serial,
            armed: true,
        }
    }

    /// Disarms the guard after the prefill has ended.
    pub fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for PrefillGuard {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        if self.armed && !state.faults.keep_orphans {
            let serial = self.serial;
            state.cancel_jobs(|job| job.serial == serial);
        }
    }
}

/// Ends a stream when its response body is dropped.
pub struct StreamGuard {
    engine: Arc<SharedEngine>,
    attempt: AttemptId,
    serial: u64,
}

impl StreamGuard {
    /// Guards an open stream.
    pub fn new(engine: Arc<SharedEngine>, attempt: AttemptId, serial: u64) -> Self {
        Self {
            engine,
            attempt,
            serial,
        }
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.engine.lock().abandon_stream(self.attempt, self.serial);
    }
}

/// Response body that sends a stream's events.
pub struct StreamBody {
    receiver: mpsc::Receiver<StreamItem>,
    cut: Option<StreamCut>,
    _guard: StreamGuard,
}

impl StreamBody {
    /// Creates the body of a guarded stream.
    pub fn new(receiver: mpsc::Receiver<StreamItem>, guard: StreamGuard) -> Self {
        Self {
            receiver,
            cut: None,
            _guard: guard,
        }
    }
}

impl Stream for StreamBody {
    type Item = StreamItem;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<StreamItem>> {
        if let Some(cut) = self.cut.take() {
            return Poll::Ready(Some(Err(cut)));
        }
        match self.receiver.poll_recv(context) {
            Poll::Ready(Some(Err(cut))) => {
                // On an error the server discards unflushed data. It flushes when the body is
                // pending, so the error is returned by the next poll.
                self.cut = Some(cut);
                context.waker().wake_by_ref();
                Poll::Pending
            }
            polled => polled,
        }
    }
}

/// Marks a result as being sent; its time to live applies again if the transfer is interrupted.
pub struct ExportGuard {
    engine: Arc<SharedEngine>,
    attempt: AttemptId,
    armed: bool,
}

impl ExportGuard {
    /// Guards a transfer that has begun.
    pub fn new(engine: Arc<SharedEngine>, attempt: AttemptId) -> Self {
        Self {
            engine,
            attempt,
            armed: true,
        }
    }

    /// Frees the result after a complete transfer; returns false if it was cancelled in the
    /// meantime.
    pub fn finish(mut self) -> bool {
        self.armed = false;
        self.engine.lock().finish_export(self.attempt)
    }
}

impl Drop for ExportGuard {
    fn drop(&mut self) {
        if self.armed {
            self.engine.lock().abandon_export(self.attempt);
        }
    }
}
