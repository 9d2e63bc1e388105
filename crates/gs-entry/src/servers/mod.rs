//! Backend servers: the directory from the VM list, and polls of engine load.

mod directory;
mod load;
mod vms;

pub use directory::{ServerDirectory, ServerRecord};
pub use load::ServerPolls;
pub use vms::poll_vms;
