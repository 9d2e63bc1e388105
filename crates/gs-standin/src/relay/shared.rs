//! What the relay's threads share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::conditions::LinkConditions;

/// Counts that end or silence the connections that were made before.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LinkBreaks {
    /// Times that all connections were closed.
    pub cuts: u64,
    /// Times that all connections went silent.
    pub silences: u64,
}

/// The answer to `GET /control/status`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct RelayStatus {
    /// Open connections, silent ones included.
    pub connections: u64,
    /// Silent connections.
    pub silent: u64,
    /// Connections taken since the start.
    pub accepted: u64,
    /// Bytes passed on, both ways.
    pub bytes: u64,
}

/// Conditions, counts and breaks of one relay.
#[derive(Debug)]
pub struct RelayShared {
    link: Mutex<LinkState>,
    breaks: watch::Sender<LinkBreaks>,
    pub connections: AtomicU64,
    pub silent: AtomicU64,
    pub accepted: AtomicU64,
    pub bytes: AtomicU64,
}

/// The conditions and the random numbers that they draw.
#[derive(Debug)]
pub struct LinkState {
    pub conditions: LinkConditions,
    random: Pcg64Mcg,
}

impl RelayShared {
    /// A relay without connections.
    pub fn new(conditions: LinkConditions, seed: u64) -> Self {
        Self {
            link: Mutex::new(LinkState {
                conditions,
                random: Pcg64Mcg::seed_from_u64(seed),
            }),
            breaks: watch::Sender::default(),
            connections: AtomicU64::default(),
            silent: AtomicU64::default(),
            accepted: AtomicU64::default(),
            bytes: AtomicU64::default(),
        }
    }

    /// The conditions, for a short time.
    pub fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.link.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The delay of the next chunk.
    pub fn draw_delay(&self) -> Duration {
        let mut link = self.lock();
        let conditions = link.conditions;
        conditions.draw_delay(&mut link.random)
    }

    /// Tells of breaks from now on.
    pub fn watch_breaks(&self) -> watch::Receiver<LinkBreaks> {
        self.breaks.subscribe()
    }

    /// Closes every connection.
    pub fn cut(&self) {
        self.breaks.send_modify(|breaks| breaks.cuts += 1);
    }

    /// Silences the present connections for good.
    pub fn silence(&self) {
        self.breaks.send_modify(|breaks| breaks.silences += 1);
    }

    /// The present counts.
    pub fn status(&self) -> RelayStatus {
        RelayStatus {
            connections: self.connections.load(Ordering::Relaxed),
            silent: self.silent.load(Ordering::Relaxed),
            accepted: self.accepted.load(Ordering::Relaxed),
            bytes: self.bytes.load(Ordering::Relaxed),
        }
    }
}
