//! Tells from a deadline how long a client has asked already.

use std::time::Duration;

/// Requests after which an older longest deadline is forgotten.
const REQUESTS_PER_ROUND: u32 = 100;

/// Part of the longest deadline that a client has at least when it asks for the first time: clients differ in
/// patience. On calm days first tries begin with 12.0 to 14.0 s on routes of 14 s.
const FIRST_TRY_PART: f64 = 0.85;

/// The longest deadline that clients of a route have lately begun with.
///
/// A client that comes back after a refusal has less time left than one that asks for the first time. The
/// route's own timeout does not tell how much it began with: operators change it, and clients do not know.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DeadlineTracker {
    present: Duration,
    before: Duration,
    requests: u32,
}

impl DeadlineTracker {
    /// Takes in a client's deadline; returns how long it has asked already, which is nothing for one that may
    /// ask for the first time.
    pub fn record_deadline(&mut self, deadline: Duration) -> Duration {
        if self.requests >= REQUESTS_PER_ROUND {
            self.before = self.present;
            self.present = Duration::ZERO;
            self.requests = 0;
        }
        self.requests += 1;
        self.present = self.present.max(deadline);
        let longest = self.present.max(self.before);
        match deadline >= longest.mul_f64(FIRST_TRY_PART) {
            true => Duration::ZERO,
            false => longest - deadline,
        }
    }
}
