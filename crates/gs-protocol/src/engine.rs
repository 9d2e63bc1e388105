//! The published HTTP protocol of model engines.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /v1/reservations` | [`ReserveRequest`] | 200 [`ReserveAnswer`], 409 [`EngineRefusal`] |
//! | `POST /v1/prefills` | [`PrefillRequest`] | 200 [`PrefillAnswer`] when the prefill has ended, 409 or 503 [`EngineRefusal`] |
//! | `POST /v1/streams` | [`StreamRequest`] | 200 with server-sent events, each a [`StreamEvent`], 409 or 503 [`EngineRefusal`] |
//! | `POST /v1/cancels` | [`CancelRequest`] | 200, even if nothing was held |
//! | `GET /v1/held` | | 200 with a list of [`HeldResource`] |
//! | `GET /v1/load` | | 200 [`LoadReport`], which lags behind the actual load |
//! | `GET /v1/cache-events?after=` | | 200 [`CacheEvents`] |
//! | `POST /v1/orders` | [`EngineOrder`] | 200, or 409 [`EngineRefusal`] |
//! | `GET /v1/kv/{attempt}` | | the KV cache of a prefill result, only for other engines |

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::ids::{AttemptId, EntryIdentity, FenceNumber, ModelName, ServerName};
use crate::prefix::PrefixHash;

/// The phase of inference that an engine runs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineRole {
    /// Generates tokens from existing KV cache.
    Decode,
    /// Computes KV cache from prompts.
    Prefill,
}

/// The priority of a prefill in an engine's queue.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EnginePriority {
    /// Runs before all normal work.
    Urgent,
    /// Runs after all urgent work.
    Normal,
}

/// Reserves a slot and memory on a decode engine until the stream starts or the time to live
/// expires.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ReserveRequest {
    /// The attempt that the slot is reserved for.
    pub attempt: AttemptId,
    /// The entry that owns the attempt.
    pub owner: EntryIdentity,
    /// The model to run.
    pub model: ModelName,
    /// The maximum number of prompt and output tokens of the stream.
    pub tokens: u32,
    /// The time to live of an unused reservation, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "ttlMs")]
    pub ttl: Duration,
}

/// The answer to a successful [`ReserveRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ReserveAnswer {
    /// The attempt that the slot is reserved for.
    pub attempt: AttemptId,
    /// The number of streams and reservations on the engine, including this one.
    pub batch: u32,
}

/// Requests the computation of a prompt's KV cache.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct PrefillRequest {
    /// The attempt that the prefill is for.
    pub attempt: AttemptId,
    /// The entry that owns the attempt.
    pub owner: EntryIdentity,
    /// The model to run.
    pub model: ModelName,
    /// The priority in the engine's queue.
    pub priority: EnginePriority,
    /// The prompt's text.
    pub prompt: String,
}

/// The answer to a completed [`PrefillRequest`]; the engine holds the result for a limited time.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct PrefillAnswer {
    /// The attempt that the prefill was for.
    pub attempt: AttemptId,
    /// The number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// The number of prompt tokens whose KV cache came from the prefix cache.
    pub cached_tokens: u32,
    /// The time to live of the result, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "ttlMs")]
    pub ttl: Duration,
}

/// The source of a stream's KV cache on a decode engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(
    rename_all = "camelCase",
    rename_all_fields = "camelCase",
    tag = "kind"
)]
pub enum KvSource {
    /// Transferred from the engine that ran the prefill.
    Engine {
        /// The prefill engine's address.
        address: SocketAddr,
    },
    /// Recomputed from the prompt and the output before `from_index`, to resume a broken stream.
    Recompute {
        /// The request's prompt.
        prompt: String,
    },
}

/// Requests the start or the resumption of a stream.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct StreamRequest {
    /// The attempt, which must hold a reservation on this engine.
    pub attempt: AttemptId,
    /// The entry that owns the attempt.
    pub owner: EntryIdentity,
    /// The model to run.
    pub model: ModelName,
    /// The source of the KV cache.
    pub source: KvSource,
    /// The maximum number of output tokens, counted from the request's first output token.
    pub max_tokens: u32,
    /// The index of the first output token to send; larger than 0 when a stream is resumed.
    pub from_index: u32,
    /// The sampling seed. It determines the output, so that a resumed stream continues the same
    /// text.
    pub seed: u64,
}

/// One server-sent event of a stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(
    rename_all = "camelCase",
    rename_all_fields = "camelCase",
    tag = "event"
)]
pub enum StreamEvent {
    /// One generated token.
    Token {
        /// The attempt that the token belongs to.
        attempt: AttemptId,
        /// The token's index in the output, from 0.
        index: u32,
        /// The token's text.
        text: String,
    },
    /// The stream is complete.
    End {
        /// The attempt that completed.
        attempt: AttemptId,
        /// The number of tokens in the complete output.
        tokens: u32,
    },
    /// The engine aborted the stream.
    Failed {
        /// The attempt that failed.
        attempt: AttemptId,
        /// The reason for the failure.
        reason: EngineReason,
    },
}

