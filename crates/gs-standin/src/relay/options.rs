//! The command line of the relay.

use std::net::SocketAddr;

use bpaf::Bpaf;

use super::conditions::{LinkConditions, NewConnections};

/// Where a relay passes connections on, and how.
#[derive(Bpaf, Clone, Debug)]
pub struct RelayOptions {
    /// Where to listen; port 0 lets the kernel choose
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))), display_fallback)]
    pub listen: SocketAddr,
    /// Where to take control calls; port 0 lets the kernel choose
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))), display_fallback)]
    pub control: SocketAddr,
    /// Where connections go
    #[bpaf(argument("ADDRESS"))]
    pub to: SocketAddr,
    /// Milliseconds of delay each way
    #[bpaf(argument("MS"), fallback(0.0), display_fallback)]
    pub delay_ms: f64,
    /// Milliseconds that are added to the delay at most, at random
    #[bpaf(argument("MS"), fallback(0.0), display_fallback)]
    pub jitter_ms: f64,
    /// Share of the chunks that are delayed as by a lost packet, from 0 to 1
    #[bpaf(argument("SHARE"), fallback(0.0), display_fallback)]
    pub stall_share: f64,
    /// Milliseconds that a lost packet costs
    #[bpaf(argument("MS"), fallback(200.0), display_fallback)]
    pub stall_ms: f64,
    /// Seed of jitter and stalls
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    pub seed: u64,
}

impl RelayOptions {
    /// The conditions at the start.
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
