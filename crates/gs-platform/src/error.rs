//! What can go wrong with a call to the platform's service.

use gs_protocol::ids::ObjectVersion;
use thiserror::Error;

/// Why a call failed. Only [`PlatformError::Unsettled`] leaves it open whether a write took effect.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PlatformError {
    /// The object has another version than the write asked for; nothing was written.
    #[error("object \"{key}\" is not at version {expected:?}")]
    Conflict {
        /// The object's key.
        key: String,
        /// The version that the write asked for; none if it asked for a new object.
        expected: Option<ObjectVersion>,
    },
    /// The service refused the call before doing anything.
    #[error("the platform's service refused the call with status {status}")]
    Refused {
        /// The HTTP status: 429 or 503.
        status: u16,
    },
    /// No connection could be made: nothing was done.
    #[error("the platform's service cannot be reached at {address}")]
    Unreachable {
        /// Where it was looked for.
        address: String,
    },
    /// The call went out and its answer was lost or came too late: it may have taken effect.
    #[error("no answer came for object \"{key}\"")]
    Unsettled {
        /// The object's key.
        key: String,
    },
    /// The answer does not follow the published protocol.
    #[error("the platform's answer for \"{key}\" is malformed: {detail}")]
    Malformed {
        /// The object's key.
        key: String,
        /// What was found.
        detail: String,
    },
    /// The value is larger than the service takes.
    #[error("the value for \"{key}\" has {bytes} bytes; {limit} are allowed")]
    TooLarge {
        /// The object's key.
        key: String,
        /// The value's size.
        bytes: usize,
        /// The largest size.
        limit: usize,
    },
}
