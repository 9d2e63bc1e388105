//! Retries of cancel requests until the engine acknowledges them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gs_protocol::ids::AttemptId;

/// Delay before the first retry of a cancel request. The delay doubles with each retry.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum delay between two retries.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// How long a cancel request is retried. An engine that is unreachable for longer has released its
/// resources.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(600);

/// An input of the reclaim state machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReclaimEvent {
    /// An attempt that may hold resources at an engine is to be cancelled.
    CancelRequested {
        /// The attempt.
        attempt: AttemptId,
        /// The address of the engine.
        engine: SocketAddr,
    },
    /// The engine has acknowledged the cancel request.
    CancelAcknowledged {
        /// The attempt.
        attempt: AttemptId,
        /// The address of the engine.
        engine: SocketAddr,
    },
    /// Time has passed; due retries are sent.
    Tick,
}

/// An action that the reclaim state machine requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReclaimEffect {
    /// Send a cancel request.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The address of the engine.
        engine: SocketAddr,
    },
}

/// A cancel request that is not yet acknowledged.
#[derive(Clone, Copy, Debug)]
struct PendingCancel {
    retry_at: Instant,
    retry_delay: Duration,
    requested_at: Instant,
}

/// The cancel requests that are not yet acknowledged, by engine and attempt.
#[derive(Debug, Default)]
pub struct ReclaimState {
    cancels: BTreeMap<(SocketAddr, AttemptId), PendingCancel>,
}

impl ReclaimState {
    /// Returns the number of cancel requests that are not yet acknowledged.
    pub fn pending(&self) -> usize {
        self.cancels.len()
    }

    /// Handles an event and appends the resulting effects.
    pub fn handle(&mut self, now: Instant, event: ReclaimEvent, effects: &mut Vec<ReclaimEffect>) {
        match event {
            ReclaimEvent::CancelRequested { attempt, engine } => {
                self.add(now, attempt, engine, effects);
            }
            ReclaimEvent::CancelAcknowledged { attempt, engine } => {
                self.cancels.remove(&(engine, attempt));
            }
            ReclaimEvent::Tick => self.retry_due(now, effects),
        }
    }

    fn add(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        engine: SocketAddr,
        effects: &mut Vec<ReclaimEffect>,
    ) {
        let cancel = PendingCancel {
            retry_at: now + INITIAL_RETRY_DELAY,
            retry_delay: INITIAL_RETRY_DELAY,
            requested_at: now,
        };
        if self.cancels.insert((engine, attempt), cancel).is_none() {
            effects.push(ReclaimEffect::Cancel { attempt, engine });
        }
    }

    fn retry_due(&mut self, now: Instant, effects: &mut Vec<ReclaimEffect>) {
        self.cancels
            .retain(|_, cancel| now.duration_since(cancel.requested_at) < CANCEL_TIMEOUT);
        for (&(engine, attempt), cancel) in &mut self.cancels {
            if cancel.retry_at > now {
                continue;
            }
            cancel.retry_delay = (cancel.retry_delay * 2).min(MAX_RETRY_DELAY);
            cancel.retry_at = now + cancel.retry_delay;
            effects.push(ReclaimEffect::Cancel { attempt, engine });
        }
    }
}
