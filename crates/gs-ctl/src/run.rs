//! Parses the command line, runs the command and tells how it ended.

use bpaf::{Args, ParseFailure};

use crate::command::ctl_command;
use crate::error::ExitStatus;
use crate::output::print_error;

/// Columns of a help text.
const HELP_WIDTH: usize = 100;

/// Runs the command that the process was started with.
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

/// Prints a help text, or what is wrong with the command line.
fn print_failure(failure: &ParseFailure) -> ExitStatus {
    failure.print_message(HELP_WIDTH);
    match failure {
        ParseFailure::Stderr(_) => ExitStatus::Usage,
        ParseFailure::Completion(_) | ParseFailure::Stdout(..) => ExitStatus::Success,
    }
}
