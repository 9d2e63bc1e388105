//! Reads answers of servers into memory that all of them share, and counts them until clients have taken them.

use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::client_stream::ReaderProgress;
use crate::connection::CallError;
use crate::gateway::Gateway;

/// Maximum size of an answer that is not forwarded as a stream, in bytes.
const MAX_ANSWER_BYTES: usize = 4_194_304;

/// Bytes of each answer that do not count toward the budget while it is read, so that answers of this size are
/// read even while servers that send without end have used it up.
const FREE_ANSWER_BYTES: usize = 65_536;

/// Interval at which an answer that does not fit looks for memory that clients have released.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Memory for the answers that are being read, or that clients have not taken yet.
#[derive(Debug)]
pub(crate) struct AnswerBudget {
    limit: usize,
    used: Arc<AtomicUsize>,
    readers: RefCell<Vec<Weak<ReaderProgress>>>,
}

/// The part of the budget that one answer uses.
#[derive(Debug)]
pub(crate) struct AnswerShare {
    limit: usize,
    total: Arc<AtomicUsize>,
    used: usize,
}

impl AnswerShare {
    /// Changes the share to `length` bytes; returns whether the budget suffices. A share can always shrink.
    pub fn resize(&mut self, length: usize) -> bool {
        let total = self.total.load(Ordering::Relaxed);
        let suffices = length <= self.used || total - self.used + length <= self.limit;
        if suffices {
            self.force(length);
        }
        suffices
    }

    /// Changes the share to `length` bytes, even if the budget does not suffice.
    pub fn force(&mut self, length: usize) {
        self.total.fetch_add(length, Ordering::Relaxed);
        self.total.fetch_sub(self.used, Ordering::Relaxed);
        self.used = length;
    }
}

impl Drop for AnswerShare {
    fn drop(&mut self) {
        self.total.fetch_sub(self.used, Ordering::Relaxed);
    }
}

/// A complete answer, which counts until its last byte is written or its connection ends.
struct CountedAnswer {
    bytes: Bytes,
    _share: AnswerShare,
}

impl AsRef<[u8]> for CountedAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl AnswerBudget {
    /// Creates a budget of `limit` bytes.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            used: Arc::default(),
            readers: RefCell::default(),
        }
    }

    /// Starts the share of an answer of which nothing was read.
    pub(crate) fn share(&self) -> AnswerShare {
        AnswerShare {
            limit: self.limit,
            total: Arc::clone(&self.used),
            used: 0,
        }
    }

    /// Adds a client's connection, which may be cut off for others if the client reads slowly.
    pub(crate) fn add_reader(&self, reader: &Rc<ReaderProgress>) {
        let mut readers = self.readers.borrow_mut();
        readers.retain(|reader| reader.strong_count() > 0);
        readers.push(Rc::downgrade(reader));
    }

    /// Ends the connection of the client that takes its answer most slowly; `false` if all of them read.
    fn cut_slowest(&self) -> bool {
        let readers = self.readers.borrow();
        let rates = readers.iter().filter_map(|reader| {
            let reader = reader.upgrade()?;
            Some((reader.slow_rate()?, reader))
        });
        let slowest = rates.min_by(|(rate, _), (other, _)| rate.total_cmp(other));
        let Some((rate, reader)) = slowest else {
            return false;
        };
        log::warn!(target: "ingress", bytes_per_s = rate as u64, kept = self.used.load(Ordering::Relaxed), limit = self.limit; "connection closed: its client reads too slowly while the memory for answers is used up");
        reader.cut();
        true
    }

    /// Whether a client has yet to take bytes, so that memory will become free: it either takes them or becomes a
    /// slow reader.
    fn awaits_reader(&self) -> bool {
        let readers = self.readers.borrow();
        let mut readers = readers.iter().filter_map(Weak::upgrade);
        readers.any(|reader| reader.is_blocked())
    }

    /// Extends a share to `length` bytes. While the budget does not suffice, it waits for clients that have yet to
    /// take their answers, and ends the connections of slow ones; `false` if there are none.
    async fn extend(&self, share: &mut AnswerShare, length: usize) -> bool {
        while !share.resize(length) {
            if !self.cut_slowest() && !self.awaits_reader() {
                return false;
            }
            tokio::time::sleep(RELEASE_POLL_INTERVAL).await;
        }
        true
    }

    /// Reads a complete answer. Fails with [`CallError::TooLong`] if it is longer than the size limit or
    /// than what is left of the budget.
    pub(crate) async fn read_answer(&self, mut body: Incoming) -> Result<Bytes, CallError> {
        let mut share = self.share();
        let mut answer = BytesMut::new();
        let declared = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        let counted = declared.saturating_sub(FREE_ANSWER_BYTES);
        // Answers that wait for memory while they hold some would wait for each other.
        let reserved = match counted > 0 && self.awaits_reader() {
            true => counted,
            false => 0,
        };
        if declared > MAX_ANSWER_BYTES || !self.extend(&mut share, reserved).await {
            return Err(CallError::TooLong);
        }
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(CallError::Broken)?.into_data() else {
                continue;
            };
            let length = answer.len() + data.len();
            let counted = length.saturating_sub(FREE_ANSWER_BYTES).max(reserved);
            if length > MAX_ANSWER_BYTES || !self.extend(&mut share, counted).await {
                return Err(CallError::TooLong);
            }
            answer.extend_from_slice(&data);
        }
        // What a client takes slowly counts with all of its bytes.
        share.force(answer.len());
        if self.used.load(Ordering::Relaxed) > self.limit {
            self.cut_slowest();
        }
        Ok(Bytes::from_owner(CountedAnswer {
            bytes: answer.freeze(),
            _share: share,
        }))
    }
}

impl Gateway {
    /// Returns the bytes of answers that are being read, or that clients have not taken yet.
    pub fn kept_answer_bytes(&self) -> usize {
        self.answer_budget.used.load(Ordering::Relaxed)
    }
}
