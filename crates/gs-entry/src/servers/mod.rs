//! Backend servers: which there are, where they stand, and how loaded they are.

mod directory;
mod load;
mod vms;

pub use directory::{ServerDirectory, ServerRecord};
pub use load::ServerPolls;
pub use vms::poll_vms;
