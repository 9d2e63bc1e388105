//! Events and effects of the membership slice.

use std::net::SocketAddr;
use std::time::Duration;

use gs_protocol::ids::{DataCentreName, EntryName};
use gs_protocol::peer::{PeerIdentity, PeerState};

/// Times of the membership slice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MembershipSettings {
    /// An entry that was not heard for this time is suspected: callers are not sent to it.
    pub suspect_after: Duration,
    /// An entry that was not heard for this time is dead: its duties are taken over.
    pub dead_after: Duration,
}

/// An entry that the VM list or the settings name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberCandidate {
    /// The entry.
    pub name: EntryName,
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Where peers connect.
    pub peer_address: SocketAddr,
    /// Whether the list says that it is leaving.
    pub leaving: bool,
}

/// What is believed of an entry.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum MemberStatus {
    /// Heard lately.
    Alive,
    /// Alive and shutting down.
    Leaving,
    /// Not heard for some time, or never yet.
    Suspect,
    /// Not heard for long.
    Dead,
}

/// One entry as this one sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberRecord {
    /// Who it is and where it is reached.
    pub peer: PeerIdentity,
    /// What it last said of itself.
    pub state: PeerState,
    /// What is believed of it.
    pub status: MemberStatus,
}

/// What happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipEvent {
    /// A newer list of entries was read. It only names candidates: it may be old.
    CandidatesListed(Vec<MemberCandidate>),
    /// A peer was heard.
    HeartbeatReceived {
        /// Who.
        peer: PeerIdentity,
        /// What it says of itself.
        state: PeerState,
    },
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipEffect {
    /// Keep a link to the entry.
    Connect {
        /// The entry.
        name: EntryName,
        /// Where it takes links.
        peer_address: SocketAddr,
    },
    /// End the link to the entry.
    Disconnect(EntryName),
    /// The belief about an entry has changed.
    StatusChanged {
        /// The start of the entry that the belief is about.
        peer: PeerIdentity,
        /// The new belief.
        status: MemberStatus,
    },
}
