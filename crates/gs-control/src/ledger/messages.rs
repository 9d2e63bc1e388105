//! Events and effects of the ledger.

use std::time::{Duration, Instant};

use gs_protocol::claims::{ClaimCall, ClaimFingerprint, ClaimReply, KeptAnswer};
use gs_protocol::ids::{AttemptId, CallerName, EntryIdentity, IdempotencyKey, ObjectVersion};
use gs_protocol::platform::ObjectEntry;
use gs_protocol::refusal::{RefusalReason, RequestOutcome};

/// One call of the platform's service.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StoreOperationId {
    /// The shard that the call is for.
    pub shard: u32,
    /// The place of the call among all calls of the entry.
    pub serial: u64,
}

/// How a call of the platform's service ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreReply {
    /// The object was read; none if it does not exist.
    Read(Option<(ObjectVersion, Vec<u8>)>),
    /// The write took effect with this version.
    Written(ObjectVersion),
    /// The object was removed.
    Removed,
    /// The object is not at the version that was asked for.
    Conflict,
    /// The call certainly had no effect.
    Refused,
    /// No answer came; the call may have taken effect or may still do so.
    Unsettled,
}

/// A non-idempotent request that wants to run.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// The identity of this try.
    pub attempt: AttemptId,
    /// Who sent it.
    pub caller: CallerName,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// The request's fingerprint.
    pub fingerprint: ClaimFingerprint,
    /// When the caller must have an answer.
    pub deadline: Instant,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum LedgerEvent {
    /// The live entries, this one included, unless it is leaving.
    MembersUpdated(Vec<EntryIdentity>),
    /// A document with this retention of keys came into force.
    RetentionUpdated(Duration),
    /// A caller's request needs a claim.
    ClaimRequested(ClaimRequest),
    /// A granted attempt has ended; without an answer, its end is not known.
    AttemptFinished {
        /// The attempt.
        attempt: AttemptId,
        /// The answer, to be kept for repeats.
        answer: Option<KeptAnswer>,
    },
    /// The attempt has not run and never will: the caller is gone, or the server said so.
    AttemptReleased(AttemptId),
    /// Another entry calls.
    CallReceived {
        /// The caller.
        from: EntryIdentity,
        /// The call.
        call: ClaimCall,
    },
    /// Another entry answers a call.
    ReplyReceived(ClaimReply),
    /// A call of the platform's service has ended.
    OperationCompleted {
        /// The call.
        operation: StoreOperationId,
        /// How it ended.
        reply: StoreReply,
    },
    /// The versions of the heads were listed; none if that failed.
    HeadsListed(Option<Vec<ObjectEntry>>),
    /// The entry is shutting down: it hands over its shards.
    Leaving,
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum LedgerEffect {
    /// Read an object.
    Read {
        /// The call.
        operation: StoreOperationId,
        /// The object's key.
        key: String,
    },
    /// Write an object if it is at a version, or does not exist if none is given.
    Write {
        /// The call.
        operation: StoreOperationId,
        /// The object's key.
        key: String,
        /// The value.
        value: Vec<u8>,
        /// The version that the object must have.
        expected: Option<ObjectVersion>,
    },
    /// Remove an object that is at a version.
    Remove {
        /// The call.
        operation: StoreOperationId,
        /// The object's key.
        key: String,
        /// The version that the object must have.
        version: ObjectVersion,
    },
    /// List the versions of the objects under a prefix; the event that answers is [`LedgerEvent::HeadsListed`].
    ListHeads {
        /// The prefix.
        prefix: String,
    },
    /// Run the attempt: its claim is written.
    Grant(AttemptId),
    /// Give the caller the kept answer of an earlier attempt.
    Replay {
        /// The attempt.
        attempt: AttemptId,
        /// The kept answer.
        answer: KeptAnswer,
    },
    /// Refuse the attempt.
    Refuse {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: RefusalReason,
        /// What is said of the request.
        outcome: RequestOutcome,
    },
    /// Send a call to another entry.
    Call {
        /// The receiver.
        to: EntryIdentity,
        /// The call.
        call: ClaimCall,
    },
    /// Send a reply to another entry.
    Reply {
        /// The receiver.
        to: EntryIdentity,
        /// The reply.
        reply: ClaimReply,
    },
}
