//! Settings of the dispatch slice.

use std::time::Duration;

use gs_document::settings::PlacementPolicy;
use gs_protocol::ids::EntryName;

/// Settings of the dispatch slice.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchSettings {
    /// This entry.
    pub entry: EntryName,
    /// How servers are chosen.
    pub policy: PlacementPolicy,
    /// Entries that share the fleet until [`super::DispatchEvent::EntriesSeen`] says otherwise.
    pub entries: u32,
    /// Time between the measurement of a load report and its reading.
    pub load_lag: Duration,
    /// Age from which a load report is treated with caution.
    pub report_stale: Duration,
    /// How long a server that refused for lack of room gets nothing new; doubles with each such refusal in a
    /// row.
    pub full_backoff: Duration,
    /// How long a server that did not answer gets nothing new; doubles with each failure in a row.
    pub failure_backoff: Duration,
    /// How long a sign that a server leaves outweighs its load reports.
    pub leaving_ttl: Duration,
    /// Retries that each first try allows.
    pub retry_ratio: f64,
    /// Retries allowed beyond that share.
    pub retry_burst: u32,
    /// Part of the first-token target kept in reserve.
    pub deadline_margin: f64,
    /// Part of the between-token target that a decode step may take.
    pub decode_step_fraction: f64,
    /// Part of the model's tightest first-token target that may be spent in a prefill engine's queue.
    pub prefill_queue_fraction: f64,
    /// Part of the model's tightest first-token target from which a prefill counts as long.
    pub long_prefill_fraction: f64,
    /// Part of the prefill servers that may be busy with long prompts at a time.
    pub long_prompt_server_fraction: f64,
    /// Part of a server's slots that normal work beyond its guaranteed share leaves to urgent callers.
    pub urgent_headroom: f64,
    /// How often waiting requests are tried again when nothing else happens.
    pub poll_interval: Duration,
    /// How long a request whose try failed may go again, in first-token targets since its arrival.
    pub retry_window_targets: f64,
    /// How long a broken stream may wait for another server.
    pub resume_timeout: Duration,
    /// Prefix hashes remembered at most.
    pub prefix_capacity: usize,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            entry: EntryName::from("entry"),
            policy: PlacementPolicy::default(),
            entries: 1,
            load_lag: Duration::from_millis(200),
            report_stale: Duration::from_secs(2),
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
