//! Why a soak ended without success.

use crate::harness::HarnessError;

/// Why a soak ended without success.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// The deployment could not be started or steered.
    #[error("the deployment could not be steered")]
    Rig {
        /// Why.
        #[from]
        source: HarnessError,
    },
    /// The place of the programs is not known.
    #[error("the place of the own program is not known")]
    OwnProgram {
        /// Why.
        source: std::io::Error,
    },
    /// An invariant was violated.
    #[error("{count} violations were found")]
    Violations {
        /// How many.
        count: usize,
    },
}
