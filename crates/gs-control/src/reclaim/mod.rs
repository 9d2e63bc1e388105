//! Frees what engines hold for requests that are gone.
//!
//! An entry cancels its own attempts until the engine has acknowledged it. What a dead entry left behind
//! is cancelled by the home of the engine, which lists what the engine holds.

mod orphans;
mod state;

pub use orphans::{OrphanEffect, OrphanEvent, OrphanState};
pub use state::{ReclaimEffect, ReclaimEvent, ReclaimState};
