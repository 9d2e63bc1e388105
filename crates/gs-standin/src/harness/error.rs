//! What can go wrong with a rig.

use std::path::PathBuf;

/// Why a deployment was not started or did not do what a test waits for.
#[derive(Debug, thiserror::Error)]
pub enum HarnessError {
    /// A program is not there.
    #[error("program {} does not exist; build the workspace first", .0.display())]
    MissingProgram(PathBuf),
    /// A file or process failed.
    #[error("{what} failed")]
    System {
        /// What was done.
        what: &'static str,
        /// What the operating system says.
        source: std::io::Error,
    },
    /// A process ended before it was ready.
    #[error("{program} ended before it was ready:\n{log}")]
    NotReady {
        /// The program.
        program: String,
        /// What it logged.
        log: String,
    },
    /// A call was not answered as expected.
    #[error("call {path} failed: {detail}")]
    Call {
        /// The path.
        path: String,
        /// What was seen.
        detail: String,
    },
    /// Something did not happen in time.
    #[error("{what} did not happen in time")]
    NotInTime {
        /// What was waited for.
        what: String,
    },
}

impl HarnessError {
    /// Wraps an error of the operating system.
    pub fn system(what: &'static str) -> impl FnOnce(std::io::Error) -> Self {
        move |source| Self::System { what, source }
    }
}
