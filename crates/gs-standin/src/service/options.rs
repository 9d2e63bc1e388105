//! The command line of the service.

use std::net::SocketAddr;

use bpaf::Bpaf;

/// How a service behaves.
#[derive(Bpaf, Clone, Debug)]
pub struct ServiceOptions {
    /// Where to listen; port 0 lets the kernel choose
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))), display_fallback)]
    pub listen: SocketAddr,
    /// The service's name in its answers
    #[bpaf(argument("NAME"), fallback(String::from("service")), display_fallback)]
    pub name: String,
    /// Milliseconds that each request takes
    #[bpaf(argument("MS"), fallback(0), display_fallback)]
    pub run_ms: u64,
    /// Threads that serve HTTP
    #[bpaf(argument("COUNT"), fallback(1), display_fallback)]
    pub workers: usize,
}
