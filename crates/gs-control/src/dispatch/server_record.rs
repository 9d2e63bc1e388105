//! State of one model server as estimated by this entry.

use std::time::{Duration, Instant};

use gs_protocol::engine::LoadReport;
use gs_protocol::ids::{DataCentreName, ServerName};
use gs_protocol::prefix::KV_TOKEN_BYTES;

use super::messages::ServerObservation;
use super::server_load::{OwnLoad, PeerLoad, ServerWork};
use super::settings::DispatchSettings;

/// Prefill rate assumed for a server that reports none, in tokens per second.
const DEFAULT_PREFILL_RATE: u32 = 10_000;

/// Link rate assumed for a server that reports none, in bytes per second.
const DEFAULT_LINK_RATE: u64 = 1_000_000_000;

/// Maximum number of times that the backoff of a failing server doubles.
const MAX_SUSPECT_DOUBLINGS: u32 = 5;

/// Maximum number of times that the backoff of a full server doubles.
const MAX_FULL_DOUBLINGS: u32 = 3;

/// Prompt tokens that a server computes before an urgent prefill can preempt a normal one.
const PREEMPTION_TOKENS: u32 = 512;

/// Divisor of the assumed growth of peers' work: each peer is assumed to add half as much as this
/// entry.
const PEER_GROWTH_DIVISOR: u32 = 2;

/// Id of a server in the fleet table.
pub type ServerId = u32;

/// Duration of an amount of work at a rate per second.
fn work_duration(amount: u64, rate: u64) -> Duration {
    Duration::from_micros(amount.saturating_mul(1_000_000) / rate.max(1))
}

/// This entry's share of the free slots shown by a load report.
#[derive(Clone, Copy, Debug)]
pub struct SlotShare {
    /// Number of other entries that share the fleet.
    pub peers: u32,
    /// Random number that decides whether this entry gets one of the remaining slots.
    pub remainder_draw: u32,
}

/// One model server.
#[derive(Clone, Debug)]
pub struct ServerRecord {
    /// Name of the server.
    pub name: ServerName,
    /// Data centre of the server.
    pub data_centre: DataCentreName,
    /// One-way network delay from this entry.
    pub delay: Duration,
    /// Latest load report.
    pub report: LoadReport,
    /// Random tie-breaker between servers of equal load, different at each entry.
    pub salt: u32,
    /// Whether the server is unavailable until its next load report.
    pub is_lost: bool,
    /// Generation of the prefix cache; increases when the server restarts.
    pub cache_epoch: u32,
    /// Estimated number of KV-cache blocks stored in the prefix cache since the restart.
    pub stored_blocks: u64,
    /// Number of the latest cache event.
    pub last_cache_event: u64,
    /// Boot number of the server to which the cache events belong.
    pub cache_boot: u64,
    /// Estimated time at which the latest report was measured.
    measured_at: Instant,
    /// Time at which the latest report arrived.
    reported_at: Instant,
    peers: u32,
    remainder_draw: u32,
    /// Streams of this entry when the latest report arrived.
    own_streams_at_report: u32,
    /// Estimated streams of all entries when the latest report arrived.
    streams_at_report: u32,
    own_load: OwnLoad,
    peer_load: PeerLoad,
    /// Estimated end of the prefills of this entry.
    own_prefills_end_at: Instant,
    /// Failures in a row.
    failures: u32,
    /// Refusals in a row for lack of capacity.
    refusals: u32,
    full_until: Option<Instant>,
    suspect_until: Option<Instant>,
}

