//! Errors of calls to the platform.

use gs_protocol::ids::ObjectVersion;
use thiserror::Error;

/// The reason why a call failed. A write that failed with [`PlatformError::Unsettled`] may have
/// taken effect; one that failed with any other error did not.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PlatformError {
    /// The object's version differs from the version that the write requires; nothing was written.
    #[error("version conflict on object \"{key}\": expected {expected:?}")]
    Conflict {
        /// The object's key.
        key: String,
        /// The version that the write requires; `None` if it requires that the object does not
        /// exist.
        expected: Option<ObjectVersion>,
    },
    /// The platform refused the call; it had no effect.
    #[error("the platform refused the call with status {status}")]
    Refused {
        /// The HTTP status: 429 or 503.
        status: u16,
    },
    /// The connection could not be established; the call had no effect.
    #[error("cannot connect to the platform at {address}")]
    Unreachable {
        /// The platform's address.
        address: String,
    },
    /// The call was sent, but no answer arrived in time; it may have taken effect.
    #[error("no answer from the platform for \"{key}\"; the outcome is unknown")]
    Unsettled {
        /// The object's key, or the prefix of a listing or watch.
        key: String,
    },
    /// The answer violates the published protocol.
    #[error("the platform's answer for \"{key}\" is malformed: {detail}")]
    Malformed {
        /// The object's key, or the prefix of a listing or watch.
        key: String,
        /// What is wrong with the answer.
        detail: String,
    },
    /// The value exceeds the platform's size limit; nothing was sent.
    #[error("the value for \"{key}\" has {bytes} bytes; the limit is {limit} bytes")]
    TooLarge {
        /// The object's key.
        key: String,
        /// The value's size, in bytes.
        bytes: usize,
        /// The maximum size, in bytes.
        limit: usize,
    },
}
