//! Starts a whole deployment as separate processes on loopback, for tests and measurements.

mod client;
mod error;
mod fleet;
mod process;

pub use client::{CallerAnswer, RigClient, StreamedText};
pub use error::RigError;
pub use fleet::{EntryHandle, FleetRig, ServerHandle, ServerShape};
pub use process::{ProcessSignal, RigProcess, RigPrograms};
