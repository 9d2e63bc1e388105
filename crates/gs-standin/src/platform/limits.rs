//! Rate limits and call counts.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Length of the window of a rate limit.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Kind of a call, which decides its rate limit and counter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallKind {
    /// A read or listing.
    Read,
    /// A write or removal.
    Write,
    /// A watch, which counts against the limit of reads.
    Watch,
}

/// Call counts since the start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct CallStats {
    /// Reads and listings, including refused ones.
    pub reads: u64,
    /// Writes and removals, including refused ones.
    pub writes: u64,
    /// Watches, including refused ones.
    pub watches: u64,
    /// Calls over the rate limit or failed by an outage.
    pub refused: u64,
    /// Maximum number of reads, listings and watches within one rate window of 1 second.
    pub peak_reads_per_s: u32,
    /// Maximum number of writes and removals within one rate window of 1 second.
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

/// Fixed-window rate limit.
#[derive(Clone, Debug)]
pub(super) struct RateLimit {
    max_calls: u32,
    window_started_at: Instant,
    calls: u32,
    peak_calls: u32,
}

impl RateLimit {
    pub fn new(max_calls: u32, now: Instant) -> Self {
        Self {
            max_calls,
            window_started_at: now,
            calls: 0,
            peak_calls: 0,
        }
    }

    /// Counts a call; returns false if it exceeds the limit.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        if now.duration_since(self.window_started_at) >= RATE_WINDOW {
            self.window_started_at = now;
            self.calls = 0;
        }
        self.calls += 1;
        self.peak_calls = self.peak_calls.max(self.calls);
        self.calls <= self.max_calls
    }

    /// Maximum number of calls counted within one window.
    pub fn peak_calls(&self) -> u32 {
        self.peak_calls
    }
}
