//! Cache events, published late and with gaps.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use gs_protocol::engine::{CacheChange, CacheEvent, CacheEvents};
use gs_protocol::prefix::PrefixHash;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Events kept at most.
const EVENTS_KEPT: usize = 65_536;

/// Events of one answer at most.
const EVENTS_ANSWERED: usize = 4_096;

/// One event and what becomes of it.
#[derive(Debug)]
struct LoggedEvent {
    event: CacheEvent,
    at: Instant,
    lost: bool,
}

/// The engine's cache events.
#[derive(Debug)]
pub struct CacheLog {
    lag: Duration,
    gap: f64,
    random: Pcg64Mcg,
    boot: u64,
    last: u64,
    events: VecDeque<LoggedEvent>,
}

impl CacheLog {
    /// An empty log whose events are read after `lag` and lost with the probability `gap`.
    pub fn new(lag: Duration, gap: f64, seed: u64, boot: u64) -> Self {
        Self {
            lag,
            gap: gap.clamp(0.0, 1.0),
            random: Pcg64Mcg::seed_from_u64(seed),
            boot,
            last: 0,
            events: VecDeque::new(),
        }
    }

    /// Adds one event.
    pub fn record(&mut self, now: Instant, change: CacheChange, prefix: PrefixHash) {
        self.last += 1;
        let event = CacheEvent {
            number: self.last,
            change,
            prefix,
        };
        let lost = self.random.gen_bool(self.gap);
        self.events.push_back(LoggedEvent {
            event,
            at: now,
            lost,
        });
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }

    /// The events after a number that are old enough to be read.
    pub fn read(&self, now: Instant, after: u64) -> CacheEvents {
        let mut answer = CacheEvents {
            events: Vec::new(),
            last: after,
            boot: self.boot,
        };
        let start = self
            .events
            .partition_point(|logged| logged.event.number <= after);
        for logged in self.events.range(start..).take(EVENTS_ANSWERED) {
            if logged.at + self.lag > now {
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
