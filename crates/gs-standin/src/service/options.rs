//! Command-line options of the service stand-in.

use std::net::SocketAddr;

use bpaf::Bpaf;

/// Options of one service.
#[derive(Bpaf, Clone, Debug)]
pub struct ServiceOptions {
    /// Address to listen on; port 0 picks a free port
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))), display_fallback)]
    pub listen: SocketAddr,
    /// Name of the service in its answers
    #[bpaf(argument("NAME"), fallback(String::from("service")), display_fallback)]
    pub name: String,
    /// Duration of each request, in milliseconds
    #[bpaf(argument("MS"), fallback(0), display_fallback)]
    pub run_ms: u64,
    /// Number of HTTP worker threads
    #[bpaf(argument("COUNT"), fallback(1), display_fallback)]
    pub workers: usize,
}
