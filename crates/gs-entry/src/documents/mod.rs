//! The document in force at this entry, and the orders that it follows.

mod applied;
mod desk;
mod fetch;
mod follow;
mod status;

pub use applied::AppliedDocument;
pub use desk::{DocumentDesk, DocumentOutput};
pub use follow::follow_orders;
pub use status::report_status;
