//! What is kept in the platform's service for a shard.

use gs_protocol::claims::{ClaimFingerprint, ClaimId, KeptAnswer};
use gs_protocol::ids::{AttemptId, EntryIdentity, FenceNumber};
use gs_protocol::objects::segment_key;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Why an object of a shard cannot be encoded or decoded.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum RecordError {
    /// The bytes are not a valid object of this kind.
    #[error("the object cannot be decoded: {0}")]
    Decode(String),
    /// The object cannot be written as bytes.
    #[error("the object cannot be encoded: {0}")]
    Encode(String),
}

/// How far a claim has come.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimState {
    /// An attempt may be running.
    #[serde(rename = "o")]
    Open {
        /// The attempt that holds the claim.
        #[serde(rename = "a")]
        attempt: AttemptId,
        /// The entry that runs the attempt.
        #[serde(rename = "h")]
        holder: EntryIdentity,
    },
    /// The attempt ran to its end with this answer.
    #[serde(rename = "d")]
    Done(KeptAnswer),
    /// The attempt ended in an unknown way, or its answer was too large to keep.
    #[serde(rename = "u")]
    Unknown,
}

/// The fields of a record in the order in which they are kept.
type RecordFields = (ClaimId, u64, ClaimFingerprint, ClaimState);

/// One claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "RecordFields", into = "RecordFields")]
pub struct ClaimRecord {
    /// What is claimed.
    pub id: ClaimId,
    /// The time in the caller's key, in milliseconds since 1970.
    pub time_ms: u64,
    /// The fingerprint of the request that was claimed for.
    pub fingerprint: ClaimFingerprint,
    /// How far the claim has come.
    pub state: ClaimState,
}

impl From<RecordFields> for ClaimRecord {
    fn from((id, time_ms, fingerprint, state): RecordFields) -> Self {
        Self {
            id,
            time_ms,
            fingerprint,
            state,
        }
    }
}

impl From<ClaimRecord> for RecordFields {
    fn from(record: ClaimRecord) -> Self {
        (record.id, record.time_ms, record.fingerprint, record.state)
    }
}

impl ClaimRecord {
    /// Bytes that the record takes in an object, rounded up.
    pub fn size_bytes(&self) -> usize {
        const FIELD_BYTES: usize = 50;
        const HOLDER_BYTES: usize = 48;
        FIELD_BYTES
            + match &self.state {
                ClaimState::Open { holder, .. } => HOLDER_BYTES + holder.entry.as_str().len(),
                ClaimState::Done(answer) => 20 + answer.content_type.len() + answer.body.len(),
                ClaimState::Unknown => 0,
            }
    }
}

/// The fields of a segment's entry in the order in which they are kept.
type SegmentFields = (FenceNumber, u32, u64, u64, u32);

/// Where a segment is, and the times of the keys in it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "SegmentFields", into = "SegmentFields")]
pub struct SegmentRef {
    /// The fencing number of the owner that wrote the segment.
    pub fence: FenceNumber,
    /// The place among that owner's segments.
    pub index: u32,
    /// The earliest time of a key, in milliseconds since 1970.
    pub first_ms: u64,
    /// The latest time of a key, in milliseconds since 1970.
    pub last_ms: u64,
    /// Claims in the segment.
    pub claims: u32,
}

impl From<SegmentFields> for SegmentRef {
    fn from((fence, index, first_ms, last_ms, claims): SegmentFields) -> Self {
        Self {
            fence,
            index,
            first_ms,
            last_ms,
            claims,
        }
    }
}

impl From<SegmentRef> for SegmentFields {
    fn from(segment: SegmentRef) -> Self {
        (
            segment.fence,
            segment.index,
            segment.first_ms,
            segment.last_ms,
            segment.claims,
        )
    }
}

impl SegmentRef {
    /// The key of the segment's object.
    pub fn key(&self, environment: &str, shard: u32) -> String {
        segment_key(environment, shard, self.fence, self.index)
    }

    /// Whether a key of this time can be in the segment.
    pub fn covers(&self, time_ms: u64) -> bool {
        self.first_ms <= time_ms && time_ms <= self.last_ms
    }
}

/// The head of a shard: who owns it, and its newest claims.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ShardHead {
    /// The owner; none after a handover that nobody has followed yet.
    pub owner: Option<EntryIdentity>,
    /// The fencing number of the owner.
    pub fence: FenceNumber,
    /// The number of this write among the owner's writes.
    pub write: u64,
    /// The number of shards of the environment.
    pub shards: u32,
    /// Keys of this time and before are refused: their claims may have been dropped.
    pub horizon_ms: u64,
    /// Segments, oldest first.
    pub segments: Vec<SegmentRef>,
    /// Open claims, and ended ones that are in no segment yet.
    pub tail: Vec<ClaimRecord>,
}

/// Encodes an object of a shard.
pub fn encode<T: Serialize>(object: &T) -> Result<Vec<u8>, RecordError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(object, &mut bytes)
        .map_err(|error| RecordError::Encode(error.to_string()))?;
    Ok(bytes)
}

/// Decodes an object of a shard.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RecordError> {
    ciborium::from_reader(bytes).map_err(|error| RecordError::Decode(error.to_string()))
}
