//! A stand-in for a plain service that records the requests it ran.

mod faults;
mod http;
mod options;
mod runs;
mod server;

pub use faults::{FaultSwitches, FaultUpdate};
pub use options::{ServiceOptions, service_options};
pub use runs::{AttemptRuns, KeyRuns, ServiceRuns};
pub use server::{ServiceServer, run};
