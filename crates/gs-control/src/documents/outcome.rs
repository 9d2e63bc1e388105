//! The steps and the final results of an operation.

use std::time::Duration;

use gs_protocol::objects::HeadRecord;
use gs_protocol::refusal::RequestOutcome;

use super::calls::{StoreCall, StoreFault};

/// The next step of an operation.
#[derive(Clone, Debug)]
pub enum PromotionStep {
    /// Wait for a delay, make a call, and pass its reply to [`super::PromotionState::handle`].
    Call {
        /// The call to make.
        call: StoreCall,
        /// The delay before the call.
        after: Duration,
    },
    /// The operation has ended.
    End(PromotionEnd),
}

/// How an operation ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PromotionEnd {
    /// The operation's head was written.
    Accepted {
        /// The head that this operation wrote.
        head: HeadRecord,
        /// Whether an earlier run of the same operation wrote it.
        repeated: bool,
    },
    /// Another operation took the sequence number; this one has no effect.
    Overtaken {
        /// The head that took the sequence number.
        winner: HeadRecord,
        /// The head in force.
        head: HeadRecord,
    },
    /// The environment has not reached the expected sequence number.
    NotReached {
        /// The head in force; none if the environment has no document yet.
        head: Option<HeadRecord>,
    },
    /// The operation's ID was already used for a different operation.
    OperationReused {
        /// The head that the earlier operation wrote.
        head: HeadRecord,
    },
    /// The trial environment has not accepted the document.
    NotProven,
    /// The history has no record with the requested sequence number.
    NoSuchSequence,
    /// The calls to the platform's service failed.
    Unavailable {
        /// Whether this run can have had an effect. Earlier runs of the operation are not
        /// considered.
        outcome: RequestOutcome,
        /// The last fault.
        fault: StoreFault,
    },
}
