//! Errors of a load run.

use std::io;
use std::net::SocketAddr;

use super::exchange::CallEnd;

/// Why a load run failed.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The mix file cannot be read.
    #[error("mix \"{path}\" cannot be read")]
    ReadMix {
        /// The file.
        path: String,
        /// The cause.
        source: io::Error,
    },
    /// The mix file is not valid JSON with comments.
    #[error("mix \"{path}\" is malformed")]
    ParseMix {
        /// The file.
        path: String,
        /// The cause.
        source: jsonc_parser::errors::ParseError,
    },
    /// A field of the mix is missing, unknown or of the wrong type.
    #[error("mix \"{path}\" has an invalid field")]
    MixField {
        /// The file.
        path: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// The options name no target.
    #[error(
        "no target is given: use --entry, --entries-from (mix), or --prefill and --decode (streams)"
    )]
    NoEntries,
    /// A request had no usable answer.
    #[error("no valid answer from {address} to {path}")]
    NoAnswer {
        /// The address.
        address: SocketAddr,
        /// The path of the request.
        path: String,
    },
    /// A client thread panicked.
    #[error("a client thread ended early")]
    ThreadEnded,
    /// A request of a measurement failed.
    #[error("a measured request was not answered completely: {end:?}")]
    RequestFailed {
        /// How it ended.
        end: CallEnd,
    },
    /// The report cannot be encoded.
    #[error("the report cannot be encoded as JSON")]
    WriteReport {
        /// The cause.
        #[from]
        source: serde_json::Error,
    },
}
