//! A stand-in for the platform's object service and VM list.

mod control;
mod faults;
mod limits;
mod objects;
mod options;
mod refusal;
mod server;
mod state;
mod vms;

pub use faults::{FaultSwitches, OutageKind};
pub use limits::CallStats;
pub use options::{PlatformOptions, platform_options};
pub use server::{PlatformHandle, PlatformStartError, run, start};
pub use vms::VmChange;
