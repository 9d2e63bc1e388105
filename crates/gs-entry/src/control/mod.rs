//! The control thread, which owns all decision state of the entry.

mod actor;
mod messages;
mod peers;
mod requests;
mod resources;

pub use actor::ControlActor;
pub use messages::{
    AttemptPlacement, ControlMessage, CountOpenClaims, HandlePeerCall, ListUsableServers,
    RequestDecision, ServerEndpoint,
};
pub use peers::PeerHandler;
