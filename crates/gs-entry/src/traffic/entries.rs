//! Handler of `GET /v1/entries`, which lists the entries that a caller should use.

use actix_web::web::{Data, Query};
use actix_web::{HttpRequest, HttpResponse};
use gs_control::membership::MemberCandidate;
use gs_protocol::caller::{EntryList, EntryRecord};
use gs_protocol::ids::DataCentreName;
use serde::Deserialize;

use super::{RequestContext, TrafficState};

/// Weight of an entry in the caller's data centre.
const NEAR_WEIGHT: u32 = 100;

/// Weight of an entry in another data centre.
const FAR_WEIGHT: u32 = 10;

/// Query parameters of the list.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct EntryQuery {
    /// Data centre of the caller; by default that of this entry.
    data_centre: Option<DataCentreName>,
}

/// Lists the usable entries, those in the caller's data centre first.
pub async fn list_entries(
    http: HttpRequest,
    query: Query<EntryQuery>,
    state: Data<TrafficState>,
) -> HttpResponse {
    let context = match RequestContext::admit(&http, &state) {
        Ok(context) => context,
        Err(response) => return *response,
    };
    let near = query
        .data_centre
        .as_ref()
        .unwrap_or(&state.settings.data_centre);
    let entries = list_weighted_entries(&state, near);
    let list = EntryList {
        entries,
        ttl_s: state.settings.limits.entry_list_ttl.as_secs(),
    };
    let mut builder = HttpResponse::Ok();
    context.add_headers(&mut builder);
    builder.json(list)
}

/// Lists the entries with their weights. A leaving entry lists itself only if there is no other.
fn list_weighted_entries(state: &TrafficState, near: &DataCentreName) -> Vec<EntryRecord> {
    let fleet = state.fleet();
    let mut entries: Vec<_> = fleet
        .entries
        .iter()
        .map(|entry| to_entry_record(entry, near))
        .collect();
    if !state.is_leaving() || entries.is_empty() {
        entries.push(to_entry_record(&state.own_candidate, near));
    }
    entries.sort_by(|a, b| b.weight.cmp(&a.weight).then_with(|| a.name.cmp(&b.name)));
    entries
}

fn to_entry_record(entry: &MemberCandidate, near: &DataCentreName) -> EntryRecord {
    let weight = if entry.data_centre == *near {
        NEAR_WEIGHT
    } else {
        FAR_WEIGHT
    };
    EntryRecord {
        name: entry.name.clone(),
        address: entry.address,
        data_centre: entry.data_centre.clone(),
        weight,
    }
}
