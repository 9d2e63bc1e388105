//! Frees what attempts hold at engines, until the engines have acknowledged it.

mod orphans;
mod runner;

pub use orphans::OrphanLoop;
pub use runner::{ReclaimCall, ReclaimLoop};
