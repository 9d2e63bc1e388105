//! Chooses servers for plain requests, prefills and streams.

use std::time::Instant;

use gs_protocol::ids::{DataCentreName, ServerName, ServiceName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::directory::{ServerDirectory, ServerEntry, ServerStage};
use super::loads::LoadTracker;
use super::memory::{StreamShape, projected_peak};
use super::routes::EngineSpec;

/// How much a server's share of failures weighs against its share of busy slots.
const FAILURE_WEIGHT: f64 = 6.0;

/// What a server in another data centre costs, as a share of busy slots or memory.
const DISTANCE_COST: f64 = 0.34;

/// What a decode engine in another data centre costs, as a share of its memory.
const DECODE_DISTANCE_COST: f64 = 0.08;

/// What a prefill engine in another data centre costs, in prompt tokens that are read in the same time.
const PREFILL_DISTANCE_TOKENS: f64 = 1_500.0;

/// The random part of the cost of an engine or a server, as a share of its memory or slots.
const SPREAD: f64 = 0.08;

/// The random part of the cost of a prefill engine, in prompt tokens.
const PREFILL_SPREAD_TOKENS: f64 = 1_000.0;

/// Prompt tokens that a failed prefill is as bad as.
const PREFILL_FAILURE_TOKENS: f64 = 40_000.0;

/// What is known when servers are chosen.
#[derive(Clone, Copy, Debug)]
pub struct PlacementView<'a> {
    /// The time.
    pub now: Instant,
    /// A random number of this decision, so that entries do not all choose the same server.
    pub salt: u64,
    /// Where this entry stands.
    pub data_centre: &'a DataCentreName,
    /// The servers.
    pub directory: &'a ServerDirectory,
    /// Their work and health.
    pub loads: &'a LoadTracker,
}

impl PlacementView<'_> {
    /// The usable servers; those that could not be reached only if there is no other.
    fn candidates<'v>(
        &'v self,
        service: &'v ServiceName,
        stage: Option<ServerStage>,
        passed: &[ServerName],
    ) -> Vec<&'v ServerEntry> {
        let usable = self.directory.usable_servers(self.now, service, stage);
        let usable: Vec<&ServerEntry> = usable
            .filter(|entry| !passed.contains(&entry.name))
            .collect();
        let reached: Vec<&ServerEntry> = usable
            .iter()
            .copied()
            .filter(|entry| !self.loads.is_unavailable(self.now, entry))
            .collect();
        if reached.is_empty() { usable } else { reached }
    }

    fn distance(&self, entry: &ServerEntry, from: &DataCentreName, cost: f64) -> f64 {
        if entry.data_centre == *from {
            0.0
        } else {
            cost
        }
    }

    /// A random part of a server's cost in this decision.
    fn spread(&self, entry: &ServerEntry, most: f64) -> f64 {
        most * drawn(&entry.name, self.salt)
    }

    fn failure_cost(&self, entry: &ServerEntry) -> f64 {
        FAILURE_WEIGHT * self.loads.failure_share(self.now, &entry.name)
    }
}

fn least(scored: impl Iterator<Item = (f64, ServerName)>) -> Option<ServerName> {
    scored
        .min_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, name)| name)
}

/// The server of a plain service with the fewest busy slots, nearby and healthy ones first.
pub fn choose_server(
    view: &PlacementView<'_>,
    service: &ServiceName,
    passed: &[ServerName],
) -> Option<ServerName> {
    let candidates = view.candidates(service, None, passed);
    least(candidates.into_iter().map(|entry| {
        let load = view.loads.load(&entry.name);
        let busy = f64::from(load.requests) / f64::from(entry.slots.max(1));
        let cost =
            busy + view.failure_cost(entry) + view.distance(entry, view.data_centre, DISTANCE_COST);
        (cost, entry.name.clone())
    }))
}

/// What a stream needs of a decode engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DecodeDemand {
    /// The stream's memory.
    pub shape: StreamShape,
    /// Part of an engine's memory that may be needed once the stream runs.
    pub memory_fraction: f64,
    /// Which engines are this entry's to fill for the moment.
    pub subset: EngineSubset,
}

/// Deals the engines out to the entries at which streams wait, so that room that has come is not taken by
/// all of them at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSubset {
    /// A random number of this entry, another one each turn.
    pub salt: u64,
    /// This entry's part of the waiting streams; 1 if none waits elsewhere.
    pub part: f64,
}

impl EngineSubset {
    /// All engines are this entry's.
    pub const ALL: Self = Self { salt: 0, part: 1.0 };

    /// The turn of an entry.
    pub fn new(salt: u64, own_waiting: u32, peers_waiting: u32) -> Self {
        let own = f64::from(own_waiting.max(1));
        Self {
            salt,
            part: own / (own + f64::from(peers_waiting)),
        }
    }

    fn has(&self, server: &ServerName) -> bool {
        self.part >= 1.0 || drawn(server, self.salt) < self.part
    }
}

/// A number from 0 to 1 that belongs to a server and a salt.
fn drawn(server: &ServerName, salt: u64) -> f64 {
    xxh3_64_with_seed(server.as_str().as_bytes(), salt) as f64 / u64::MAX as f64
}

/// The decode engine with the most free memory that has room for a stream.
pub fn choose_decode(
    view: &PlacementView<'_>,
    service: &ServiceName,
    facts: &EngineSpec,
    demand: DecodeDemand,
    passed: &[ServerName],
) -> Option<ServerName> {
    let candidates = view.candidates(service, Some(ServerStage::Decode), passed);
    let memory = facts.memory_tokens.max(1) as f64;
    least(candidates.into_iter().filter_map(|entry| {
        if view.loads.is_full(view.now, &entry.name) || !demand.subset.has(&entry.name) {
            return None;
        }
        let mut shapes = view.loads.streams(view.now, &entry.name);
        let is_alone = shapes.is_empty();
        if shapes.len() >= facts.slots as usize {
            return None;
        }
        shapes.push(demand.shape);
        let part = projected_peak(&mut shapes) as f64 / memory;
        if part > demand.memory_fraction && !is_alone {
            return None;
        }
        let cost = part
            + view.failure_cost(entry)
            + view.distance(entry, view.data_centre, DECODE_DISTANCE_COST)
            + view.spread(entry, SPREAD);
        Some((cost, entry.name.clone()))
    }))
}

/// The prefill engine that will have read a prompt first, near the decode engine.
pub fn choose_prefill(
    view: &PlacementView<'_>,
    service: &ServiceName,
    decode: &ServerName,
    passed: &[ServerName],
) -> Option<ServerName> {
    let near = view.directory.get(decode);
    let near = near.map_or(view.data_centre, |entry| &entry.data_centre);
    let candidates = view.candidates(service, Some(ServerStage::Prefill), passed);
    least(candidates.into_iter().map(|entry| {
        let load = view.loads.load(&entry.name);
        let cost = load.prompt_tokens as f64
            + view.loads.failure_share(view.now, &entry.name) * PREFILL_FAILURE_TOKENS
            + view.distance(entry, near, PREFILL_DISTANCE_TOKENS)
            + view.spread(entry, PREFILL_SPREAD_TOKENS);
        (cost, entry.name.clone())
    }))
}
