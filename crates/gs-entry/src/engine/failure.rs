//! Failures of calls to engines.

use gs_protocol::engine::EngineReason;

/// Failure of a call to an engine.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum EngineFailure {
    /// The engine refused the call and runs nothing for it.
    #[error("the engine refused: {0:?}")]
    Refused(EngineReason),
    /// The connection could not be established, or it broke.
    #[error("the connection to the engine broke: {detail}")]
    Broken {
        /// Error of the client library.
        detail: String,
    },
    /// No process listens at the engine's address.
    #[error("the engine's address refuses connections")]
    Unreachable,
    /// No bytes arrived within the time limit.
    #[error("the engine sent nothing for {waited_ms} ms")]
    Silent {
        /// Time limit, in milliseconds.
        waited_ms: u64,
    },
    /// The answer does not follow the protocol.
    #[error("the engine's answer is malformed: {detail}")]
    Malformed {
        /// Description of the error.
        detail: String,
    },
}
