//! Test harness that runs a deployment as separate processes on loopback, for tests and
//! measurements.

mod client;
mod deployment;
mod error;
mod process;

pub use client::{CallerAnswer, HarnessClient, StreamedText};
pub use deployment::{DeploymentHarness, EntryHandle, ServerHandle, ServerSpec};
pub use error::HarnessError;
pub use process::{HarnessProcess, ProcessSignal, ProgramDirectory};
