//! Reads what engines and services have run.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;

use awc::Client;
use serde::Serialize;
use uuid::Uuid;

use super::client::get_json;
use super::error::LoadError;
use crate::engine::{EngineRuns, EngineTotals};
use crate::service::ServiceRuns;

/// The path at which engines and services report their runs.
const RUNS_PATH: &str = "/control/runs";

/// Prefill work during a load run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct PrefillReport {
    /// Prompt tokens computed.
    pub prefill_tokens: u64,
    /// Prompt tokens found in prefix caches.
    pub cached_tokens: u64,
    /// Computed prompt tokens whose result was never used.
    pub wasted_tokens: u64,
    /// The ratio of wasted to computed tokens.
    pub wasted_share: f64,
}

/// Comparison of what services ran with what callers were answered.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct RunCheck {
    /// Idempotency keys of the load run that ran.
    pub ran: u64,
    /// Idempotency keys of the load run that ran more than once.
    pub ran_twice: u64,
    /// Idempotency keys that ran although the answer stated that they did not.
    pub false_not_run: u64,
}

/// Adds up the totals of engines.
pub async fn read_totals(
    client: &Client,
    engines: &[SocketAddr],
) -> Result<EngineTotals, LoadError> {
    let mut sum = EngineTotals::default();
    for &engine in engines {
        let runs: EngineRuns = get_json(client, engine, RUNS_PATH, None).await?;
        sum.prefill_tokens += runs.totals.prefill_tokens;
        sum.cached_tokens += runs.totals.cached_tokens;
        sum.wasted_tokens += runs.totals.wasted_tokens;
    }
    Ok(sum)
}

/// Computes the prefill work between two readings. A total that is lower than before, for example
/// because an engine has restarted, counts as zero.
pub fn compare_totals(before: &EngineTotals, after: &EngineTotals) -> PrefillReport {
    let prefill_tokens = after.prefill_tokens.saturating_sub(before.prefill_tokens);
    let wasted_tokens = after.wasted_tokens.saturating_sub(before.wasted_tokens);
    PrefillReport {
        prefill_tokens,
        cached_tokens: after.cached_tokens.saturating_sub(before.cached_tokens),
        wasted_tokens,
        wasted_share: wasted_tokens as f64 / prefill_tokens.max(1) as f64,
    }
}

/// Compares the runs of services with the answers that their callers got.
pub async fn check_runs(
    client: &Client,
    services: &[SocketAddr],
    keys: &[Uuid],
    not_run: &[Uuid],
) -> Result<RunCheck, LoadError> {
    let mut counts = BTreeMap::<String, u32>::new();
    for &service in services {
        let runs: ServiceRuns = get_json(client, service, RUNS_PATH, None).await?;
        for run in runs.keys {
            *counts.entry(run.key).or_default() += run.runs;
        }
    }
    let not_run: HashSet<_> = not_run.iter().collect();
    let mut check = RunCheck::default();
    for key in keys {
        let runs = counts.get(&key.to_string()).copied().unwrap_or(0);
        check.ran += u64::from(runs > 0);
        check.ran_twice += u64::from(runs > 1);
        check.false_not_run += u64::from(runs > 0 && not_run.contains(key));
    }
    Ok(check)
}
