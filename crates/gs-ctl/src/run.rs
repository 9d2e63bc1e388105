//! Parses the command line, runs the command and returns its exit status.

use bpaf::{Args, ParseFailure};

use crate::command::ctl_command;
use crate::error::ExitStatus;
use crate::output::print_error;

/// Width of help texts, in characters.
const HELP_WIDTH: usize = 100;

/// Runs the command given by the arguments of the process.
pub fn run_command_line() -> ExitStatus {
    let command = match ctl_command().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return print_failure(&failure),
    };
    match command.run() {
        Ok(()) => ExitStatus::Success,
        Err(report) => {
            print_error(&report, command.json());
            report.current_context().exit_status()
        }
    }
}

/// Prints a requested help text, or the error in the command line.
fn print_failure(failure: &ParseFailure) -> ExitStatus {
    failure.print_message(HELP_WIDTH);
    match failure {
        ParseFailure::Stderr(_) => ExitStatus::Usage,
        ParseFailure::Completion(_) | ParseFailure::Stdout(..) => ExitStatus::Success,
    }
}
