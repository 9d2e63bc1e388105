//! Errors that stop the daemon from starting or running.

use std::net::SocketAddr;

use thiserror::Error;

/// A failure to start or run the daemon. The cause is attached as an inner context of the report.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum AdminError {
    /// The settings file cannot be read.
    #[error("cannot read settings file \"{path}\"")]
    ReadSettings {
        /// The path of the file.
        path: String,
    },
    /// The settings file has mistakes.
    #[error("settings file \"{path}\" has mistakes")]
    CheckSettings {
        /// The path of the file.
        path: String,
    },
    /// The metrics recorder cannot be installed.
    #[error("cannot install the metrics recorder")]
    InstallRecorder,
    /// The daemon cannot listen on the address of its settings.
    #[error("cannot listen on address {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
    },
    /// The HTTP server ended with an error.
    #[error("the HTTP server ended with an error")]
    ServeHttp,
}
