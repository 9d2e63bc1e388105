//! Messages between entries, encoded as CBOR in binary WebSocket frames.
//!
//! The connecting side sends [`PeerFrame::Hello`], the accepting side answers with
//! [`PeerFrame::Challenge`] and its own proof, and the connecting side sends [`PeerFrame::Proof`].
//! A proof is an HMAC-SHA256 under the shared key. After this handshake the connecting side sends
//! heartbeats and calls, and the accepting side acknowledges and replies.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::claims::{ClaimCall, ClaimReply};
use crate::ids::{DataCentreName, EntryIdentity, SequenceNumber};
use crate::suspicion::SuspicionReport;

/// The version of the peer protocol. Peers with a different version are refused.
pub const PEER_PROTOCOL_VERSION: u32 = 1;

/// The maximum size of a frame, in bytes.
pub const MAX_PEER_FRAME_BYTES: usize = 2_097_152;

/// The length of a nonce and of a proof, in bytes.
pub const PROOF_BYTES: usize = 32;

/// An entry's identity, location and addresses.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerIdentity {
    /// The entry's name and incarnation.
    pub identity: EntryIdentity,
    /// The data centre that the entry runs in.
    pub data_centre: DataCentreName,
    /// The address that callers connect to.
    pub address: SocketAddr,
    /// The address that peers connect to.
    pub peer_address: SocketAddr,
}

/// The state that an entry sends with every heartbeat and acknowledgement.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerState {
    /// Whether the entry is shutting down.
    pub leaving: bool,
    /// The sequence number of the document in force at the entry; 0 if there is none.
    pub sequence: SequenceNumber,
}

/// The reason for closing a link to a peer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, thiserror::Error, PartialEq, Serialize)]
pub enum PeerRefusal {
    /// The peer uses a different protocol version.
    #[error("the peer uses protocol version {found}; expected version {expected}")]
    WrongVersion {
        /// The peer's version.
        found: u32,
        /// The version of this entry.
        expected: u32,
    },
    /// The proof was not made with the shared key.
    #[error("the peer does not know the shared key")]
    WrongProof,
    /// The frame cannot be decoded, or is not allowed in the current state of the link.
    #[error("the peer sent an unexpected frame")]
    UnexpectedFrame,
    /// The peer has the same name as this entry, or is this entry itself.
    #[error("the peer has the same name as this entry")]
    OwnName,
}

/// A call to a peer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerCall {
    /// Fetches the document in force at the peer, for an entry that cannot read it from the
    /// platform.
    FetchDocument,
    /// A call to the owner of a claim shard.
    Claim(ClaimCall),
    /// The shard owner's reply to an earlier [`PeerCall::Claim`], possibly long after it.
    ClaimReply(ClaimReply),
}

/// A peer's reply to a call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerReply {
    /// The document in force; `None` if there is none.
    Document(Option<PeerDocument>),
    /// The call was accepted; the reply to a claim follows as a [`PeerCall::ClaimReply`].
    #[serde(rename = "Taken")]
    Accepted,
}

/// A document sent from one entry to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerDocument {
    /// The document's position in the environment's history.
    pub sequence: SequenceNumber,
    /// The digest of the document's bytes.
    pub digest: String,
    /// The document's text.
    pub body: String,
}

/// One frame on a link between entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerFrame {
    /// Opens a link, sent by the connecting side.
    Hello {
        /// The sender's protocol version.
        version: u32,
        /// The sender.
        peer: PeerIdentity,
        /// The nonce that the receiver's proof must cover.
        nonce: [u8; PROOF_BYTES],
    },
    /// Answers a [`PeerFrame::Hello`].
    Challenge {
        /// The sender.
        peer: PeerIdentity,
        /// The nonce that the receiver's proof must cover.
        nonce: [u8; PROOF_BYTES],
        /// The sender's proof over the nonce of the hello.
        proof: [u8; PROOF_BYTES],
    },
    /// Answers a [`PeerFrame::Challenge`]; the link is now open.
    Proof {
        /// The sender's proof over the nonce of the challenge.
        proof: [u8; PROOF_BYTES],
    },
    /// Closes the link with a reason.
    Refused(PeerRefusal),
    /// A heartbeat of the connecting side.
    Heartbeat {
        /// The heartbeat's number on this link.
        number: u64,
        /// The sender's state.
        state: PeerState,
    },
    /// The accepting side's acknowledgement of a heartbeat.
    HeartbeatAck {
        /// The number of the acknowledged heartbeat.
        number: u64,
        /// The sender's state.
        state: PeerState,
    },
    /// A call that the receiver answers with [`PeerFrame::Reply`].
    Call {
        /// The call's number on this link.
        number: u64,
        /// The call.
        call: PeerCall,
    },
    /// Reports requests suspected of crashing backend servers; either side may send it.
    Suspicions(SuspicionReport),
    /// The reply to a call.
    Reply {
        /// The number of the answered call.
        number: u64,
        /// The reply.
        reply: PeerReply,
    },
}
