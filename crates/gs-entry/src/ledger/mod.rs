//! Drives the ledger slice on the control thread.

mod handler;
mod settings;
mod store;

pub use handler::{ClaimDecision, ClaimHandler};
