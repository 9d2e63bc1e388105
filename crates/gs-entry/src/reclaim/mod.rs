//! Frees what attempts hold at engines, until the engines have acknowledged it.

mod runner;

pub use runner::{ReclaimCall, ReclaimLoop};
