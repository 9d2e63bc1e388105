//! Events and effects of the dispatch slice.

use std::sync::Arc;
use std::time::Duration;

use gs_document::document::EnvironmentDocument;
use gs_protocol::engine::{CacheEvents, EnginePriority, EngineReason, LoadReport};
use gs_protocol::ids::{
    AttemptId, CallerName, DataCentreName, EntryIdentity, ModelName, RequestId, ServerKindName,
    ServerName,
};
use gs_protocol::prefix::PrefixHash;
use gs_protocol::refusal::RefusalReason;
use gs_protocol::suspicion::{PromptFingerprint, SuspicionReport};

/// What a request asks of the fleet.
#[derive(Clone, Debug)]
pub struct RequestDemand {
    /// The request.
    pub request: RequestId,
    /// Who sent it.
    pub caller: CallerName,
    /// The model to run.
    pub model: ModelName,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prefix hashes of the prompt, shortest first.
    pub pieces: Vec<PrefixHash>,
    /// Tokens to generate at most.
    pub max_tokens: u32,
    /// What the request makes engines do.
    pub fingerprint: PromptFingerprint,
}

/// A load report of an engine, and where the engine stands.
#[derive(Clone, Debug)]
pub struct ServerSighting {
    /// The engine's kind.
    pub kind: ServerKindName,
    /// Where the engine stands.
    pub data_centre: DataCentreName,
    /// One-way delay from this entry to the engine.
    pub delay: Duration,
    /// What the engine reports.
    pub report: LoadReport,
}

/// How far an attempt had come.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RequestStage {
    /// The decode slot was being reserved.
    Reserve,
    /// The prefill waited or ran.
    Prefill,
    /// The stream was open, with no token yet.
    Transfer,
    /// Tokens were flowing.
    Stream,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The whole answer was given.
    Whole {
        /// Tokens of the answer.
        tokens: u32,
    },
    /// An engine refused it or gave it up, and said so; the engine is alive.
    Refused {
        /// How far the attempt had come.
        stage: RequestStage,
        /// What the engine said.
        reason: EngineReason,
    },
    /// An engine did not answer, or its connection broke or fell silent.
    Lost {
        /// How far the attempt had come.
        stage: RequestStage,
        /// Tokens that the caller has already got.
        tokens: u32,
    },
    /// The caller is gone; whatever was held has been cancelled.
    Withdrawn,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum DispatchEvent {
    /// A document came into force at this entry.
    DocumentApplied(Arc<EnvironmentDocument>),
    /// A load report was read.
    LoadSeen(ServerSighting),
    /// Cache events were read.
    CacheSeen {
        /// The engine.
        server: ServerName,
        /// What changed.
        events: CacheEvents,
    },
    /// The server takes no new work, by any sign.
    ServerLeaving(ServerName),
    /// The server is gone or does not answer; a later load report brings it back.
    ServerLost(ServerName),
    /// No process listens at the server's address; a later load report brings it back.
    ServerDown(ServerName),
    /// A peer has told what it knows of requests that crash servers.
    PeerTold {
        /// The peer.
        peer: EntryIdentity,
        /// What it knows.
        report: SuspicionReport,
    },
    /// A caller's request has come.
    Arrived(RequestDemand),
    /// The caller of a request is gone; if the request ran, its attempt has ended as well.
    Withdrawn(RequestId),
    /// The prefill of an attempt has ended well.
    PrefillDone {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens that were found in the cache.
        cached_tokens: u32,
    },
    /// The first token of an attempt has come.
    FirstToken(AttemptId),
    /// An attempt has ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        end: AttemptEnd,
    },
    /// How many entries share the fleet now, this one included.
    EntriesSeen(u32),
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchEffect {
    /// Reserve the decode slot, wait, prefill, then stream.
    Start {
        /// The request.
        request: RequestId,
        /// The identity of this try, drawn from the slice's seed.
        attempt: AttemptId,
        /// The engine for the stream.
        decode: ServerName,
        /// The engine for the prefill.
        prefill: ServerName,
        /// The place in the engines' queues.
        priority: EnginePriority,
        /// How long to wait between the reservation and the prefill.
        prefill_after: Duration,
        /// The time after which a try that has brought no first token is given up.
        first_token_within: Duration,
    },
    /// Answer with a refusal; nothing runs or will run.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        reason: RefusalReason,
        /// When another try is worth it.
        retry_after: Option<Duration>,
    },
}
