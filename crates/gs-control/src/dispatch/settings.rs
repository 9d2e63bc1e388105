//! Settings of dispatch.

use std::time::Duration;

use gs_document::settings::PlacementPolicy;
use gs_protocol::ids::EntryName;

/// Settings of dispatch. Fractions are from 0 to 1.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchSettings {
    /// Name of this entry.
    pub entry: EntryName,
    /// Policy by which servers are chosen.
    pub policy: PlacementPolicy,
    /// Number of entries that share the fleet, until [`super::DispatchEvent::EntryCountChanged`]
    /// changes it.
    pub entries: u32,
    /// Time from the measurement of a load report to its processing, without the network delay.
    pub load_lag: Duration,
    /// Age after which a load report is no longer relied on.
    pub report_stale_after: Duration,
    /// Backoff of a server that refused for lack of capacity; doubles with each refusal in a row.
    pub full_backoff: Duration,
    /// Backoff of a server that failed; doubles with each failure in a row.
    pub failure_backoff: Duration,
    /// Time for which a sign that a server is leaving takes precedence over its load reports.
    pub leaving_ttl: Duration,
    /// Retries earned by each first attempt.
    pub retry_ratio: f64,
    /// Maximum number of retries saved up, and the number available at the start.
    pub retry_burst: u32,
    /// Fraction of the first-token target kept in reserve.
    pub deadline_margin: f64,
    /// Fraction of the between-token target that a decode step may take.
    pub decode_step_fraction: f64,
    /// Fraction of the first-token target that a request may spend in a prefill server's queue. The
    /// target is the tightest one of the callers that share the request's model and rank.
    pub prefill_queue_fraction: f64,
    /// Fraction of the tightest first-token target, over all models and their callers, above which
    /// a prefill counts as long.
    pub long_prefill_fraction: f64,
    /// Fraction of the prefill servers that may be busy with long prompts at a time.
    pub long_prompt_server_fraction: f64,
    /// Fraction of a server's slots that normal work beyond its guaranteed share leaves free for
    /// urgent callers.
    pub urgent_headroom: f64,
    /// Interval at which placement of waiting requests is retried if no event occurs.
    pub poll_interval: Duration,
    /// Time since its arrival for which a failed request may be retried, in first-token targets.
    pub retry_window_targets: f64,
    /// Time for which a broken stream may wait to be resumed.
    pub resume_timeout: Duration,
    /// Maximum number of indexed prefixes.
    pub prefix_capacity: usize,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            entry: EntryName::from("entry"),
            policy: PlacementPolicy::default(),
            entries: 1,
            load_lag: Duration::from_millis(200),
            report_stale_after: Duration::from_secs(2),
            full_backoff: Duration::from_millis(20),
            failure_backoff: Duration::from_millis(500),
            leaving_ttl: Duration::from_secs(10),
            retry_ratio: 0.1,
            retry_burst: 10,
            deadline_margin: 0.15,
            decode_step_fraction: 0.8,
            prefill_queue_fraction: 0.25,
            long_prefill_fraction: 0.5,
            long_prompt_server_fraction: 0.5,
            urgent_headroom: 0.1,
            poll_interval: Duration::from_millis(5),
            retry_window_targets: 2.0,
            resume_timeout: Duration::from_secs(2),
            prefix_capacity: 100_000,
        }
    }
}
