//! Failures of links between entries.

use gs_protocol::peer::PeerRefusal;

/// Reason why a link ended.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum PeerError {
    /// The connection could not be established.
    #[error("the connection could not be established: {detail}")]
    Connect {
        /// Error of the operating system or the library.
        detail: String,
    },
    /// The connection broke.
    #[error("the connection broke: {detail}")]
    Broken {
        /// Error of the library.
        detail: String,
    },
    /// Nothing arrived or could be sent within the time limit.
    #[error("the peer did not respond within {waited_ms} ms")]
    Silent {
        /// Time limit, in milliseconds.
        waited_ms: u64,
    },
    /// This entry refused the peer.
    #[error("the peer was refused: {0}")]
    Refused(PeerRefusal),
    /// The peer refused this entry.
    #[error("the peer refused this entry: {0}")]
    RefusedByPeer(PeerRefusal),
}
