//! Observes how long servers take for their work, for the estimates of their speeds.

use std::rc::Rc;
use std::time::{Duration, Instant};

use gs_control::forwarding::{CapacityChange, WorkSample};
use gs_protocol::ids::ServerName;

use crate::gateway::{Gateway, GatewayState};

/// Number of gaps between events that make up one sample of a stream.
const GAPS_PER_SAMPLE: u32 = 8;

/// Time for which the client's connection may take an event without the sample being dropped.
const MAX_SEND_TIME: Duration = Duration::from_millis(2);

/// Minimum fraction of an exchange that counts as work, since the time to connect may exceed that of
/// the way.
const MIN_WORK_FRACTION: f64 = 0.25;

/// The time of one exchange, without the time that it is on the way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExchangeTimer {
    way: Duration,
    sent: Instant,
    /// Other requests that were in flight at the server.
    in_flight: u32,
    /// Other prompt tokens that were queued at the server.
    queued: u64,
}

impl ExchangeTimer {
    /// Starts when the request is sent. `opening` is when the connection was being opened, which takes as
    /// long as the way there and back. The request itself is already counted, with `tokens` prompt tokens.
    pub fn start(gateway: &Gateway, server: &ServerName, opening: Instant, tokens: u64) -> Self {
        let sent = Instant::now();
        let load = gateway.state.borrow().loads.load(server);
        Self {
            way: sent.saturating_duration_since(opening),
            sent,
            in_flight: load.requests.saturating_sub(1),
            queued: load.prompt_tokens.saturating_sub(tokens),
        }
    }

    /// Returns the time since the start without the way.
    fn work_time(&self) -> Duration {
        let took = self.sent.elapsed();
        let least = took.mul_f64(MIN_WORK_FRACTION);
        took.saturating_sub(self.way).max(least)
    }

    /// Records the head of a successful answer to a plain request.
    pub fn record_plain(self, gateway: &Gateway, server: &ServerName) {
        let sample = WorkSample::Plain {
            took: self.work_time(),
            in_flight: self.in_flight,
        };
        gateway.observe_work(server, sample);
    }

    /// Records the successful answer to a prefill.
    pub fn record_prefill(self, gateway: &Gateway, server: &ServerName, tokens: u64) {
        let sample = WorkSample::Prefill {
            took: self.work_time(),
            tokens,
            queued: self.queued,
        };
        gateway.observe_work(server, sample);
    }
}

/// Measures the time between the events of one engine's stream.
#[derive(Debug, Default)]
pub(crate) struct EventPace {
    since: Option<Instant>,
    gaps: u32,
}

impl EventPace {
    /// Records that an event has come in.
    pub fn record_event(&mut self, gateway: &Rc<Gateway>, server: &ServerName, now: Instant) {
        let Some(since) = self.since else {
            self.since = Some(now);
            return;
        };
        self.gaps += 1;
        if self.gaps < GAPS_PER_SAMPLE {
            return;
        }
        let gap = now.saturating_duration_since(since) / self.gaps;
        let running = gateway.state.borrow().loads.stream_count(server);
        gateway.observe_work(server, WorkSample::Decode { gap, running });
        *self = Self {
            since: Some(now),
            gaps: 0,
        };
    }

    /// Records when the client's connection had taken an event that came in at `now`. A client that reads
    /// slowly says nothing about the engine.
    pub fn record_sent(&mut self, now: Instant) {
        if now.elapsed() > MAX_SEND_TIME {
            *self = Self::default();
        }
    }
}

impl Gateway {
    /// Records work that a server has completed successfully.
    fn observe_work(&self, server: &ServerName, sample: WorkSample) {
        let mut guard = self.state.borrow_mut();
        let GatewayState {
            capacity,
            directory,
            ..
        } = &mut *guard;
        if let Some(listed) = directory.get(server) {
            capacity.observe(Instant::now(), listed, sample);
        }
    }

    /// Merges what this entry and its peers have observed.
    pub(crate) fn refresh_capacity(&self) {
        let mut guard = self.state.borrow_mut();
        let GatewayState {
            capacity,
            directory,
            ..
        } = &mut *guard;
        for change in capacity.refresh(Instant::now(), directory) {
            let CapacityChange {
                server,
                speed,
                slots_fraction,
                samples,
            } = change;
            log::info!(target: "capacity", server:%, speed, slots_fraction, samples; "learned speed changed");
        }
    }

    /// Returns the time that a usual engine would have taken for what took a server this time.
    pub(crate) fn usual_time(&self, server: &ServerName, took: Duration) -> Duration {
        let speed = self.state.borrow().capacity.named_speed(server);
        match speed == 1.0 {
            true => took,
            false => took.mul_f64(speed),
        }
    }
}
