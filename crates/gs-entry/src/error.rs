//! Errors that prevent the entry from starting or end it.

/// Fatal error of the daemon, worded for the operator.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum EntryError {
    /// The settings file cannot be read.
    #[error("settings file \"{path}\" cannot be read")]
    ReadSettings {
        /// Path of the file.
        path: String,
    },
    /// The settings file is invalid.
    #[error("settings file \"{path}\" is invalid")]
    CheckSettings {
        /// Path of the file.
        path: String,
    },
    /// The process cannot listen on an address.
    #[error("cannot listen on address {address}")]
    Listen {
        /// The address.
        address: String,
    },
    /// The metrics recorder cannot be installed.
    #[error("the metrics recorder cannot be installed")]
    InstallRecorder,
    /// The signal handlers cannot be installed.
    #[error("the signal handlers cannot be installed")]
    InstallSignals,
    /// The HTTP server ended with an error.
    #[error("the HTTP server ended with an error")]
    ServeHttp,
}
