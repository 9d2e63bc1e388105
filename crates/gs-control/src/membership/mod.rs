//! Which entries are alive.

mod messages;
mod state;

pub use messages::{
    MemberCandidate, MemberRecord, MemberStatus, MembershipEffect, MembershipEvent,
    MembershipSettings,
};
pub use state::MembershipState;
