//! Reads answers of servers into memory that all of them share.

use std::cell::Cell;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::connection::CallError;

/// Maximum size of an answer that is not forwarded as a stream, in bytes.
const MAX_ANSWER_BYTES: usize = 4_194_304;

/// Bytes of each answer that do not count toward the budget, so that answers of this size are read
/// even while servers that send without end have used it up.
const FREE_ANSWER_BYTES: usize = 65_536;

/// Memory for the answers that are being read.
#[derive(Debug)]
pub(crate) struct AnswerBudget {
    limit: usize,
    used: Cell<usize>,
}

/// The part of the budget that one answer uses.
struct AnswerShare<'a> {
    budget: &'a AnswerBudget,
    used: usize,
}

impl AnswerShare<'_> {
    /// Extends the share for an answer of `length` bytes; returns whether the budget suffices.
    fn extend_to(&mut self, length: usize) -> bool {
        let more = length
            .saturating_sub(FREE_ANSWER_BYTES)
            .saturating_sub(self.used);
        let used = self.budget.used.get() + more;
        let suffices = used <= self.budget.limit;
        if suffices {
            self.budget.used.set(used);
            self.used += more;
        }
        suffices
    }
}

impl Drop for AnswerShare<'_> {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.used);
    }
}

impl AnswerBudget {
    /// Creates a budget of `limit` bytes.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            used: Cell::new(0),
        }
    }

    /// Reads a complete answer. Fails with [`CallError::TooLong`] if it is longer than the size limit or
    /// than what is left of the budget.
    pub(crate) async fn read_answer(&self, mut body: Incoming) -> Result<Bytes, CallError> {
        let mut share = AnswerShare {
            budget: self,
            used: 0,
        };
        let mut answer = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(CallError::Broken)?.into_data() else {
                continue;
            };
            let length = answer.len() + data.len();
            if length > MAX_ANSWER_BYTES || !share.extend_to(length) {
                return Err(CallError::TooLong);
            }
            answer.extend_from_slice(&data);
        }
        Ok(answer.freeze())
    }
}
