//! Estimates the lengths of a route's answers.

/// Minimum weight of the newest answer in a route's moving average.
const NEWEST_WEIGHT: f64 = 0.05;

/// Number of answers after which the route's average has as much weight as a client's hint.
const FULL_WEIGHT_ANSWERS: f64 = 5.0;

/// Moving average of the logarithms of the lengths, in tokens, of one route's answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LengthEstimate {
    average_log: f64,
    /// Number of recorded answers.
    answers: f64,
}

impl LengthEstimate {
    /// Records the length of a complete answer, in tokens.
    pub fn record_answer(&mut self, tokens: u64) {
        let log = (tokens.max(1) as f64).ln();
        self.answers += 1.0;
        let weight = NEWEST_WEIGHT.max(1.0 / self.answers);
        self.average_log += weight * (log - self.average_log);
    }

    /// Returns the expected length in tokens, at most `max`, from the client's hint and the
    /// average.
    ///
    /// Hints of clients are right at the median, but their error is as large as the variation of
    /// the lengths. The hint and the average therefore have equal weight, once enough answers are
    /// recorded. Without either, half of `max` is expected.
    pub fn expected_tokens(&self, hint: Option<u64>, max: u64) -> u64 {
        let confidence = (self.answers / FULL_WEIGHT_ANSWERS).min(1.0);
        let tokens = match hint.map(|hint| (hint.max(1) as f64).ln()) {
            Some(hint) => (hint + confidence * 0.5 * (self.average_log - hint)).exp(),
            None if self.answers > 0.0 => self.average_log.exp(),
            None => max as f64 / 2.0,
        };
        (tokens as u64).clamp(1, max.max(1))
    }
}
