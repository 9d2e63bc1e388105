//! The administration API.
//!
//! The daemon keeps nothing: every call is worked out from the platform's objects, so any number of
//! them serve the same environments side by side.

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
