//! Records of the work that the engine ran, read by tests and the soak checks.

use std::collections::{HashMap, VecDeque};

use gs_protocol::ids::AttemptId;
use serde::{Deserialize, Serialize};

/// Maximum number of attempts with a record.
const MAX_RUNS: usize = 65_536;

/// Work that the engine ran for one attempt.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct EngineRun {
    /// Identity of the attempt.
    pub attempt: AttemptId,
    /// Number of prefills started.
    pub prefills_started: u32,
    /// Number of prefills completed.
    pub prefills_ended: u32,
    /// Prompt tokens computed, excluding cached ones.
    pub prefill_tokens: u32,
    /// Prefill results transferred to another engine.
    pub results_taken: u32,
    /// Number of streams started.
    pub streams_started: u32,
    /// Generated tokens sent.
    pub tokens_sent: u32,
    /// Number of streams that sent all their tokens.
    pub streams_ended: u32,
    /// Whether a cancel was received.
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

/// Totals since the start of the engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, rename_all = "camelCase")]
pub struct EngineTotals {
    /// Prompt tokens computed, excluding cached ones.
    pub prefill_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Prompt tokens computed for results that no engine pulled or for cancelled prefills.
    pub wasted_tokens: u64,
    /// Number of prefills completed.
    pub prefills: u64,
    /// Prefill results that no engine pulled.
    pub wasted_results: u64,
    /// Generated tokens sent.
    pub tokens_sent: u64,
    /// Number of streams that sent all their tokens.
    pub streams_ended: u64,
    /// Reservations that expired without a stream.
    pub reservations_expired: u64,
}

/// Response to `GET /control/runs`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct EngineRuns {
    /// Boot number of the engine; later boots have larger numbers.
    pub boot: u64,
    /// Totals since the start of the engine.
    pub totals: EngineTotals,
    /// Records of the most recent attempts, oldest first.
    pub runs: Vec<EngineRun>,
}

/// Bounded log of runs by attempt, with totals.
#[derive(Debug, Default)]
pub struct RunLog {
    /// Totals since the start of the engine.
    pub totals: EngineTotals,
    runs: HashMap<AttemptId, EngineRun>,
    insertion_order: VecDeque<AttemptId>,
}

impl RunLog {
    /// Returns the record of an attempt, creating it if needed.
    pub fn run_mut(&mut self, attempt: AttemptId) -> &mut EngineRun {
        if !self.runs.contains_key(&attempt) {
            self.insertion_order.push_back(attempt);
            self.evict_oldest();
        }
        self.runs
            .entry(attempt)
            .or_insert_with(|| EngineRun::new(attempt))
    }

    /// Returns all stored records and the totals.
    pub fn snapshot(&self, boot: u64) -> EngineRuns {
        let runs = self
            .insertion_order
            .iter()
            .filter_map(|attempt| self.runs.get(attempt));
        EngineRuns {
            boot,
            totals: self.totals,
            runs: runs.cloned().collect(),
        }
    }

    fn evict_oldest(&mut self) {
        if self.insertion_order.len() <= MAX_RUNS {
            return;
        }
        if let Some(oldest) = self.insertion_order.pop_front() {
            self.runs.remove(&oldest);
        }
    }
}
