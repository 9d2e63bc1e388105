//! Bounds retries to a share of first tries.

/// Thousandths of a retry.
const MILLI_RETRIES: u64 = 1_000;

/// Allows retries as a share of first tries, so that faults do not multiply load.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    gain_milli: u64,
    cap_milli: u64,
    balance_milli: u64,
}

impl RetryBudget {
    /// A budget that starts with `burst` retries, gains `ratio` with each first try and never holds
    /// more than `burst` retries.
    pub fn new(ratio: f64, burst: u32) -> Self {
        let cap_milli = u64::from(burst.max(1)) * MILLI_RETRIES;
        Self {
            gain_milli: (ratio.max(0.0) * MILLI_RETRIES as f64) as u64,
            cap_milli,
            balance_milli: cap_milli,
        }
    }

    /// Counts a first try.
    pub fn credit_first_attempt(&mut self) {
        self.balance_milli = (self.balance_milli + self.gain_milli).min(self.cap_milli);
    }

    /// Takes one retry; `false` if none is left.
    pub fn try_spend(&mut self) -> bool {
        let Some(balance) = self.balance_milli.checked_sub(MILLI_RETRIES) else {
            return false;
        };
        self.balance_milli = balance;
        true
    }
}
