//! Chooses a prefill and a decode server together by estimated cost.

use std::time::{Duration, Instant};

use gs_protocol::ids::ModelName;
use gs_protocol::prefix::{PrefixHash, count_blocks};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::baseline::choose_baseline;
use super::fleet::{FleetTable, ModelPool};
use super::prefix_index::PrefixMatch;
use super::server_record::{ServerId, ServerRecord};
use super::settings::DispatchSettings;
use gs_document::settings::PlacementPolicy;

/// Least loaded servers considered in each data centre.
const LEAST_LOADED_PER_CENTRE: usize = 3;

/// Random servers considered in addition to the least loaded ones.
const RANDOM_CANDIDATES: usize = 2;

/// Candidates of each role that are combined into pairs.
const MAX_CANDIDATES_PER_ROLE: usize = 5;

/// Decode steps of the answer included in the cost of a decode server.
const COSTED_DECODE_STEPS: u32 = 8;

/// Minimum time for which a prefill server keeps a result. A prefill may finish this long before
/// its transfer can begin.
const MIN_RESULT_TTL: Duration = Duration::from_millis(300);

/// Cost added for a decode server that is probably full.
const FULL_PENALTY: Duration = Duration::from_millis(10);

/// Factor on the permitted queue wait at a prefill server that holds no work of this entry.
const UNUSED_QUEUE_FACTOR: u32 = 2;

/// Lower bound of the cost difference that is treated as equal while several entries share the
/// fleet.
const MIN_COST_TOLERANCE: Duration = Duration::from_millis(2);

/// Requirements of a request that is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementDemand<'a> {
    /// Model to run.
    pub model: &'a ModelName,
    /// Prefix hashes of the prompt, shortest first.
    pub prefix_hashes: &'a [PrefixHash],
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Longest permitted decode step.
    pub max_step_time: Duration,
    /// Urgent fraction of this entry's current prefill work for the model, 0 to 1; `None` unless
    /// the request itself is urgent.
    pub urgent_fraction: Option<f64>,
    /// Longest permitted wait in a prefill server's queue.
    pub max_queue_wait: Duration,
    /// Whether to leave free slots for urgent callers.
    pub keeps_urgent_headroom: bool,
    /// Time left until the first token is due; `None` for a retry, whose first token may be late.
    pub time_left: Option<Duration>,
    /// Server that failed the request last; used only if it is the only one of its role.
    pub avoid_server: Option<ServerId>,
    /// Servers that must not run the request.
    pub excluded: &'a [ServerId],
    /// Whether this resumes a broken stream, which needs no prefill.
    pub is_resume: bool,
}

/// Servers chosen for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlacementChoice {
    /// Decode server, which generates the stream.
    pub decode: ServerId,
    /// Prefill server, which computes the prompt.
    pub prefill: ServerId,
    /// Delay between the reservation and the prefill.
    pub prefill_after: Duration,
    /// Prompt tokens that the prefill server does not have cached.
    pub uncached_tokens: u32,
    /// Estimated time until the first token.
    pub predicted_first_token: Duration,
}

/// Reason why a request cannot be placed now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementError {
    /// No decode server has a free slot.
    NoDecodeSlot,
    /// The queue of every prefill server exceeds the permitted wait.
    PrefillQueuesFull,
    /// The estimated first token is later than the deadline.
    DeadlineMissed,
    /// No server of a needed role is available for the model.
    NoServer,
    /// The request may crash servers and has to wait until quarantine permits it.
    SuspectHeld,
}

/// A decode server and its share of the cost.
#[derive(Clone, Copy, Debug)]
struct DecodeCandidate<'a> {
    server: ServerId,
    record: &'a ServerRecord,
    /// Cost until the first decode steps are done, with penalties for contention and full servers.
    cost: Duration,
    /// Network delay and decode step between the end of the transfer and the first token.
    first_token_delay: Duration,
    /// Time until the server's link is free.
    link_wait: Duration,
}

/// A prefill server and its share of the cost.
#[derive(Clone, Copy, Debug)]
struct PrefillCandidate<'a> {
    server: ServerId,
    record: &'a ServerRecord,
    uncached_tokens: u32,
    /// Wait in the server's prefill queue.
    wait: Duration,
    /// Time until the prefill would be complete.
    cost: Duration,
    /// Time until the server's link is free.
    link_wait: Duration,
}

