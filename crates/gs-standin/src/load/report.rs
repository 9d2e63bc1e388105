//! Reports of a load run.

use std::collections::BTreeMap;

use serde::Serialize;

use super::engines::{PrefillReport, RunCheck};
use super::mix::{ClassMix, ServiceMix};
use super::recorder::{ClassStats, LatencyHistogram, ServiceStats};

/// Latency quantiles in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct TimeQuantiles {
    /// The median.
    pub p50_ms: f64,
    /// The 95th percentile.
    pub p95_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
}

/// Durations of a run, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunDurations {
    /// The whole run.
    pub total_s: f64,
    /// The time in which at least one class or service floods.
    pub flood_s: f64,
}

/// The results of one class during floods.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct FloodReport {
    /// Requests that were sent.
    pub sent: u64,
    /// Complete answers within both targets.
    pub good: u64,
    /// Complete answers within both targets, per second of flood.
    pub goodput_per_s: f64,
}

/// The results of one class.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ClassReport {
    /// The name of the class.
    pub name: String,
    /// The rank of the class.
    pub rank: String,
    /// Requests that were sent.
    pub sent: u64,
    /// Requests by the label of their end.
    pub ends: BTreeMap<&'static str, u64>,
    /// Requests that had not ended at the end of the run.
    pub unfinished: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<String, u64>,
    /// Complete answers within both targets.
    pub good: u64,
    /// Complete answers within both targets, per second.
    pub goodput_per_s: f64,
    /// The results of the requests that were sent while any class or service flooded.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub flood: Option<FloodReport>,
    /// Time from the planned arrival to the first token.
    pub first_token: TimeQuantiles,
    /// Time between tokens.
    pub between_tokens: TimeQuantiles,
}

/// The results of one service.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ServiceReport {
    /// The name of the service.
    pub name: String,
    /// Calls that were sent.
    pub sent: u64,
    /// Calls with the expected answer.
    pub done: u64,
    /// Calls with the expected answer within the target.
    pub in_time: u64,
    /// Calls with the answer of another call.
    pub wrong: u64,
    /// Tries after the first one.
    pub retries: u64,
    /// Calls that did not run, by reason.
    pub not_run: BTreeMap<String, u64>,
    /// Calls that may have run, by reason.
    pub unknown: BTreeMap<String, u64>,
    /// Time from the planned arrival to the answer.
    pub answer: TimeQuantiles,
}

/// The results of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct LoadReport {
    /// Seconds over which requests arrived.
    pub seconds: f64,
    /// The seed of the run.
    pub seed: u64,
    /// Results by class.
    pub classes: Vec<ClassReport>,
    /// Results by service.
    pub services: Vec<ServiceReport>,
    /// Prefill work, if engines are given.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prefill: Option<PrefillReport>,
    /// Runs of services, if services are given.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub runs: Option<RunCheck>,
}

impl TimeQuantiles {
    /// Computes the quantiles of a histogram.
    pub fn of(histogram: &LatencyHistogram) -> Self {
        Self {
            p50_ms: histogram.quantile_ms(0.5),
            p95_ms: histogram.quantile_ms(0.95),
            p99_ms: histogram.quantile_ms(0.99),
        }
    }
}

impl ClassReport {
    /// Creates the report of a class.
    pub fn new(class: &ClassMix, stats: &ClassStats, durations: RunDurations) -> Self {
        let flood = FloodReport {
            sent: stats.flood_sent,
            good: stats.flood_good,
            goodput_per_s: stats.flood_good as f64 / durations.flood_s,
        };
        Self {
            name: class.name.clone(),
            rank: class.rank.clone(),
            sent: stats.sent,
            ends: stats.ends.clone(),
            unfinished: stats.sent - stats.ends.values().sum::<u64>(),
            refused: stats.refused.clone(),
            good: stats.good,
            goodput_per_s: stats.good as f64 / durations.total_s,
            flood: (durations.flood_s > 0.0).then_some(flood),
            first_token: TimeQuantiles::of(&stats.first_token),
            between_tokens: TimeQuantiles::of(&stats.between_tokens),
        }
    }

    /// The number of requests whose end has a given label.
    pub fn ended(&self, label: &str) -> u64 {
        self.ends.get(label).copied().unwrap_or(0)
    }
}

impl ServiceReport {
    /// Creates the report of a service.
    pub fn new(service: &ServiceMix, stats: &ServiceStats) -> Self {
        Self {
            name: service.name.clone(),
            sent: stats.sent,
            done: stats.done,
            in_time: stats.in_time,
            wrong: stats.wrong,
            retries: stats.retries,
            not_run: stats.not_run.clone(),
            unknown: stats.unknown.clone(),
            answer: TimeQuantiles::of(&stats.answer_time),
        }
    }
}
