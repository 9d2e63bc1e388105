//! Settings of the quarantine of content.

use std::time::Duration;

/// Thresholds, periods and bounds of the quarantine of content.
#[derive(Clone, Debug, PartialEq)]
pub struct ContentSettings {
    /// Level from which content is refused.
    pub refusal_level: u8,
    /// Level from which content is refused that servers have answered before at this entry.
    pub sound_refusal_level: u8,
    /// How long content is refused at `refusal_level`.
    pub refusal_period: Duration,
    /// Factor by which the period grows with each further level.
    pub refusal_growth: u32,
    /// Maximum period of refusal.
    pub max_refusal_period: Duration,
    /// Time of answering without a crash that clears content.
    pub probation: Duration,
    /// How long a lost request waits for proof that its server crashed.
    pub proof_timeout: Duration,
    /// How long a changed suspicion is reported to peers. Refused content is always reported.
    pub report_period: Duration,
    /// How long a suspicion below `refusal_level` is kept after its last change; one above is kept
    /// as long after its refusal has ended.
    pub retention: Duration,
    /// Number of contents that are remembered as answered, at least; twice as many at most.
    pub min_answered: usize,
    /// Maximum number of suspicions; the least recently changed are evicted first.
    pub max_suspicions: usize,
    /// Maximum number of suspicions in a report; those that are refused go first. A request has two: its own and
    /// that of its payload.
    pub max_reported: usize,
}

impl Default for ContentSettings {
    fn default() -> Self {
        Self {
            refusal_level: 2,
            sound_refusal_level: 4,
            refusal_period: Duration::from_secs(30),
            refusal_growth: 4,
            max_refusal_period: Duration::from_secs(600),
            probation: Duration::from_millis(200),
            proof_timeout: Duration::from_secs(10),
            report_period: Duration::from_secs(3),
            retention: Duration::from_secs(60),
            min_answered: 8_192,
            max_suspicions: 4_096,
            max_reported: 32,
        }
    }
}
