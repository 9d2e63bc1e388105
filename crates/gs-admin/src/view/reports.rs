//! What entries report of themselves.

use std::collections::BTreeMap;

use gs_platform::{Platform, PlatformError};
use gs_protocol::ids::SequenceNumber;
use gs_protocol::objects::{StatusRecord, status_prefix};

use crate::platform::read_all_json;

/// Reads the reports of an environment's entries by name.
pub async fn read_reports(
    platform: &impl Platform,
    environment: &str,
) -> Result<BTreeMap<String, StatusRecord>, PlatformError> {
    let prefix = status_prefix(environment);
    let list = platform.list(&prefix).await?;
    let keys: Vec<String> = list.objects.into_iter().map(|object| object.key).collect();
    let reports = read_all_json(platform, &keys).await?;
    let named = reports.into_iter().filter_map(|(key, report)| {
        let name = key.strip_prefix(&prefix)?;
        Some((name.to_owned(), report))
    });
    Ok(named.collect())
}

/// Since when an entry has applied a document, in milliseconds since 1970; none if it does not say.
pub fn applied_since(report: &StatusRecord, sequence: SequenceNumber) -> Option<u64> {
    if report.sequence == sequence {
        return Some(report.since_ms);
    }
    let earlier = report.earlier.iter();
    earlier
        .filter(|applied| applied.sequence == sequence)
        .map(|applied| applied.since_ms)
        .next()
}
