//! How a link between entries fails.

use gs_protocol::peer::PeerRefusal;

/// Why a link ended.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum PeerError {
    /// No connection was made.
    #[error("no connection was made: {detail}")]
    Connect {
        /// What the operating system or the library reports.
        detail: String,
    },
    /// The connection broke.
    #[error("the connection broke: {detail}")]
    Broken {
        /// What the library reports.
        detail: String,
    },
    /// Nothing came for too long.
    #[error("the peer was silent for {waited_ms} ms")]
    Silent {
        /// How long was waited.
        waited_ms: u64,
    },
    /// This side refused the peer.
    #[error("the peer was refused: {0}")]
    Refused(PeerRefusal),
    /// The peer refused this side.
    #[error("the peer refused this entry: {0}")]
    RefusedByPeer(PeerRefusal),
}