/// A prefill and decode server and their total cost.
#[derive(Clone, Copy, Debug)]
struct ScoredPair {
    cost: Duration,
    /// Cost difference treated as equal, because the work of other entries is reported with a
    /// delay.
    tolerance: Duration,
    choice: PlacementChoice,
}

/// Chooses servers for a request by the configured policy.
///
/// Draws at random among pairs of nearly equal cost, so that entries with the same reports do not
/// all pick the same servers.
pub fn choose_servers(
    now: Instant,
    fleet: &mut FleetTable,
    demand: &PlacementDemand<'_>,
    settings: &DispatchSettings,
    entry_count: u32,
    rng: &mut Pcg64Mcg,
) -> Result<PlacementChoice, PlacementError> {
    if settings.policy != PlacementPolicy::Cost {
        return choose_baseline(fleet, demand, settings.policy, rng);
    }
    let pool = fleet.pool(demand.model).ok_or(PlacementError::NoServer)?;
    if pool.decode.is_empty() || (pool.prefill.is_empty() && !demand.is_resume) {
        return Err(PlacementError::NoServer);
    }
    let decodes = score_decodes(now, fleet, pool, demand, settings, entry_count, rng);
    if decodes.is_empty() {
        return Err(PlacementError::NoDecodeSlot);
    }
    if demand.is_resume {
        return Ok(resume_choice(pool, &decodes, rng));
    }
    let prefills = score_prefills(now, fleet, pool, demand, settings, rng);
    if prefills.is_empty() {
        return Err(PlacementError::PrefillQueuesFull);
    }
    let choice = choose_pair(&prefills, &decodes, demand, entry_count, rng);
    let is_late = demand
        .time_left
        .is_some_and(|left| choice.predicted_first_token > left);
    if is_late {
        return Err(PlacementError::DeadlineMissed);
    }
    Ok(choice)
}

/// Chooses the cheapest decode server for a resumed stream. The prefill server of the choice is
/// arbitrary, because a resumed stream needs no prefill.
fn resume_choice(
    pool: &ModelPool,
    decodes: &[DecodeCandidate<'_>],
    rng: &mut Pcg64Mcg,
) -> PlacementChoice {
    let best = decodes.iter().min_by_key(|candidate| candidate.cost);
    let decode = best.map_or(0, |candidate| candidate.server);
    PlacementChoice {
        decode,
        prefill: pool.prefill.random(rng).unwrap_or(decode),
        prefill_after: Duration::ZERO,
        uncached_tokens: 0,
        predicted_first_token: best.map_or(Duration::ZERO, |candidate| candidate.cost),
    }
}

/// Scores the candidates for decoding, cheapest first.
fn score_decodes<'a>(
    now: Instant,
    fleet: &'a FleetTable,
    pool: &ModelPool,
    demand: &PlacementDemand<'_>,
    settings: &DispatchSettings,
    entry_count: u32,
    rng: &mut Pcg64Mcg,
) -> Vec<DecodeCandidate<'a>> {
    let mut servers: Vec<ServerId> = pool
        .decode
        .least_loaded(LEAST_LOADED_PER_CENTRE)
        .map(|key| key.server)
        .collect();
    add_random_servers(&mut servers, || pool.decode.random(rng));
    let mut candidates: Vec<DecodeCandidate<'a>> = servers
        .into_iter()
        .filter(|server| Some(*server) != demand.avoid_server || pool.decode.len() == 1)
        .filter(|server| !demand.excluded.contains(server))
        .filter_map(|server| {
            let record = fleet.server(server)?;
            score_decode(now, server, record, demand, settings, entry_count)
        })
        .collect();
    candidates.sort_by_key(|candidate| (candidate.cost, candidate.record.salt));
    candidates.truncate(MAX_CANDIDATES_PER_ROLE);
    candidates
}

