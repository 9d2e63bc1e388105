//! Balances the engines of a service between the prefill and the decode stage.
//!
//! A fleet may have been split for other prompts than those that arrive, so that bursts fill the
//! memory of the decode engines while half of the prefill engines are idle. An engine is
//! unavailable for seconds while it changes its stage, so the split follows the mean need of the
//! streams, not the momentary load.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use gs_protocol::ids::{DataCentreName, ServerName};
use xxhash_rust::xxh3::xxh3_64;

use super::capacity::CapacityTracker;
use super::directory::{ListedServer, ServerStage};
use super::memory::StreamShape;

/// Minimum weight of the newest stream in the moving averages.
const NEWEST_WEIGHT: f64 = 0.05;

/// Number of streams, and of prefills, that must be recorded before there is an estimate.
const MIN_SAMPLES: u32 = 3;

/// Number of prefills from which a shortage of prefill engines is believed. Time in an engine's
/// queue makes few prefills look slower than the engine is.
const MIN_SHORTAGE_SAMPLES: usize = 16;

/// Number of latest prefills whose rates are kept.
const MAX_RATES: usize = 32;

/// Position of the rate that represents the engines among the kept ones, as a fraction of their
/// number from the highest. The highest rates are of prompts that the engine had partly cached, the
/// lower ones include time in its queue.
const RATE_RANK_FRACTION: f64 = 0.25;

/// Fraction of an engine's memory that streams fill under full load.
const USABLE_MEMORY_FRACTION: f64 = 0.9;

/// Capacity of the prefill engines, as a multiple of the mean need under full load. Prompts arrive
/// in bursts, and the result of a prefill expires soon, so prefills cannot be done ahead of time.
const PREFILL_RESERVE: f64 = 1.4;

/// Fraction of the target number of prefill engines below which decode engines change to the
/// prefill stage. A small shortage is tolerated, because decode engines can run prefills as well,
/// if slowly.
const MIN_PREFILL_FRACTION: f64 = 0.5;

/// Engine time that one stream of a service needs in each stage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageNeed {
    /// Seconds for which its prompt occupies a prefill engine.
    pub prefill_seconds: f64,
    /// Seconds for which it would fill the memory of a decode engine if it could use all of it.
    pub decode_seconds: f64,
    /// Number of prefills that the estimate is based on.
    pub prefill_samples: usize,
}

impl StageNeed {
    /// Returns the target capacity of the prefill engines in a fleet with the capacity of `engines`
    /// usual engines. Both stages keep at least the capacity of one engine.
    pub fn target_prefill_engines(self, engines: f64) -> f64 {
        let prefill = self.prefill_seconds * PREFILL_RESERVE;
        let fraction = prefill / (prefill + self.decode_seconds);
        let target = (engines * fraction).ceil();
        target.clamp(1.0, (engines - 1.0).max(1.0))
    }
}

/// Moving averages of what the streams of a service have needed, and the latest prefill rates.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StageEstimate {
    mean_prompt_tokens: f64,
    /// Tokens that a stream holds on average over its duration.
    mean_held_tokens: f64,
    streams: u32,
    /// Rates of the latest prefills, in tokens per second, oldest first.
    prefill_rates: VecDeque<f64>,
}

impl StageEstimate {
    /// Records a requested stream.
    pub fn record_stream(&mut self, shape: StreamShape) {
        self.streams = self.streams.saturating_add(1);
        let weight = NEWEST_WEIGHT.max(1.0 / f64::from(self.streams));
        let held = f64::from(shape.held_tokens) + f64::from(shape.remaining_tokens) / 2.0;
        self.mean_prompt_tokens +=
            weight * (f64::from(shape.held_tokens) - self.mean_prompt_tokens);
        self.mean_held_tokens += weight * (held - self.mean_held_tokens);
    }

    /// Records how long an engine took for the prefill of `tokens` tokens, including its time in
    /// the engine's queue.
    pub fn record_prefill(&mut self, tokens: u64, duration: Duration) {
        let rate = tokens as f64 / duration.as_secs_f64().max(1e-6);
        self.prefill_rates.push_back(rate);
        if self.prefill_rates.len() > MAX_RATES {
            self.prefill_rates.pop_front();
        }
    }

