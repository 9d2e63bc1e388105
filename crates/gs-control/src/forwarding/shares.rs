//! What each workspace was served recently, in comparison with what it is entitled to.
//!
//! A workspace's share is its recent cost, decayed, divided by the rate of its quota. Shares of workspaces
//! of any size and cost unit can therefore be compared.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::workspaces::{CostUnit, WorkspaceSpec};

/// Half-life of the recent cost of a workspace. Several times the time that a stream runs, so that a
/// workspace that has just been served waits for the others, and short enough to forget a burst.
const COST_HALF_LIFE: Duration = Duration::from_secs(5);

/// Weight of the newest request in the moving averages of costs.
const NEWEST_WEIGHT: f64 = 0.05;

/// Value below which a decayed sum is forgotten.
const NEGLIGIBLE: f64 = 1e-3;

/// A sum that halves in each half-life.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayedSum {
    value: f64,
    updated_at: Instant,
    half_life: Duration,
}

impl DecayedSum {
    pub fn new(now: Instant, half_life: Duration) -> Self {
        Self {
            value: 0.0,
            updated_at: now,
            half_life,
        }
    }

    pub fn add(&mut self, now: Instant, amount: f64) {
        self.value = self.value(now) + amount;
        self.updated_at = now;
    }

    pub fn value(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.value * 0.5_f64.powf(age.as_secs_f64() / self.half_life.as_secs_f64())
    }

    /// Returns the rate per second that keeps the sum as it is.
    pub fn rate(&self, now: Instant) -> f64 {
        self.value(now) * std::f64::consts::LN_2 / self.half_life.as_secs_f64()
    }

    pub fn is_negligible(&self, now: Instant) -> bool {
        self.value(now) < NEGLIGIBLE
    }
}

/// The recent cost of each workspace at this entry.
#[derive(Clone, Debug, Default)]
pub struct RecentUsage {
    costs: BTreeMap<String, DecayedSum>,
}

impl RecentUsage {
    /// Adds the cost of a request that is sent to a server.
    pub fn record(&mut self, now: Instant, workspace: &str, cost: f64) {
        if !self.costs.contains_key(workspace) {
            self.costs.retain(|_, sum| !sum.is_negligible(now));
            let empty = DecayedSum::new(now, COST_HALF_LIFE);
            self.costs.insert(workspace.to_owned(), empty);
        }
        if let Some(sum) = self.costs.get_mut(workspace) {
            sum.add(now, cost);
        }
    }

    /// Returns the decayed cost of a workspace.
    pub fn recent_cost(&self, now: Instant, workspace: &str) -> f64 {
        self.costs.get(workspace).map_or(0.0, |sum| sum.value(now))
    }
}

/// Mean cost of the requests of one cost unit.
#[derive(Clone, Copy, Debug, Default)]
struct MeanCost(Option<f64>);

impl MeanCost {
    fn record(&mut self, cost: f64) {
        let mean = self.0.unwrap_or(cost);
        self.0 = Some(mean + NEWEST_WEIGHT * (cost - mean));
    }
}

/// Converts costs into shares.
///
/// A workspace without a quota is not entitled to any particular rate. A mean request of it raises its
/// share as much as a mean request of the workspaces with quotas raises theirs.
#[derive(Clone, Debug, Default)]
pub struct ShareScale {
    requests: MeanCost,
    tokens: MeanCost,
    /// Mean increase of a share by one request of a workspace with a quota.
    increment: MeanCost,
}

impl ShareScale {
    /// Records the cost of a request. `workspace` is none on public routes, whose requests cost 1.
    pub fn record(&mut self, workspace: Option<&WorkspaceSpec>, cost: f64) {
        match workspace.map(|workspace| workspace.unit) {
            Some(CostUnit::Tokens { .. }) => self.tokens.record(cost),
            Some(CostUnit::Requests) | None => self.requests.record(cost),
        }
        if let Some(rate) = quota_rate(workspace) {
            self.increment.record(cost / rate);
        }
    }

    /// Returns the share that a cost of 1 corresponds to.
    pub fn factor(&self, workspace: Option<&WorkspaceSpec>) -> f64 {
        if let Some(rate) = quota_rate(workspace) {
            return 1.0 / rate;
        }
        let mean = match workspace.map(|workspace| workspace.unit) {
            Some(CostUnit::Tokens { .. }) => self.tokens,
            Some(CostUnit::Requests) | None => self.requests,
        };
        let mean_cost = mean.0.filter(|cost| *cost > 0.0).unwrap_or(1.0);
        self.increment.0.unwrap_or(1.0) / mean_cost
    }
}

/// Returns the rate of a workspace's quota, if it has one.
fn quota_rate(workspace: Option<&WorkspaceSpec>) -> Option<f64> {
    let quota = workspace?.quota?;
    (quota.rate > 0.0).then_some(quota.rate)
}