/// Scores one decode server; `None` if it has no free slot or too little KV-cache memory. A server
/// without streams is accepted even if its memory is too small.
fn score_decode<'a>(
    now: Instant,
    server: ServerId,
    record: &'a ServerRecord,
    demand: &PlacementDemand<'_>,
    settings: &DispatchSettings,
    entry_count: u32,
) -> Option<DecodeCandidate<'a>> {
    let work = record.estimated_work(now);
    let limit = stream_limit(record, demand, settings);
    if !has_slot(now, record, limit, settings, entry_count) {
        return None;
    }
    let kv_blocks = count_blocks(demand.prompt_tokens.saturating_add(demand.max_tokens));
    let fits = work.kv_blocks.saturating_add(kv_blocks) <= record.report.total_blocks;
    if !fits && work.streams > 0 {
        return None;
    }
    let is_full = work.streams >= limit;
    let contention = entry_count.saturating_sub(limit.saturating_sub(work.streams));
    let round_trip = record.delay * 2;
    let first_token_delay = round_trip * 2 + record.step_time(work.streams + 1);
    let later_steps = record.step_time(work.streams + 1) * COSTED_DECODE_STEPS;
    Some(DecodeCandidate {
        server,
        record,
        cost: first_token_delay
            + later_steps
            + round_trip * contention / entry_count.max(1)
            + if is_full {
                FULL_PENALTY
            } else {
                Duration::ZERO
            },
        first_token_delay,
        link_wait: record.link_wait(now),
    })
}

/// Number of streams up to which the server accepts this request.
fn stream_limit(
    record: &ServerRecord,
    demand: &PlacementDemand<'_>,
    settings: &DispatchSettings,
) -> u32 {
    let limit = record.stream_limit(demand.max_step_time);
    if !demand.keeps_urgent_headroom {
        return limit;
    }
    let headroom = f64::from(limit) * settings.urgent_headroom;
    limit - limit.min(headroom.round() as u32)
}

/// Whether a slot of the server is presumably free.
///
/// Reports are delayed and other entries release slots unnoticed, so this entry may still use its
/// share of a server that looks full. That applies only if the server enforces the limit itself: no
/// server refuses a stream because its decode steps would become too long. With a stale report,
/// only this entry's share counts.
fn has_slot(
    now: Instant,
    record: &ServerRecord,
    limit: u32,
    settings: &DispatchSettings,
    entry_count: u32,
) -> bool {
    let own_streams = record.own_work().streams;
    if own_streams >= limit {
        return false;
    }
    let is_stale = record.is_stale(now, settings);
    let has_free_slot = record.estimated_work(now).streams < limit && record.has_slot_share(limit);
    let is_free = has_free_slot && !is_stale;
    let is_enforced = limit >= record.report.max_streams;
    let is_within_share = own_streams < (limit / entry_count.max(1)).max(1);
    is_free || (is_within_share && (is_enforced || is_stale))
}

/// Scores the candidates for the prefill, cheapest first. Available servers that hold a prefix of
/// the prompt are always considered.
fn score_prefills<'a>(
    now: Instant,
    fleet: &'a FleetTable,
    pool: &ModelPool,
    demand: &PlacementDemand<'_>,
    settings: &DispatchSettings,
    rng: &mut Pcg64Mcg,
) -> Vec<PrefillCandidate<'a>> {
    let holders = fleet.find_prefix(demand.prefix_hashes);
    let prefill_servers = pool
        .prefill
        .least_loaded(LEAST_LOADED_PER_CENTRE)
        .map(|key| key.server);
    let mut servers: Vec<ServerId> = prefill_servers.collect();
    add_random_servers(&mut servers, || pool.prefill.random(rng));
    for holder in &holders {
        if !servers.contains(&holder.server)
            && fleet.is_available_prefill(holder.server, demand.model)
        {
            servers.push(holder.server);
        }
    }
    let mut candidates: Vec<PrefillCandidate<'a>> = servers
        .into_iter()
        .filter(|server| Some(*server) != demand.avoid_server || pool.prefill.len() == 1)
        .filter(|server| !demand.excluded.contains(server))
        .filter_map(|server| {
            let record = fleet.server(server)?;
            score_prefill(now, server, record, demand, settings, &holders)
        })
        .collect();
    candidates.sort_by_key(|candidate| (candidate.cost, candidate.record.salt));
    candidates.truncate(MAX_CANDIDATES_PER_ROLE);
    candidates
}

