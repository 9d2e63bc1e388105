//! Errors of the gateway.

use std::net::SocketAddr;

/// Why the gateway cannot run.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// A listening socket cannot be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The signal handlers cannot be installed.
    #[error("cannot install the signal handlers: {0}")]
    Signals(std::io::Error),
}
