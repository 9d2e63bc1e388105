//! Drives the ledger slice on the control thread.

mod desk;
mod settings;
mod store;

pub use desk::{ClaimDecision, ClaimDesk};
