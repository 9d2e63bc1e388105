//! Events that the ledger handles, and effects that it asks its host to carry out.

use std::time::{Duration, Instant};

use gs_protocol::claims::{ClaimCall, ClaimFingerprint, ClaimReply, StoredAnswer};
use gs_protocol::ids::{AttemptId, CallerName, EntryIdentity, IdempotencyKey, ObjectVersion};
use gs_protocol::platform::ObjectEntry;
use gs_protocol::refusal::{RefusalReason, RequestOutcome};

/// Identifies a call to the platform's object store, to match its reply.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StoreOperationId {
    /// The shard that the call is for.
    pub shard: u32,
    /// The number of the call among all such calls of the entry.
    pub sequence: u64,
}

/// The result of a call to the platform's object store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreReply {
    /// The object was read; none if it does not exist.
    Read(Option<(ObjectVersion, Vec<u8>)>),
    /// The write took effect with this version.
    Written(ObjectVersion),
    /// The object was removed.
    Removed,
    /// The object is not at the expected version; nothing was changed.
    Conflict,
    /// The call failed and had no effect.
    Refused,
    /// No valid reply was received; the call may have taken effect or may still do so.
    Unsettled,
}

/// A non-idempotent request that needs a claim before it runs.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// The identity of this attempt.
    pub attempt: AttemptId,
    /// The caller that sent the request.
    pub caller: CallerName,
    /// The idempotency key of the request.
    pub key: IdempotencyKey,
    /// The digest of method, path and body; a repeat of the key must have the same.
    pub fingerprint: ClaimFingerprint,
    /// The deadline by which the attempt must be granted, replayed or refused.
    pub deadline: Instant,
}

/// An input of the ledger.
#[derive(Clone, Debug)]
pub enum LedgerEvent {
    /// The current live entries, this one included unless it is leaving.
    MembersUpdated(Vec<EntryIdentity>),
    /// A document with this key retention came into force.
    RetentionUpdated(Duration),
    /// A caller's request needs a claim.
    ClaimRequested(ClaimRequest),
    /// A granted attempt has ended.
    AttemptFinished {
        /// The attempt.
        attempt: AttemptId,
        /// The answer to store for repeats of the key; none if the outcome is unknown.
        answer: Option<StoredAnswer>,
    },
    /// The attempt did not run and will not: its caller disconnected, or the backend server
    /// reported so.
    AttemptReleased(AttemptId),
    /// A call from another entry was received.
    CallReceived {
        /// The entry that sent the call.
        from: EntryIdentity,
        /// The call.
        call: ClaimCall,
    },
    /// A reply to a call of this entry was received.
    ReplyReceived(ClaimReply),
    /// A call to the platform's object store has completed.
    OperationCompleted {
        /// The identity of the call, from the effect that started it.
        operation: StoreOperationId,
        /// The result.
        reply: StoreReply,
    },
    /// The result of [`LedgerEffect::ListHeads`]: keys and versions of the heads, or none if the
    /// listing failed.
    HeadsListed(Option<Vec<ObjectEntry>>),
    /// The entry is shutting down and must hand over its shards.
    Leaving,
    /// Timer event, by which retries, time-outs and lease renewals become due.
    Tick,
}

/// An action that the ledger asks its host to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum LedgerEffect {
    /// Read an object.
    Read {
        /// The identity of the call, for its reply.
        operation: StoreOperationId,
        /// The object's key.
        key: String,
    },
    /// Write an object if it is at the expected version.
    Write {
        /// The identity of the call, for its reply.
        operation: StoreOperationId,
        /// The object's key.
        key: String,
        /// The new value.
        value: Vec<u8>,
        /// The version that the object must have; none if it must not exist.
        expected: Option<ObjectVersion>,
    },
    /// Remove an object if it is at the given version.
    Remove {
        /// The identity of the call, for its reply.
        operation: StoreOperationId,
        /// The object's key.
        key: String,
        /// The version that the object must have.
        version: ObjectVersion,
    },
    /// List keys and versions of the heads; [`LedgerEvent::HeadsListed`] returns the result.
    ListHeads {
        /// The key prefix of all heads of the environment.
        prefix: String,
    },
    /// Run the attempt; its claim has been written.
    Grant(AttemptId),
    /// Answer the caller with the stored answer of an earlier attempt.
    Replay {
        /// The attempt.
        attempt: AttemptId,
        /// The stored answer.
        answer: StoredAnswer,
    },
    /// Refuse the attempt.
    Refuse {
        /// The attempt.
        attempt: AttemptId,
        /// The reason for the refusal.
        reason: RefusalReason,
        /// Whether the request is known not to have run.
        outcome: RequestOutcome,
    },
    /// Send a call to another entry.
    Call {
        /// The receiving entry.
        to: EntryIdentity,
        /// The call.
        call: ClaimCall,
    },
    /// Send a reply to another entry.
    Reply {
        /// The receiving entry.
        to: EntryIdentity,
        /// The reply.
        reply: ClaimReply,
    },
}
