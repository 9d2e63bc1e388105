//! Claims of non-idempotent requests: identities, kept answers and the messages between entries.

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};
use sha2::{Digest, Sha256};

use crate::ids::{AttemptId, CallerName, EntryIdentity, IdempotencyKey};
use crate::refusal::{RefusalReason, RequestOutcome};

/// The version number of UUIDs that carry a time in milliseconds.
const TIME_ORDERED_VERSION: usize = 7;

impl IdempotencyKey {
    /// Milliseconds since 1970 at which the key was made; none if it is not a UUIDv7.
    pub fn time_ms(self) -> Option<u64> {
        if self.0.get_version_num() != TIME_ORDERED_VERSION {
            return None;
        }
        Some((self.0.as_u128() >> 80) as u64)
    }
}

/// What a claim is kept under: a digest of the caller's name and its idempotency key.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ClaimId(#[serde_as(as = "Bytes")] pub [u8; 16]);

impl ClaimId {
    /// The identity of a caller's key.
    pub fn derive(caller: &CallerName, key: IdempotencyKey) -> Self {
        Self(digest(&[caller.as_str().as_bytes(), key.0.as_bytes()]))
    }

    /// The shard that keeps the claim.
    pub fn shard(self, shards: u32) -> u32 {
        (self.0[8..]
            .iter()
            .fold(0u64, |sum, byte| sum << 8 | u64::from(*byte))
            % u64::from(shards)) as u32
    }

    /// The part of the identity that an index of kept claims holds.
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
    /// The fingerprint of a request.
    pub fn compute(method: &str, path: &str, body: &[u8]) -> Self {
        Self(digest(&[method.as_bytes(), path.as_bytes(), body]))
    }
}

/// Hashes parts with their lengths, so that no two lists of parts run together.
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

/// The answer of a backend server, kept for repeats of the key.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    #[serde(rename = "s")]
    pub status: u16,
    /// The media type.
    #[serde(rename = "t")]
    pub content_type: String,
    /// The body.
    #[serde(rename = "b")]
    #[serde_as(as = "Bytes")]
    pub body: Vec<u8>,
}

/// What an entry asks of the owner of a shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimCall {
    /// Claim a key for an attempt. A repeat with the same attempt is harmless.
    Claim {
        /// The attempt that wants to run.
        attempt: AttemptId,
        /// What to claim.
        id: ClaimId,
        /// The time in the key, in milliseconds since 1970.
        time_ms: u64,
        /// The request's fingerprint.
        fingerprint: ClaimFingerprint,
        /// How long to wait for another attempt under the key, in milliseconds.
        wait_ms: u64,
    },
    /// The attempt has ended; without an answer, its end is not known or its answer is not kept.
    Finish {
        /// The attempt that holds the claim.
        attempt: AttemptId,
        /// The claim.
        id: ClaimId,
        /// The answer to keep.
        answer: Option<StoredAnswer>,
    },
    /// The attempt has not run and never will.
    Release {
        /// The attempt.
        attempt: AttemptId,
        /// The claim.
        id: ClaimId,
    },
    /// The sender has given up a shard, which the receiver should take.
    Vacated {
        /// The shard.
        shard: u32,
    },
}

/// What the owner of a shard answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimReply {
    /// The claim is written; the attempt may run.
    Granted {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Another attempt under the key is running; an answer follows when it ends.
    Waiting {
        /// The attempt.
        attempt: AttemptId,
    },
    /// An earlier attempt ran to its end with this answer.
    Replayed {
        /// The attempt.
        attempt: AttemptId,
        /// The kept answer.
        answer: StoredAnswer,
    },
    /// The attempt may not run.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: RefusalReason,
        /// What is said of the request.
        outcome: RequestOutcome,
    },
    /// A finish or release is written.
    Closed {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The receiver of the call does not own the shard.
    NotOwner {
        /// The attempt.
        attempt: AttemptId,
        /// The owner, as far as the receiver knows.
        owner: Option<EntryIdentity>,
    },
}

impl ClaimReply {
    /// The attempt that the reply is for.
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
