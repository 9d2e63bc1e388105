//! What can go wrong with a measurement.

use crate::harness::HarnessError;
use crate::load::LoadError;

/// Why the slopes could not be measured.
#[derive(Debug, thiserror::Error)]
pub enum SlopesError {
    /// The processes did not start or did not answer.
    #[error("the processes did not start or did not answer: {0}")]
    Rig(#[from] HarnessError),
    /// The load could not be made.
    #[error("the load could not be made")]
    Load(#[from] LoadError),
    /// The load's options do not fit.
    #[error("the options of the load do not fit")]
    LoadOptions,
    /// The load's thread ended early.
    #[error("the thread of the load ended early")]
    LoadEnded,
    /// An entry does not export a metric.
    #[error("metric \"{0}\" does not exist")]
    MissingMetric(&'static str),
    /// The operating system does not tell the processor time.
    #[error("the processor time of process {id} cannot be read")]
    ReadProcess {
        /// The process.
        id: u32,
        /// Why.
        source: std::io::Error,
    },
    /// The report cannot be written as JSON.
    #[error("the report cannot be written as JSON")]
    WriteReport(#[from] serde_json::Error),
}
