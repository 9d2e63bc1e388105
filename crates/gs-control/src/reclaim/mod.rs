//! Releases the resources that engines hold for attempts that are no longer needed.
//!
//! An entry repeats the cancel request of its own attempts until the engine acknowledges it. The
//! attempts of dead entries are cancelled by the home entry of the engine, which lists the attempts
//! that the engine holds resources for.

mod orphans;
mod state;

pub use orphans::{OrphanEffect, OrphanEvent, OrphanState};
pub use state::{ReclaimEffect, ReclaimEvent, ReclaimState};
