//! Which entries are alive.

mod home;
mod messages;
mod state;

pub use home::{HomeCandidate, choose_home};
pub use messages::{
    MemberCandidate, MemberRecord, MemberStatus, MembershipEffect, MembershipEvent,
    MembershipSettings,
};
pub use state::MembershipState;
