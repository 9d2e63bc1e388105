//! The document in force at this entry, and the operator orders in the platform's service.

mod applied;
mod fetch;
mod handler;
mod status;
mod watch;

pub use applied::AppliedDocument;
pub use handler::{DocumentHandler, DocumentOutput};
pub use status::report_status;
pub use watch::watch_orders;
