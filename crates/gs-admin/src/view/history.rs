//! Handler of `history`: lists accepted documents, who accepted them, and since when each entry has
//! applied them.

use std::collections::BTreeMap;

use actix_web::HttpRequest;
use actix_web::web::{Data, Json, Query};
use gs_document::document::OperatorRight;
use gs_platform::PlatformError;
use gs_protocol::admin::{HistoryEntry, HistoryView, InForceRecord};
use gs_protocol::ids::SequenceNumber;
use gs_protocol::objects::{HeadRecord, StatusRecord, history_key};
use serde::Deserialize;

use super::reports::{applied_since, read_reports};
use crate::access::authorize;
use crate::platform::read_all_json;
use crate::refusal::AdminRefusal;
use crate::state::AdminState;
use crate::telemetry;

/// Number of documents in an answer if the query has no limit.
const DEFAULT_LIMIT: usize = 20;

/// The query of `GET /admin/v1/history`.
#[derive(Deserialize)]
pub struct HistoryQuery {
    environment: Option<String>,
    before: Option<SequenceNumber>,
    limit: Option<usize>,
}

/// `GET /admin/v1/history`: returns one page of history, latest first.
pub async fn history(
    state: Data<AdminState>,
    request: HttpRequest,
    query: Query<HistoryQuery>,
) -> Result<Json<HistoryView>, AdminRefusal> {
    let environment = state.resolve_environment(query.environment.as_deref())?;
    authorize(&state, &request, environment, OperatorRight::Read).await?;
    let limit = query.limit.unwrap_or(DEFAULT_LIMIT);
    let limit = limit.clamp(1, state.settings.limits.max_history.max(1));
    let heads = read_heads(&state, environment, query.before, limit).await?;
    let reports = read_reports(&state.platform, environment).await?;
    let last = heads.last().map(|head| head.sequence);
    let entries = heads.into_iter().map(|head| history_entry(head, &reports));
    Ok(Json(HistoryView {
        environment: environment.to_owned(),
        entries: entries.collect(),
        next_before: last.filter(|sequence| sequence.0 > 1),
    }))
}

/// Reads the head records before a sequence number, latest first. The latest one is the current head;
/// all others are in history.
async fn read_heads(
    state: &AdminState,
    environment: &str,
    before: Option<SequenceNumber>,
    limit: usize,
) -> Result<Vec<HeadRecord>, PlatformError> {
    let Some(current) = state.read_head(environment).await? else {
        return Ok(Vec::new());
    };
    let end = before.map_or(current.sequence.0 + 1, |before| before.0);
    let end = end.min(current.sequence.0 + 1);
    let start = end.saturating_sub(limit as u64).max(1);
    let keys: Vec<String> = (start..end.min(current.sequence.0))
        .rev()
        .map(|sequence| history_key(environment, SequenceNumber(sequence)))
        .collect();
    let earlier = read_all_json(&state.platform, &keys).await?;
    let missing = keys.len() - earlier.len();
    if missing > 0 {
        log::error!(target: "admin", environment, missing; "History records are missing.");
        telemetry::count_history_gaps(missing as u64);
    }
    let current = Some(current).filter(|head| head.sequence.0 < end);
    let earlier = earlier.into_iter().map(|(_, head)| head);
    Ok(current.into_iter().chain(earlier).collect())
}

/// Combines a head record with the entries that report to have applied it.
fn history_entry(head: HeadRecord, reports: &BTreeMap<String, StatusRecord>) -> HistoryEntry {
    let in_force = reports.iter().filter_map(|(entry, report)| {
        let since_ms = applied_since(report, head.sequence)?;
        let entry = entry.clone();
        Some(InForceRecord { entry, since_ms })
    });
    HistoryEntry {
        in_force: in_force.collect(),
        head,
    }
}
