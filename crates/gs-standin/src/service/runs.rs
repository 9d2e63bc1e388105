//! What the service ran, for checkers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Keys, and attempts, remembered at most. Later ones are counted and not named.
const RUNS_KEPT: usize = 262_144;

/// How often requests with one idempotency key ran on one path.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct KeyRuns {
    /// The idempotency key.
    pub key: String,
    /// The path, without the query.
    pub path: String,
    /// Runs.
    pub runs: u32,
}

/// How often one attempt ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct AttemptRuns {
    /// The attempt.
    pub attempt: String,
    /// Runs.
    pub runs: u32,
}

/// The answer to `GET /control/runs`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ServiceRuns {
    /// All runs.
    pub runs: u64,
    /// Runs by key and path.
    pub keys: Vec<KeyRuns>,
    /// Runs by attempt.
    pub attempts: Vec<AttemptRuns>,
    /// Runs beyond what is remembered.
    pub unnamed: u64,
}

/// Records what ran.
#[derive(Debug, Default)]
pub struct ServiceLog {
    runs: u64,
    unnamed: u64,
    keys: BTreeMap<(String, String), u32>,
    attempts: BTreeMap<String, u32>,
}

impl ServiceLog {
    /// Counts one run and returns its number, from 1.
    pub fn record(&mut self, path: &str, key: Option<&str>, attempt: Option<&str>) -> u64 {
        self.runs += 1;
        let mut named = true;
        if let Some(key) = key {
            named &= count_run(&mut self.keys, (key.to_owned(), path.to_owned()));
        }
        if let Some(attempt) = attempt {
            named &= count_run(&mut self.attempts, attempt.to_owned());
        }
        self.unnamed += u64::from(!named);
        self.runs
    }

    /// Everything that is remembered.
    pub fn read(&self) -> ServiceRuns {
        let keys = self.keys.iter().map(|((key, path), runs)| KeyRuns {
            key: key.clone(),
            path: path.clone(),
            runs: *runs,
        });
        let attempts = self.attempts.iter().map(|(attempt, runs)| AttemptRuns {
            attempt: attempt.clone(),
            runs: *runs,
        });
        ServiceRuns {
            runs: self.runs,
            keys: keys.collect(),
            attempts: attempts.collect(),
            unnamed: self.unnamed,
        }
    }
}

/// Counts a run under a name; false if there is no room for a new name.
fn count_run<K: Ord>(counts: &mut BTreeMap<K, u32>, name: K) -> bool {
    if counts.len() >= RUNS_KEPT && !counts.contains_key(&name) {
        return false;
    }
    *counts.entry(name).or_default() += 1;
    true
}
