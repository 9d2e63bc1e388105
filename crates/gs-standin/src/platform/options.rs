//! Command-line options of the platform stand-in.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use bpaf::Bpaf;

/// Any free port of the loopback interface.
const DEFAULT_LISTEN: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Options of the platform stand-in.
#[derive(Bpaf, Clone, Debug)]
pub struct PlatformOptions {
    /// Address to listen on; port 0 picks a free port
    #[bpaf(argument("ADDRESS"), fallback(DEFAULT_LISTEN), display_fallback)]
    pub listen: SocketAddr,
    /// Writes and removals accepted per second; excess calls are refused with status 429
    #[bpaf(argument("COUNT"), fallback(500), display_fallback)]
    pub writes_per_s: u32,
    /// Reads, listings and watches accepted per second; a watch counts once however long it waits
    #[bpaf(argument("COUNT"), fallback(2_000), display_fallback)]
    pub reads_per_s: u32,
    /// Delay until a change of the VM list becomes visible, in milliseconds
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
