//! How a call to an engine fails.

use gs_protocol::engine::EngineReason;

/// Why an engine did not do what it was asked.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum EngineFailure {
    /// The engine refused, and said so: nothing runs.
    #[error("the engine refused: {0:?}")]
    Refused(EngineReason),
    /// No connection was made, or it broke.
    #[error("the connection to the engine broke: {detail}")]
    Broken {
        /// What the client library reports.
        detail: String,
    },
    /// No process listens at the engine's address.
    #[error("the engine's address refuses connections")]
    Unreachable,
    /// Nothing came for too long.
    #[error("the engine was silent for {waited_ms} ms")]
    Silent {
        /// How long was waited.
        waited_ms: u64,
    },
    /// The answer does not follow the protocol.
    #[error("the engine's answer is malformed: {detail}")]
    Malformed {
        /// What was found.
        detail: String,
    },
}
