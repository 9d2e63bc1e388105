//! How long the answers of a route are expected to be.

/// Weight of the newest answer in a route's mean.
const NEWEST_WEIGHT: f64 = 0.05;

/// Answers after which the route's mean counts fully.
const WARM_ANSWERS: f64 = 5.0;

/// What is known of the lengths of one route's answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LengthEstimate {
    mean_log: f64,
    answers: f64,
}

impl LengthEstimate {
    /// Takes in the length of a whole answer, in tokens.
    pub fn record_answer(&mut self, tokens: u64) {
        let log = (tokens.max(1) as f64).ln();
        self.answers += 1.0;
        let weight = NEWEST_WEIGHT.max(1.0 / self.answers);
        self.mean_log += weight * (log - self.mean_log);
    }

    /// The expected length. A client's hint is right at the median and as far off as lengths vary, so hint
    /// and mean count alike.
    pub fn expected_tokens(&self, hint: Option<u64>, most: u64) -> u64 {
        let known = (self.answers / WARM_ANSWERS).min(1.0);
        let tokens = match hint.map(|hint| (hint.max(1) as f64).ln()) {
            Some(hint) => (hint + known * 0.5 * (self.mean_log - hint)).exp(),
            None if self.answers > 0.0 => self.mean_log.exp(),
            None => most as f64 / 2.0,
        };
        (tokens as u64).clamp(1, most.max(1))
    }
}
