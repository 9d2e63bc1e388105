//! Why the daemon does not start or run.

use std::net::SocketAddr;

use thiserror::Error;

/// What failed, from the operator's point of view.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum AdminError {
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
    /// The metrics recorder cannot be installed.
    #[error("the metrics recorder cannot be installed")]
    InstallRecorder,
    /// The address cannot be listened on.
    #[error("address {address} cannot be listened on")]
    Listen {
        /// The address.
        address: SocketAddr,
    },
    /// The HTTP server ended with an error.
    #[error("the HTTP server ended with an error")]
    ServeHttp,
}
