//! Bounds retries to a share of first tries.

/// Thousandths of a retry.
const MILLI_RETRIES: u64 = 1_000;

/// Allows retries as a share of first tries, so that faults do not multiply load.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share_milli: u64,
    cap_milli: u64,
    left_milli: u64,
}

impl RetryBudget {
    /// A budget that starts with `floor` retries, gains `share` with each first try and never holds
    /// more than `floor` retries.
    pub fn new(share: f64, floor: u32) -> Self {
        let cap_milli = u64::from(floor.max(1)) * MILLI_RETRIES;
        Self {
            share_milli: (share.max(0.0) * MILLI_RETRIES as f64) as u64,
            cap_milli,
            left_milli: cap_milli,
        }
    }

    /// Counts a first try.
    pub fn credit(&mut self) {
        self.left_milli = (self.left_milli + self.share_milli).min(self.cap_milli);
    }

    /// Takes one retry; `false` if none is left.
    pub fn spend(&mut self) -> bool {
        let Some(left) = self.left_milli.checked_sub(MILLI_RETRIES) else {
            return false;
        };
        self.left_milli = left;
        true
    }
}
