//! Events and effects of dispatch.

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
use gs_protocol::suspicion::{RequestFingerprint, SuspicionReport};

/// A request and the resources it needs.
#[derive(Clone, Debug)]
pub struct RequestDemand {
    /// Request.
    pub request: RequestId,
    /// Caller that sent the request.
    pub caller: CallerName,
    /// Model to run.
    pub model: ModelName,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Prefix hashes of the prompt, shortest first.
    pub prefix_hashes: Vec<PrefixHash>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Fingerprint under which quarantine tracks crashes caused by this request.
    pub fingerprint: RequestFingerprint,
}

/// A load report of a model server with the server's kind and location.
#[derive(Clone, Debug)]
pub struct ServerObservation {
    /// Kind of the server.
    pub kind: ServerKindName,
    /// Data centre of the server.
    pub data_centre: DataCentreName,
    /// One-way network delay between this entry and the server.
    pub delay: Duration,
    /// Load report.
    pub report: LoadReport,
}

/// Stage that an attempt had reached.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RequestStage {
    /// Reserving a decode slot.
    Reserve,
    /// Waiting for or running the prefill.
    Prefill,
    /// Stream open, but no token received yet.
    Transfer,
    /// Receiving tokens.
    Stream,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The complete answer was delivered.
    Completed {
        /// Tokens of the answer.
        tokens: u32,
    },
    /// A server refused or aborted the attempt with a reason; the server is alive.
    Refused {
        /// Stage that the attempt had reached.
        stage: RequestStage,
        /// Reason given by the server.
        reason: EngineReason,
    },
    /// A server did not respond, or its connection broke or timed out.
    Lost {
        /// Stage that the attempt had reached.
        stage: RequestStage,
        /// Tokens already delivered to the caller.
        tokens: u32,
    },
    /// The caller disconnected and the attempt's resources were cancelled.
    Cancelled,
}

/// An input of the dispatch state machine.
#[derive(Clone, Debug)]
pub enum DispatchEvent {
    /// A document took effect at this entry.
    DocumentApplied(Arc<EnvironmentDocument>),
    /// A server sent a load report.
    LoadReported(ServerObservation),
    /// A server sent cache events.
    CacheChanged {
        /// Server that sent the events.
        server: ServerName,
        /// Changes of its prefix cache.
        events: CacheEvents,
    },
    /// A server no longer accepts new work, by whichever source reports it.
    ServerLeaving(ServerName),
    /// A server has disappeared or does not respond; its next load report makes it available again.
    ServerLost(ServerName),
    /// No process listens at a server's address; the next load report makes it available again.
    ServerDown(ServerName),
    /// A peer sent a report on requests suspected of crashing servers.
    PeerReported {
        /// Peer that sent the report.
        peer: EntryIdentity,
        /// Report of the peer.
        report: SuspicionReport,
    },
    /// A caller's request arrived.
    RequestArrived(RequestDemand),
    /// The caller of a request is gone. If the request was running, its attempt has ended as well.
    RequestCancelled(RequestId),
    /// The prefill of an attempt completed.
    PrefillDone {
        /// Attempt whose prefill completed.
        attempt: AttemptId,
        /// Prompt tokens found in the prefix cache.
        cached_tokens: u32,
    },
    /// An attempt produced its first token.
    FirstToken(AttemptId),
    /// An attempt ended.
    AttemptEnded {
        /// Attempt that ended.
        attempt: AttemptId,
        /// Outcome of the attempt.
        end: AttemptEnd,
    },
    /// Number of entries that now share the fleet, including this one.
    EntryCountChanged(u32),
    /// Timer event, due at [`DispatchState::next_wakeup`](super::DispatchState::next_wakeup) at the
    /// latest.
    Tick,
}

/// An action that the dispatch state machine requests.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchEffect {
    /// Start an attempt: reserve the decode slot, wait for `prefill_after`, prefill, then stream.
    Start {
        /// Request to run.
        request: RequestId,
        /// Id of the attempt, generated from the seed of the state.
        attempt: AttemptId,
        /// Decode server, which generates the stream.
        decode: ServerName,
        /// Prefill server, which computes the prompt.
        prefill: ServerName,
        /// Priority in the servers' queues.
        priority: EnginePriority,
        /// Delay between the reservation and the prefill.
        prefill_after: Duration,
        /// Time after which the attempt fails if it has not produced a first token.
        first_token_within: Duration,
    },
    /// Refuse the request. No attempt of it runs, and none will be started.
    Refuse {
        /// Request to refuse.
        request: RequestId,
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Time after which a retry makes sense.
        retry_after: Option<Duration>,
    },
}
