//! Stand-ins of engines, services and the platform, a load tool and a long randomised run. For development only.

pub mod capacity;
pub mod engine;
mod error;
pub mod harness;
pub mod load;
pub mod platform;
pub mod relay;
pub mod service;
pub mod slopes;
pub mod soak;

pub use error::StandinError;

/// How long an engine or service keeps an idle connection open: longer than clients do, so that none
/// sends a request on a connection that is being closed.
const KEEP_ALIVE: std::time::Duration = std::time::Duration::from_secs(75);
