//! Cancel orders that are repeated until the engine has acknowledged them.

mod state;

pub use state::{ReclaimEffect, ReclaimEvent, ReclaimState};
