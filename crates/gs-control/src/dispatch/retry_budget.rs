//! Budget that limits retries to a ratio of first attempts.

/// Budget units per retry.
const MILLI_RETRIES: u64 = 1_000;

/// Token bucket of retries, filled by first attempts, so that faults do not multiply load.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    gain_milli: u64,
    cap_milli: u64,
    balance_milli: u64,
}

impl RetryBudget {
    /// Creates a full bucket of `burst` retries. Each first attempt adds `ratio` retries, up to
    /// `burst`.
    pub fn new(ratio: f64, burst: u32) -> Self {
        let cap_milli = u64::from(burst.max(1)) * MILLI_RETRIES;
        Self {
            gain_milli: (ratio.max(0.0) * MILLI_RETRIES as f64) as u64,
            cap_milli,
            balance_milli: cap_milli,
        }
    }

    /// Adds the ratio earned by a first attempt.
    pub fn credit_first_attempt(&mut self) {
        self.balance_milli = (self.balance_milli + self.gain_milli).min(self.cap_milli);
    }

    /// Spends one retry; returns `false` if less than one is left.
    pub fn try_spend(&mut self) -> bool {
        let Some(balance) = self.balance_milli.checked_sub(MILLI_RETRIES) else {
            return false;
        };
        self.balance_milli = balance;
        true
    }
}
