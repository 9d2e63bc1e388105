//! Rate limits and counts of calls.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// The time over which calls are counted against the rate.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// What kind of call it is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallKind {
    /// Reads and listings.
    Read,
    /// Writes and removals.
    Write,
    /// Watches, which count as reads.
    Watch,
}

/// Calls since the start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct CallStats {
    /// Reads and listings, taken and refused.
    pub reads: u64,
    /// Writes and removals, taken and refused.
    pub writes: u64,
    /// Watches, taken and refused.
    pub watches: u64,
    /// Calls that were refused, closed or not answered.
    pub refused: u64,
    /// The most reads and watches within one second.
    pub peak_reads_per_s: u32,
    /// The most writes within one second.
    pub peak_writes_per_s: u32,
}

impl CallStats {
    pub(super) fn count(&mut self, kind: CallKind) {
        match kind {
            CallKind::Read => self.reads += 1,
            CallKind::Write => self.writes += 1,
            CallKind::Watch => self.watches += 1,
        }
    }
}

/// Allows a number of calls in each window.
#[derive(Clone, Debug)]
pub(super) struct RateLimit {
    limit: u32,
    window_start: Instant,
    calls: u32,
    peak: u32,
}

impl RateLimit {
    pub fn new(limit: u32, now: Instant) -> Self {
        Self {
            limit,
            window_start: now,
            calls: 0,
            peak: 0,
        }
    }

    /// Counts a call; false if it is over the rate.
    pub fn take(&mut self, now: Instant) -> bool {
        if now.duration_since(self.window_start) >= RATE_WINDOW {
            self.window_start = now;
            self.calls = 0;
        }
        self.calls += 1;
        self.peak = self.peak.max(self.calls);
        self.calls <= self.limit
    }

    /// The most calls within one window.
    pub fn peak(&self) -> u32 {
        self.peak
    }
}
