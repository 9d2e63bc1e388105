//! Limits, intervals and rates of the ledger.

use std::time::Duration;

use gs_protocol::ids::EntryIdentity;

/// Settings of the ledger of one entry.
#[derive(Clone, Debug)]
pub struct LedgerSettings {
    /// The name and incarnation of this entry.
    pub identity: EntryIdentity,
    /// The environment whose claims are stored; part of every object key.
    pub environment: String,
    /// The number of shards; must be the same at all entries of an environment.
    pub shards: u32,
    /// Time without a write of the head after which the lease of a shard's owner has expired.
    pub lease: Duration,
    /// Time added to the lease before another entry takes the shard over.
    pub lease_margin: Duration,
    /// Interval between listings of the heads' versions, and between reads of a head whose owner
    /// may have changed. Heads are listed only while this entry is the preferred owner of a shard
    /// that it does not own, or the standby of one.
    pub head_poll_interval: Duration,
    /// Time for which another entry must be the preferred owner before a shard is handed over to
    /// it.
    pub rebalance_after: Duration,
    /// Writes per second of all shards of the environment together.
    pub writes_per_second: f64,
    /// Burst size of a shard's write rate limit, in writes.
    pub write_burst: f64,
    /// Delay of writes that no attempt is blocked on, so that they share a write with others.
    pub deferred_write_delay: Duration,
    /// Minimum delay before a failed write of a head is retried, before jitter. A failed read of a
    /// segment is retried after four times this delay.
    pub initial_backoff: Duration,
    /// Maximum delay before a failed write of a head is retried, before jitter. A failed write or
    /// removal of a segment is retried after this delay.
    pub max_backoff: Duration,
    /// Time without a reply after which a call to a shard's owner is sent again.
    pub resend_after: Duration,
    /// Time before a call is retried while the shard has no known owner, or after it was rerouted
    /// repeatedly.
    pub reroute_delay: Duration,
    /// Time after which an open claim that was not finished or released ends with an unknown
    /// outcome, and for which an entry resends the finish or release of an attempt.
    pub abandon_after: Duration,
    /// Age up to which idempotency keys are accepted.
    pub retention: Duration,
    /// Time for which claims are stored beyond the retention of their keys.
    pub retention_margin: Duration,
    /// How far the time in a key may lie ahead of the owner's clock.
    pub allowed_clock_skew: Duration,
    /// Age of a key up to which an attempt that timed out without a claim is reported as not run.
    /// With an older key the attempt may repeat an earlier one that ran, so its outcome is reported
    /// as unknown.
    pub max_first_attempt_age: Duration,
    /// Largest body of an answer that is stored for replay, in bytes.
    pub answer_limit_bytes: usize,
    /// Size of the ended claims in the head at which they move to a segment, in bytes.
    pub seal_threshold_bytes: usize,
    /// Size of the head beyond which new claims are refused, in bytes.
    pub head_limit_bytes: usize,
    /// Seed of the retry jitter.
    pub seed: u64,
}

impl LedgerSettings {
    /// Default settings for an entry in an environment.
    pub fn new(identity: EntryIdentity, environment: impl Into<String>) -> Self {
        Self {
            identity,
            environment: environment.into(),
            shards: 16,
            lease: Duration::from_secs(6),
            lease_margin: Duration::from_millis(500),
            head_poll_interval: Duration::from_millis(500),
            rebalance_after: Duration::from_secs(30),
            writes_per_second: 90.0,
            write_burst: 2.0,
            deferred_write_delay: Duration::from_millis(200),
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(2),
            resend_after: Duration::from_secs(1),
            reroute_delay: Duration::from_millis(50),
            abandon_after: Duration::from_secs(600),
            retention: Duration::from_secs(24 * 60 * 60),
            retention_margin: Duration::from_secs(120),
            allowed_clock_skew: Duration::from_secs(60),
            max_first_attempt_age: Duration::from_secs(30),
            answer_limit_bytes: 4096,
            seal_threshold_bytes: 64 * 1024,
            head_limit_bytes: 768 * 1024,
            seed: 0,
        }
    }

    /// Interval at which an owner without other writes rewrites the head to renew its lease.
    pub fn lease_renewal_interval(&self) -> Duration {
        self.lease / 3
    }

    /// Writes per second that one shard may make.
    pub fn shard_writes_per_second(&self) -> f64 {
        self.writes_per_second / f64::from(self.shards)
    }
}
