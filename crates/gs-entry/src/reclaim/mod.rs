//! Releases the engine resources of ended attempts, and of attempts that dead entries left behind.

mod orphans;
mod runner;

pub use orphans::OrphanHandler;
pub use runner::{ReclaimHandler, ReclaimRequest};
