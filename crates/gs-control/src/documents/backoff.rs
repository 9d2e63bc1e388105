//! Pauses between tries.

use std::time::Duration;

/// Pauses that double with each failure, up to a limit.
#[derive(Clone, Copy, Debug)]
pub struct BackoffPolicy {
    /// The pause after the first failure.
    pub first: Duration,
    /// The longest pause.
    pub max: Duration,
}

impl Default for BackoffPolicy {
    fn default() -> Self {
        Self {
            first: Duration::from_millis(50),
            max: Duration::from_secs(1),
        }
    }
}

impl BackoffPolicy {
    /// The pause after a number of failures, from 1.
    pub fn pause(&self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1);
        let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
        self.first.saturating_mul(factor).min(self.max)
    }
}
