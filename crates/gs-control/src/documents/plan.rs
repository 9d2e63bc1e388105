//! What an operator wants done.

use std::sync::Arc;

use gs_protocol::ids::{OperationId, OperatorName, SequenceNumber};

use super::BackoffPolicy;

/// How often and how soon a call is repeated.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Failed calls of one operation after which it is given up.
    pub tries: u32,
    /// The pauses between them.
    pub backoff: BackoffPolicy,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            tries: 6,
            backoff: BackoffPolicy::default(),
        }
    }
}

/// What is to be accepted.
#[derive(Clone, Debug)]
pub enum PromotionAction {
    /// New bytes, which have been checked.
    Try {
        /// The document.
        bytes: Arc<[u8]>,
    },
    /// A document that another environment has accepted.
    Promote {
        /// The digest.
        digest: String,
        /// The environment that must have accepted it.
        trial: String,
    },
    /// The document of an earlier sequence number.
    RollBack {
        /// The sequence number.
        sequence: SequenceNumber,
    },
}

/// One operation of an operator.
#[derive(Clone, Debug)]
pub struct PromotionPlan {
    /// The environment whose head is to change.
    pub environment: String,
    /// Whether other environments accept what this one has accepted.
    pub proving: bool,
    /// What is to be accepted.
    pub action: PromotionAction,
    /// Who wants it.
    pub operator: OperatorName,
    /// The operation, which a repeat carries again.
    pub operation: OperationId,
    /// The sequence number of the head that the operator has seen; 0 for none.
    pub expected: SequenceNumber,
    /// Milliseconds since 1970.
    pub accepted_at_ms: u64,
    /// How calls are repeated.
    pub retry: RetryPolicy,
}
