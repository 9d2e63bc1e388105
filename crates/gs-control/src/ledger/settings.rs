//! Limits and intervals of the ledger.

use std::time::Duration;

use gs_protocol::ids::EntryIdentity;

/// Settings of the ledger at one entry.
#[derive(Clone, Debug)]
pub struct LedgerSettings {
    /// This start of this entry.
    pub identity: EntryIdentity,
    /// The environment whose claims are kept.
    pub environment: String,
    /// Shards of the key space; all entries of an environment must agree.
    pub shards: u32,
    /// Time without a write after which a shard's owner may be replaced.
    pub lease: Duration,
    /// Time added to the lease before an owner is replaced.
    pub lease_margin: Duration,
    /// Interval between listings of the heads' versions, while this entry should own a shard that another
    /// owns, or is next in line for one.
    pub observe_interval: Duration,
    /// Time for which another entry must be preferred before a shard is handed to it.
    pub rebalance_after: Duration,
    /// Writes per second for all shards of the environment together.
    pub writes_per_second: f64,
    /// Writes that a shard may make at once after a quiet time.
    pub write_burst: f64,
    /// Delay of writes that nobody waits for.
    pub lazy_delay: Duration,
    /// First delay after a failed call of the platform's service.
    pub backoff: Duration,
    /// Largest delay after failed calls of the platform's service.
    pub backoff_limit: Duration,
    /// Time before an unanswered call to a shard's owner is repeated.
    pub resend_after: Duration,
    /// Time before a call is tried again while a shard has no known owner.
    pub reroute_delay: Duration,
    /// Time after which the end of an open claim is taken as unknown.
    pub abandon_after: Duration,
    /// Age up to which idempotency keys are taken.
    pub retention: Duration,
    /// Time by which kept claims outlive the retention.
    pub retention_margin: Duration,
    /// How far the time of a key may lie ahead of the owner's clock.
    pub allowed_clock_skew: Duration,
    /// Age of a key beyond which an unsettled try is reported as unknown: it may be a repeat.
    pub first_try_age: Duration,
    /// Largest body of a kept answer, in bytes.
    pub answer_limit_bytes: usize,
    /// Size of ended claims in the head at which they move to a segment, in bytes.
    pub seal_bytes: usize,
    /// Size of the head beyond which new claims are refused, in bytes.
    pub head_limit_bytes: usize,
    /// Seed of the jitter of retries.
    pub seed: u64,
}

impl LedgerSettings {
    /// Settings with the defaults for an entry of an environment.
    pub fn new(identity: EntryIdentity, environment: impl Into<String>) -> Self {
        Self {
            identity,
            environment: environment.into(),
            shards: 16,
            lease: Duration::from_secs(6),
            lease_margin: Duration::from_millis(500),
            observe_interval: Duration::from_millis(500),
            rebalance_after: Duration::from_secs(30),
            writes_per_second: 90.0,
            write_burst: 2.0,
            lazy_delay: Duration::from_millis(200),
            backoff: Duration::from_millis(50),
            backoff_limit: Duration::from_secs(2),
            resend_after: Duration::from_secs(1),
            reroute_delay: Duration::from_millis(50),
            abandon_after: Duration::from_secs(600),
            retention: Duration::from_secs(24 * 60 * 60),
            retention_margin: Duration::from_secs(120),
            allowed_clock_skew: Duration::from_secs(60),
            first_try_age: Duration::from_secs(30),
            answer_limit_bytes: 4096,
            seal_bytes: 64 * 1024,
            head_limit_bytes: 768 * 1024,
            seed: 0,
        }
    }

    /// Interval between writes of an owner that has nothing else to write.
    pub fn renew_interval(&self) -> Duration {
        self.lease / 3
    }

    /// Writes per second of one shard.
    pub fn shard_rate(&self) -> f64 {
        self.writes_per_second / f64::from(self.shards)
    }
}
