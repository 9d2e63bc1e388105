//! Options of every command that calls the administration API.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

/// Milliseconds to wait for one answer; longer than an operation may take at the API.
const DEFAULT_TIMEOUT_MS: u64 = 15_000;

/// Where the administration API is and who calls it.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct AdminOptions {
    /// Address of gs-admin; if given several times, the next is tried when one does not answer
    #[bpaf(argument("IP:PORT"), some("--admin IP:PORT is needed"))]
    pub(crate) admin: Vec<SocketAddr>,
    /// File that holds the operator's token
    #[bpaf(argument("FILE"))]
    pub(crate) token_file: PathBuf,
    /// Milliseconds to wait for one answer
    #[bpaf(argument("MS"), fallback(DEFAULT_TIMEOUT_MS), display_fallback)]
    pub(crate) timeout_ms: u64,
    /// Print JSON
    pub(crate) json: bool,
}
