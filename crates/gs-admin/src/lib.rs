//! The administration API.
//!
//! The daemon is stateless apart from caches: every call is answered from the objects in the store of
//! the platform's service. Any number of daemons can therefore serve the same environments.

mod accept;
mod access;
mod audit;
mod drain;
mod error;
pub mod options;
mod platform;
mod refusal;
mod routes;
pub mod startup;
mod state;
mod telemetry;
mod view;

pub use error::AdminError;
