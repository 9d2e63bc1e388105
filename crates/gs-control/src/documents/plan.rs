//! Operations that operators request.

use std::sync::Arc;

use gs_protocol::ids::{OperationId, OperatorName, SequenceNumber};

use super::BackoffPolicy;

/// How often and after which delays failed calls are retried.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Number of failed calls after which the operation fails.
    pub max_failures: u32,
    /// The delays between calls.
    pub backoff: BackoffPolicy,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            max_failures: 6,
            backoff: BackoffPolicy::default(),
        }
    }
}

/// The document that an operation brings into force.
#[derive(Clone, Debug)]
pub enum PromotionAction {
    /// A new document, which has been validated.
    Try {
        /// The bytes of the document.
        bytes: Arc<[u8]>,
    },
    /// A document that the trial environment has accepted.
    Promote {
        /// The digest of the document.
        digest: String,
        /// The environment that must have accepted it.
        trial: String,
    },
    /// The document of an earlier sequence number of the same environment.
    RollBack {
        /// The earlier sequence number.
        sequence: SequenceNumber,
    },
}

/// One operation that an operator requests.
#[derive(Clone, Debug)]
pub struct PromotionPlan {
    /// The environment whose head is changed.
    pub environment: String,
    /// Whether proofs of acceptance are written, which promotion to another environment requires.
    pub writes_proofs: bool,
    /// The document to bring into force.
    pub action: PromotionAction,
    /// The operator who requests it.
    pub operator: OperatorName,
    /// The ID of the operation; a retry of the operation has the same ID.
    pub operation: OperationId,
    /// The sequence number of the head that the operator wants to replace; 0 for none.
    pub expected: SequenceNumber,
    /// The time of acceptance, in milliseconds since 1970.
    pub accepted_at_ms: u64,
    /// How failed calls are retried.
    pub retry: RetryPolicy,
}
