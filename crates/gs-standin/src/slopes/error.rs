//! Errors of the slope measurement.

use crate::harness::HarnessError;
use crate::load::LoadError;

/// Why the slopes could not be measured.
#[derive(Debug, thiserror::Error)]
pub enum SlopesError {
    /// A process did not start or did not answer.
    #[error("a process of the test deployment did not start or did not answer: {0}")]
    Harness(#[from] HarnessError),
    /// The load run failed.
    #[error("the load run failed")]
    Load(#[from] LoadError),
    /// The options of the load run were rejected.
    #[error("the options of the load run are invalid")]
    LoadOptions,
    /// The thread of the load run panicked.
    #[error("the thread of the load run ended early")]
    LoadEnded,
    /// An entry does not export a required metric.
    #[error("an entry does not export metric \"{0}\"")]
    MissingMetric(&'static str),
    /// The processor time of a process cannot be read.
    #[error("the processor time of process {id} cannot be read")]
    ReadProcess {
        /// The process ID.
        id: u32,
        /// The cause.
        source: std::io::Error,
    },
    /// The report cannot be encoded as JSON.
    #[error("the report cannot be encoded as JSON")]
    WriteReport(#[from] serde_json::Error),
}
