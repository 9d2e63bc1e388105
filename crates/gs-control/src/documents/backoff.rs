//! Exponential backoff between retries.

use std::time::Duration;

/// Delays that double with each failure, up to a maximum.
#[derive(Clone, Copy, Debug)]
pub struct BackoffPolicy {
    /// The delay after the first failure.
    pub initial: Duration,
    /// The maximum delay.
    pub max: Duration,
}

impl Default for BackoffPolicy {
    fn default() -> Self {
        Self {
            initial: Duration::from_millis(50),
            max: Duration::from_secs(1),
        }
    }
}

impl BackoffPolicy {
    /// Returns the delay after the given number of consecutive failures, from 1.
    pub fn delay(&self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1);
        let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
        self.initial.saturating_mul(factor).min(self.max)
    }
}
