//! Errors of the stand-ins and tools.

use std::io;
use std::net::SocketAddr;

use crate::capacity::CapacityError;
use crate::load::LoadError;
use crate::platform::PlatformStartError;
use crate::slopes::SlopesError;
use crate::soak::SoakError;

/// Why a stand-in or tool could not start or failed.
#[derive(Debug, thiserror::Error)]
pub enum StandinError {
    /// Binding the listen address failed.
    #[error("failed to listen on {address}")]
    Listen {
        /// The requested address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The HTTP server stopped with an error.
    #[error("the HTTP server failed")]
    Serve {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The load run failed.
    #[error("the load run failed")]
    Load {
        /// The underlying error.
        #[from]
        source: LoadError,
    },
    /// The platform stand-in could not start or failed.
    #[error("the platform stand-in failed")]
    Platform {
        /// The underlying error.
        #[from]
        source: PlatformStartError,
    },
    /// The soak run failed or found violated invariants.
    #[error("the soak run failed")]
    Soak {
        /// The underlying error.
        #[from]
        source: SoakError,
    },
    /// Measuring the cost slopes failed.
    #[error("failed to measure the cost slopes: {source}")]
    Slopes {
        /// The underlying error.
        #[from]
        source: SlopesError,
    },
    /// Computing the capacity failed.
    #[error("failed to compute the capacity: {source}")]
    Capacity {
        /// The underlying error.
        #[from]
        source: CapacityError,
    },
    /// The `--role` option names no engine role.
    #[error("unknown role \"{text}\"; expected \"prefill\" or \"decode\"")]
    UnknownRole {
        /// The option's value.
        text: String,
    },
}
