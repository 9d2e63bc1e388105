//! Records of the requests that the service ran, read by tests and the soak checks.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Maximum number of keys and, separately, of attempts with a record. Runs of later ones are
/// only counted, in `runs` and `unnamed`.
const MAX_RECORDS: usize = 262_144;

/// Number of runs with one idempotency key on one path.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct KeyRuns {
    /// Idempotency key of the requests.
    pub key: String,
    /// Request path without the query.
    pub path: String,
    /// Number of runs.
    pub runs: u32,
}

/// Number of runs of one attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct AttemptRuns {
    /// Identity of the attempt.
    pub attempt: String,
    /// Number of runs.
    pub runs: u32,
}

/// Response to `GET /control/runs`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ServiceRuns {
    /// Total number of runs.
    pub runs: u64,
    /// Runs by key and path.
    pub keys: Vec<KeyRuns>,
    /// Runs by attempt.
    pub attempts: Vec<AttemptRuns>,
    /// Runs whose key or attempt was not recorded because the limit of records was reached.
    pub unnamed: u64,
}

/// Bounded log of runs by key and by attempt.
#[derive(Debug, Default)]
pub struct ServiceLog {
    runs: u64,
    unnamed: u64,
    keys: BTreeMap<(String, String), u32>,
    attempts: BTreeMap<String, u32>,
}

impl ServiceLog {
    /// Records one run and returns its number, starting from 1.
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

    /// Returns all stored records and the totals.
    pub fn snapshot(&self) -> ServiceRuns {
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

/// Counts a run under `name`; returns false if a new record would exceed the limit.
fn count_run<K: Ord>(counts: &mut BTreeMap<K, u32>, name: K) -> bool {
    if counts.len() >= MAX_RECORDS && !counts.contains_key(&name) {
        return false;
    }
    *counts.entry(name).or_default() += 1;
    true
}
