//! What is known of one model engine.

use std::time::{Duration, Instant};

use gs_protocol::engine::LoadReport;
use gs_protocol::ids::{DataCentreName, ServerName};
use gs_protocol::prefix::KV_TOKEN_BYTES;

use super::messages::ServerObservation;
use super::server_load::{OwnLoad, PeerLoad, ServerWork};
use super::settings::DispatchSettings;

/// Rate taken for an engine that reports none, in tokens a second.
const DEFAULT_PREFILL_RATE: u32 = 10_000;

/// Rate taken for a link that reports none, in bytes a second.
const DEFAULT_LINK_RATE: u64 = 1_000_000_000;

/// Doublings at most of the time that a failing server gets nothing new.
const MAX_SUSPECT_DOUBLINGS: u32 = 5;

/// Doublings at most of the time that a full server gets nothing new.
const MAX_FULL_DOUBLINGS: u32 = 3;

/// Tokens of a prefill that are computed before an urgent one can pass it.
const PREEMPTION_TOKENS: u32 = 512;

/// Others' work is taken to have grown by this part of what it would if each of them did as this entry.
const PEER_GROWTH_DIVISOR: u32 = 2;

/// A server's place in the fleet table.
pub type ServerId = u32;

/// Time that an amount of work takes at a rate a second.
fn work_duration(amount: u64, rate: u64) -> Duration {
    Duration::from_micros(amount.saturating_mul(1_000_000) / rate.max(1))
}

/// How entries share what a load report shows.
#[derive(Clone, Copy, Debug)]
pub struct SlotShare {
    /// Other entries that share the fleet.
    pub peers: u32,
    /// Decides which entries get a remainder.
    pub remainder_draw: u32,
}

/// One model engine.
#[derive(Clone, Debug)]
pub struct ServerRecord {
    /// The engine's name.
    pub name: ServerName,
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// One-way delay from this entry.
    pub delay: Duration,
    /// The last load report.
    pub report: LoadReport,
    /// Orders servers of equal load, differently at each entry.
    pub salt: u32,
    /// Whether it is gone until the next load report.
    pub is_lost: bool,
    /// Which contents of its prefix cache are meant; grows when the engine starts anew.
    pub cache_epoch: u32,
    /// Pieces stored in its prefix cache so far, as far as known.
    pub stored_blocks: u64,
    /// The last cache event's number.
    pub last_cache_event: u64,
    /// The start of the engine that the cache events belong to.
    pub cache_boot: u64,
    measured_at: Instant,
    reported_at: Instant,
    peers: u32,
    remainder_draw: u32,
    own_streams_at_report: u32,
    streams_at_report: u32,
    own_load: OwnLoad,
    peer_load: PeerLoad,
    prefill_free_at: Instant,
    failures: u32,
    refusals: u32,
    full_until: Option<Instant>,
    suspect_until: Option<Instant>,
}

impl ServerRecord {
    /// A server seen for the first time.
    pub fn new(now: Instant, observation: &ServerObservation, salt: u32) -> Self {
        let own_load = OwnLoad::default();
        Self {
            name: observation.report.server.clone(),
            data_centre: observation.data_centre.clone(),
            delay: observation.delay,
            report: observation.report.clone(),
            salt,
            is_lost: false,
            cache_epoch: 0,
            stored_blocks: 0,
            last_cache_event: 0,
            cache_boot: observation.report.boot,
            measured_at: now,
            reported_at: now,
            peers: 0,
            remainder_draw: 0,
            own_streams_at_report: 0,
            streams_at_report: ServerWork::from_report(&observation.report).streams,
            peer_load: PeerLoad::from_report(&observation.report, &own_load, now),
            own_load,
            prefill_free_at: now,
            failures: 0,
            refusals: 0,
            full_until: None,
            suspect_until: None,
        }
    }

