//! How much memory the streams of one engine will need at the most.

use serde::{Deserialize, Serialize};

/// Tokens that a stream which is longer than was expected is taken to need yet.
const OVERDUE_TOKENS: u32 = 400;

/// A stream's memory at an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamShape {
    /// Tokens that it holds.
    #[serde(rename = "held")]
    pub held_tokens: u32,
    /// Tokens that it is expected to generate yet.
    #[serde(rename = "left")]
    pub remaining_tokens: u32,
}

impl StreamShape {
    /// The stream after it has grown.
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

/// The most tokens that the streams will hold at one time, if all grow alike and each ends when it is
/// expected to. Sorts the shapes.
pub fn projected_peak(shapes: &mut [StreamShape]) -> u64 {
    shapes.sort_by_key(|shape| shape.remaining_tokens);
    let mut held_tokens: u64 = shapes
        .iter()
        .map(|shape| u64::from(shape.held_tokens))
        .sum();
    let mut peak = 0;
    let mut running = shapes.len() as u64;
    for shape in shapes.iter() {
        // Just before this one ends, every one that still runs has grown by what was left of it.
        peak = peak.max(held_tokens + running * u64::from(shape.remaining_tokens));
        held_tokens -= u64::from(shape.held_tokens);
        running -= 1;
    }
    peak
}
