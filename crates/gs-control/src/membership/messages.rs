//! Settings, events and effects of membership.

use std::net::SocketAddr;
use std::time::Duration;

use gs_protocol::ids::{DataCentreName, EntryName};
use gs_protocol::peer::{PeerIdentity, PeerState};

/// Time limits of membership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MembershipSettings {
    /// Time without a heartbeat after which an entry is suspected, so that callers are not sent to
    /// it.
    pub suspect_after: Duration,
    /// Time without a heartbeat after which an entry is dead, so that its duties are taken over.
    pub dead_after: Duration,
}

/// An entry that is listed by the VM list or the settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberCandidate {
    /// The name of the entry.
    pub name: EntryName,
    /// The data centre that it runs in.
    pub data_centre: DataCentreName,
    /// The address that callers connect to.
    pub address: SocketAddr,
    /// The address that peers connect to.
    pub peer_address: SocketAddr,
    /// Whether it is listed as shutting down.
    pub leaving: bool,
}

/// The liveness of an entry, as seen by this one.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum MemberStatus {
    /// A recent heartbeat was received.
    Alive,
    /// A recent heartbeat was received, and the entry is shutting down.
    Leaving,
    /// No recent heartbeat was received.
    Suspect,
    /// No heartbeat was received for long enough that the entry's duties are taken over.
    Dead,
}

/// The state of one entry, as known to this one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberRecord {
    /// Its identity and addresses.
    pub peer: PeerIdentity,
    /// The state in its newest heartbeat.
    pub state: PeerState,
    /// Its liveness.
    pub status: MemberStatus,
}

/// An input of the membership state machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipEvent {
    /// A newer list of entries was read. It only lists candidates, because it may be stale.
    CandidatesListed(Vec<MemberCandidate>),
    /// A heartbeat of a peer was received, or its acknowledgement of one.
    HeartbeatReceived {
        /// The sender.
        peer: PeerIdentity,
        /// The state that it reports.
        state: PeerState,
    },
    /// Time has passed; timeouts are checked.
    Tick,
}

/// An action that the membership state machine requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipEffect {
    /// Connect to the entry and keep the link open.
    Connect {
        /// The name of the entry.
        name: EntryName,
        /// The address that it accepts links on.
        peer_address: SocketAddr,
    },
    /// Close the link to the entry.
    Disconnect(EntryName),
    /// The status of an entry has changed.
    StatusChanged {
        /// The entry, with the incarnation that the status applies to.
        peer: PeerIdentity,
        /// The new status.
        status: MemberStatus,
    },
}
