//! Settings of the quarantine slice.

use std::time::Duration;

/// Settings of the quarantine slice.
#[derive(Clone, Debug, PartialEq)]
pub struct QuarantineSettings {
    /// Deaths with which a fingerprint is refused.
    pub refused_deaths: usize,
    /// Time of streaming after which a request has shown that it does no harm.
    pub survival: Duration,
    /// How long servers are kept for a suspect before it runs there, so that peers, if any, hear of it first.
    pub hold: Duration,
    /// How long they are kept at most until all peers have said that they heard of it. A peer that is silent
    /// for longer is taken for dead or cut off.
    pub confirm_within: Duration,
    /// How long servers are kept for a suspect after that.
    pub use_within: Duration,
    /// Time after a loss within which the server's death must be proven.
    pub proof_within: Duration,
    /// How long an attempt that its caller gave up may still be blamed.
    pub linger: Duration,
    /// How long a fingerprint is remembered after its last change.
    pub memory: Duration,
    /// Fingerprints remembered at most; the oldest are forgotten first.
    pub capacity: usize,
    /// The wait before the first repeat of a report; it doubles with each repeat.
    pub repeat: Duration,
    /// How long a peer's list of running suspects holds unless it is repeated.
    pub peer_stale: Duration,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            refused_deaths: 2,
            survival: Duration::from_millis(200),
            hold: Duration::from_millis(50),
            confirm_within: Duration::from_millis(500),
            use_within: Duration::from_millis(200),
            proof_within: Duration::from_secs(1),
            linger: Duration::from_secs(2),
            memory: Duration::from_secs(600),
            capacity: 10_000,
            repeat: Duration::from_millis(500),
            peer_stale: Duration::from_secs(2),
        }
    }
}
