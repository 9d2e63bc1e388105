//! Development tools: stand-ins for engines, services and the platform, a relay that injects
//! network faults, a load tool and a randomised soak run.

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

/// How long an engine or service keeps an idle connection open. It is longer than the idle timeout
/// of clients, so that no client sends a request on a connection that is being closed.
const KEEP_ALIVE: std::time::Duration = std::time::Duration::from_secs(75);
