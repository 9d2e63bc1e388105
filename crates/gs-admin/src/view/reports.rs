//! Status records, in which entries report the documents that they have applied.

use std::collections::BTreeMap;

use gs_platform::{Platform, PlatformError};
use gs_protocol::ids::SequenceNumber;
use gs_protocol::objects::{StatusRecord, status_prefix};

use crate::platform::read_all_json;

/// Reads the status records of an environment, by the name of the entry.
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

/// Returns since when an entry has applied a document, in milliseconds since 1970; none if its record
/// does not contain the document.
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