    /// Takes in a newer sighting.
    pub fn apply_report(
        &mut self,
        now: Instant,
        observation: &ServerObservation,
        lag: Duration,
        share: SlotShare,
    ) {
        self.peers = share.peers;
        self.remainder_draw = share.remainder_draw;
        let measured_at = now.checked_sub(lag + observation.delay).unwrap_or(now);
        if observation.report.boot != self.report.boot {
            self.mark_healthy();
            self.full_until = None;
            self.suspect_until = None;
        }
        self.peer_load = PeerLoad::from_report(&observation.report, &self.own_load, measured_at);
        self.own_load.expire_samples(measured_at);
        self.data_centre = observation.data_centre.clone();
        self.delay = observation.delay;
        self.report = observation.report.clone();
        self.measured_at = measured_at;
        self.reported_at = now;
        self.is_lost = false;
        self.own_streams_at_report = self.own_work().streams;
        self.streams_at_report = self.estimated_work(now).streams;
    }

    /// Forgets what the prefix cache held if the engine has started anew.
    pub fn reset_cache_on_restart(&mut self, boot: u64) {
        if boot == self.cache_boot {
            return;
        }
        self.cache_boot = boot;
        self.cache_epoch += 1;
        self.last_cache_event = 0;
        self.stored_blocks = 0;
    }

    /// Whether the server may get new work.
    pub fn is_open(&self, now: Instant) -> bool {
        !self.is_lost && self.backoff_until().is_none_or(|until| until <= now)
    }

    /// Until when it gets nothing new.
    pub fn backoff_until(&self) -> Option<Instant> {
        self.full_until.max(self.suspect_until)
    }

    /// This entry's work on the server.
    pub fn own_work(&self) -> ServerWork {
        self.own_load.current()
    }

    /// Everyone's work on the server, as far as known.
    pub fn estimated_work(&self, now: Instant) -> ServerWork {
        let report_age = now.saturating_duration_since(self.measured_at);
        self.peer_load
            .now(&self.report, report_age)
            .plus(self.own_load.current())
    }

    /// Whether the last report is too old to be relied on.
    pub fn is_stale(&self, now: Instant, settings: &DispatchSettings) -> bool {
        now.saturating_duration_since(self.reported_at) > settings.report_stale
    }

    /// Prompt tokens prefilled a second.
    pub fn prefill_rate(&self) -> u32 {
        match self.report.prefill_rate {
            0 => DEFAULT_PREFILL_RATE,
            rate => rate,
        }
    }

