//! Thresholds, time-outs and bounds of the quarantine.

use std::time::Duration;

/// Thresholds, time-outs and bounds of the quarantine.
#[derive(Clone, Debug, PartialEq)]
pub struct QuarantineSettings {
    /// Number of proven deaths from which a fingerprint is refused.
    pub refusal_threshold: usize,
    /// Time of streaming after the first token that clears a fingerprint.
    pub probation: Duration,
    /// Minimum time between a reservation and its use, so that peers receive the reservation first.
    /// Not applied when this entry has no peers.
    pub min_hold: Duration,
    /// Time to wait for all peers to acknowledge a reservation. A peer that does not answer for
    /// longer is taken to be dead or partitioned.
    pub ack_timeout: Duration,
    /// Time after `ack_timeout` within which a reservation must be used before it expires.
    pub use_timeout: Duration,
    /// Time after a lost connection within which the server's death must be proven; an unproven
    /// blame does not count afterwards.
    pub proof_timeout: Duration,
    /// How long a run that ended without the server's report can still be blamed for the server's
    /// death.
    pub run_retention: Duration,
    /// How long the blames of a fingerprint are kept after their last change.
    pub blame_retention: Duration,
    /// Maximum number of fingerprints with blames; the least recently changed are evicted first.
    pub max_fingerprints: usize,
    /// Interval before a report is sent again; for blames it doubles with each repeat.
    pub resend_interval: Duration,
    /// How long a peer's list of running suspects is valid unless the peer sends it again.
    pub peer_timeout: Duration,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            refusal_threshold: 2,
            probation: Duration::from_millis(200),
            min_hold: Duration::from_millis(50),
            ack_timeout: Duration::from_millis(500),
            use_timeout: Duration::from_millis(200),
            proof_timeout: Duration::from_secs(1),
            run_retention: Duration::from_secs(2),
            blame_retention: Duration::from_secs(600),
            max_fingerprints: 10_000,
            resend_interval: Duration::from_millis(500),
            peer_timeout: Duration::from_secs(2),
        }
    }
}
