//! The command line of the platform stand-in.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use bpaf::Bpaf;

/// A free port of the loopback interface.
const DEFAULT_LISTEN: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// How the platform stand-in runs.
#[derive(Bpaf, Clone, Debug)]
pub struct PlatformOptions {
    /// Address and port to listen on; port 0 takes a free one
    #[bpaf(argument("ADDRESS"), fallback(DEFAULT_LISTEN), display_fallback)]
    pub listen: SocketAddr,
    /// Writes and removals taken each second; more are refused with 429
    #[bpaf(argument("COUNT"), fallback(500), display_fallback)]
    pub writes_per_s: u32,
    /// Reads, listings and watches taken each second; a waiting watch counts once
    #[bpaf(argument("COUNT"), fallback(2_000), display_fallback)]
    pub reads_per_s: u32,
    /// Milliseconds until a change of the VM list shows
    #[bpaf(argument("MS"), fallback(2_000), display_fallback)]
    pub vm_lag_ms: u64,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            listen: DEFAULT_LISTEN,
            writes_per_s: 500,
            reads_per_s: 2_000,
            vm_lag_ms: 2_000,
        }
    }
}
