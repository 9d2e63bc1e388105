//! `GET /v1/entries`: which entries a caller should use.

use actix_web::web::{Data, Query};
use actix_web::{HttpRequest, HttpResponse};
use gs_control::membership::MemberCandidate;
use gs_protocol::caller::{EntryList, EntryRecord};
use gs_protocol::ids::DataCentreName;
use serde::Deserialize;

use super::{RequestContext, TrafficState};

/// The weight of an entry in the caller's own data centre.
const NEAR_WEIGHT: u32 = 100;

/// The weight of an entry in another data centre.
const FAR_WEIGHT: u32 = 10;

/// What a caller may say of itself.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct EntryQuery {
    /// Where the caller stands; by default where the asked entry stands.
    data_centre: Option<DataCentreName>,
}

/// Answers with the live entries, those in the caller's data centre first.
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
    let entries = weigh_entries(&state, near);
    let list = EntryList {
        entries,
        ttl_s: state.settings.limits.entry_list_ttl.as_secs(),
    };
    let mut builder = HttpResponse::Ok();
    context.stamp(&mut builder);
    builder.json(list)
}

/// A leaving entry names itself only if there is no other.
fn weigh_entries(state: &TrafficState, near: &DataCentreName) -> Vec<EntryRecord> {
    let fleet = state.fleet();
    let mut entries: Vec<_> = fleet
        .entries
        .iter()
        .map(|entry| weigh(entry, near))
        .collect();
    if !state.is_leaving() || entries.is_empty() {
        entries.push(weigh(&state.own, near));
    }
    entries.sort_by(|a, b| b.weight.cmp(&a.weight).then_with(|| a.name.cmp(&b.name)));
    entries
}

fn weigh(entry: &MemberCandidate, near: &DataCentreName) -> EntryRecord {
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
