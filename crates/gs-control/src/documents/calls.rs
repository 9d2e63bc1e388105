//! Calls of an operation to the object store of the platform's service, and their replies.

use std::sync::Arc;

use gs_protocol::ids::ObjectVersion;
use thiserror::Error;

/// The precondition of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreCondition {
    /// The object does not exist.
    Absent,
    /// The object is at this version.
    Version(ObjectVersion),
}

/// A call to the object store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Read an object.
    Read {
        /// The object's key.
        key: String,
    },
    /// Write an object if the precondition holds.
    Write {
        /// The object's key.
        key: String,
        /// The new value.
        value: Arc<[u8]>,
        /// The precondition.
        condition: StoreCondition,
    },
}

/// The reply to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreReply {
    /// The version and the value that were read; none if the object does not exist.
    Read(Option<(ObjectVersion, Arc<[u8]>)>),
    /// The write took effect.
    Written,
    /// The precondition does not hold; nothing was written.
    Conflict,
    /// The call failed.
    Failed(StoreFault),
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum StoreFault {
    /// The service refused the call, which had no effect.
    #[error("the platform's service refused the call")]
    Refused,
    /// The service cannot be reached; the call had no effect.
    #[error("the platform's service cannot be reached")]
    Unreachable,
    /// The reply was lost; a write may have taken effect or may still do so.
    #[error("the reply of the platform's service was lost")]
    Unsettled,
    /// The reply or the object cannot be decoded.
    #[error("the reply of the platform's service cannot be decoded")]
    Malformed,
}
