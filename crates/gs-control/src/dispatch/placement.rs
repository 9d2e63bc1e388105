//! Chooses a prefill and a decode server together.

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

/// Least loaded servers of each data centre that are weighed.
const LEAST_PER_CENTRE: usize = 3;

/// Random servers that are weighed besides.
const RANDOM_CANDIDATES: usize = 2;

/// Servers of each role that are weighed in pairs.
const PAIRED_CANDIDATES: usize = 5;

/// Decode steps of the answer that count towards the cost of a pair.
const WEIGHED_STEPS: u32 = 8;

/// Time for which a prefill result is sure to be kept.
const RESULT_KEPT: Duration = Duration::from_millis(300);

/// Cost of a server that is probably full.
const FULL_PENALTY: Duration = Duration::from_millis(10);

/// How much longer a prefill queue may be in which this entry has nothing.
const UNUSED_QUEUE_FACTOR: u32 = 2;

/// Pairs at least this much dearer than the best are as good, for entries that share the fleet.
const NEAR_BEST: Duration = Duration::from_millis(2);

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementDemand<'a> {
    /// The model to run.
    pub model: &'a ModelName,
    /// Prefix hashes of the prompt.
    pub pieces: &'a [PrefixHash],
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens to generate at most.
    pub max_tokens: u32,
    /// The longest decode step.
    pub step: Duration,
    /// The part of urgent work in what is being prefilled, if the engines take this request first.
    pub urgent_part: Option<f64>,
    /// The longest wait in a prefill engine's queue.
    pub queue_wait: Duration,
    /// Whether slots are to be left for urgent callers.
    pub leaves_headroom: bool,
    /// Time left until the first token is due, if that still matters.
    pub time_left: Option<Duration>,
    /// A server that has just failed the request.
    pub avoid: Option<ServerId>,
    /// Servers that the request must not run on.
    pub closed: &'a [ServerId],
    /// Whether the stream is resumed, with no prefill beforehand.
    pub resumes: bool,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlacementChoice {
    /// The engine for the stream.
    pub decode: ServerId,
    /// The engine for the prefill.
    pub prefill: ServerId,
    /// How long to wait between reservation and prefill.
    pub prefill_after: Duration,
    /// Prompt tokens to compute.
    pub uncached_tokens: u32,
    /// Time until the first token.
    pub predicted: Duration,
}

/// Why nothing was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementBlock {
    /// No slot is free.
    Decode,
    /// Every prefill queue is long enough.
    Prefill,
    /// The first token would come too late as things stand.
    Late,
    /// No server is known that could take the request.
    NoServer,
    /// The request may crash servers, and has to wait for that.
    Suspect,
}

/// A decode server and its part of the cost.
#[derive(Clone, Copy, Debug)]
struct DecodeCandidate<'a> {
    server: ServerId,
    record: &'a ServerRecord,
    cost: Duration,
    until_first: Duration,
    link_wait: Duration,
}

/// A prefill server and its part of the cost.
#[derive(Clone, Copy, Debug)]
struct PrefillCandidate<'a> {
    server: ServerId,
    record: &'a ServerRecord,
    uncached_tokens: u32,
    wait: Duration,
    cost: Duration,
    link_wait: Duration,
}

/// A pair of servers and its cost.
#[derive(Clone, Copy, Debug)]
struct WeighedPair {
    cost: Duration,
    /// Pairs this much dearer are as good, since others' work is known late.
    near: Duration,
    choice: PlacementChoice,
}

/// Chooses servers for a request by the configured policy.
pub fn choose_servers(
    now: Instant,
    fleet: &mut FleetTable,
    demand: &PlacementDemand<'_>,
    settings: &DispatchSettings,
    entries: u32,
    rng: &mut Pcg64Mcg,
) -> Result<PlacementChoice, PlacementBlock> {
    if settings.policy != PlacementPolicy::Cost {
        return choose_baseline(fleet, demand, settings.policy, rng);
    }
    let pool = fleet.pool(demand.model).ok_or(PlacementBlock::NoServer)?;
    if pool.decode.is_empty() || (pool.prefill.is_empty() && !demand.resumes) {
        return Err(PlacementBlock::NoServer);
    }
    let decodes = weigh_decodes(now, fleet, pool, demand, settings, entries, rng);
    if decodes.is_empty() {
        return Err(PlacementBlock::Decode);
    }
    if demand.resumes {
        return Ok(resume_choice(pool, &decodes, rng));
    }
    let prefills = weigh_prefills(now, fleet, pool, demand, settings, rng);
    if prefills.is_empty() {
        return Err(PlacementBlock::Prefill);
    }
    let choice = choose_pair(&prefills, &decodes, demand, entries, rng);
    let is_late = demand.time_left.is_some_and(|left| choice.predicted > left);
    if is_late {
        return Err(PlacementBlock::Late);
    }
    Ok(choice)
}

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
        predicted: best.map_or(Duration::ZERO, |candidate| candidate.cost),
    }
}

