//! What the engine ran, for checkers.

use std::collections::{HashMap, VecDeque};

use gs_protocol::ids::AttemptId;
use serde::{Deserialize, Serialize};

/// Attempts remembered at most.
const RUNS_KEPT: usize = 65_536;

/// What ran for one attempt.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct EngineRun {
    /// The attempt.
    pub attempt: AttemptId,
    /// Prefills begun.
    pub prefills_started: u32,
    /// Prefills ended.
    pub prefills_ended: u32,
    /// Prompt tokens computed, cached ones left out.
    pub prefill_tokens: u32,
    /// Results handed to another engine.
    pub results_taken: u32,
    /// Streams begun.
    pub streams_started: u32,
    /// Tokens sent.
    pub tokens_sent: u32,
    /// Streams that were whole at their end.
    pub streams_ended: u32,
    /// Whether a cancel came.
    pub cancelled: bool,
}

impl EngineRun {
    fn new(attempt: AttemptId) -> Self {
        Self {
            attempt,
            prefills_started: 0,
            prefills_ended: 0,
            prefill_tokens: 0,
            results_taken: 0,
            streams_started: 0,
            tokens_sent: 0,
            streams_ended: 0,
            cancelled: false,
        }
    }
}

/// Sums since the start of the engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, rename_all = "camelCase")]
pub struct EngineTotals {
    /// Prompt tokens computed.
    pub prefill_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Prompt tokens computed for results that no engine took, or for prefills given up.
    pub wasted_tokens: u64,
    /// Prefills ended.
    pub prefills: u64,
    /// Results that no engine took.
    pub wasted_results: u64,
    /// Tokens sent.
    pub tokens_sent: u64,
    /// Streams that were whole at their end.
    pub streams_ended: u64,
    /// Reservations that ended unused.
    pub reservations_expired: u64,
}

/// The answer to `GET /control/runs`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct EngineRuns {
    /// Which start of the engine this is.
    pub boot: u64,
    /// Sums since the start.
    pub totals: EngineTotals,
    /// The latest attempts, oldest first.
    pub runs: Vec<EngineRun>,
}

/// Records what ran.
#[derive(Debug, Default)]
pub struct RunLog {
    /// Sums since the start.
    pub totals: EngineTotals,
    runs: HashMap<AttemptId, EngineRun>,
    order: VecDeque<AttemptId>,
}

impl RunLog {
    /// The record of an attempt, begun if it is new.
    pub fn entry(&mut self, attempt: AttemptId) -> &mut EngineRun {
        if !self.runs.contains_key(&attempt) {
            self.order.push_back(attempt);
            self.forget_oldest();
        }
        self.runs
            .entry(attempt)
            .or_insert_with(|| EngineRun::new(attempt))
    }

    /// Everything that is remembered.
    pub fn read(&self, boot: u64) -> EngineRuns {
        let runs = self
            .order
            .iter()
            .filter_map(|attempt| self.runs.get(attempt));
        EngineRuns {
            boot,
            totals: self.totals,
            runs: runs.cloned().collect(),
        }
    }

    fn forget_oldest(&mut self) {
        if self.order.len() <= RUNS_KEPT {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.runs.remove(&oldest);
        }
    }
}
