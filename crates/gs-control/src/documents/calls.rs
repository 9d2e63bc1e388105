//! Calls to the platform's service that an operation needs, and their answers.

use std::sync::Arc;

use gs_protocol::ids::ObjectVersion;
use thiserror::Error;

/// What must hold for a write to take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreCondition {
    /// The object does not exist.
    Absent,
    /// The object is at this version.
    Version(ObjectVersion),
}

/// A call to be made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Read an object.
    Read {
        /// The object's key.
        key: String,
    },
    /// Write an object if the condition holds.
    Write {
        /// The object's key.
        key: String,
        /// The value.
        value: Arc<[u8]>,
        /// What must hold.
        condition: StoreCondition,
    },
}

/// The answer to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreReply {
    /// What was read: the version and the value, or nothing.
    Value(Option<(ObjectVersion, Arc<[u8]>)>),
    /// The write took effect.
    Written,
    /// The condition of the write does not hold; nothing was written.
    Conflict,
    /// The call failed.
    Failed(StoreFault),
}

/// How a call failed.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum StoreFault {
    /// The service refused it, and nothing was done.
    #[error("the platform's service refused the call")]
    Refused,
    /// The service cannot be reached, and nothing was done.
    #[error("the platform's service cannot be reached")]
    Unreachable,
    /// The answer was lost; a write may have taken effect, or may still do so.
    #[error("the answer of the platform's service was lost")]
    Unsettled,
    /// The answer or the object cannot be read.
    #[error("the answer of the platform's service cannot be read")]
    Malformed,
}
