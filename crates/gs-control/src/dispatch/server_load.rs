//! What this entry itself has placed on a server, and what others have, judged from lagged reports.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use gs_protocol::engine::LoadReport;

/// Changes remembered at most for one server.
const MAX_SAMPLES: usize = 256;

/// Work on one server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerWork {
    /// Streams and reservations.
    pub streams: u32,
    /// Pieces of memory for them.
    pub kv_blocks: u32,
    /// Prompt tokens that wait for or are in prefill.
    pub prefill_tokens: u32,
    /// Those of them that the engine takes first; of others' work they are not known.
    pub urgent_prefill_tokens: u32,
    /// Bytes that wait on the link.
    pub transfer_bytes: u64,
}

impl ServerWork {
    /// Both together.
    pub fn plus(self, other: Self) -> Self {
        Self {
            streams: self.streams.saturating_add(other.streams),
            kv_blocks: self.kv_blocks.saturating_add(other.kv_blocks),
            prefill_tokens: self.prefill_tokens.saturating_add(other.prefill_tokens),
            urgent_prefill_tokens: self
                .urgent_prefill_tokens
                .saturating_add(other.urgent_prefill_tokens),
            transfer_bytes: self.transfer_bytes.saturating_add(other.transfer_bytes),
        }
    }

    /// What is left without the other, never below zero.
    pub fn minus(self, other: Self) -> Self {
        Self {
            streams: self.streams.saturating_sub(other.streams),
            kv_blocks: self.kv_blocks.saturating_sub(other.kv_blocks),
            prefill_tokens: self.prefill_tokens.saturating_sub(other.prefill_tokens),
            urgent_prefill_tokens: self
                .urgent_prefill_tokens
                .saturating_sub(other.urgent_prefill_tokens),
            transfer_bytes: self.transfer_bytes.saturating_sub(other.transfer_bytes),
        }
    }

    /// The work that a load report shows.
    pub fn from_report(report: &LoadReport) -> Self {
        Self {
            streams: report.streams.saturating_add(report.reservations),
            kv_blocks: report.pieces.saturating_sub(report.free_pieces),
            prefill_tokens: report.prefill_tokens,
            urgent_prefill_tokens: 0,
            transfer_bytes: report.transfer_bytes,
        }
    }
}

/// This entry's work on one server over the time that load reports lag.
#[derive(Clone, Debug, Default)]
pub struct OwnLoad {
    current: ServerWork,
    samples: VecDeque<(Instant, ServerWork)>,
}

impl OwnLoad {
    /// The work now.
    pub fn current(&self) -> ServerWork {
        self.current
    }

    /// Adds work.
    pub fn add(&mut self, changed_at: Instant, work: ServerWork) {
        self.push_sample(changed_at);
        self.current = self.current.plus(work);
    }

    /// Removes work that has ended.
    pub fn remove(&mut self, changed_at: Instant, work: ServerWork) {
        self.push_sample(changed_at);
        self.current = self.current.minus(work);
    }

    /// The work at an earlier time.
    pub fn work_at(&self, instant: Instant) -> ServerWork {
        self.samples
            .iter()
            .find(|(until, _)| *until > instant)
            .map_or(self.current, |(_, work)| *work)
    }

    /// Forgets changes before a time.
    pub fn expire_samples(&mut self, before: Instant) {
        while self
            .samples
            .front()
            .is_some_and(|(until, _)| *until <= before)
        {
            self.samples.pop_front();
        }
    }

    /// Keeps the work that held until now.
    fn push_sample(&mut self, changed_at: Instant) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((changed_at, self.current));
    }
}

/// The work of other entries on one server, as of the last report.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerLoad {
    work: ServerWork,
}

impl PeerLoad {
    /// The part of a report that is not this entry's own work at the time of measurement.
    pub fn from_report(report: &LoadReport, own_load: &OwnLoad, measured_at: Instant) -> Self {
        let work = ServerWork::from_report(report).minus(own_load.work_at(measured_at));
        Self { work }
    }

    /// The work now: queues of prompts and transfers are taken to drain at half of the engine's rate,
    /// since others add to them meanwhile.
    pub fn now(&self, report: &LoadReport, report_age: Duration) -> ServerWork {
        let half_age_us = report_age.as_micros() as u64 / 2;
        let drained = |rate: u64| rate.saturating_mul(half_age_us) / 1_000_000;
        let drained_tokens =
            u32::try_from(drained(u64::from(report.prefill_rate))).unwrap_or(u32::MAX);
        ServerWork {
            prefill_tokens: self.work.prefill_tokens.saturating_sub(drained_tokens),
            transfer_bytes: self
                .work
                .transfer_bytes
                .saturating_sub(drained(report.link_rate)),
            ..self.work
        }
    }

    /// Counts one more stream of others: the server refused for lack of room.
    pub fn add_stream(&mut self) {
        self.work.streams = self.work.streams.saturating_add(1);
    }
}
