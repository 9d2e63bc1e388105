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
#[derive(Clone, Debug)]
pub struct ModelLane {
    /// Requests that wait for their first start.
    pub queue: FairQueue,
    /// The speed of the engines.
    pub rates: EngineRates,
    targets: BTreeMap<Duration, u32>,
    first_token: Duration,
    has_urgent: bool,
}

impl Default for ModelLane {
    fn default() -> Self {
        Self {
            queue: FairQueue::default(),
            rates: EngineRates::default(),
            targets: BTreeMap::new(),
            first_token: Duration::MAX,
            has_urgent: false,
        }
    }
}

impl ModelLane {
    /// Takes in the callers that may use the model.
    pub fn set_users<'a>(&mut self, users: impl Iterator<Item = &'a CallerEntry>) {
        self.first_token = Duration::MAX;
        self.has_urgent = false;
        for user in users {
            self.first_token = self.first_token.min(user.first_token);
            self.has_urgent |= user.rank == CallerRank::Urgent;
        }
    }

    /// The tightest first-token target of the callers.
    pub fn first_token(&self) -> Duration {
        self.first_token
    }

    /// Whether an urgent caller may use the model.
    pub fn has_urgent(&self) -> bool {
        self.has_urgent
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
