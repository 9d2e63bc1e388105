//! Why the entry does not start or run.

/// What failed, from the operator's point of view.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum EntryError {
    /// The settings file cannot be read.
    #[error("settings file \"{path}\" cannot be read")]
    ReadSettings {
        /// The file.
        path: String,
    },
    /// The settings file has mistakes.
    #[error("settings file \"{path}\" has mistakes")]
    CheckSettings {
        /// The file.
        path: String,
    },
    /// The address cannot be listened on.
    #[error("address {address} cannot be listened on")]
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
