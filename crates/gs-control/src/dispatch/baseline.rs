//! Baseline policies, which choose each server separately by reported load or without regard to
//! load.

use rand_pcg::Pcg64Mcg;

use super::fleet::FleetTable;
use super::placement::{PlacementChoice, PlacementDemand, PlacementError};
use super::role_index::RoleIndex;
use super::server_record::ServerId;
use gs_document::settings::PlacementPolicy;

/// Maximum number of candidates of one choice: in total for round robin, and in each data centre
/// for least load.
const MAX_CANDIDATES: usize = 8;

/// Chooses servers by a baseline policy.
pub fn choose_baseline(
    fleet: &mut FleetTable,
    demand: &PlacementDemand<'_>,
    policy: PlacementPolicy,
    rng: &mut Pcg64Mcg,
) -> Result<PlacementChoice, PlacementError> {
    let pool = fleet
        .pool_mut(demand.model)
        .ok_or(PlacementError::NoServer)?;
    let mut decodes = draw_servers(&mut pool.decode, policy, rng);
    let mut prefills = draw_servers(&mut pool.prefill, policy, rng);
    decodes.retain(|server| !demand.excluded.contains(server));
    prefills.retain(|server| !demand.excluded.contains(server));
    if decodes.is_empty() || (prefills.is_empty() && !demand.is_resume) {
        return Err(PlacementError::NoServer);
    }
    let has_slot = |server: &ServerId| {
        let record = fleet.server(*server);
        record.is_some_and(|record| record.own_work().streams < record.report.max_streams)
    };
    let decode = pick(fleet, policy, &decodes, &has_slot).ok_or(PlacementError::NoDecodeSlot)?;
    let prefill = pick(fleet, policy, &prefills, &|_| true).unwrap_or(decode);
    Ok(PlacementChoice {
        decode,
        prefill,
        prefill_after: std::time::Duration::ZERO,
        uncached_tokens: demand.prompt_tokens,
        predicted_first_token: std::time::Duration::ZERO,
    })
}

/// Candidate servers in the order of the policy's preference.
fn draw_servers(
    index: &mut RoleIndex,
    policy: PlacementPolicy,
    rng: &mut Pcg64Mcg,
) -> Vec<ServerId> {
    match policy {
        PlacementPolicy::RoundRobin => index.next_round_robin(MAX_CANDIDATES),
        PlacementPolicy::TwoChoices => (0..2).filter_map(|_| index.random(rng)).collect(),
        PlacementPolicy::Cost | PlacementPolicy::LeastLoad => {
            let mut keys: Vec<_> = index.least_loaded(MAX_CANDIDATES).collect();
            keys.sort();
            keys.into_iter().map(|key| key.server).collect()
        }
    }
}

/// Picks the less loaded of two random servers, or the first candidate for the other policies.
fn pick(
    fleet: &FleetTable,
    policy: PlacementPolicy,
    servers: &[ServerId],
    fits: &dyn Fn(&ServerId) -> bool,
) -> Option<ServerId> {
    let mut fitting = servers.iter().copied().filter(|server| fits(server));
    match policy {
        PlacementPolicy::TwoChoices => fitting.min_by_key(|server| fleet.indexed_load(*server)),
        _ => fitting.next(),
    }
}
