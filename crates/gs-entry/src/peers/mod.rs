//! Links between entries: WebSocket with ciborium, proved by a shared key, watched by heartbeats.

mod accept;
mod dial;
mod error;
mod fleet;
mod handshake;
mod links;
mod socket;

pub use accept::accept_peers;
pub use error::PeerError;
pub use fleet::FleetView;
pub use handshake::PeerCredentials;
pub use links::{PeerLinks, PeerParts};
