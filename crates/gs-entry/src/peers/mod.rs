//! Links between entries: CBOR frames over WebSocket, authenticated by a shared key and monitored
//! by heartbeats.

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
pub use links::{LinkContext, PeerLinks};
