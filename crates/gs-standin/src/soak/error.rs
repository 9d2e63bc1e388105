//! Errors of a soak.

use crate::harness::HarnessError;

/// Why a soak ended without success.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// The deployment could not be started or controlled.
    #[error("the deployment could not be started or controlled")]
    Harness {
        /// The cause.
        #[from]
        source: HarnessError,
    },
    /// The directory of the programs could not be found.
    #[error("the path of the running program could not be determined")]
    OwnProgram {
        /// The cause.
        source: std::io::Error,
    },
    /// An invariant was violated.
    #[error("{count} invariant violations were found")]
    Violations {
        /// The number of violations.
        count: usize,
    },
}
