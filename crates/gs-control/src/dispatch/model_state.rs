//! Queue and engine rates of one model.

use std::collections::BTreeMap;
use std::time::Duration;

use gs_document::document::{CallerEntry, CallerRank};
use gs_protocol::engine::{EngineRole, LoadReport};

use super::fair_queue::FairQueue;

/// Latest reported speed of a model's servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineRates {
    prefill_rate: u32,
    step_base_us: u32,
    step_stream_us: u32,
    max_streams: u32,
}

impl EngineRates {
    /// Updates the rates of the reporting server's role.
    pub fn apply_report(&mut self, report: &LoadReport) {
        match report.role {
            EngineRole::Prefill => self.prefill_rate = report.prefill_rate,
            EngineRole::Decode => {
                self.step_base_us = report.step_base_us;
                self.step_stream_us = report.step_stream_us;
                self.max_streams = report.max_streams;
            }
        }
    }

    /// Time to prefill a number of tokens; zero before the first report.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        let rate = u64::from(self.prefill_rate);
        let time_us = (u64::from(tokens) * 1_000_000).checked_div(rate);
        Duration::from_micros(time_us.unwrap_or(0))
    }

    /// Time of a decode step with one stream.
    pub fn min_step_time(&self) -> Duration {
        Duration::from_micros(u64::from(self.step_base_us) + u64::from(self.step_stream_us))
    }

    /// Engine time of a request in microseconds, at least 1: its prefill and its part of full
    /// decode batches.
    pub fn cost_us(&self, uncached_tokens: u32, max_tokens: u32) -> u64 {
        let streams = u64::from(self.max_streams.max(1));
        let step_us = u64::from(self.step_base_us) + u64::from(self.step_stream_us) * streams;
        let decode_us = u64::from(max_tokens) * step_us / streams;
        let prefill_us = self.prefill_time(uncached_tokens).as_micros() as u64;
        (prefill_us + decode_us).max(1)
    }
}

/// Waiting requests, engine rates and targets of one model.
#[derive(Clone, Debug, Default)]
pub struct ModelState {
    /// Requests that have not been started yet.
    pub queue: FairQueue,
    /// Latest reported speed of the model's servers.
    pub engine_rates: EngineRates,
    /// Number of waiting and running requests by between-token target.
    target_counts: BTreeMap<Duration, u32>,
    /// Tightest first-token target of the callers of each rank.
    first_token_targets: BTreeMap<CallerRank, Duration>,
    /// Prompt tokens of this entry's requests that are queued for or in prefill.
    prefill_tokens: u64,
    /// Urgent part of `prefill_tokens`.
    urgent_prefill_tokens: u64,
}

impl ModelState {
    /// Sets the callers that may use the model.
    pub fn set_callers<'a>(&mut self, callers: impl Iterator<Item = &'a CallerEntry>) {
        self.first_token_targets.clear();
        for caller in callers {
            let tightest = self
                .first_token_targets
                .entry(caller.rank)
                .or_insert(Duration::MAX);
            *tightest = (*tightest).min(caller.first_token);
        }
    }

    /// Tightest first-token target of all callers.
    pub fn tightest_first_token(&self) -> Duration {
        let tightest = self.first_token_targets.values().min();
        tightest.copied().unwrap_or(Duration::MAX)
    }

    /// Tightest first-token target of the callers of a rank.
    pub fn tightest_rank_first_token(&self, rank: CallerRank) -> Duration {
        let tightest = self.first_token_targets.get(&rank);
        tightest.copied().unwrap_or(Duration::MAX)
    }

    /// Adds the prompt tokens of a prefill that is sent to a server.
    pub fn add_prefill(&mut self, tokens: u32, urgent_tokens: u32) {
        self.prefill_tokens += u64::from(tokens);
        self.urgent_prefill_tokens += u64::from(urgent_tokens);
    }

    /// Removes the prompt tokens of a prefill that has ended.
    pub fn remove_prefill(&mut self, tokens: u32, urgent_tokens: u32) {
        self.prefill_tokens = self.prefill_tokens.saturating_sub(u64::from(tokens));
        self.urgent_prefill_tokens = self
            .urgent_prefill_tokens
            .saturating_sub(u64::from(urgent_tokens));
    }

    /// Urgent fraction of this entry's current prefill work for the model; 1 if there is none.
    pub fn urgent_fraction(&self) -> f64 {
        if self.prefill_tokens == 0 {
            return 1.0;
        }
        self.urgent_prefill_tokens as f64 / self.prefill_tokens as f64
    }

    /// Whether an urgent caller may use the model.
    pub fn has_urgent_callers(&self) -> bool {
        self.first_token_targets.contains_key(&CallerRank::Urgent)
    }

    /// Adds the between-token target of a waiting or running request.
    pub fn add_target(&mut self, between_tokens_target: Duration) {
        *self.target_counts.entry(between_tokens_target).or_default() += 1;
    }

    /// Removes the between-token target of a request.
    pub fn remove_target(&mut self, between_tokens_target: Duration) {
        if let Some(count) = self.target_counts.get_mut(&between_tokens_target) {
            *count -= 1;
            if *count == 0 {
                self.target_counts.remove(&between_tokens_target);
            }
        }
    }

    /// Longest decode step that takes at most `fraction` of the between-token target of every
    /// waiting and running request. Ignores targets that even a single stream cannot keep.
    pub fn max_step_time(&self, fraction: f64) -> Duration {
        let min_step_time = self.engine_rates.min_step_time();
        self.target_counts
            .keys()
            .map(|target| target.mul_f64(fraction))
            .find(|step| *step >= min_step_time)
            .unwrap_or(Duration::MAX)
    }
}
