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
    pub full_hold: Duration,
    /// How long a server that did not answer gets nothing new; doubles with each failure in a row.
    pub suspect_hold: Duration,
    /// How long a sign that a server leaves outweighs its load reports.
    pub leaving_hold: Duration,
    /// Retries that each first try allows.
    pub retry_share: f64,
    /// Retries allowed beyond that share.
    pub retry_floor: u32,
    /// Part of the first-token target kept in reserve.
    pub deadline_margin: f64,
    /// Part of the between-token target that a decode step may take.
    pub between_margin: f64,
    /// Part of the model's tightest first-token target that may be spent in a prefill engine's queue.
    pub prefill_lookahead: f64,
    /// Part of the model's tightest first-token target from which a prefill counts as long.
    pub long_prefill: f64,
    /// Part of the prefill servers that may be busy with long prompts at a time.
    pub long_share: f64,
    /// Part of a server's slots that normal work beyond its guaranteed share leaves to urgent callers.
    pub urgent_headroom: f64,
    /// How often waiting requests are tried again when nothing else happens.
    pub poll_interval: Duration,
    /// How long a request whose try failed may go again, in first-token targets since its arrival.
    pub retry_patience: f64,
    /// How long a broken stream may wait for another server.
    pub resume_within: Duration,
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
            full_hold: Duration::from_millis(20),
            suspect_hold: Duration::from_millis(500),
            leaving_hold: Duration::from_secs(10),
            retry_share: 0.1,
            retry_floor: 10,
            deadline_margin: 0.15,
            between_margin: 0.8,
            prefill_lookahead: 0.25,
            long_prefill: 0.5,
            long_share: 0.5,
            urgent_headroom: 0.1,
            poll_interval: Duration::from_millis(5),
            retry_patience: 2.0,
            resume_within: Duration::from_secs(2),
            prefix_capacity: 100_000,
        }
    }
}
