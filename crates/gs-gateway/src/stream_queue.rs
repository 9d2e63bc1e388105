//! Events of a stream that wait until their client takes them, within a bound of bytes.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::answer::IncompleteAnswer;
use crate::answer_reader::{AnswerBudget, AnswerShare};

/// Bytes that may wait in one stream before back pressure reaches its engine. At usual sizes of events these are
/// some hundreds, so that an engine can end the stream of a client that pauses for a moment.
const MAX_QUEUED_BYTES: usize = 65_536;

/// Bytes of each stream that do not count toward the entry's memory for answers, so that events of clients that
/// read are forwarded even while those that do not have used it up.
const FREE_QUEUED_BYTES: usize = 4_096;

/// Memory of a queued event besides its bytes.
const EVENT_OVERHEAD_BYTES: usize = 64;

/// What waits in one stream.
#[derive(Debug)]
struct QueuedBytes {
    bytes: usize,
    share: AnswerShare,
}

/// The memory of one stream's queue.
#[derive(Debug)]
struct QueueSpace {
    queued: Mutex<QueuedBytes>,
    released: Notify,
}

impl QueueSpace {
    fn queued(&self) -> MutexGuard<'_, QueuedBytes> {
        self.queued.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes memory for an event; `false` if the event must wait. The first event of an empty queue never waits.
    fn try_take(&self, bytes: usize) -> bool {
        let mut queued = self.queued();
        let total = queued.bytes + bytes;
        let counted = total.saturating_sub(FREE_QUEUED_BYTES);
        if queued.bytes == 0 {
            queued.share.force(counted);
        } else if total > MAX_QUEUED_BYTES || !queued.share.resize(counted) {
            return false;
        }
        queued.bytes = total;
        true
    }

    /// Takes memory for an event as soon as there is enough.
    async fn take(&self, bytes: usize) {
        while !self.try_take(bytes) {
            self.released.notified().await;
        }
    }

    fn release(&self, bytes: usize) {
        let mut queued = self.queued();
        queued.bytes = queued.bytes.saturating_sub(bytes);
        let counted = queued.bytes.saturating_sub(FREE_QUEUED_BYTES);
        queued.share.force(counted);
        drop(queued);
        self.released.notify_one();
    }
}

/// An event that counts until it is written or its connection ends.
struct CountedEvent {
    bytes: Bytes,
    space: Arc<QueueSpace>,
}

impl CountedEvent {
    fn size(bytes: &Bytes) -> usize {
        bytes.len() + EVENT_OVERHEAD_BYTES
    }
}

impl AsRef<[u8]> for CountedEvent {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for CountedEvent {
    fn drop(&mut self) {
        self.space.release(Self::size(&self.bytes));
    }
}

/// What the client's connection takes from the queue.
pub(crate) type StreamReceiver = UnboundedReceiver<Result<Bytes, IncompleteAnswer>>;

/// Puts events into the queue of a stream.
#[derive(Debug)]
pub(crate) struct StreamSender {
    // Bounded by the space, so that the end of a stream can always be told.
    sender: UnboundedSender<Result<Bytes, IncompleteAnswer>>,
    space: Arc<QueueSpace>,
}

impl StreamSender {
    /// Queues an event as soon as there is memory for it; `false` if the client has disconnected.
    pub async fn send(&self, event: Bytes) -> bool {
        tokio::select! {
            biased;
            () = self.sender.closed() => return false,
            () = self.space.take(CountedEvent::size(&event)) => {}
        }
        let counted = Bytes::from_owner(CountedEvent {
            bytes: event,
            space: Arc::clone(&self.space),
        });
        self.sender.send(Ok(counted)).is_ok()
    }

    /// Ends the stream as incomplete.
    pub fn break_off(&self) {
        // Fails only if the client has disconnected.
        let _ = self.sender.send(Err(IncompleteAnswer));
    }

    /// Waits until the client has disconnected.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }
}

/// Creates the queue of a stream.
pub(crate) fn stream_queue(budget: &AnswerBudget) -> (StreamSender, StreamReceiver) {
    let (sender, receiver) = unbounded_channel();
    let queued = QueuedBytes {
        bytes: 0,
        share: budget.share(),
    };
    let space = QueueSpace {
        queued: Mutex::new(queued),
        released: Notify::new(),
    };
    let space = Arc::new(space);
    (StreamSender { sender, space }, receiver)
}
