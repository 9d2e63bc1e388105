//! Command-line options of the relay.

use std::net::SocketAddr;

use bpaf::Bpaf;

use super::conditions::{LinkConditions, NewConnections};

/// Options of a relay: its addresses and the initial link conditions.
#[derive(Bpaf, Clone, Debug)]
pub struct RelayOptions {
    /// Address to listen on; port 0 picks a free port
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))), display_fallback)]
    pub listen: SocketAddr,
    /// Address that serves control calls; port 0 picks a free port
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))), display_fallback)]
    pub control: SocketAddr,
    /// Address that connections are forwarded to
    #[bpaf(argument("ADDRESS"))]
    pub to: SocketAddr,
    /// Delay in each direction, in milliseconds
    #[bpaf(argument("MS"), fallback(0.0), display_fallback)]
    pub delay_ms: f64,
    /// Maximum of the random delay that is added, in milliseconds
    #[bpaf(argument("MS"), fallback(0.0), display_fallback)]
    pub jitter_ms: f64,
    /// Fraction of the chunks that are delayed as if a packet was lost, from 0 to 1
    #[bpaf(argument("SHARE"), fallback(0.0), display_fallback)]
    pub stall_share: f64,
    /// Additional delay of a chunk with a lost packet, in milliseconds
    #[bpaf(argument("MS"), fallback(200.0), display_fallback)]
    pub stall_ms: f64,
    /// Random seed of jitter and stalls
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    pub seed: u64,
}

impl RelayOptions {
    /// Returns the initial link conditions.
    pub fn conditions(&self) -> LinkConditions {
        LinkConditions {
            delay_ms: self.delay_ms,
            jitter_ms: self.jitter_ms,
            stall_share: self.stall_share,
            stall_ms: self.stall_ms,
            new_connections: NewConnections::Pass,
        }
    }
}
