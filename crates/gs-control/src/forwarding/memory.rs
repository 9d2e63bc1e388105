//! Projection of the peak memory of the streams at one engine.

use serde::{Deserialize, Serialize};

/// Minimum tokens that a growing stream is assumed to have left, because it may become longer than
/// expected.
const OVERDUE_TOKENS: u32 = 400;

/// The memory of a stream at an engine, in tokens of its KV cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamShape {
    /// Tokens that the stream holds now.
    #[serde(rename = "held")]
    pub held_tokens: u32,
    /// Tokens that the stream is expected to generate yet.
    #[serde(rename = "left")]
    pub remaining_tokens: u32,
}

impl StreamShape {
    /// Returns the shape after the stream has generated `tokens` more tokens.
    pub fn grown_by(self, tokens: u32) -> Self {
        Self {
            held_tokens: self.held_tokens.saturating_add(tokens),
            remaining_tokens: self
                .remaining_tokens
                .saturating_sub(tokens)
                .max(OVERDUE_TOKENS),
        }
    }
}

/// Returns the most tokens that the streams will hold at one time, assuming that all grow at the
/// same rate and each ends at its expected length. Sorts the shapes by remaining tokens.
pub fn projected_peak(shapes: &mut [StreamShape]) -> u64 {
    shapes.sort_by_key(|shape| shape.remaining_tokens);
    let mut held_tokens: u64 = shapes
        .iter()
        .map(|shape| u64::from(shape.held_tokens))
        .sum();
    let mut peak = 0;
    let mut running = shapes.len() as u64;
    for shape in shapes.iter() {
        // Just before this stream ends, every running one has grown by its remaining tokens.
        peak = peak.max(held_tokens + running * u64::from(shape.remaining_tokens));
        held_tokens -= u64::from(shape.held_tokens);
        running -= 1;
    }
    peak
}
