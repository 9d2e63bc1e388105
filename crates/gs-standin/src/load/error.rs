//! What can go wrong with a load run.

use std::io;
use std::net::SocketAddr;

use super::exchange::CallEnd;

/// Why a load run could not be made.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The mix cannot be read.
    #[error("mix \"{path}\" cannot be read")]
    ReadMix {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// The mix is not JSON with comments.
    #[error("mix \"{path}\" is malformed")]
    ParseMix {
        /// The file.
        path: String,
        /// Why.
        source: jsonc_parser::errors::ParseError,
    },
    /// A field of the mix is wrong.
    #[error("mix \"{path}\" has a wrong field")]
    MixField {
        /// The file.
        path: String,
        /// Why.
        source: serde_json::Error,
    },
    /// There is nothing to send, or nowhere to send it.
    #[error("neither --entry nor --entries-from names an entry")]
    NoEntries,
    /// An address cannot be asked.
    #[error("{address} gave no answer to {path}")]
    NoAnswer {
        /// The address.
        address: SocketAddr,
        /// The path.
        path: String,
    },
    /// A client thread ended early.
    #[error("a client thread ended early")]
    ThreadEnded,
    /// A request of a measurement failed.
    #[error("a request of the measurement ended as {end:?}")]
    RequestFailed {
        /// How it ended.
        end: CallEnd,
    },
    /// The measures cannot be printed.
    #[error("the measures cannot be written as JSON")]
    WriteReport {
        /// Why.
        #[from]
        source: serde_json::Error,
    },
}
