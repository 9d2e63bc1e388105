//! What can go wrong with the arithmetic.

use std::path::PathBuf;

use crate::slopes::SweepKind;

/// Why the tables could not be made.
#[derive(Debug, thiserror::Error)]
pub enum CapacityError {
    /// The file cannot be read.
    #[error("file {} cannot be read", path.display())]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file has another shape.
    #[error("file {} does not hold measured figures", path.display())]
    ParseFile {
        /// The file.
        path: PathBuf,
        /// Why.
        source: serde_json::Error,
    },
    /// A line was not measured.
    #[error("measure \"{measure}\" does not exist in sweep \"{sweep}\"")]
    MissingLine {
        /// The sweep.
        sweep: SweepKind,
        /// The measure.
        measure: &'static str,
    },
}
