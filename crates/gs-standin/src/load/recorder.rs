//! Counts and latency histograms of classes and services, recorded by each thread and merged at the
//! end.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use uuid::Uuid;

use super::exchange::{CallEnd, CallOutcome};
use super::mix::{ClassMix, ServiceMix};
use super::service::{ServiceEnd, ServiceOutcome};

/// The longest recorded time, in microseconds; longer times are recorded as this.
const MAX_RECORDED_US: u64 = 600_000_000;

/// Significant decimal digits of recorded times.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Share of a stream's gaps that must be within the target for the answer to be good.
const GOOD_GAP_SHARE: f64 = 0.95;

/// A histogram of times in microseconds.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    histogram: Histogram<u64>,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(MAX_RECORDED_US, SIGNIFICANT_DIGITS);
        Self {
            // The bounds are constants within the range that the histogram supports.
            histogram: histogram.unwrap_or_else(|_| unreachable!("constant bounds are valid")),
        }
    }
}

impl LatencyHistogram {
    /// Adds a time; times above `MAX_RECORDED_US` are recorded as that.
    pub fn add(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.histogram.saturating_record(micros);
    }

    /// Adds the times of another histogram.
    pub fn merge(&mut self, other: &Self) {
        // Adding fails only for different bounds; both have the same.
        let _ = self.histogram.add(&other.histogram);
    }

    /// The quantile of the recorded times for a share from 0 to 1, in milliseconds.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        self.histogram.value_at_quantile(share) as f64 / 1e3
    }
}

/// Statistics of the completions of one class.
#[derive(Clone, Debug, Default)]
pub struct ClassStats {
    pub sent: u64,
    pub good: u64,
    pub flood_sent: u64,
    pub flood_good: u64,
    pub ends: BTreeMap<&'static str, u64>,
    pub refused: BTreeMap<String, u64>,
    pub first_token: LatencyHistogram,
    pub between_tokens: LatencyHistogram,
}

impl ClassStats {
    /// Counts a call that is sent.
    pub fn begin(&mut self, in_flood: bool) {
        self.sent += 1;
        self.flood_sent += u64::from(in_flood);
    }

    /// Adds the outcome of a call.
    pub fn add(&mut self, class: &ClassMix, outcome: &CallOutcome, in_flood: bool) {
        *self.ends.entry(outcome.end.label()).or_default() += 1;
        if let CallEnd::Refused(reason) = &outcome.end {
            *self.refused.entry(reason.clone()).or_default() += 1;
        }
        if let Some(first_token) = outcome.first_token {
            self.first_token.add(first_token);
        }
        for &gap in &outcome.gaps {
            self.between_tokens.add(gap);
        }
        let good = u64::from(is_good(class, outcome));
        self.good += good;
        self.flood_good += good * u64::from(in_flood);
    }

    /// Adds the statistics of another thread.
    pub fn merge(&mut self, other: &Self) {
        self.sent += other.sent;
        self.good += other.good;
        self.flood_sent += other.flood_sent;
        self.flood_good += other.flood_good;
        merge_counts(&mut self.ends, &other.ends);
        merge_counts(&mut self.refused, &other.refused);
        self.first_token.merge(&other.first_token);
        self.between_tokens.merge(&other.between_tokens);
    }
}

/// Statistics of the calls of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceStats {
    pub sent: u64,
    pub done: u64,
    pub in_time: u64,
    pub wrong: u64,
    pub retries: u64,
    pub not_run: BTreeMap<String, u64>,
    pub unknown: BTreeMap<String, u64>,
    pub answer_time: LatencyHistogram,
    pub keys: Vec<Uuid>,
    pub not_run_keys: Vec<Uuid>,
}

impl ServiceStats {
    /// Adds the outcome of a call.
    pub fn add(&mut self, service: &ServiceMix, outcome: &ServiceOutcome) {
        self.retries += u64::from(outcome.retries);
        self.keys.extend(outcome.key);
        match &outcome.end {
            ServiceEnd::Done => {
                self.done += 1;
                let target = Duration::from_millis(service.answer_ms);
                self.in_time += u64::from(outcome.time <= target);
                self.answer_time.add(outcome.time);
            }
            ServiceEnd::Wrong => self.wrong += 1,
            ServiceEnd::NotRun(reason) => {
                *self.not_run.entry(reason.clone()).or_default() += 1;
                self.not_run_keys.extend(outcome.key);
            }
            ServiceEnd::Unknown(reason) => {
                *self.unknown.entry(reason.clone()).or_default() += 1;
            }
        }
    }

    /// Adds the statistics of another thread.
    pub fn merge(&mut self, other: &Self) {
        self.sent += other.sent;
        self.done += other.done;
        self.in_time += other.in_time;
        self.wrong += other.wrong;
        self.retries += other.retries;
        merge_counts(&mut self.not_run, &other.not_run);
        merge_counts(&mut self.unknown, &other.unknown);
        self.answer_time.merge(&other.answer_time);
        self.keys.extend(&other.keys);
        self.not_run_keys.extend(&other.not_run_keys);
    }
}

/// Whether an answer is complete and within both targets of its class.
fn is_good(class: &ClassMix, outcome: &CallOutcome) -> bool {
    let first_target = Duration::from_millis(class.first_token_ms);
    let gap_target = Duration::from_millis(class.between_tokens_ms);
    let in_time = outcome.gaps.iter().filter(|gap| **gap <= gap_target);
    let needed = outcome.gaps.len() as f64 * GOOD_GAP_SHARE;
    outcome.end == CallEnd::Complete
        && outcome
            .first_token
            .is_some_and(|first_token| first_token <= first_target)
        && in_time.count() as f64 >= needed
}

fn merge_counts<K: Clone + Ord>(counts: &mut BTreeMap<K, u64>, others: &BTreeMap<K, u64>) {
    for (name, count) in others {
        *counts.entry(name.clone()).or_default() += count;
    }
}