fn weigh_decodes<'a>(
    now: Instant,
    fleet: &'a FleetTable,
    pool: &ModelPool,
    demand: &PlacementDemand<'_>,
    settings: &DispatchSettings,
    entries: u32,
    rng: &mut Pcg64Mcg,
) -> Vec<DecodeCandidate<'a>> {
    let mut servers: Vec<ServerId> = pool
        .decode
        .least(LEAST_PER_CENTRE)
        .map(|key| key.server)
        .collect();
    add_random(&mut servers, || pool.decode.random(rng));
    let mut candidates: Vec<DecodeCandidate<'a>> = servers
        .into_iter()
        .filter(|server| Some(*server) != demand.avoid || pool.decode.len() == 1)
        .filter(|server| !demand.closed.contains(server))
        .filter_map(|server| {
            let record = fleet.server(server)?;
            weigh_decode(now, server, record, demand, settings, entries)
        })
        .collect();
    candidates.sort_by_key(|candidate| (candidate.cost, candidate.record.salt));
    candidates.truncate(PAIRED_CANDIDATES);
    candidates
}

fn weigh_decode<'a>(
    now: Instant,
    server: ServerId,
    record: &'a ServerRecord,
    demand: &PlacementDemand<'_>,
    settings: &DispatchSettings,
    entries: u32,
) -> Option<DecodeCandidate<'a>> {
    let work = record.work(now);
    let limit = stream_limit(record, demand, settings);
    if !has_slot(now, record, limit, settings, entries) {
        return None;
    }
    let pieces = count_blocks(demand.prompt_tokens.saturating_add(demand.max_tokens));
    let fits = work.pieces.saturating_add(pieces) <= record.report.total_blocks;
    if !fits && work.streams > 0 {
        return None;
    }
    let is_full = work.streams >= limit;
    let crowding = entries.saturating_sub(limit.saturating_sub(work.streams));
    let round_trip = record.delay * 2;
    let until_first = round_trip * 2 + record.step_time(work.streams + 1);
    let later_steps = record.step_time(work.streams + 1) * WEIGHED_STEPS;
    Some(DecodeCandidate {
        server,
        record,
        cost: until_first
            + later_steps
            + round_trip * crowding / entries.max(1)
            + if is_full {
                FULL_PENALTY
            } else {
                Duration::ZERO
            },
        until_first,
        link_wait: record.link_wait(now),
    })
}

/// Streams that the server may hold with this request.
fn stream_limit(
    record: &ServerRecord,
    demand: &PlacementDemand<'_>,
    settings: &DispatchSettings,
) -> u32 {
    let limit = record.stream_limit(demand.step);
    if !demand.leaves_headroom {
        return limit;
    }
    let headroom = f64::from(limit) * settings.urgent_headroom;
    limit - limit.min(headroom.round() as u32)
}

/// Whether a slot may be free. A server that looks full is tried within this entry's part of its slots, since
/// reports lag and others release slots unseen. That holds only for a limit which the engine enforces: no engine
/// refuses a stream because its steps would grow too long. With a stale report, that part is all.
fn has_slot(
    now: Instant,
    record: &ServerRecord,
    limit: u32,
    settings: &DispatchSettings,
    entries: u32,
) -> bool {
    let own = record.own().streams;
    if own >= limit {
        return false;
    }
    let is_stale = record.is_stale(now, settings);
    let has_free = record.work(now).streams < limit && record.has_slot_part(limit);
    let is_free = has_free && !is_stale;
    let is_enforced = limit >= record.report.max_streams;
    let is_in_part = own < (limit / entries.max(1)).max(1);
    is_free || (is_in_part && (is_enforced || is_stale))
}

