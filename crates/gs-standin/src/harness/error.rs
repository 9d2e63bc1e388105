//! Errors of the test harness.

use std::path::PathBuf;

/// Why a deployment could not be started, called or brought into an expected state.
#[derive(Debug, thiserror::Error)]
pub enum HarnessError {
    /// A program has not been built.
    #[error("program {} does not exist; build the workspace first", .0.display())]
    MissingProgram(PathBuf),
    /// An operation on a file or process failed.
    #[error("{operation} failed")]
    System {
        /// The operation, such as "starting a process".
        operation: &'static str,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A process ended, or its start timed out, before it was ready.
    #[error("{program} did not become ready:\n{log}")]
    NotReady {
        /// The program.
        program: String,
        /// The output of the process up to then.
        log: String,
    },
    /// A call failed or had an unexpected answer.
    #[error("call {path} failed: {detail}")]
    Call {
        /// The path of the request, or the kind of the record for an encoding error.
        path: String,
        /// The cause, such as the status and body.
        detail: String,
    },
    /// An expected condition did not hold before the timeout.
    #[error("timed out waiting for {condition}")]
    Timeout {
        /// The expected condition.
        condition: String,
    },
}

impl HarnessError {
    /// Returns a function that wraps an error of the operating system.
    pub fn system(operation: &'static str) -> impl FnOnce(std::io::Error) -> Self {
        move |source| Self::System { operation, source }
    }
}