/// Scores one prefill server; `None` if its queue exceeds the permitted wait.
fn score_prefill<'a>(
    now: Instant,
    server: ServerId,
    record: &'a ServerRecord,
    demand: &PlacementDemand<'_>,
    settings: &DispatchSettings,
    holders: &[PrefixMatch],
) -> Option<PrefillCandidate<'a>> {
    let cached_match = holders.iter().find(|holder| holder.server == server);
    let cached_tokens = cached_match.map_or(0, |holder| holder.tokens);
    let uncached_tokens = demand.prompt_tokens.saturating_sub(cached_tokens).max(1);
    let wait = match demand.urgent_fraction {
        Some(urgent_fraction) => record.urgent_prefill_wait(now, urgent_fraction),
        None => record.prefill_wait(now),
    };
    let max_queue_wait = match record.own_work().prefill_tokens {
        0 => demand.max_queue_wait * UNUSED_QUEUE_FACTOR,
        _ => demand.max_queue_wait,
    };
    if wait > max_queue_wait && !record.is_stale(now, settings) {
        return None;
    }
    Some(PrefillCandidate {
        server,
        record,
        uncached_tokens,
        wait,
        cost: record.delay * 2 + wait + record.prefill_time(uncached_tokens),
        link_wait: record.link_wait(now),
    })
}

/// Adds up to [`RANDOM_CANDIDATES`] randomly drawn servers that are not listed yet.
fn add_random_servers(
    servers: &mut Vec<ServerId>,
    mut draw_server: impl FnMut() -> Option<ServerId>,
) {
    for _ in 0..RANDOM_CANDIDATES {
        let Some(server) = draw_server() else {
            return;
        };
        if !servers.contains(&server) {
            servers.push(server);
        }
    }
}

/// Chooses a random pair among those within the tolerance of the cheapest one.
fn choose_pair(
    prefills: &[PrefillCandidate<'_>],
    decodes: &[DecodeCandidate<'_>],
    demand: &PlacementDemand<'_>,
    entry_count: u32,
    rng: &mut Pcg64Mcg,
) -> PlacementChoice {
    let mut pairs: Vec<ScoredPair> = Vec::with_capacity(prefills.len() * decodes.len());
    for prefill in prefills {
        for decode in decodes {
            pairs.push(score_pair(prefill, decode, demand));
        }
    }
    let best = pairs.iter().min_by_key(|pair| pair.cost);
    let bound = best.map_or(Duration::ZERO, |best| match entry_count {
        1 => best.cost,
        _ => best.cost + best.tolerance.max(MIN_COST_TOLERANCE),
    });
    pairs.retain(|pair| pair.cost <= bound);
    let chosen = rng.gen_range(0..pairs.len());
    pairs.swap_remove(chosen).choice
}

/// Estimates the cost of a pair from queue waits, prefill, KV-cache transfer and first decode
/// steps.
fn score_pair(
    prefill: &PrefillCandidate<'_>,
    decode: &DecodeCandidate<'_>,
    demand: &PlacementDemand<'_>,
) -> ScoredPair {
    let is_cross_centre = prefill.record.data_centre != decode.record.data_centre;
    let centre_delay = match is_cross_centre {
        true => prefill.record.delay.max(decode.record.delay),
        false => Duration::ZERO,
    };
    let link_wait = prefill.link_wait.max(decode.link_wait);
    let prefill_delay = prefill.wait + prefill.record.prefill_time(prefill.uncached_tokens);
    let prefill_after = link_wait.saturating_sub(prefill_delay + MIN_RESULT_TTL);
    let send_time = prefill.record.transfer_time(demand.prompt_tokens);
    let receive_time = decode.record.transfer_time(demand.prompt_tokens);
    let transfer_delay =
        link_wait.saturating_sub(prefill_delay) + send_time.max(receive_time) + centre_delay;
    let stream_delay = prefill.cost + transfer_delay;
    let cost = stream_delay + decode.cost;
    let choice = PlacementChoice {
        decode: decode.server,
        prefill: prefill.server,
        prefill_after,
        uncached_tokens: prefill.uncached_tokens,
        predicted_first_token: stream_delay + decode.first_token_delay,
    };
    ScoredPair {
        cost,
        tolerance: prefill.record.prefill_time(prefill.uncached_tokens) / 2,
        choice,
    }
}