fn weigh_prefills<'a>(
    now: Instant,
    fleet: &'a FleetTable,
    pool: &ModelPool,
    demand: &PlacementDemand<'_>,
    settings: &DispatchSettings,
    rng: &mut Pcg64Mcg,
) -> Vec<PrefillCandidate<'a>> {
    let held = fleet.find_prefix(demand.pieces);
    let least = pool.prefill.least(LEAST_PER_CENTRE).map(|key| key.server);
    let mut servers: Vec<ServerId> = least.collect();
    add_random(&mut servers, || pool.prefill.random(rng));
    for known in &held {
        if !servers.contains(&known.server) && fleet.is_open_prefill(known.server, demand.model) {
            servers.push(known.server);
        }
    }
    let mut candidates: Vec<PrefillCandidate<'a>> = servers
        .into_iter()
        .filter(|server| Some(*server) != demand.avoid || pool.prefill.len() == 1)
        .filter(|server| !demand.closed.contains(server))
        .filter_map(|server| {
            let record = fleet.server(server)?;
            weigh_prefill(now, server, record, demand, settings, &held)
        })
        .collect();
    candidates.sort_by_key(|candidate| (candidate.cost, candidate.record.salt));
    candidates.truncate(PAIRED_CANDIDATES);
    candidates
}

fn weigh_prefill<'a>(
    now: Instant,
    server: ServerId,
    record: &'a ServerRecord,
    demand: &PlacementDemand<'_>,
    settings: &DispatchSettings,
    held: &[PrefixMatch],
) -> Option<PrefillCandidate<'a>> {
    let cached = held.iter().find(|known| known.server == server);
    let cached_tokens = cached.map_or(0, |known| known.tokens);
    let uncached_tokens = demand.prompt_tokens.saturating_sub(cached_tokens).max(1);
    let wait = match demand.urgent_part {
        Some(part) => record.urgent_prefill_wait(now, part),
        None => record.prefill_wait(now),
    };
    let queue_wait = match record.own().tokens {
        0 => demand.queue_wait * UNUSED_QUEUE_FACTOR,
        _ => demand.queue_wait,
    };
    if wait > queue_wait && !record.is_stale(now, settings) {
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

fn add_random(servers: &mut Vec<ServerId>, mut draw: impl FnMut() -> Option<ServerId>) {
    for _ in 0..RANDOM_CANDIDATES {
        let Some(server) = draw() else {
            return;
        };
        if !servers.contains(&server) {
            servers.push(server);
        }
    }
}

fn choose_pair(
    prefills: &[PrefillCandidate<'_>],
    decodes: &[DecodeCandidate<'_>],
    demand: &PlacementDemand<'_>,
    entries: u32,
    rng: &mut Pcg64Mcg,
) -> PlacementChoice {
    let mut pairs: Vec<WeighedPair> = Vec::with_capacity(prefills.len() * decodes.len());
    for prefill in prefills {
        for decode in decodes {
            pairs.push(weigh_pair(prefill, decode, demand));
        }
    }
    let best = pairs.iter().min_by_key(|pair| pair.cost);
    let bound = best.map_or(Duration::ZERO, |best| match entries {
        1 => best.cost,
        _ => best.cost + best.near.max(NEAR_BEST),
    });
    pairs.retain(|pair| pair.cost <= bound);
    let chosen = rng.gen_range(0..pairs.len());
    pairs.swap_remove(chosen).choice
}

fn weigh_pair(
    prefill: &PrefillCandidate<'_>,
    decode: &DecodeCandidate<'_>,
    demand: &PlacementDemand<'_>,
) -> WeighedPair {
    let is_far = prefill.record.data_centre != decode.record.data_centre;
    let between = match is_far {
        true => prefill.record.delay.max(decode.record.delay),
        false => Duration::ZERO,
    };
    let link_wait = prefill.link_wait.max(decode.link_wait);
    let computed = prefill.wait + prefill.record.prefill_time(prefill.uncached_tokens);
    let prefill_after = link_wait.saturating_sub(computed + RESULT_KEPT);
    let from = prefill.record.transfer_time(demand.prompt_tokens);
    let to = decode.record.transfer_time(demand.prompt_tokens);
    let moved = link_wait.saturating_sub(computed) + from.max(to) + between;
    let until_stream = prefill.cost + moved;
    let cost = until_stream + decode.cost;
    let choice = PlacementChoice {
        decode: decode.server,
        prefill: prefill.server,
        prefill_after,
        uncached_tokens: prefill.uncached_tokens,
        predicted: until_stream + decode.until_first,
    };
    WeighedPair {
        cost,
        near: prefill.record.prefill_time(prefill.uncached_tokens) / 2,
        choice,
    }
}
