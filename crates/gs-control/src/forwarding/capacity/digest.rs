//! The estimates that an entry reports to its peers, in eight bytes for each server.

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};

use super::estimate::{HalfEvidence, StartEvidence};

/// Bytes for each server: four of the start, and mean and weight for each half of the load range.
const ENTRY_BYTES: usize = 8;

/// Steps of a mean within a factor of e.
const MEAN_STEPS: f64 = 32.0;

/// Steps of a weight within a factor of 2.
const WEIGHT_STEPS: f64 = 8.0;

/// Maximum encoded weight.
const MAX_WEIGHT: u8 = 0x7f;

/// Set in the lower half's weight if the entry takes the server to differ by the evidence of all.
const QUESTION_BIT: u8 = 0x80;

/// What an entry reports of one start of a server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StartReport {
    pub start: u32,
    pub evidence: StartEvidence,
    /// Whether the entry takes the server to differ by the evidence of all, and asks its peers for theirs.
    pub is_in_question: bool,
}

/// Estimates of servers that differ from their services, as they are sent to the peers.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct CapacityDigest(#[serde_as(as = "Bytes")] Vec<u8>);

impl CapacityDigest {
    /// Whether the digest holds no estimates.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the size of the estimates in bytes.
    pub fn byte_count(&self) -> usize {
        self.0.len()
    }

    pub(super) fn encode(reports: impl Iterator<Item = StartReport>) -> Self {
        let mut bytes = Vec::new();
        for report in reports {
            bytes.extend(report.start.to_be_bytes());
            let StartEvidence { low, high } = report.evidence;
            let question_bit = if report.is_in_question {
                QUESTION_BIT
            } else {
                0
            };
            for (half, bit) in [(low, question_bit), (high, 0)] {
                let mean = (half.mean * MEAN_STEPS).round() as i8;
                let weight = ((1.0 + half.weight).log2() * WEIGHT_STEPS).round() as u8;
                bytes.extend([mean.to_be_bytes()[0], weight.min(MAX_WEIGHT) | bit]);
            }
        }
        Self(bytes)
    }

    pub(super) fn decode(&self) -> impl Iterator<Item = StartReport> {
        let half = |mean: u8, weight: u8| HalfEvidence {
            mean: f64::from(i8::from_be_bytes([mean])) / MEAN_STEPS,
            weight: (f64::from(weight & MAX_WEIGHT) / WEIGHT_STEPS).exp2() - 1.0,
        };
        self.0.chunks_exact(ENTRY_BYTES).filter_map(move |bytes| {
            let bytes: [u8; ENTRY_BYTES] = bytes.try_into().ok()?;
            let [a, b, c, d, low_mean, low_weight, high_mean, high_weight] = bytes;
            let evidence = StartEvidence {
                low: half(low_mean, low_weight),
                high: half(high_mean, high_weight),
            };
            Some(StartReport {
                start: u32::from_be_bytes([a, b, c, d]),
                evidence,
                is_in_question: low_weight & QUESTION_BIT != 0,
            })
        })
    }
}
