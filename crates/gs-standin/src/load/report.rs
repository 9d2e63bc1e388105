//! The measures of a run.

use std::collections::BTreeMap;

use serde::Serialize;

use super::engines::{PrefillReport, RunCheck};
use super::mix::{ClassMix, ServiceMix};
use super::recorder::{ClassRecord, ServiceRecord, TimeRecord};

/// Quantiles in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct TimeQuantiles {
    /// The median.
    pub p50_ms: f64,
    /// 95 in 100.
    pub p95_ms: f64,
    /// 99 in 100.
    pub p99_ms: f64,
}

/// Seconds of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunSpans {
    /// All of it.
    pub whole_s: f64,
    /// The part in which a class floods.
    pub flood_s: f64,
}

/// The measures of one class during floods.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct FloodReport {
    /// Requests.
    pub sent: u64,
    /// Whole answers within both targets.
    pub good: u64,
    /// Whole answers within both targets, a second of flood.
    pub goodput_per_s: f64,
}

/// The measures of one class.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ClassReport {
    /// The class.
    pub name: String,
    /// Its rank.
    pub rank: String,
    /// Requests.
    pub sent: u64,
    /// Requests by how they ended.
    pub ends: BTreeMap<&'static str, u64>,
    /// Requests that had not ended when the run did.
    pub unfinished: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<String, u64>,
    /// Whole answers within both targets.
    pub good: u64,
    /// Whole answers within both targets, a second.
    pub goodput_per_s: f64,
    /// What came of the requests that were sent while any class flooded.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub flood: Option<FloodReport>,
    /// From arrival to first token.
    pub first_token: TimeQuantiles,
    /// Between tokens.
    pub between_tokens: TimeQuantiles,
}

/// The measures of one service.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ServiceReport {
    /// The service.
    pub name: String,
    /// Calls.
    pub sent: u64,
    /// Calls that were answered.
    pub done: u64,
    /// Calls that were answered within the target.
    pub in_time: u64,
    /// Calls that got another call's answer.
    pub wrong: u64,
    /// Tries after the first one.
    pub retries: u64,
    /// Calls that did not run, by reason.
    pub not_run: BTreeMap<String, u64>,
    /// Calls that may have run, by reason.
    pub unknown: BTreeMap<String, u64>,
    /// From arrival to answer.
    pub answer: TimeQuantiles,
}

/// The measures of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct LoadReport {
    /// Seconds of arrivals.
    pub seconds: f64,
    /// The seed.
    pub seed: u64,
    /// By class.
    pub classes: Vec<ClassReport>,
    /// By service.
    pub services: Vec<ServiceReport>,
    /// Prefill, if engines were asked.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prefill: Option<PrefillReport>,
    /// What ran, if services were asked.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub runs: Option<RunCheck>,
}

impl TimeQuantiles {
    /// The quantiles of recorded times.
    pub fn of(record: &TimeRecord) -> Self {
        Self {
            p50_ms: record.quantile_ms(0.5),
            p95_ms: record.quantile_ms(0.95),
            p99_ms: record.quantile_ms(0.99),
        }
    }
}

impl ClassReport {
    /// The measures of a class over a run.
    pub fn new(class: &ClassMix, record: &ClassRecord, spans: RunSpans) -> Self {
        let flood = FloodReport {
            sent: record.flood_sent,
            good: record.flood_good,
            goodput_per_s: record.flood_good as f64 / spans.flood_s,
        };
        Self {
            name: class.name.clone(),
            rank: class.rank.clone(),
            sent: record.sent,
            ends: record.ends.clone(),
            unfinished: record.sent - record.ends.values().sum::<u64>(),
            refused: record.refused.clone(),
            good: record.good,
            goodput_per_s: record.good as f64 / spans.whole_s,
            flood: (spans.flood_s > 0.0).then_some(flood),
            first_token: TimeQuantiles::of(&record.first),
            between_tokens: TimeQuantiles::of(&record.between),
        }
    }

    /// Requests that ended in a given way.
    pub fn ended(&self, label: &str) -> u64 {
        self.ends.get(label).copied().unwrap_or(0)
    }
}

impl ServiceReport {
    /// The measures of a service.
    pub fn new(service: &ServiceMix, record: &ServiceRecord) -> Self {
        Self {
            name: service.name.clone(),
            sent: record.sent,
            done: record.done,
            in_time: record.in_time,
            wrong: record.wrong,
            retries: record.retries,
            not_run: record.not_run.clone(),
            unknown: record.unknown.clone(),
            answer: TimeQuantiles::of(&record.answer),
        }
    }
}
