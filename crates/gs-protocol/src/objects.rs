//! Records that the system keeps in the platform's object store, and their keys.

use serde::{Deserialize, Serialize};

use crate::ids::{FenceNumber, OperationId, OperatorName, SequenceNumber, ServerName};

/// Returns the key prefix that every entry watches: the head and the drain records.
pub fn orders_prefix(environment: &str) -> String {
    format!("gs/{environment}/orders/")
}

/// Returns the key of an environment's [`HeadRecord`].
pub fn head_key(environment: &str) -> String {
    format!("{}head", orders_prefix(environment))
}

/// Returns the key of one record in an environment's history.
pub fn history_key(environment: &str, sequence: SequenceNumber) -> String {
    format!("gs/{environment}/history/{:012}", sequence.0)
}

/// Returns the key of a document's bytes, which all environments share.
pub fn body_key(digest: &str) -> String {
    format!("gs/bodies/{digest}")
}

/// Returns the key of the record that proves that a document was accepted in an environment.
pub fn proof_key(environment: &str, digest: &str) -> String {
    format!("gs/{environment}/proofs/{digest}")
}

/// Returns the key of a server's [`DrainRecord`].
pub fn drain_key(environment: &str, server: &ServerName) -> String {
    format!("{}{server}", drain_prefix(environment))
}

/// Returns the key prefix of all drain records.
pub fn drain_prefix(environment: &str) -> String {
    format!("{}drains/", orders_prefix(environment))
}

/// Returns the key prefix of all entries' status records.
pub fn status_prefix(environment: &str) -> String {
    format!("gs/{environment}/status/")
}

/// Returns the key of an entry's [`StatusRecord`].
pub fn status_key(environment: &str, entry: &str) -> String {
    format!("gs/{environment}/status/{entry}")
}

/// Returns the key prefix of the heads of all claim shards.
pub fn shard_prefix(environment: &str) -> String {
    format!("gs/{environment}/claims/")
}

/// Returns the key of a claim shard's head.
pub fn shard_key(environment: &str, shard: u32) -> String {
    format!("gs/{environment}/claims/{shard:04}")
}

/// Returns the key of one segment of a claim shard, written under the given fencing number.
pub fn segment_key(environment: &str, shard: u32, fence: FenceNumber, index: u32) -> String {
    format!(
        "gs/{environment}/segments/{shard:04}/{fence:08}-{index:06}",
        fence = fence.0
    )
}

/// The document in force in an environment, and the operation that accepted it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct HeadRecord {
    /// The document's position in the environment's history; never decreases.
    pub sequence: SequenceNumber,
    /// The digest of the document's bytes, as `sha256:` and hexadecimal digits.
    pub digest: String,
    /// The digest of the document that was in force before; `None` for the first.
    pub previous: Option<String>,
    /// The time of acceptance, in milliseconds since 1970.
    pub accepted_at_ms: u64,
    /// The operator who accepted the document.
    pub operator: OperatorName,
    /// The operation's identifier; retries of the operation carry the same one.
    pub operation: OperationId,
    /// Whether the operation rolled back to an earlier document.
    pub roll_back: bool,
}

/// An entry's report of the document that it applies.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct StatusRecord {
    /// The entry's incarnation.
    pub incarnation: u64,
    /// The sequence number of the document in force at the entry.
    pub sequence: SequenceNumber,
    /// The digest of the document in force at the entry.
    pub digest: String,
    /// The time from which the entry has applied the document, in milliseconds since 1970.
    pub since_ms: u64,
    /// Documents that the entry applied earlier, latest first; old ones are dropped.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub earlier: Vec<AppliedRecord>,
}

/// An earlier document that an entry applied, and from when.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct AppliedRecord {
    /// The document's sequence number.
    pub sequence: SequenceNumber,
    /// The time from which the entry has applied the document, in milliseconds since 1970.
    pub since_ms: u64,
}

/// Marks a server that an operator has drained.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct DrainRecord {
    /// The operator who drained the server.
    pub operator: OperatorName,
    /// The time of the drain, in milliseconds since 1970.
    #[serde(rename = "atMs")]
    pub drained_at_ms: u64,
}
