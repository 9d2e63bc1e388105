//! How a link treats what passes over it.

use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// The longest delay, in milliseconds.
const LONGEST_MS: f64 = 600_000.0;

/// What becomes of new connections.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum NewConnections {
    /// They are passed on.
    #[default]
    Pass,
    /// They are closed at once.
    Close,
    /// They are taken, and no byte passes.
    Hold,
}

/// The present conditions.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct LinkConditions {
    /// Milliseconds of delay each way.
    pub delay_ms: f64,
    /// Milliseconds that are added at most, at random.
    pub jitter_ms: f64,
    /// Share of the chunks that are delayed as by a lost packet.
    pub stall_share: f64,
    /// Milliseconds that a lost packet costs.
    pub stall_ms: f64,
    /// What becomes of new connections.
    pub new_connections: NewConnections,
}

/// The body of `POST /control/faults`: conditions left out stay as they are.
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
    /// Sets the conditions that an update names.
    pub fn apply(&mut self, update: LinkUpdate) {
        self.delay_ms = update.delay_ms.unwrap_or(self.delay_ms);
        self.jitter_ms = update.jitter_ms.unwrap_or(self.jitter_ms);
        self.stall_share = update.stall_share.unwrap_or(self.stall_share);
        self.stall_ms = update.stall_ms.unwrap_or(self.stall_ms);
        self.new_connections = update.new_connections.unwrap_or(self.new_connections);
    }

    /// The delay of one chunk of bytes.
    pub fn draw_delay(&self, random: &mut Pcg64Mcg) -> Duration {
        let jitter = self.jitter_ms * random.r#gen::<f64>();
        let stalled = random.r#gen::<f64>() < self.stall_share;
        let stall = if stalled { self.stall_ms } else { 0.0 };
        let delay = (self.delay_ms + jitter + stall).clamp(0.0, LONGEST_MS);
        Duration::from_secs_f64(delay / 1e3)
    }
}
