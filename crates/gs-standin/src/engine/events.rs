//! Prefix cache events, published with a delay and with lost events.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use gs_protocol::engine::{CacheChange, CacheEvent, CacheEvents};
use gs_protocol::prefix::PrefixHash;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Maximum number of stored events.
const MAX_EVENTS: usize = 65_536;

/// Maximum number of events examined per read.
const MAX_EVENTS_PER_READ: usize = 4_096;

/// A stored event, and whether it is lost to readers.
#[derive(Debug)]
struct LoggedEvent {
    event: CacheEvent,
    recorded_at: Instant,
    lost: bool,
}

/// Bounded log of the engine's cache events.
#[derive(Debug)]
pub struct CacheLog {
    lag: Duration,
    loss_probability: f64,
    rng: Pcg64Mcg,
    boot: u64,
    last_number: u64,
    events: VecDeque<LoggedEvent>,
}

impl CacheLog {
    /// Creates an empty log whose events become visible after `lag`; each is lost with
    /// `loss_probability`, clamped to 0 to 1.
    pub fn new(lag: Duration, loss_probability: f64, seed: u64, boot: u64) -> Self {
        Self {
            lag,
            loss_probability: loss_probability.clamp(0.0, 1.0),
            rng: Pcg64Mcg::seed_from_u64(seed),
            boot,
            last_number: 0,
            events: VecDeque::new(),
        }
    }

    /// Appends an event with the next number.
    pub fn record(&mut self, now: Instant, change: CacheChange, prefix: PrefixHash) {
        self.last_number += 1;
        let event = CacheEvent {
            number: self.last_number,
            change,
            prefix,
        };
        let lost = self.rng.gen_bool(self.loss_probability);
        self.events.push_back(LoggedEvent {
            event,
            recorded_at: now,
            lost,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the visible events with a number greater than `after`, without the lost ones.
    pub fn read(&self, now: Instant, after: u64) -> CacheEvents {
        let mut answer = CacheEvents {
            events: Vec::new(),
            last: after,
            boot: self.boot,
        };
        let start = self
            .events
            .partition_point(|logged| logged.event.number <= after);
        for logged in self.events.range(start..).take(MAX_EVENTS_PER_READ) {
            if logged.recorded_at + self.lag > now {
                break;
            }
            answer.last = logged.event.number;
            if !logged.lost {
                answer.events.push(logged.event);
            }
        }
        answer
    }
}
