//! Attempts that were cancelled, so that a late order for one is refused.

use std::collections::{HashSet, VecDeque};

use gs_protocol::ids::AttemptId;

/// Cancelled attempts remembered at most.
const CANCELS_KEPT: usize = 65_536;

/// The cancelled attempts, oldest forgotten first.
#[derive(Debug, Default)]
pub struct CancelMemory {
    known: HashSet<AttemptId>,
    order: VecDeque<AttemptId>,
}

impl CancelMemory {
    /// Remembers an attempt.
    pub fn insert(&mut self, attempt: AttemptId) {
        if !self.known.insert(attempt) {
            return;
        }
        self.order.push_back(attempt);
        if self.order.len() <= CANCELS_KEPT {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.known.remove(&oldest);
        }
    }

    /// Whether an attempt was cancelled.
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.known.contains(&attempt)
    }
}
