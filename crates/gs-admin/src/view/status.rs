//! Handler of `status`: which document each entry has applied, and which servers are drained.

use std::collections::{BTreeMap, BTreeSet};

use actix_web::HttpRequest;
use actix_web::web::{Data, Json, Query};
use gs_document::document::OperatorRight;
use gs_platform::{Platform, PlatformError};
use gs_protocol::admin::{DrainEntry, EntryStatus, StatusView};
use gs_protocol::ids::ServerName;
use gs_protocol::objects::{HeadRecord, StatusRecord, drain_prefix, status_prefix};
use gs_protocol::vm::VmWorkload;

use super::EnvironmentQuery;
use super::reports::{applied_since, read_reports};
use crate::access::authorize;
use crate::platform::read_all_json;
use crate::refusal::AdminRefusal;
use crate::state::AdminState;

/// `GET /admin/v1/status`: returns the status of an environment.
pub async fn status(
    state: Data<AdminState>,
    request: HttpRequest,
    query: Query<EnvironmentQuery>,
) -> Result<Json<StatusView>, AdminRefusal> {
    let environment = state.resolve_environment(query.environment.as_deref())?;
    authorize(&state, &request, environment, OperatorRight::Read).await?;
    let head = state.read_head(environment).await?;
    let reports = read_reports(&state.platform, environment).await?;
    let listed = read_listed_entries(&state, environment, &reports).await?;
    let entries = merge_entries(reports, &listed);
    Ok(Json(StatusView {
        environment: environment.to_owned(),
        in_force_since_ms: head
            .as_ref()
            .and_then(|head| in_force_since(head, &entries)),
        head,
        entries,
        drains: read_drains(&state.platform, environment).await?,
    }))
}

/// Reads the names of the entries in the platform's VM list that serve this environment. An entry
/// counts if it has a status record here, or in no other environment.
async fn read_listed_entries(
    state: &AdminState,
    environment: &str,
    reports: &BTreeMap<String, StatusRecord>,
) -> Result<BTreeSet<String>, PlatformError> {
    let mut reporting_elsewhere = BTreeSet::new();
    for other in state.environments() {
        if other != environment {
            reporting_elsewhere.extend(list_reporting_names(&state.platform, other).await?);
        }
    }
    let records = state.platform.list_vms().await?;
    let names = records
        .into_iter()
        .filter_map(|record| match record.workload {
            VmWorkload::Entry { name, .. } => Some(name.as_str().to_owned()),
            VmWorkload::Server { .. } => None,
        });
    let serves_environment =
        |name: &String| reports.contains_key(name) || !reporting_elsewhere.contains(name);
    Ok(names.filter(serves_environment).collect())
}

/// Lists the names of the entries that have a status record in an environment.
async fn list_reporting_names(
    platform: &impl Platform,
    environment: &str,
) -> Result<Vec<String>, PlatformError> {
    let prefix = status_prefix(environment);
    let list = platform.list(&prefix).await?;
    let names = list.objects.iter();
    let names = names.filter_map(|object| object.key.strip_prefix(&prefix));
    Ok(names.map(str::to_owned).collect())
}

/// Combines listed entries and entries with a status record, by name.
fn merge_entries(
    reports: BTreeMap<String, StatusRecord>,
    listed: &BTreeSet<String>,
) -> Vec<EntryStatus> {
    let mut entries: BTreeMap<String, Option<StatusRecord>> =
        listed.iter().map(|name| (name.clone(), None)).collect();
    for (name, report) in reports {
        entries.insert(name, Some(report));
    }
    let entries = entries.into_iter().map(|(entry, report)| EntryStatus {
        listed: listed.contains(&entry),
        entry,
        report,
    });
    entries.collect()
}

/// Returns since when the head has been in force at every listed entry, in milliseconds since 1970;
/// none if an entry has not reported it.
fn in_force_since(head: &HeadRecord, entries: &[EntryStatus]) -> Option<u64> {
    let listed = entries.iter().filter(|entry| entry.listed);
    let since: Option<Vec<u64>> = listed
        .map(|entry| applied_since(entry.report.as_ref()?, head.sequence))
        .collect();
    since?.into_iter().max()
}

/// Reads the drain records of an environment.
async fn read_drains(
    platform: &impl Platform,
    environment: &str,
) -> Result<Vec<DrainEntry>, PlatformError> {
    let prefix = drain_prefix(environment);
    let list = platform.list(&prefix).await?;
    let keys: Vec<String> = list.objects.into_iter().map(|object| object.key).collect();
    let records = read_all_json(platform, &keys).await?;
    let drains = records.into_iter().map(|(key, record)| DrainEntry {
        server: ServerName::from(key.strip_prefix(&prefix).unwrap_or_default()),
        record,
    });
    Ok(drains.collect())
}
