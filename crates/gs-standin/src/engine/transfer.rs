//! KV cache from one engine to another over links of limited rate.

use std::time::{Duration, Instant};

use gs_protocol::engine::EngineReason;
use gs_protocol::ids::AttemptId;
use gs_protocol::prefix::KV_TOKEN_BYTES;
use serde::{Deserialize, Serialize};

use super::state::EngineState;

/// Response header: how many tokens the transfer carries.
pub const TOKENS_HEADER: &str = "x-kv-tokens";

/// The body of a transfer, in place of the KV cache itself.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct KvExport {
    /// The text whose KV cache it is.
    pub prompt: String,
}

/// A transfer that has been given its place on the link.
#[derive(Clone, Debug)]
pub struct ExportGrant {
    /// What is sent.
    pub export: KvExport,
    /// Tokens of the KV cache.
    pub tokens: u32,
    /// When the link has carried it.
    pub ready_at: Instant,
}

impl EngineState {
    /// Begins to send a prefill result, which is kept until the transfer has ended.
    pub fn begin_export(
        &mut self,
        now: Instant,
        attempt: AttemptId,
    ) -> Result<ExportGrant, EngineReason> {
        let Some(result) = self.results.get_mut(&attempt) else {
            return Err(EngineReason::KvLost);
        };
        result.exports += 1;
        let tokens = result.tokens;
        let export = KvExport {
            prompt: result.prompt.clone(),
        };
        Ok(ExportGrant {
            export,
            tokens,
            ready_at: self.book_link(now, tokens),
        })
    }

    /// Frees a result that has been sent; false if it was cancelled meanwhile.
    pub fn finish_export(&mut self, attempt: AttemptId) -> bool {
        let Some(result) = self.results.remove(&attempt) else {
            return false;
        };
        self.memory.release(result.lease);
        self.runs.entry(attempt).results_taken += 1;
        true
    }

    /// Counts a transfer that broke off; the result lives on for the rest of its time.
    pub fn abandon_export(&mut self, attempt: AttemptId) {
        if let Some(result) = self.results.get_mut(&attempt) {
            result.exports = result.exports.saturating_sub(1);
        }
    }

    /// Takes the next place on the engine's link; returns when the link has carried the tokens.
    pub fn book_link(&mut self, now: Instant, tokens: u32) -> Instant {
        let bytes = u64::from(tokens) * KV_TOKEN_BYTES;
        let time = match self.options.link_rate {
            0 => Duration::ZERO,
            rate => Duration::from_secs_f64(bytes as f64 / rate as f64),
        };
        self.link_free_at = self.link_free_at.max(now) + self.slowed(time);
        self.link_free_at
    }

    /// Bytes that the link has not carried yet.
    pub fn waiting_bytes(&self, now: Instant) -> u64 {
        let time = self.link_free_at.saturating_duration_since(now);
        (time.as_secs_f64() * self.options.link_rate as f64) as u64
    }
}
