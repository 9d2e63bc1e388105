//! Cancelled attempts, stored so that a delayed insertion_order for one of them is refused.

use std::collections::{HashSet, VecDeque};

use gs_protocol::ids::AttemptId;

/// Maximum number of stored attempts.
const MAX_CANCELLED_ATTEMPTS: usize = 65_536;

/// Bounded set of cancelled attempts; the oldest is evicted first.
#[derive(Debug, Default)]
pub struct CancelledAttempts {
    attempts: HashSet<AttemptId>,
    insertion_order: VecDeque<AttemptId>,
}

impl CancelledAttempts {
    /// Adds an attempt, evicting the oldest if the set is full.
    pub fn insert(&mut self, attempt: AttemptId) {
        if !self.attempts.insert(attempt) {
            return;
        }
        self.insertion_order.push_back(attempt);
        if self.insertion_order.len() <= MAX_CANCELLED_ATTEMPTS {
            return;
        }
        if let Some(oldest) = self.insertion_order.pop_front() {
            self.attempts.remove(&oldest);
        }
    }

    /// Returns whether an attempt is recorded as cancelled.
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.attempts.contains(&attempt)
    }
}
