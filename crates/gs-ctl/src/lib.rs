//! The command-line client with which operators check documents and administer a deployment.

mod client;
mod command;
mod commands;
mod error;
mod files;
mod output;
mod run;
mod view;

pub use error::{CtlError, ExitStatus};
pub use run::run_command_line;
