//! Steps and ends of an operation.

use std::time::Duration;

use gs_protocol::objects::HeadRecord;
use gs_protocol::refusal::RequestOutcome;

use super::calls::{StoreCall, StoreFault};

/// What an operation does next.
#[derive(Clone, Debug)]
pub enum PromotionStep {
    /// Make a call after a pause, and hand its answer to [`super::PromotionState::handle`].
    Call {
        /// The call.
        call: StoreCall,
        /// The pause.
        after: Duration,
    },
    /// The operation has ended.
    End(PromotionEnd),
}

/// How an operation ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PromotionEnd {
    /// The head was accepted.
    Accepted {
        /// The head of this operation.
        head: HeadRecord,
        /// Whether an earlier call of the operation had it accepted.
        repeated: bool,
    },
    /// Another operation took the sequence number; this one has no effect.
    Overtaken {
        /// The head that took the sequence number.
        winner: HeadRecord,
        /// The head in force.
        head: HeadRecord,
    },
    /// The expected sequence number has not been reached.
    NotReached {
        /// The head in force.
        head: Option<HeadRecord>,
    },
    /// The operation's identity was used before for something else.
    OperationReused {
        /// What it was used for.
        head: HeadRecord,
    },
    /// The document was not accepted in trial.
    NotProven,
    /// History has no such sequence number.
    NoSuchSequence,
    /// The platform's service did not answer as needed.
    Unavailable {
        /// Whether this call can have had an effect; earlier calls of the operation are not spoken of.
        outcome: RequestOutcome,
        /// The last fault.
        fault: StoreFault,
    },
}
