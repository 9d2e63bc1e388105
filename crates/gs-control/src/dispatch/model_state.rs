//! The waiting requests of one model and what its engines are like.

use std::collections::BTreeMap;
use std::time::Duration;

use gs_document::document::{CallerEntry, CallerRank};
use gs_protocol::engine::{EngineRole, LoadReport};

use super::fair_queue::FairQueue;

/// The speed of a model's engines as last reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineRates {
    prefill_rate: u32,
    step_base_us: u32,
    step_stream_us: u32,
    max_streams: u32,
}

impl EngineRates {
    /// Takes in a load report.
    pub fn refresh(&mut self, report: &LoadReport) {
        match report.role {
            EngineRole::Prefill => self.prefill_rate = report.prefill_rate,
            EngineRole::Decode => {
                self.step_base_us = report.step_base_us;
                self.step_stream_us = report.step_stream_us;
                self.max_streams = report.max_streams;
            }
        }
    }

    /// Time to prefill a number of tokens; zero if no report was seen.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        let rate = u64::from(self.prefill_rate);
        let time_us = (u64::from(tokens) * 1_000_000).checked_div(rate);
        Duration::from_micros(time_us.unwrap_or(0))
    }

    /// Time of a decode step with one stream.
    pub fn least_step(&self) -> Duration {
        Duration::from_micros(u64::from(self.step_base_us) + u64::from(self.step_stream_us))
    }

    /// Engine time of a request: its prefill, and its part of full decode batches. At least 1 µs.
    pub fn cost_us(&self, uncached_tokens: u32, max_tokens: u32) -> u64 {
        let streams = u64::from(self.max_streams.max(1));
        let step_us = u64::from(self.step_base_us) + u64::from(self.step_stream_us) * streams;
        let decode_us = u64::from(max_tokens) * step_us / streams;
        let prefill_us = self.prefill_time(uncached_tokens).as_micros() as u64;
        (prefill_us + decode_us).max(1)
    }
}

/// One model's waiting requests.
#[derive(Clone, Debug, Default)]
pub struct ModelLane {
    /// Requests that wait for their first start.
    pub queue: FairQueue,
    /// The speed of the engines.
    pub rates: EngineRates,
    targets: BTreeMap<Duration, u32>,
    first_tokens: BTreeMap<CallerRank, Duration>,
    prefill_tokens: u64,
    urgent_tokens: u64,
}

impl ModelLane {
    /// Takes in the callers that may use the model.
    pub fn set_users<'a>(&mut self, users: impl Iterator<Item = &'a CallerEntry>) {
        self.first_tokens.clear();
        for user in users {
            let tightest = self.first_tokens.entry(user.rank).or_insert(Duration::MAX);
            *tightest = (*tightest).min(user.first_token);
        }
    }

    /// The tightest first-token target of the callers.
    pub fn first_token(&self) -> Duration {
        let tightest = self.first_tokens.values().min();
        tightest.copied().unwrap_or(Duration::MAX)
    }

    /// The tightest first-token target of the callers of a rank.
    pub fn rank_first_token(&self, rank: CallerRank) -> Duration {
        let tightest = self.first_tokens.get(&rank);
        tightest.copied().unwrap_or(Duration::MAX)
    }

    /// Counts a prefill that begins.
    pub fn add_prefill(&mut self, tokens: u32, urgent_tokens: u32) {
        self.prefill_tokens += u64::from(tokens);
        self.urgent_tokens += u64::from(urgent_tokens);
    }

    /// Stops counting a prefill.
    pub fn remove_prefill(&mut self, tokens: u32, urgent_tokens: u32) {
        self.prefill_tokens = self.prefill_tokens.saturating_sub(u64::from(tokens));
        self.urgent_tokens = self.urgent_tokens.saturating_sub(u64::from(urgent_tokens));
    }

    /// The part of urgent work in what is being prefilled.
    pub fn urgent_part(&self) -> f64 {
        if self.prefill_tokens == 0 {
            return 1.0;
        }
        self.urgent_tokens as f64 / self.prefill_tokens as f64
    }

    /// Whether an urgent caller may use the model.
    pub fn has_urgent(&self) -> bool {
        self.first_tokens.contains_key(&CallerRank::Urgent)
    }

    /// Counts a request that waits or runs.
    pub fn add_target(&mut self, between_tokens: Duration) {
        *self.targets.entry(between_tokens).or_default() += 1;
    }

    /// Stops counting a request.
    pub fn remove_target(&mut self, between_tokens: Duration) {
        if let Some(count) = self.targets.get_mut(&between_tokens) {
            *count -= 1;
            if *count == 0 {
                self.targets.remove(&between_tokens);
            }
        }
    }

    /// The longest decode step that keeps every present request's target which can be kept at all.
    pub fn longest_step(&self, margin: f64) -> Duration {
        let least_step = self.rates.least_step();
        self.targets
            .keys()
            .map(|target| target.mul_f64(margin))
            .find(|step| *step >= least_step)
            .unwrap_or(Duration::MAX)
    }
}
