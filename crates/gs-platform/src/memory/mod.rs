//! The object service in memory, for tests and stand-ins.

mod fake;
mod store;

pub use fake::{CallFault, MemoryPlatform};
pub use store::ObjectStore;
pub(crate) use store::check_size;
