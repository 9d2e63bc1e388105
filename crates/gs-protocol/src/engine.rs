//! The model engines' HTTP protocol, as published.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /v1/reservations` | [`ReserveOrder`] | 200 [`ReserveAnswer`], 409 [`EngineRefusal`] |
//! | `POST /v1/prefills` | [`PrefillOrder`] | 200 [`PrefillAnswer`] when the prefill has ended, 409 or 503 [`EngineRefusal`] |
//! | `POST /v1/streams` | [`StreamOrder`] | 200 with server-sent events, each a [`StreamEvent`], 409 or 503 [`EngineRefusal`] |
//! | `POST /v1/cancels` | [`CancelOrder`] | 200, also when nothing was held |
//! | `GET /v1/held` | | 200 with a list of [`HeldResource`] |
//! | `GET /v1/load` | | 200 [`LoadReport`], measured some time ago |
//! | `GET /v1/cache-events?after=` | | 200 [`CacheEvents`] |
//! | `POST /v1/orders` | [`EngineOrder`] | 200, or 409 [`EngineRefusal`] |
//! | `GET /v1/kv/{attempt}` | | the KV cache of a prefill result, engine to engine only |

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::ids::{AttemptId, EntryIdentity, FenceNumber, ModelName, ServerName};
use crate::prefix::PrefixHash;

/// Which half of the work an engine does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineRole {
    /// Continues streams from KV cache.
    Decode,
    /// Computes KV cache from prompts.
    Prefill,
}

/// How an engine orders its queue: `Urgent` work goes first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EnginePriority {
    /// Before all other work.
    Urgent,
    /// After urgent work.
    Normal,
}

/// Holds a slot and memory of a decode engine until the stream starts or the time to live ends.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ReserveOrder {
    /// The attempt that the slot is for.
    pub attempt: AttemptId,
    /// The entry that owns the attempt.
    pub owner: EntryIdentity,
    /// The model to run.
    pub model: ModelName,
    /// Prompt and output tokens that the stream may hold at most.
    pub tokens: u32,
    /// How long the slot is held unused, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "ttlMs")]
    pub ttl: Duration,
}

/// A slot that is held.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ReserveAnswer {
    /// The attempt that the slot is for.
    pub attempt: AttemptId,
    /// Streams and reservations of the engine, this one included.
    pub batch: u32,
}

/// Computes the KV cache of a prompt.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct PrefillOrder {
    /// The attempt that the prefill is for.
    pub attempt: AttemptId,
    /// The entry that owns the attempt.
    pub owner: EntryIdentity,
    /// The model to run.
    pub model: ModelName,
    /// The place in the engine's queue.
    pub priority: EnginePriority,
    /// The text.
    pub prompt: String,
}

/// A prefill that has ended and whose result is kept for a time.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct PrefillAnswer {
    /// The attempt that the prefill was for.
    pub attempt: AttemptId,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens whose KV cache was found and not computed.
    pub cached_tokens: u32,
    /// How long the result is kept, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "ttlMs")]
    pub ttl: Duration,
}

/// Where a decode engine takes the KV cache of a stream from.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(
    rename_all = "camelCase",
    rename_all_fields = "camelCase",
    tag = "kind"
)]
pub enum KvSource {
    /// From the engine that ran the prefill.
    Engine {
        /// The prefill engine.
        address: SocketAddr,
    },
    /// Computed again from prompt and output, to resume a broken stream.
    Recompute {
        /// The text.
        prompt: String,
    },
}

/// Starts or resumes a stream.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct StreamOrder {
    /// The attempt, which holds a slot of this engine.
    pub attempt: AttemptId,
    /// The entry that owns the attempt.
    pub owner: EntryIdentity,
    /// The model to run.
    pub model: ModelName,
    /// Where the KV cache comes from.
    pub source: KvSource,
    /// Tokens to generate at most, counted from the first token of the request.
    pub max_tokens: u32,
    /// The index of the first token to send: larger than 0 to resume.
    pub from_index: u32,
    /// Determines the generated text, so that a resumed stream goes on alike.
    pub seed: u64,
}

/// One event of a stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(
    rename_all = "camelCase",
    rename_all_fields = "camelCase",
    tag = "event"
)]
pub enum StreamEvent {
    /// One generated token.
    Token {
        /// The attempt that the token answers.
        attempt: AttemptId,
        /// The token's place in the answer, from 0.
        index: u32,
        /// The text.
        text: String,
    },
    /// The stream is whole.
    End {
        /// The attempt that ended.
        attempt: AttemptId,
        /// Tokens of the whole answer.
        tokens: u32,
    },
    /// The engine gave the stream up.
    Failed {
        /// The attempt that failed.
        attempt: AttemptId,
        /// Why.
        reason: EngineReason,
    },
}

