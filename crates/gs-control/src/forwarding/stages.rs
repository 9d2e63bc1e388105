//! How many engines of a service read prompts and how many generate, and which one changes.
//!
//! The load it answers: a fleet that was split for other prompts than those that come, so that bursts fill
//! the memory of the decode engines while half of the prefill engines idle. An engine that changes is away
//! for seconds, so the split follows the mean need of streams, not the load of the moment.

use std::collections::BTreeMap;
use std::time::Duration;

use gs_protocol::ids::{DataCentreName, ServerName};
use xxhash_rust::xxh3::xxh3_64;

use super::directory::{ServerEntry, ServerStage};
use super::memory::StreamShape;

/// Weight of the newest stream in the means.
const NEWEST_WEIGHT: f64 = 0.05;

/// Streams and prefills that must have been seen before the means count.
const WARM_STREAMS: u32 = 3;

/// What is left of the fastest reading seen when a slower one comes, so that a mistake is forgotten.
const RATE_MEMORY: f64 = 0.98;

/// Part of an engine's memory that streams fill on a full day.
const USABLE_MEMORY: f64 = 0.9;

/// How many times the prompts of a full fleet the prefill engines must be able to read, as prompts come in
/// clumps and a result does not live long.
const PREFILL_RESERVE: f64 = 1.4;

/// Part of the wanted prefill engines below which decode engines are made to read prompts: they do so
/// themselves as well, if slowly.
const PREFILL_SHORTAGE: f64 = 0.5;

/// What one stream needs of a service's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageNeed {
    /// Time that a prefill engine reads its prompt, in seconds.
    pub prefill_seconds: f64,
    /// Time that it would fill a decode engine alone, in seconds.
    pub decode_seconds: f64,
}

impl StageNeed {
    /// Prefill engines of a fleet of `engines`; both stages keep one.
    pub fn wanted_prefills(self, engines: usize) -> usize {
        let prefill = self.prefill_seconds * PREFILL_RESERVE;
        let part = prefill / (prefill + self.decode_seconds);
        let wanted = (engines as f64 * part).ceil() as usize;
        wanted.clamp(1, engines.saturating_sub(1).max(1))
    }
}

/// What streams of a service have needed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StageEstimate {
    prompt_tokens: f64,
    mean_held_tokens: f64,
    streams: u32,
    tokens_per_second: f64,
    prefills: u32,
}

impl StageEstimate {
    /// Takes in a stream that was asked for.
    pub fn record_stream(&mut self, shape: StreamShape) {
        self.streams = self.streams.saturating_add(1);
        let weight = NEWEST_WEIGHT.max(1.0 / f64::from(self.streams));
        let held = f64::from(shape.held_tokens) + f64::from(shape.remaining_tokens) / 2.0;
        self.prompt_tokens += weight * (f64::from(shape.held_tokens) - self.prompt_tokens);
        self.mean_held_tokens += weight * (held - self.mean_held_tokens);
    }

    /// Takes in how long an engine has taken to read a prompt, with what it had to do before.
    pub fn record_prefill(&mut self, tokens: u64, took: Duration) {
        self.prefills = self.prefills.saturating_add(1);
        let rate = tokens as f64 / took.as_secs_f64().max(1e-6);
        self.tokens_per_second = rate.max(self.tokens_per_second * RATE_MEMORY);
    }

    /// What a stream needs, once enough of them were seen.
    pub fn need(&self, memory_tokens: u64, stream_seconds: f64) -> Option<StageNeed> {
        if self.streams < WARM_STREAMS || self.prefills < WARM_STREAMS {
            return None;
        }
        let memory = memory_tokens.max(1) as f64 * USABLE_MEMORY;
        Some(StageNeed {
            prefill_seconds: self.prompt_tokens / self.tokens_per_second,
            decode_seconds: stream_seconds * self.mean_held_tokens / memory,
        })
    }
}

/// An engine that is to change its stage.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StageChange {
    /// The engine.
    pub server: ServerName,
    /// What it is to do.
    pub stage: ServerStage,
}

/// The next engine of a service to change, if the split is off. `movable` are the engines that may be asked,
/// `moving` those that are changing, by the stage that they will have; an engine is in one of the three.
pub fn next_stage_change(
    need: StageNeed,
    settled: &[&ServerEntry],
    movable: impl Fn(&ServerEntry) -> bool,
    moving: &BTreeMap<ServerName, ServerStage>,
) -> Option<StageChange> {
    let of_stage = |stage| {
        let settled = settled.iter().copied();
        settled.filter(move |entry: &&ServerEntry| entry.stage == Some(stage))
    };
    let coming = |stage| moving.values().filter(|other| **other == stage).count();
    let prefills = of_stage(ServerStage::Prefill).count() + coming(ServerStage::Prefill);
    let decodes = of_stage(ServerStage::Decode).count() + coming(ServerStage::Decode);
    let wanted = need.wanted_prefills(prefills + decodes);
    let (from, stage) = if prefills > wanted {
        (ServerStage::Prefill, ServerStage::Decode)
    } else if (prefills as f64) < wanted as f64 * PREFILL_SHORTAGE {
        (ServerStage::Decode, ServerStage::Prefill)
    } else {
        return None;
    };
    let mut in_data_centre: BTreeMap<&DataCentreName, usize> = BTreeMap::new();
    for entry in of_stage(from) {
        *in_data_centre.entry(&entry.data_centre).or_default() += 1;
    }
    // Where most of them are, so that both stages stay spread; all entries choose the same one.
    let order = |entry: &&ServerEntry| {
        let count = in_data_centre.get(&entry.data_centre).copied();
        let place = xxh3_64(entry.name.as_str().as_bytes());
        (count, place, entry.name.clone())
    };
    let chosen = of_stage(from)
        .filter(|entry| movable(entry))
        .max_by_key(order);
    chosen.map(|entry| StageChange {
        server: entry.name.clone(),
        stage,
    })
}
