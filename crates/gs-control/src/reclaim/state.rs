//! The orders that are not yet acknowledged, and when each is sent next.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gs_protocol::ids::AttemptId;

/// The wait before the first repeat of an order.
const FIRST_REPEAT: Duration = Duration::from_millis(200);

/// The longest wait between two repeats.
const MAX_REPEAT: Duration = Duration::from_secs(1);

/// How long an order is repeated. Engines that stay away longer have dropped what they held.
const GIVE_UP_AFTER: Duration = Duration::from_secs(600);

/// What happened to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReclaimEvent {
    /// An attempt may hold something at an engine.
    CancelRequested {
        /// The attempt.
        attempt: AttemptId,
        /// The engine.
        engine: SocketAddr,
    },
    /// The engine has acknowledged the order.
    CancelAcknowledged {
        /// The attempt.
        attempt: AttemptId,
        /// The engine.
        engine: SocketAddr,
    },
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReclaimEffect {
    /// Send the order.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The engine.
        engine: SocketAddr,
    },
}

/// One order that is not yet acknowledged.
#[derive(Clone, Copy, Debug)]
struct PendingOrder {
    next_at: Instant,
    repeat: Duration,
    since: Instant,
}

/// The orders that are not yet acknowledged.
#[derive(Debug, Default)]
pub struct ReclaimState {
    orders: BTreeMap<(SocketAddr, AttemptId), PendingOrder>,
}

impl ReclaimState {
    /// How many orders are not yet acknowledged.
    pub fn pending(&self) -> usize {
        self.orders.len()
    }

    /// Takes in what happened and adds what is to be done.
    pub fn handle(&mut self, now: Instant, event: ReclaimEvent, effects: &mut Vec<ReclaimEffect>) {
        match event {
            ReclaimEvent::CancelRequested { attempt, engine } => {
                self.add(now, attempt, engine, effects)
            }
            ReclaimEvent::CancelAcknowledged { attempt, engine } => {
                self.orders.remove(&(engine, attempt));
            }
            ReclaimEvent::Tick => self.repeat_due(now, effects),
        }
    }

    fn add(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        engine: SocketAddr,
        effects: &mut Vec<ReclaimEffect>,
    ) {
        let order = PendingOrder {
            next_at: now + FIRST_REPEAT,
            repeat: FIRST_REPEAT,
            since: now,
        };
        if self.orders.insert((engine, attempt), order).is_none() {
            effects.push(ReclaimEffect::Cancel { attempt, engine });
        }
    }

    fn repeat_due(&mut self, now: Instant, effects: &mut Vec<ReclaimEffect>) {
        self.orders
            .retain(|_, order| now.duration_since(order.since) < GIVE_UP_AFTER);
        for (&(engine, attempt), order) in &mut self.orders {
            if order.next_at > now {
                continue;
            }
            order.repeat = (order.repeat * 2).min(MAX_REPEAT);
            order.next_at = now + order.repeat;
            effects.push(ReclaimEffect::Cancel { attempt, engine });
        }
    }
}
