//! An in-memory object store, for tests and the platform stand-in.

mod fake;
mod store;

pub use fake::{CallFault, MemoryPlatform};
pub use store::ObjectStore;
pub(crate) use store::check_size;
