//! The document in force at this entry, and the orders that it follows.

mod applied;
mod fetch;
mod handler;
mod status;
mod watch;

pub use applied::AppliedDocument;
pub use handler::{DocumentDesk, DocumentOutput};
pub use status::report_status;
pub use watch::follow_orders;
