//! Messages between entries, as ciborium values in binary WebSocket frames.
//!
//! The side that connects sends [`PeerFrame::Hello`]; the other answers [`PeerFrame::Challenge`] with its
//! own proof; the first sends [`PeerFrame::Proof`]. A proof is an HMAC-SHA256 with the shared key. After
//! that the connecting side sends heartbeats and calls, and the other side acknowledges and replies.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::claims::{ClaimCall, ClaimReply};
use crate::ids::{DataCentreName, EntryIdentity, SequenceNumber};
use crate::suspicion::SuspicionReport;

/// The version of these messages. Peers with another version are refused.
pub const PEER_PROTOCOL_VERSION: u32 = 1;

/// The largest frame, in bytes.
pub const MAX_PEER_FRAME_BYTES: usize = 2_097_152;

/// Bytes of a nonce and of a proof.
pub const PROOF_BYTES: usize = 32;

/// Who an entry is and where it is reached.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerIdentity {
    /// The start of the entry.
    pub identity: EntryIdentity,
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Where peers connect.
    pub peer_address: SocketAddr,
}

/// What an entry tells its peers again and again.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerState {
    /// Whether the entry is shutting down.
    pub leaving: bool,
    /// The sequence number of the document in force there; 0 if none is.
    pub sequence: SequenceNumber,
}

/// Why a peer is refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, thiserror::Error, PartialEq, Serialize)]
pub enum PeerRefusal {
    /// The peer speaks another version.
    #[error("the peer speaks protocol version {found}; version {expected} is spoken here")]
    WrongVersion {
        /// The peer's version.
        found: u32,
        /// The version spoken here.
        expected: u32,
    },
    /// The proof does not fit the shared key.
    #[error("the peer does not know the shared key")]
    WrongProof,
    /// The frame is no message, or not one that may come now.
    #[error("the peer sent a frame that is not expected")]
    UnexpectedFrame,
    /// An entry connected to itself, or to one of the same name.
    #[error("the peer has this entry's own name")]
    OwnName,
}

/// What a peer asks.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerCall {
    /// The document in force at the peer, for an entry that cannot read it from the platform.
    FetchDocument,
    /// A call to the owner of a shard of claims.
    Claim(ClaimCall),
    /// What the owner answers; it may come long after the call.
    ClaimReply(ClaimReply),
}

/// What a peer answers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerReply {
    /// The document in force, if one is.
    Document(Option<PeerDocument>),
    /// The message was taken.
    #[serde(rename = "Taken")]
    Accepted,
}

/// A document as it travels between entries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerDocument {
    /// The place in the environment's history.
    pub sequence: SequenceNumber,
    /// The digest of the bytes.
    pub digest: String,
    /// The bytes.
    pub body: String,
}

/// One frame.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerFrame {
    /// Opens a link.
    Hello {
        /// The version that the sender speaks.
        version: u32,
        /// Who the sender is.
        peer: PeerIdentity,
        /// What the other side's proof must cover.
        nonce: [u8; PROOF_BYTES],
    },
    /// Answers a hello.
    Challenge {
        /// Who the sender is.
        peer: PeerIdentity,
        /// What the other side's proof must cover.
        nonce: [u8; PROOF_BYTES],
        /// The proof over the hello's nonce.
        proof: [u8; PROOF_BYTES],
    },
    /// Answers a challenge; the link is open.
    Proof {
        /// The proof over the challenge's nonce.
        proof: [u8; PROOF_BYTES],
    },
    /// Ends a link that is not wanted.
    Refused(PeerRefusal),
    /// The connecting side lives.
    Heartbeat {
        /// Which heartbeat of the link.
        number: u64,
        /// The sender's state.
        state: PeerState,
    },
    /// The other side lives.
    HeartbeatAck {
        /// Which heartbeat is acknowledged.
        number: u64,
        /// The sender's state.
        state: PeerState,
    },
    /// Asks something.
    Call {
        /// Which call of the link.
        number: u64,
        /// What is asked.
        call: PeerCall,
    },
    /// Tells what the sender, of either side, knows of requests that may crash servers.
    Suspicions(SuspicionReport),
    /// Answers a call.
    Reply {
        /// Which call is answered.
        number: u64,
        /// The answer.
        reply: PeerReply,
    },
}
