//! Claims on idempotency keys of non-idempotent requests: identifiers, stored answers and messages
//! between entries.

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};
use sha2::{Digest, Sha256};

use crate::ids::{AttemptId, CallerName, EntryIdentity, IdempotencyKey};
use crate::refusal::{RefusalReason, RequestOutcome};

/// The UUID version that starts with a timestamp in milliseconds.
const TIME_ORDERED_VERSION: usize = 7;

impl IdempotencyKey {
    /// Returns the key's creation time in milliseconds since 1970; `None` if it is not a UUIDv7.
    pub fn time_ms(self) -> Option<u64> {
        if self.0.get_version_num() != TIME_ORDERED_VERSION {
            return None;
        }
        Some((self.0.as_u128() >> 80) as u64)
    }
}

/// Identifies a claim: a digest of the caller's name and the idempotency key.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ClaimId(#[serde_as(as = "Bytes")] pub [u8; 16]);

impl ClaimId {
    /// Derives the identifier from a caller and its key.
    pub fn derive(caller: &CallerName, key: IdempotencyKey) -> Self {
        Self(digest(&[caller.as_str().as_bytes(), key.0.as_bytes()]))
    }

    /// Returns the index of the claim's shard, out of `shards`.
    pub fn shard(self, shards: u32) -> u32 {
        (self.0[8..]
            .iter()
            .fold(0u64, |sum, byte| sum << 8 | u64::from(*byte))
            % u64::from(shards)) as u32
    }

    /// Returns the first 8 bytes, which the index of stored claims uses as its key.
    pub fn prefix(self) -> u64 {
        self.0[..8]
            .iter()
            .fold(0u64, |sum, byte| sum << 8 | u64::from(*byte))
    }
}

/// A digest of a request's method, path and body.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ClaimFingerprint(#[serde_as(as = "Bytes")] pub [u8; 16]);

impl ClaimFingerprint {
    /// Computes the fingerprint of a request.
    pub fn compute(method: &str, path: &str, body: &[u8]) -> Self {
        Self(digest(&[method.as_bytes(), path.as_bytes(), body]))
    }
}

/// Hashes each part with its length, so that different splits of the same bytes give different
/// digests.
fn digest(parts: &[&[u8]]) -> [u8; 16] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let full = hasher.finalize();
    let mut short = [0; 16];
    short.copy_from_slice(&full[..16]);
    short
}

/// A backend server's answer, stored to replay it when the key is used again.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// The answer's HTTP status.
    #[serde(rename = "s")]
    pub status: u16,
    /// The value of the answer's `Content-Type`.
    #[serde(rename = "t")]
    pub content_type: String,
    /// The answer's body.
    #[serde(rename = "b")]
    #[serde_as(as = "Bytes")]
    pub body: Vec<u8>,
}

/// A call from an entry to the owner of a claim shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimCall {
    /// Claims a key for an attempt. Repeating the call for the same attempt has no further effect.
    Claim {
        /// The attempt that requests the claim.
        attempt: AttemptId,
        /// The claim.
        id: ClaimId,
        /// The key's creation time, in milliseconds since 1970.
        time_ms: u64,
        /// The request's fingerprint.
        fingerprint: ClaimFingerprint,
        /// How long to wait for another attempt with the same key to end, in milliseconds.
        wait_ms: u64,
    },
    /// The attempt has ended.
    Finish {
        /// The attempt that holds the claim.
        attempt: AttemptId,
        /// The claim.
        id: ClaimId,
        /// The answer to store; `None` if the outcome is unknown or the answer is not stored.
        answer: Option<StoredAnswer>,
    },
    /// The attempt did not run and never will.
    Release {
        /// The attempt.
        attempt: AttemptId,
        /// The claim.
        id: ClaimId,
    },
    /// The sender has released its lease on a shard; the receiver should acquire it.
    Vacated {
        /// The shard's index.
        shard: u32,
    },
}

/// A shard owner's reply to a [`ClaimCall`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimReply {
    /// The claim is durable and the attempt may run.
    Granted {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Another attempt with the same key is running; a second reply follows when it ends.
    Waiting {
        /// The attempt.
        attempt: AttemptId,
    },
    /// An earlier attempt with the same key completed with this answer.
    Replayed {
        /// The attempt.
        attempt: AttemptId,
        /// The stored answer.
        answer: StoredAnswer,
    },
    /// The attempt must not run.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// The reason to return to the caller.
        reason: RefusalReason,
        /// The outcome to return to the caller.
        outcome: RequestOutcome,
    },
    /// The finish or release is durable.
    Closed {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The receiver of the call does not own the shard.
    NotOwner {
        /// The attempt.
        attempt: AttemptId,
        /// The shard's owner, if the replying entry knows it.
        owner: Option<EntryIdentity>,
    },
}

impl ClaimReply {
    /// Returns the attempt that the reply is for.
    pub fn attempt(&self) -> AttemptId {
        match self {
            Self::Granted { attempt }
            | Self::Waiting { attempt }
            | Self::Replayed { attempt, .. }
            | Self::Refused { attempt, .. }
            | Self::Closed { attempt }
            | Self::NotOwner { attempt, .. } => *attempt,
        }
    }
}
