//! How much memory the streams of one engine will need at the most.

use serde::{Deserialize, Serialize};

/// Tokens that a stream which is longer than was expected is taken to need yet.
const OVERDUE_TOKENS: u32 = 400;

/// A stream's memory at an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamShape {
    /// Tokens that it holds.
    pub held: u32,
    /// Tokens that it is expected to generate yet.
    pub left: u32,
}

impl StreamShape {
    /// The stream after it has grown.
    pub fn grown(self, tokens: u32) -> Self {
        Self {
            held: self.held.saturating_add(tokens),
            left: self.left.saturating_sub(tokens).max(OVERDUE_TOKENS),
        }
    }
}

/// The most tokens that the streams will hold at one time, if all grow alike and each ends when it is
/// expected to. Sorts the shapes.
pub fn projected_peak(shapes: &mut [StreamShape]) -> u64 {
    shapes.sort_by_key(|shape| shape.left);
    let mut held: u64 = shapes.iter().map(|shape| u64::from(shape.held)).sum();
    let mut peak = 0;
    let mut running = shapes.len() as u64;
    for shape in shapes.iter() {
        // Just before this one ends, every one that still runs has grown by what was left of it.
        peak = peak.max(held + running * u64::from(shape.left));
        held -= u64::from(shape.held);
        running -= 1;
    }
    peak
}
