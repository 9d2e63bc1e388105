//! What can go wrong with a stand-in.

use std::io;
use std::net::SocketAddr;

use crate::capacity::CapacityError;
use crate::load::LoadError;
use crate::platform::PlatformStartError;
use crate::slopes::SlopesError;
use crate::soak::SoakError;

/// Why a stand-in could not start or run.
#[derive(Debug, thiserror::Error)]
pub enum StandinError {
    /// The address cannot be listened on.
    #[error("address {address} cannot be listened on")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The server ended with an error.
    #[error("the server failed")]
    Serve {
        /// Why.
        source: io::Error,
    },
    /// The load run could not be made.
    #[error("the load run could not be made")]
    Load {
        /// Why.
        #[from]
        source: LoadError,
    },
    /// The platform's stand-in could not start.
    #[error("the platform's stand-in could not start")]
    Platform {
        /// Why.
        #[from]
        source: PlatformStartError,
    },
    /// The soak could not be run, or found violations.
    #[error("the soak failed")]
    Soak {
        /// Why.
        #[from]
        source: SoakError,
    },
    /// The slopes could not be measured.
    #[error("the slopes could not be measured: {source}")]
    Slopes {
        /// Why.
        #[from]
        source: SlopesError,
    },
    /// The capacity could not be worked out.
    #[error("the capacity could not be worked out: {source}")]
    Capacity {
        /// Why.
        #[from]
        source: CapacityError,
    },
    /// A role that does not exist.
    #[error("role \"{text}\" is neither \"prefill\" nor \"decode\"")]
    UnknownRole {
        /// What was given.
        text: String,
    },
}