impl StreamEvent {
    /// Returns the attempt that the event belongs to.
    pub fn attempt(&self) -> AttemptId {
        match self {
            Self::Token { attempt, .. } | Self::End { attempt, .. } => *attempt,
            Self::Failed { attempt, .. } => *attempt,
        }
    }
}

/// The reason for a refusal or for an aborted stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineReason {
    /// No slot, memory or queue capacity is free.
    Full,
    /// The engine is leaving and accepts no new work.
    Leaving,
    /// The model is not loaded.
    UnknownModel,
    /// The engine has another role.
    WrongRole,
    /// The attempt has no reservation on the engine.
    NoReservation,
    /// The prefill result is no longer available.
    KvLost,
    /// The transfer of the KV cache failed.
    TransferFailed,
    /// The attempt was cancelled.
    Cancelled,
    /// The order's fencing number is lower than the highest one received.
    OldFence,
    /// The body is malformed.
    BadRequest,
}

/// The body of an engine's refusal. A refused request was not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct EngineRefusal {
    /// The reason for the refusal.
    pub reason: EngineReason,
}

/// Releases everything that an attempt holds on an engine; later requests for the attempt are
/// refused.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct CancelRequest {
    /// The attempt to cancel.
    pub attempt: AttemptId,
}

/// The kind of resource that an attempt holds on an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResourceKind {
    /// A reservation whose stream has not started.
    Reservation,
    /// A queued or running prefill.
    Prefill,
    /// A prefill result that no decode engine has fetched.
    Result,
    /// A stream, including the transfer of its KV cache.
    Stream,
}

/// One resource that an attempt holds on an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct HeldResource {
    /// The attempt that holds the resource.
    pub attempt: AttemptId,
    /// The entry that owns the attempt.
    pub owner: EntryIdentity,
    /// The kind of resource.
    pub kind: ResourceKind,
    /// The number of KV-cache blocks that the resource occupies.
    #[serde(rename = "pieces")]
    pub blocks: u32,
    /// Time since the resource was allocated, in milliseconds.
    pub age_ms: u64,
}

/// An engine's load, measured some time before the report is read.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct LoadReport {
    /// The engine's name.
    pub server: ServerName,
    /// The engine's current role.
    pub role: EngineRole,
    /// The loaded models.
    pub models: Vec<ModelName>,
    /// Whether the engine is leaving and accepts no new work.
    pub leaving: bool,
    /// The number of running streams.
    pub streams: u32,
    /// The number of reservations whose stream has not started.
    pub reservations: u32,
    /// The maximum number of concurrent streams.
    pub max_streams: u32,
    /// The number of prompt tokens in queued and running prefills.
    pub prefill_tokens: u32,
    /// The number of queued and running prefills.
    pub prefills: u32,
    /// The number of free KV-cache blocks.
    #[serde(rename = "freePieces")]
    pub free_blocks: u32,
    /// The total number of KV-cache blocks.
    #[serde(rename = "pieces")]
    pub total_blocks: u32,
    /// The number of bytes queued on the engine's network link.
    pub transfer_bytes: u64,
    /// The prefill throughput, in prompt tokens per second.
    pub prefill_rate: u32,
    /// The bandwidth of the engine's network link, in bytes per second.
    pub link_rate: u64,
    /// The duration of a decode step with one stream, in microseconds.
    pub step_base_us: u32,
    /// The time that each additional stream adds to a decode step, in microseconds.
    pub step_stream_us: u32,
    /// The highest fencing number received.
    pub fence: FenceNumber,
    /// The engine's boot number; a later boot has a larger number.
    pub boot: u64,
}

/// How a prefix cache changed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheChange {
    /// The prefix was added to the cache.
    Stored,
    /// The prefix was evicted from the cache.
    Evicted,
}

/// One change to an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct CacheEvent {
    /// The event's sequence number; a gap means that an event was lost.
    pub number: u64,
    /// The change.
    pub change: CacheChange,
    /// The hash of the prefix.
    #[serde(rename = "piece")]
    pub prefix: PrefixHash,
}

/// The cache events after a given sequence number, oldest first.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct CacheEvents {
    /// The events, oldest first.
    pub events: Vec<CacheEvent>,
    /// The sequence number to pass as `after` in the next request.
    pub last: u64,
    /// The engine's boot number. Sequence numbers restart with every boot.
    pub boot: u64,
}

/// The change that an [`EngineOrder`] makes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(
    rename_all = "camelCase",
    rename_all_fields = "camelCase",
    tag = "kind"
)]
pub enum OrderKind {
    /// Loads a model from the weight store.
    LoadModel {
        /// The model.
        model: ModelName,
    },
    /// Unloads a model.
    UnloadModel {
        /// The model.
        model: ModelName,
    },
    /// Changes the engine's role once its running work has ended.
    SetRole {
        /// The new role.
        role: EngineRole,
    },
    /// Makes the engine stop or resume accepting new work.
    SetLeaving {
        /// True to stop accepting new work.
        leaving: bool,
    },
}

/// An administrative order to an engine. Engines that check fencing refuse an order whose fencing
/// number is lower than the highest one received.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct EngineOrder {
    /// The fencing number of the lease under which the order is sent.
    pub fence: FenceNumber,
    /// The change to make.
    pub order: OrderKind,
}