impl ServerRecord {
    /// Creates the record of a server from its first report.
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
            own_prefills_end_at: now,
            failures: 0,
            refusals: 0,
            full_until: None,
            suspect_until: None,
        }
    }

    /// Applies a newer load report.
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

    /// Starts a new cache generation if the server has restarted.
    pub fn reset_cache_on_restart(&mut self, boot: u64) {
        if boot == self.cache_boot {
            return;
        }
        self.cache_boot = boot;
        self.cache_epoch += 1;
        self.last_cache_event = 0;
        self.stored_blocks = 0;
    }

    /// Whether the server is neither lost nor backing off. The fleet table tracks whether it is
    /// leaving.
    pub fn is_available(&self, now: Instant) -> bool {
        !self.is_lost && self.backoff_until().is_none_or(|until| until <= now)
    }

    /// Time at which the server's backoff ends.
    pub fn backoff_until(&self) -> Option<Instant> {
        self.full_until.max(self.suspect_until)
    }

    /// Work of this entry on the server.
    pub fn own_work(&self) -> ServerWork {
        self.own_load.current()
    }

    /// Estimated work of all entries on the server.
    pub fn estimated_work(&self, now: Instant) -> ServerWork {
        let report_age = now.saturating_duration_since(self.measured_at);
        self.peer_load
            .estimate(&self.report, report_age)
            .plus(self.own_load.current())
    }

    /// Whether the latest report is too old to rely on.
    pub fn is_stale(&self, now: Instant, settings: &DispatchSettings) -> bool {
        now.saturating_duration_since(self.reported_at) > settings.report_stale_after
    }

    /// Prefill rate in prompt tokens per second.
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

    /// Time to transfer the KV cache of a prompt over the server's link.
    pub fn transfer_time(&self, prompt_tokens: u32) -> Duration {
        work_duration(u64::from(prompt_tokens) * KV_TOKEN_BYTES, self.link_rate())
    }

    /// Time until a new prefill would begin.
    pub fn prefill_wait(&self, now: Instant) -> Duration {
        self.own_prefill_wait(now) + self.prefill_time(self.peer_prefill_tokens(now))
    }

    /// Time until a new urgent prefill would begin. Normal prefills are overtaken, except for the
    /// tokens computed before preemption. The work of peers is assumed to have the same urgent
    /// fraction as that of this entry, which is passed in.
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

    /// Number of streams up to which a decode step takes at most `step`. If even one stream takes
    /// longer, returns the maximum that the server holds.
    pub fn stream_limit(&self, step: Duration) -> u32 {
        let max = self.report.max_streams;
        if self.step_time(1) > step || self.report.step_stream_us == 0 {
            return max;
        }
        let spare_us = step.as_micros() as u64 - u64::from(self.report.step_base_us);
        let fitting = spare_us / u64::from(self.report.step_stream_us);
        u32::try_from(fitting).unwrap_or(u32::MAX).min(max)
    }

    /// Whether this entry may use one more slot under `limit`.
    ///
    /// The entries divide the slots that were free at the latest report evenly and the remainder by
    /// random draw. This entry may also reuse the slots of its own streams that have ended since.
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

    /// Adds a prefill of this entry that begins no earlier than `after`.
    pub fn add_prefill(&mut self, now: Instant, work: ServerWork, after: Duration) {
        let begins_at = self.own_prefills_end_at.max(now + after + self.delay);
        self.own_prefills_end_at = begins_at + self.prefill_time(work.prefill_tokens);
        self.own_load.add(now, work);
    }

    /// Removes work of this entry that has ended. The end of a stream frees a slot and so ends the
    /// backoff of a full server.
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
            self.own_prefills_end_at = self.own_prefills_end_at.min(now + remaining);
        }
    }

    /// Backs off from a server that refused for lack of capacity, and counts one more stream of
    /// peers on it. The backoff doubles with each refusal in a row.
    pub fn mark_full(&mut self, now: Instant, backoff: Duration) {
        self.peer_load.add_stream();
        let doublings = self.refusals.min(MAX_FULL_DOUBLINGS);
        self.refusals = self.refusals.saturating_add(1);
        self.full_until = Some(now + backoff * 2_u32.pow(doublings));
    }

    /// Backs off from a server that failed, or that refused a model or role although it was listed
    /// for it. The backoff doubles with each failure in a row.
    pub fn mark_suspect(&mut self, now: Instant, backoff: Duration) {
        let doublings = self.failures.min(MAX_SUSPECT_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        self.suspect_until = Some(now + backoff * 2_u32.pow(doublings));
    }

    /// Resets the failure and refusal counts after the server has done what was requested or has
    /// restarted. A current backoff continues.
    pub fn mark_healthy(&mut self) {
        self.failures = 0;
        self.refusals = 0;
    }

    /// Estimated prompt tokens of peers: those last reported, less what has drained since, plus
    /// growth in proportion to this entry's own growth since then.
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
        self.own_prefills_end_at.saturating_duration_since(now)
    }

    fn link_rate(&self) -> u64 {
        match self.report.link_rate {
            0 => DEFAULT_LINK_RATE,
            rate => rate,
        }
    }

    /// Time at which a new prefill would begin.
    pub fn prefill_free_at(&self, now: Instant) -> Instant {
        now + self.prefill_wait(now)
    }
}
