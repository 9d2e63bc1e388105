//! State shared by the relay's connections and control calls.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::conditions::LinkConditions;

/// Counts of disruptions. An increment cuts or silences the connections that exist at that time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DisruptionCounts {
    /// Number of times that all connections were closed.
    pub cuts: u64,
    /// Number of times that all connections were silenced.
    pub silences: u64,
}

/// Response to `GET /control/status`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct RelayStatus {
    /// Number of open connections, including silent ones.
    pub connections: u64,
    /// Number of silent connections.
    pub silent: u64,
    /// Connections accepted since the start.
    pub accepted: u64,
    /// Bytes forwarded in both directions.
    pub bytes: u64,
}

/// Link conditions, connection counts and disruptions of one relay.
#[derive(Debug)]
pub struct RelayState {
    link: Mutex<LinkState>,
    disruptions: watch::Sender<DisruptionCounts>,
    pub connections: AtomicU64,
    pub silent: AtomicU64,
    pub accepted: AtomicU64,
    pub bytes: AtomicU64,
}

/// Link conditions and the generator for random delays.
#[derive(Debug)]
pub struct LinkState {
    pub conditions: LinkConditions,
    rng: Pcg64Mcg,
}

impl RelayState {
    /// Creates the state of a relay without connections.
    pub fn new(conditions: LinkConditions, seed: u64) -> Self {
        Self {
            link: Mutex::new(LinkState {
                conditions,
                rng: Pcg64Mcg::seed_from_u64(seed),
            }),
            disruptions: watch::Sender::default(),
            connections: AtomicU64::default(),
            silent: AtomicU64::default(),
            accepted: AtomicU64::default(),
            bytes: AtomicU64::default(),
        }
    }

    /// Locks the link state. Never hold the guard across an await.
    pub fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.link.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Draws the random delay of the next chunk.
    pub fn sample_delay(&self) -> Duration {
        let mut link = self.lock();
        let conditions = link.conditions;
        conditions.sample_delay(&mut link.rng)
    }

    /// Returns a receiver of all later disruptions.
    pub fn subscribe_disruptions(&self) -> watch::Receiver<DisruptionCounts> {
        self.disruptions.subscribe()
    }

    /// Closes every connection.
    pub fn cut(&self) {
        self.disruptions
            .send_modify(|disruptions| disruptions.cuts += 1);
    }

    /// Permanently stops all data on the current connections without closing them.
    pub fn silence(&self) {
        self.disruptions
            .send_modify(|disruptions| disruptions.silences += 1);
    }

    /// Returns the current counts.
    pub fn status(&self) -> RelayStatus {
        RelayStatus {
            connections: self.connections.load(Ordering::Relaxed),
            silent: self.silent.load(Ordering::Relaxed),
            accepted: self.accepted.load(Ordering::Relaxed),
            bytes: self.bytes.load(Ordering::Relaxed),
        }
    }
}