    /// Returns the rate at which an engine processes a prompt that it has neither cached nor queued,
    /// in tokens per second. A single outlier does not change it.
    fn prefill_rate(&self) -> Option<f64> {
        let mut rates: Vec<f64> = self.prefill_rates.iter().copied().collect();
        rates.sort_by(|left, right| right.total_cmp(left));
        let rank = (rates.len() as f64 * RATE_RANK_FRACTION) as usize;
        rates.get(rank.max(1)).copied()
    }

    /// Estimates the need of one stream, once enough streams and prefills are recorded.
    /// `memory_tokens` is the memory of one decode engine, and `stream_seconds` the mean duration
    /// of a stream.
    pub fn need(&self, memory_tokens: u64, stream_seconds: f64) -> Option<StageNeed> {
        let prefill_samples = self.prefill_rates.len();
        if self.streams < MIN_SAMPLES || prefill_samples < MIN_SAMPLES as usize {
            return None;
        }
        let memory = memory_tokens.max(1) as f64 * USABLE_MEMORY_FRACTION;
        Some(StageNeed {
            prefill_seconds: self.mean_prompt_tokens / self.prefill_rate()?,
            decode_seconds: stream_seconds * self.mean_held_tokens / memory,
            prefill_samples,
        })
    }
}

/// A change of one engine to another stage.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StageChange {
    /// The engine that changes.
    pub server: ServerName,
    /// Its new stage.
    pub stage: ServerStage,
}

/// Returns the next stage change if the split of a service's engines differs from its target. Engines
/// count with their learned speeds.
///
/// `settled` are the engines that are not changing, and `can_change` returns whether one of them
/// may be ordered to. `changing` holds the engines that are changing, with their new stages.
pub fn next_stage_change(
    need: StageNeed,
    settled: &[&ListedServer],
    can_change: impl Fn(&ListedServer) -> bool,
    changing: &BTreeMap<ServerName, ServerStage>,
    capacity: &CapacityTracker,
) -> Option<StageChange> {
    let capacity_in = |stage| -> f64 {
        let settled = settled.iter().filter(|engine| engine.stage == Some(stage));
        let changing = changing.iter().filter(|(_, other)| **other == stage);
        let names = settled.map(|engine| &engine.name);
        let names = names.chain(changing.map(|(name, _)| name));
        names.map(|name| capacity.named_speed(name)).sum()
    };
    let prefills = capacity_in(ServerStage::Prefill);
    let decodes = capacity_in(ServerStage::Decode);
    let target = need.target_prefill_engines(prefills + decodes);
    let is_short =
        prefills < target * MIN_PREFILL_FRACTION && need.prefill_samples >= MIN_SHORTAGE_SAMPLES;
    let (from, stage) = match is_short {
        true => (ServerStage::Decode, ServerStage::Prefill),
        false => (ServerStage::Prefill, ServerStage::Decode),
    };
    let engine = engine_to_change(settled, from, can_change)?;
    // The stage that an engine leaves keeps its target.
    let is_changed = is_short || prefills - capacity.named_speed(&engine.name) >= target;
    is_changed.then(|| StageChange {
        server: engine.name.clone(),
        stage,
    })
}

/// Returns the engine of a stage that changes first; `None` if none may change.
fn engine_to_change<'a>(
    settled: &[&'a ListedServer],
    from: ServerStage,
    can_change: impl Fn(&ListedServer) -> bool,
) -> Option<&'a ListedServer> {
    let engines = settled.iter().copied();
    let engines: Vec<&ListedServer> = engines
        .filter(|engine| engine.stage == Some(from))
        .collect();
    let mut data_centre_counts: BTreeMap<&DataCentreName, usize> = BTreeMap::new();
    for engine in &engines {
        *data_centre_counts.entry(&engine.data_centre).or_default() += 1;
    }
    // Taken from the data centre with the most engines of the stage, so that both stages remain
    // spread over the data centres. The hash makes all entries choose the same engine.
    let preference = |engine: &&ListedServer| {
        let count = data_centre_counts.get(&engine.data_centre).copied();
        let name_hash = xxh3_64(engine.name.as_str().as_bytes());
        (count, name_hash, engine.name.clone())
    };
    let changeable = engines.iter().copied();
    changeable
        .filter(|engine| can_change(engine))
        .max_by_key(preference)
}
