//! The control thread: owns all decision state of the entry.

mod actor;
mod messages;
mod peers;
mod requests;
mod resources;

pub use actor::ControlActor;
pub use messages::{
    AnswerPeer, AttemptOrder, ControlMessage, CountClaims, ReadSnapshot, RequestDecision,
    ServerEndpoint,
};
pub use peers::PeerDesk;
