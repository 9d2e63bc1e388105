//! Transfer of KV cache between engines over links of limited bandwidth.

use std::time::{Duration, Instant};

use gs_protocol::engine::EngineReason;
use gs_protocol::ids::AttemptId;
use gs_protocol::prefix::KV_TOKEN_BYTES;
use serde::{Deserialize, Serialize};

use super::state::EngineState;

/// Response header with the number of tokens whose KV cache is transferred.
pub const TOKENS_HEADER: &str = "x-kv-tokens";

/// Body of a transfer, which replaces the KV cache itself.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct KvExport {
    /// Prompt that the KV cache belongs to.
    pub prompt: String,
}

/// A transfer whose time on the link has been reserved.
#[derive(Clone, Debug)]
pub struct ScheduledExport {
    /// Body to send.
    pub export: KvExport,
    /// Number of tokens of the KV cache.
    pub tokens: u32,
    /// When the modelled link has finished sending it.
    pub ready_at: Instant,
}

impl EngineState {
    /// Schedules the transfer of a prefill result, which does not expire while it is being sent.
    ///
    /// Returns [`EngineReason::KvLost`] if the attempt has no result.
    pub fn begin_export(
        &mut self,
        now: Instant,
        attempt: AttemptId,
    ) -> Result<ScheduledExport, EngineReason> {
        let Some(result) = self.results.get_mut(&attempt) else {
            return Err(EngineReason::KvLost);
        };
        result.active_exports += 1;
        let tokens = result.tokens;
        let export = KvExport {
            prompt: result.prompt.clone(),
        };
        Ok(ScheduledExport {
            export,
            tokens,
            ready_at: self.reserve_link(now, tokens),
        })
    }

    /// Frees a result that has been sent; returns false if it was cancelled in the meantime.
    pub fn finish_export(&mut self, attempt: AttemptId) -> bool {
        let Some(result) = self.results.remove(&attempt) else {
            return false;
        };
        self.memory.release(result.lease);
        self.runs.run_mut(attempt).results_taken += 1;
        true
    }

    /// Ends an interrupted transfer; the result stays for the rest of its time to live.
    pub fn abandon_export(&mut self, attempt: AttemptId) {
        if let Some(result) = self.results.get_mut(&attempt) {
            result.active_exports = result.active_exports.saturating_sub(1);
        }
    }

    /// Reserves time on the engine's link after earlier transfers; returns when the tokens have
    /// been sent.
    pub fn reserve_link(&mut self, now: Instant, tokens: u32) -> Instant {
        let bytes = u64::from(tokens) * KV_TOKEN_BYTES;
        let duration = match self.options.link_rate {
            0 => Duration::ZERO,
            rate => Duration::from_secs_f64(bytes as f64 / rate as f64),
        };
        self.link_free_at = self.link_free_at.max(now) + self.apply_slow_factor(duration);
        self.link_free_at
    }

    /// Bytes of scheduled transfers that the link has not sent yet.
    pub fn pending_link_bytes(&self, now: Instant) -> u64 {
        let duration = self.link_free_at.saturating_duration_since(now);
        (duration.as_secs_f64() * self.options.link_rate as f64) as u64
    }
}
