//! Errors of the capacity estimate.

use std::path::PathBuf;

use crate::slopes::SweepKind;

/// Why the tables could not be computed.
#[derive(Debug, thiserror::Error)]
pub enum CapacityError {
    /// The file cannot be read.
    #[error("file {} cannot be read", path.display())]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file does not hold valid measured figures.
    #[error("file {} does not hold measured figures", path.display())]
    ParseFile {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: serde_json::Error,
    },
    /// The figures lack the points that a line is fitted to.
    #[error("measure \"{measure}\" does not exist in sweep \"{sweep}\"")]
    MissingLine {
        /// The sweep.
        sweep: SweepKind,
        /// The measure.
        measure: &'static str,
    },
}
