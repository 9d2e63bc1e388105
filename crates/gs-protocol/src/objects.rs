//! The system's own kinds of objects and their keys in the platform's service.

use serde::{Deserialize, Serialize};

use crate::ids::{FenceNumber, OperationId, OperatorName, SequenceNumber, ServerName};

/// The prefix of the keys that every entry watches: the head and the servers that are out of use.
pub fn orders_prefix(environment: &str) -> String {
    format!("gs/{environment}/orders/")
}

/// The key of an environment's head.
pub fn head_key(environment: &str) -> String {
    format!("{}head", orders_prefix(environment))
}

/// The key of one record of an environment's history.
pub fn history_key(environment: &str, sequence: SequenceNumber) -> String {
    format!("gs/{environment}/history/{:012}", sequence.0)
}

/// The key of a document's bytes, shared by all environments.
pub fn body_key(digest: &str) -> String {
    format!("gs/bodies/{digest}")
}

/// The key of the proof that a document was accepted in an environment.
pub fn proof_key(environment: &str, digest: &str) -> String {
    format!("gs/{environment}/proofs/{digest}")
}

/// The key of the record that a server is out of use.
pub fn drain_key(environment: &str, server: &ServerName) -> String {
    format!("{}{server}", drain_prefix(environment))
}

/// The prefix of the keys of servers that are out of use.
pub fn drain_prefix(environment: &str) -> String {
    format!("{}drains/", orders_prefix(environment))
}

/// The prefix of the keys of what entries report of themselves.
pub fn status_prefix(environment: &str) -> String {
    format!("gs/{environment}/status/")
}

/// The key of what an entry reports of itself.
pub fn status_key(environment: &str, entry: &str) -> String {
    format!("gs/{environment}/status/{entry}")
}

/// The prefix of the heads of all shards of claims.
pub fn shard_prefix(environment: &str) -> String {
    format!("gs/{environment}/claims/")
}

/// The key of the head of a shard of claims.
pub fn shard_key(environment: &str, shard: u32) -> String {
    format!("gs/{environment}/claims/{shard:04}")
}

/// The key of a segment of a shard of claims.
pub fn segment_key(environment: &str, shard: u32, fence: FenceNumber, index: u32) -> String {
    format!(
        "gs/{environment}/segments/{shard:04}/{fence:08}-{index:06}",
        fence = fence.0
    )
}

/// Which document is in force in an environment, and how it came to be.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct HeadRecord {
    /// The place in the environment's history; only ever grows.
    pub sequence: SequenceNumber,
    /// The digest of the document's bytes, as `sha256:` and hexadecimal digits.
    pub digest: String,
    /// The digest before this one.
    pub previous: Option<String>,
    /// Milliseconds since 1970 at acceptance.
    pub accepted_at_ms: u64,
    /// Who had it accepted.
    pub operator: OperatorName,
    /// The operation, which a repeat carries again.
    pub operation: OperationId,
    /// Whether the document is a roll-back to earlier bytes.
    pub roll_back: bool,
}

/// What an entry says of the document that it applies.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct StatusRecord {
    /// The start of the entry.
    pub incarnation: u64,
    /// The sequence number in force at the entry.
    pub sequence: SequenceNumber,
    /// The digest in force at the entry.
    pub digest: String,
    /// Milliseconds since 1970 at which it came into force there.
    pub since_ms: u64,
    /// Documents that were in force there before, latest first, as far as they are kept.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub earlier: Vec<AppliedRecord>,
}

/// Since when an entry applied an earlier document.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct AppliedRecord {
    /// The sequence number.
    pub sequence: SequenceNumber,
    /// Milliseconds since 1970 at which it came into force there.
    pub since_ms: u64,
}

/// A server that an operator has taken out of use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct DrainRecord {
    /// Who did it.
    pub operator: OperatorName,
    /// Milliseconds since 1970 at which it was done.
    #[serde(rename = "atMs")]
    pub drained_at_ms: u64,
}
