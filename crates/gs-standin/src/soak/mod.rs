//! Soak test: runs a deployment as separate processes, injects seeded random faults and checks
//! invariants.

mod callers;
mod completion;
mod context;
mod deployment;
mod entries;
mod error;
mod faults;
mod final_checks;
mod fleet;
mod journal;
mod keyed;
mod leaving;
mod options;
mod report;
mod runner;
mod schedule;
mod watch;

pub use error::SoakError;
pub use options::{SoakOptions, soak_options};
pub use report::SoakReport;
pub use runner::{run, run_soak};
pub use schedule::{FaultKind, FaultStep, PlannedFault, plan_faults};
