//! Membership: which entries are alive, and which of them is the home of a server.

mod home;
mod messages;
mod state;

pub use home::{HomeCandidate, choose_home};
pub use messages::{
    MemberCandidate, MemberRecord, MemberStatus, MembershipEffect, MembershipEvent,
    MembershipSettings,
};
pub use state::MembershipState;