impl StreamEvent {
    /// The attempt that the event belongs to.
    pub fn attempt(&self) -> AttemptId {
        match self {
            Self::Token { attempt, .. } | Self::End { attempt, .. } => *attempt,
            Self::Failed { attempt, .. } => *attempt,
        }
    }
}

/// Why an engine refused or gave up.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineReason {
    /// No slot, memory or queue place is free.
    Full,
    /// The engine takes no new work.
    Leaving,
    /// The model is not loaded.
    UnknownModel,
    /// The engine has another role.
    WrongRole,
    /// No slot is held for the attempt.
    NoReservation,
    /// The prefill result is gone.
    KvLost,
    /// The transfer of the KV cache failed.
    TransferFailed,
    /// The attempt was cancelled.
    Cancelled,
    /// The order's fencing number is older than one already seen.
    OldFence,
    /// The body is malformed.
    BadRequest,
}

/// The body of an engine's refusal; the work was not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct EngineRefusal {
    /// Why.
    pub reason: EngineReason,
}

/// Frees whatever an attempt holds and refuses what comes late for it.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct CancelOrder {
    /// The attempt.
    pub attempt: AttemptId,
}

/// What kind of thing an engine holds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResourceKind {
    /// A slot not yet used.
    Reservation,
    /// A prefill that waits or runs.
    Prefill,
    /// A prefill result not yet taken.
    Result,
    /// A stream, its transfer included.
    Stream,
}

/// One thing that an engine holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct HeldResource {
    /// The attempt that it is held for.
    pub attempt: AttemptId,
    /// The entry that owns the attempt.
    pub owner: EntryIdentity,
    /// What is held.
    pub kind: ResourceKind,
    /// KV-cache blocks that it occupies.
    #[serde(rename = "pieces")]
    pub blocks: u32,
    /// Milliseconds since it was first held.
    pub age_ms: u64,
}

/// An engine's load, measured some time before it is read.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct LoadReport {
    /// The engine.
    pub server: ServerName,
    /// The engine's present role.
    pub role: EngineRole,
    /// Models that are loaded.
    pub models: Vec<ModelName>,
    /// Whether the engine takes no new work.
    pub leaving: bool,
    /// Streams that run.
    pub streams: u32,
    /// Slots held and not yet used.
    pub reservations: u32,
    /// Streams that the engine runs at most.
    pub max_streams: u32,
    /// Prompt tokens that wait for or are in prefill.
    pub prefill_tokens: u32,
    /// Prefills that wait or run.
    pub prefills: u32,
    /// Free KV-cache blocks.
    #[serde(rename = "freePieces")]
    pub free_blocks: u32,
    /// The engine's memory, in KV-cache blocks.
    #[serde(rename = "pieces")]
    pub total_blocks: u32,
    /// Bytes that wait on the engine's link.
    pub transfer_bytes: u64,
    /// Prompt tokens prefilled a second.
    pub prefill_rate: u32,
    /// Bytes a second of the engine's link.
    pub link_rate: u64,
    /// Microseconds that one decode step takes with one stream.
    pub step_base_us: u32,
    /// Microseconds that each further stream adds to a step.
    pub step_stream_us: u32,
    /// The largest fencing number seen.
    pub fence: FenceNumber,
    /// Which start of the engine this is.
    pub boot: u64,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheChange {
    /// The prefix is held now.
    Stored,
    /// The prefix is no longer held.
    Evicted,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct CacheEvent {
    /// The event's number; a missing number is a lost event.
    pub number: u64,
    /// What changed.
    pub change: CacheChange,
    /// The hash of the prefix.
    #[serde(rename = "piece")]
    pub prefix: PrefixHash,
}

/// Cache events after a number, oldest first.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct CacheEvents {
    /// The events.
    pub events: Vec<CacheEvent>,
    /// The number to give as `after` next time.
    pub last: u64,
    /// Which start of the engine this is; numbers begin anew with it.
    pub boot: u64,
}

/// What an order changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(
    rename_all = "camelCase",
    rename_all_fields = "camelCase",
    tag = "kind"
)]
pub enum OrderKind {
    /// Load a model from the weight store.
    LoadModel {
        /// The model.
        model: ModelName,
    },
    /// Drop a model.
    UnloadModel {
        /// The model.
        model: ModelName,
    },
    /// Change the engine's role once its work has ended.
    SetRole {
        /// The new role.
        role: EngineRole,
    },
    /// Take no new work, or take it again.
    SetLeaving {
        /// Whether to leave.
        leaving: bool,
    },
}

/// An order to an engine. Engines that check it refuse a fencing number lower than one seen.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct EngineOrder {
    /// The fencing number of the lease under which the order is given.
    pub fence: FenceNumber,
    /// What to change.
    pub order: OrderKind,
}
