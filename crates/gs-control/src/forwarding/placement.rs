//! Chooses servers for plain requests, prefills and streams.

use std::time::Instant;

use gs_protocol::ids::{DataCentreName, ServerName, ServiceName};

use super::directory::{ServerDirectory, ServerEntry, ServerStage};
use super::loads::LoadBook;
use super::memory::{StreamShape, projected_peak};
use super::routes::EngineFacts;

/// How much a server's share of failures weighs against its share of busy slots.
const FAILURE_WEIGHT: f64 = 6.0;

/// What a server in another data centre costs, as a share of busy slots or memory.
const DISTANCE_COST: f64 = 0.34;

/// What a decode engine in another data centre costs, as a share of its memory.
const DECODE_DISTANCE_COST: f64 = 0.08;

/// What a prefill engine in another data centre costs, in prompt tokens that are read in the same time.
const PREFILL_DISTANCE_TOKENS: f64 = 1_500.0;

/// Prompt tokens that a failed prefill is as bad as.
const PREFILL_FAILURE_TOKENS: f64 = 40_000.0;

/// What is known when servers are chosen.
#[derive(Clone, Copy, Debug)]
pub struct PlacementView<'a> {
    /// The time.
    pub now: Instant,
    /// Where this entry stands.
    pub data_centre: &'a DataCentreName,
    /// The servers.
    pub directory: &'a ServerDirectory,
    /// Their work and health.
    pub loads: &'a LoadBook,
}

impl PlacementView<'_> {
    /// The usable servers; those that could not be reached only if there is no other.
    fn candidates<'v>(
        &'v self,
        service: &'v ServiceName,
        stage: Option<ServerStage>,
        passed: &[ServerName],
    ) -> Vec<&'v ServerEntry> {
        let usable = self.directory.usable(self.now, service, stage);
        let usable: Vec<&ServerEntry> = usable
            .filter(|entry| !passed.contains(&entry.name))
            .collect();
        let reached: Vec<&ServerEntry> = usable
            .iter()
            .copied()
            .filter(|entry| !self.loads.is_avoided(self.now, &entry.name))
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
    pub memory_part: f64,
}

/// The decode engine with the most free memory that has room for a stream.
pub fn choose_decode(
    view: &PlacementView<'_>,
    service: &ServiceName,
    facts: &EngineFacts,
    demand: DecodeDemand,
    passed: &[ServerName],
) -> Option<ServerName> {
    let candidates = view.candidates(service, Some(ServerStage::Decode), passed);
    let memory = facts.memory_tokens.max(1) as f64;
    least(candidates.into_iter().filter_map(|entry| {
        let mut shapes = view.loads.streams(view.now, &entry.name);
        let is_alone = shapes.is_empty();
        if shapes.len() >= facts.slots as usize {
            return None;
        }
        shapes.push(demand.shape);
        let part = projected_peak(&mut shapes) as f64 / memory;
        if part > demand.memory_part && !is_alone {
            return None;
        }
        let cost = part
            + view.failure_cost(entry)
            + view.distance(entry, view.data_centre, DECODE_DISTANCE_COST);
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
            + view.distance(entry, near, PREFILL_DISTANCE_TOKENS);
        (cost, entry.name.clone())
    }))
}
