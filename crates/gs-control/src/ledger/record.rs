//! Encoding of a shard's objects in the platform's object store.

use gs_protocol::claims::{ClaimFingerprint, ClaimId, StoredAnswer};
use gs_protocol::ids::{AttemptId, EntryIdentity, FenceNumber};
use gs_protocol::objects::segment_key;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// An error in encoding or decoding an object of a shard.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum RecordError {
    /// The bytes are not valid CBOR for the object's type.
    #[error("failed to decode the object: {0}")]
    Decode(String),
    /// The object cannot be serialized.
    #[error("failed to encode the object: {0}")]
    Encode(String),
}

/// The state of a claim.
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
    /// The attempt ran to completion with this answer.
    #[serde(rename = "d")]
    Done(StoredAnswer),
    /// The outcome of the attempt is unknown, or its answer was too large to store.
    #[serde(rename = "u")]
    Unknown,
}

/// The fields of a claim record in the order in which they are encoded.
type RecordFields = (ClaimId, u64, ClaimFingerprint, ClaimState);

/// A stored claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "RecordFields", into = "RecordFields")]
pub struct ClaimRecord {
    /// The identity of the claim, derived from caller and key.
    pub id: ClaimId,
    /// The time in the caller's key, in milliseconds since 1970.
    pub time_ms: u64,
    /// The fingerprint of the request that opened the claim.
    pub fingerprint: ClaimFingerprint,
    /// The state of the claim.
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
    /// Upper estimate of the encoded size of the record, in bytes.
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

/// The fields of a segment reference in the order in which they are encoded.
type SegmentFields = (FenceNumber, u32, u64, u64, u32);

/// A reference to a segment, with the time range of the keys in it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "SegmentFields", into = "SegmentFields")]
pub struct SegmentRef {
    /// The fencing number of the owner that wrote the segment.
    pub fence: FenceNumber,
    /// The index among the segments of that owner, from 0.
    pub index: u32,
    /// The earliest time in a key, in milliseconds since 1970.
    pub first_ms: u64,
    /// The latest time in a key, in milliseconds since 1970.
    pub last_ms: u64,
    /// The number of claims in the segment.
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
    /// The object key of the segment.
    pub fn key(&self, environment: &str, shard: u32) -> String {
        segment_key(environment, shard, self.fence, self.index)
    }

    /// Whether an idempotency key with this time, in milliseconds since 1970, can be in the
    /// segment.
    pub fn covers(&self, time_ms: u64) -> bool {
        self.first_ms <= time_ms && time_ms <= self.last_ms
    }
}

/// The head of a shard: its owner, newest claims and segments.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ShardHead {
    /// The owner; none after a handover until another entry takes the shard over.
    pub owner: Option<EntryIdentity>,
    /// The fencing number of the owner.
    pub fence: FenceNumber,
    /// The number of this write among the owner's writes, from 1.
    pub write: u64,
    /// The number of shards of the environment.
    pub shards: u32,
    /// The expiry horizon, in milliseconds since 1970. Keys with this time or an earlier one are
    /// refused, as their claims may have been dropped.
    pub horizon_ms: u64,
    /// The segments, oldest first.
    pub segments: Vec<SegmentRef>,
    /// Open claims, and ended claims that are not in a segment yet.
    pub tail: Vec<ClaimRecord>,
}

/// Encodes an object of a shard as CBOR.
pub fn encode<T: Serialize>(object: &T) -> Result<Vec<u8>, RecordError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(object, &mut bytes)
        .map_err(|error| RecordError::Encode(error.to_string()))?;
    Ok(bytes)
}

/// Decodes an object of a shard from CBOR.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RecordError> {
    ciborium::from_reader(bytes).map_err(|error| RecordError::Decode(error.to_string()))
}
