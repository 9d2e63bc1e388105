//! The longest of the recent durations.

use std::time::Duration;

/// Number of durations in a round. The longest one of a round expires at the end of the next round.
const DURATIONS_PER_ROUND: u32 = 100;

/// Tracks the longest of the last 100 to 200 durations.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RecentMaximum {
    current: Duration,
    previous: Duration,
    count: u32,
}

impl RecentMaximum {
    /// Records a duration and returns the longest recent one.
    pub fn record(&mut self, duration: Duration) -> Duration {
        if self.count >= DURATIONS_PER_ROUND {
            self.previous = self.current;
            self.current = Duration::ZERO;
            self.count = 0;
        }
        self.count += 1;
        self.current = self.current.max(duration);
        self.longest()
    }

    /// Returns the longest recent duration; zero if none was recorded.
    pub fn longest(&self) -> Duration {
        self.current.max(self.previous)
    }
}
