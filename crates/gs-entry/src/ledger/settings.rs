//! Settings of the ledger slice.

use gs_control::ledger::LedgerSettings;
use gs_document::settings::EntrySettings;
use gs_protocol::ids::EntryIdentity;

/// Derives the settings of the ledger slice from those of the entry.
pub fn ledger_settings(own: EntryIdentity, settings: &EntrySettings, seed: u64) -> LedgerSettings {
    let claims = &settings.claims;
    LedgerSettings {
        shards: claims.shards,
        lease: claims.lease,
        writes_per_second: f64::from(claims.writes_per_s),
        allowed_clock_skew: claims.clock_skew,
        retention_margin: claims.clock_skew * 2,
        answer_limit_bytes: claims.max_kept_bytes,
        seed,
        ..LedgerSettings::new(own, settings.environment.as_str())
    }
}