    /// Time to prefill a number of tokens.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        work_duration(u64::from(tokens), u64::from(self.prefill_rate()))
    }

    /// Time to move the KV cache of a prompt over the link.
    pub fn transfer_time(&self, prompt_tokens: u32) -> Duration {
        work_duration(u64::from(prompt_tokens) * KV_TOKEN_BYTES, self.link_rate())
    }

    /// Time until a new prefill would begin.
    pub fn prefill_wait(&self, now: Instant) -> Duration {
        self.own_prefill_wait(now) + self.prefill_time(self.peer_prefill_tokens(now))
    }

    /// Time until a new urgent prefill would begin: what is not urgent waits, and others' work is taken to be
    /// urgent in the same part as this entry's.
    pub fn urgent_prefill_wait(&self, now: Instant, urgent_fraction: f64) -> Duration {
        let own_work = self.own_load.current();
        let peer_wait = self.prefill_time(self.peer_prefill_tokens(now));
        let urgent_wait =
            self.prefill_time(own_work.urgent_prefill_tokens) + peer_wait.mul_f64(urgent_fraction);
        let normal_tokens =
            own_work.prefill_tokens - own_work.urgent_prefill_tokens.min(own_work.prefill_tokens);
        let preemption_delay = self.prefill_time(normal_tokens.min(PREEMPTION_TOKENS));
        urgent_wait.min(self.prefill_wait(now)) + preemption_delay
    }

    /// Time until a new transfer would begin.
    pub fn link_wait(&self, now: Instant) -> Duration {
        work_duration(self.estimated_work(now).transfer_bytes, self.link_rate())
    }

    /// Time of one decode step with a number of streams.
    pub fn step_time(&self, streams: u32) -> Duration {
        let base = u64::from(self.report.step_base_us);
        let step_us = base + u64::from(self.report.step_stream_us) * u64::from(streams);
        Duration::from_micros(step_us)
    }

    /// Streams with which a decode step still takes at most `step`; all that fit if even one takes longer.
    pub fn stream_limit(&self, step: Duration) -> u32 {
        let max = self.report.max_streams;
        if self.step_time(1) > step || self.report.step_stream_us == 0 {
            return max;
        }
        let spare_us = step.as_micros() as u64 - u64::from(self.report.step_base_us);
        let fitting = spare_us / u64::from(self.report.step_stream_us);
        u32::try_from(fitting).unwrap_or(u32::MAX).min(max)
    }

    /// Whether this entry may take one more of the slots that were free at the last report: each entry takes its
    /// part of them, a remainder by lot, and the slots that its own streams have left since.
    pub fn has_slot_share(&self, limit: u32) -> bool {
        let entries = self.peers + 1;
        let free_slots = limit.saturating_sub(self.streams_at_report);
        let remainder = u32::from(self.remainder_draw % entries < free_slots % entries);
        self.own_work().streams < self.own_streams_at_report + free_slots / entries + remainder
    }

    /// Adds a stream or reservation of this entry.
    pub fn add_stream(&mut self, now: Instant, work: ServerWork) {
        self.own_load.add(now, work);
    }

    /// Adds a prefill of this entry that begins after a delay at the earliest.
    pub fn add_prefill(&mut self, now: Instant, work: ServerWork, after: Duration) {
        let begins_at = self.prefill_free_at.max(now + after + self.delay);
        self.prefill_free_at = begins_at + self.prefill_time(work.prefill_tokens);
        self.own_load.add(now, work);
    }

    /// Removes work of this entry that has ended.
    pub fn remove_work(&mut self, now: Instant, work: ServerWork) {
        if work == ServerWork::default() {
            return;
        }
        self.own_load.remove(now, work);
        if work.streams > 0 {
            self.full_until = None;
        }
        if work.prefill_tokens > 0 {
            let remaining = self.prefill_time(self.own_load.current().prefill_tokens);
            self.prefill_free_at = self.prefill_free_at.min(now + remaining);
        }
    }

    /// Keeps the server from new work for a time that doubles with each refusal in a row; it is full.
    pub fn mark_full(&mut self, now: Instant, backoff: Duration) {
        self.peer_load.add_stream();
        let doublings = self.refusals.min(MAX_FULL_DOUBLINGS);
        self.refusals = self.refusals.saturating_add(1);
        self.full_until = Some(now + backoff * 2_u32.pow(doublings));
    }

    /// Keeps the server from new work for a time that doubles with each failure in a row.
    pub fn mark_suspect(&mut self, now: Instant, backoff: Duration) {
        let doublings = self.failures.min(MAX_SUSPECT_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        self.suspect_until = Some(now + backoff * 2_u32.pow(doublings));
    }

    /// Clears suspicion: the server did what it was asked.
    pub fn mark_healthy(&mut self) {
        self.failures = 0;
        self.refusals = 0;
    }

    /// Prompt tokens of others: as last reported, and grown since as this entry's own have.
    fn peer_prefill_tokens(&self, now: Instant) -> u32 {
        let peer_tokens = self
            .estimated_work(now)
            .minus(self.own_load.current())
            .prefill_tokens;
        let tokens_at_report = self.own_load.work_at(self.measured_at).prefill_tokens;
        let own_growth = self
            .own_load
            .current()
            .prefill_tokens
            .saturating_sub(tokens_at_report);
        peer_tokens.saturating_add(own_growth.saturating_mul(self.peers) / PEER_GROWTH_DIVISOR)
    }

    fn own_prefill_wait(&self, now: Instant) -> Duration {
        if self.own_load.current().prefill_tokens == 0 {
            return Duration::ZERO;
        }
        self.prefill_free_at.saturating_duration_since(now)
    }

    fn link_rate(&self) -> u64 {
        match self.report.link_rate {
            0 => DEFAULT_LINK_RATE,
            rate => rate,
        }
    }

    /// When the server would begin a new prefill.
    pub fn prefill_free_at(&self, now: Instant) -> Instant {
        now + self.prefill_wait(now)
    }
}
