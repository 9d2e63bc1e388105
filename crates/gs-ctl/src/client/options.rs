//! Options of all commands that call the administration API.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

/// Default timeout of an answer, in milliseconds; longer than an operation may take at the API.
const DEFAULT_TIMEOUT_MS: u64 = 15_000;

/// Connection to the administration API
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct AdminOptions {
    /// Address of gs-admin; may be given several times, the next one is tried if a call fails
    #[bpaf(argument("IP:PORT"), some("--admin IP:PORT is needed"))]
    pub(crate) admin: Vec<SocketAddr>,
    /// File that contains the operator's token
    #[bpaf(argument("FILE"))]
    pub(crate) token_file: PathBuf,
    /// Timeout of one answer in milliseconds
    #[bpaf(argument("MS"), fallback(DEFAULT_TIMEOUT_MS), display_fallback)]
    pub(crate) timeout_ms: u64,
    /// Print JSON
    pub(crate) json: bool,
}
