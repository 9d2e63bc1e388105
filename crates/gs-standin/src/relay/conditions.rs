//! Conditions of a link: delay, jitter, stalls and the handling of new connections.

use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// Maximum delay of a chunk, in milliseconds.
const MAX_DELAY_MS: f64 = 600_000.0;

/// How new connections are handled.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum NewConnections {
    /// Forwards them.
    #[default]
    Pass,
    /// Closes them at once.
    Close,
    /// Accepts them without forwarding any data.
    Hold,
}

/// The current conditions of a link.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct LinkConditions {
    /// Delay in each direction, in milliseconds.
    pub delay_ms: f64,
    /// Maximum of the random delay that is added, in milliseconds.
    pub jitter_ms: f64,
    /// Fraction of the chunks that are delayed as if a packet was lost, from 0 to 1.
    pub stall_share: f64,
    /// Additional delay of a chunk with a lost packet, in milliseconds.
    pub stall_ms: f64,
    /// How new connections are handled.
    pub new_connections: NewConnections,
}

/// Body of `POST /control/faults`; omitted conditions keep their value.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct LinkUpdate {
    /// See [`LinkConditions::delay_ms`].
    pub delay_ms: Option<f64>,
    /// See [`LinkConditions::jitter_ms`].
    pub jitter_ms: Option<f64>,
    /// See [`LinkConditions::stall_share`].
    pub stall_share: Option<f64>,
    /// See [`LinkConditions::stall_ms`].
    pub stall_ms: Option<f64>,
    /// See [`LinkConditions::new_connections`].
    pub new_connections: Option<NewConnections>,
}

impl LinkConditions {
    /// Sets the conditions present in an update.
    pub fn apply(&mut self, update: LinkUpdate) {
        self.delay_ms = update.delay_ms.unwrap_or(self.delay_ms);
        self.jitter_ms = update.jitter_ms.unwrap_or(self.jitter_ms);
        self.stall_share = update.stall_share.unwrap_or(self.stall_share);
        self.stall_ms = update.stall_ms.unwrap_or(self.stall_ms);
        self.new_connections = update.new_connections.unwrap_or(self.new_connections);
    }

    /// Draws the random delay of one chunk of bytes.
    pub fn sample_delay(&self, rng: &mut Pcg64Mcg) -> Duration {
        let jitter = self.jitter_ms * rng.r#gen::<f64>();
        let stalled = rng.r#gen::<f64>() < self.stall_share;
        let stall = if stalled { self.stall_ms } else { 0.0 };
        let delay = (self.delay_ms + jitter + stall).clamp(0.0, MAX_DELAY_MS);
        Duration::from_secs_f64(delay / 1e3)
    }
}
