//! The document in force at this entry.

mod applied;
mod follow;

pub use applied::AppliedDocument;
pub use follow::follow_orders;
