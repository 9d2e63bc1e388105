//! `status`: what each entry applies, and which servers are out of use.

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

/// `GET /admin/v1/status`
pub async fn status(
    state: Data<AdminState>,
    request: HttpRequest,
    query: Query<EnvironmentQuery>,
) -> Result<Json<StatusView>, AdminRefusal> {
    let environment = state.environment(query.environment.as_deref())?;
    authorize(&state, &request, environment, OperatorRight::Read).await?;
    let head = state.read_head(environment).await?;
    let reports = read_reports(&state.platform, environment).await?;
    let listed = read_listed(&state, environment, &reports).await?;
    let entries = list_entries(reports, &listed);
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

/// Entries of the platform's list that serve this environment: those that report here, or nowhere.
async fn read_listed(
    state: &AdminState,
    environment: &str,
    reports: &BTreeMap<String, StatusRecord>,
) -> Result<BTreeSet<String>, PlatformError> {
    let mut elsewhere = BTreeSet::new();
    for other in state.environments() {
        if other != environment {
            elsewhere.extend(reporting_names(&state.platform, other).await?);
        }
    }
    let records = state.platform.list_vms().await?;
    let names = records
        .into_iter()
        .filter_map(|record| match record.workload {
            VmWorkload::Entry { name, .. } => Some(name.as_str().to_owned()),
            VmWorkload::Server { .. } => None,
        });
    let here = |name: &String| reports.contains_key(name) || !elsewhere.contains(name);
    Ok(names.filter(here).collect())
}

async fn reporting_names(
    platform: &impl Platform,
    environment: &str,
) -> Result<Vec<String>, PlatformError> {
    let prefix = status_prefix(environment);
    let list = platform.list(&prefix).await?;
    let names = list.objects.iter();
    let names = names.filter_map(|object| object.key.strip_prefix(&prefix));
    Ok(names.map(str::to_owned).collect())
}

fn list_entries(
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

/// From when the head has been in force at every listed entry.
fn in_force_since(head: &HeadRecord, entries: &[EntryStatus]) -> Option<u64> {
    let listed = entries.iter().filter(|entry| entry.listed);
    let since: Option<Vec<u64>> = listed
        .map(|entry| applied_since(entry.report.as_ref()?, head.sequence))
        .collect();
    since?.into_iter().max()
}

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
