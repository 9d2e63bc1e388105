//! A long randomised run over separate processes: seeded faults, and checks of the invariants.

mod board;
mod callers;
mod completion;
mod deployment;
mod entries;
mod error;
mod faults;
mod final_checks;
mod journal;
mod keyed;
mod leaving;
mod options;
mod report;
mod runner;
mod schedule;
mod shared;
mod watch;

pub use error::SoakError;
pub use options::{SoakOptions, soak_options};
pub use report::SoakReport;
pub use runner::{run, run_soak};
pub use schedule::{FaultKind, FaultStep, PlannedFault, plan_faults};
