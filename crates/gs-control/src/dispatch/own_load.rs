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
    pub pieces: u32,
    /// Prompt tokens that wait for or are in prefill.
    pub tokens: u32,
    /// Those of them that the engine takes first; of others' work they are not known.
    pub urgent_tokens: u32,
    /// Bytes that wait on the link.
    pub bytes: u64,
}

impl ServerWork {
    /// Both together.
    pub fn plus(self, other: Self) -> Self {
        Self {
            streams: self.streams.saturating_add(other.streams),
            pieces: self.pieces.saturating_add(other.pieces),
            tokens: self.tokens.saturating_add(other.tokens),
            urgent_tokens: self.urgent_tokens.saturating_add(other.urgent_tokens),
            bytes: self.bytes.saturating_add(other.bytes),
        }
    }

    /// What is left without the other, never below zero.
    pub fn minus(self, other: Self) -> Self {
        Self {
            streams: self.streams.saturating_sub(other.streams),
            pieces: self.pieces.saturating_sub(other.pieces),
            tokens: self.tokens.saturating_sub(other.tokens),
            urgent_tokens: self.urgent_tokens.saturating_sub(other.urgent_tokens),
            bytes: self.bytes.saturating_sub(other.bytes),
        }
    }

    /// The work that a load report shows.
    pub fn reported(report: &LoadReport) -> Self {
        Self {
            streams: report.streams.saturating_add(report.reservations),
            pieces: report.total_blocks.saturating_sub(report.free_blocks),
            tokens: report.prefill_tokens,
            urgent_tokens: 0,
            bytes: report.transfer_bytes,
        }
    }
}

/// This entry's work on one server over the time that load reports lag.
#[derive(Clone, Debug, Default)]
pub struct OwnLoad {
    now: ServerWork,
    samples: VecDeque<(Instant, ServerWork)>,
}

impl OwnLoad {
    /// The work now.
    pub fn now(&self) -> ServerWork {
        self.now
    }

    /// Adds work.
    pub fn add(&mut self, at: Instant, work: ServerWork) {
        self.record(at);
        self.now = self.now.plus(work);
    }

    /// Removes work that has ended.
    pub fn remove(&mut self, at: Instant, work: ServerWork) {
        self.record(at);
        self.now = self.now.minus(work);
    }

    /// The work at an earlier time.
    pub fn at(&self, time: Instant) -> ServerWork {
        self.samples
            .iter()
            .find(|(until, _)| *until > time)
            .map_or(self.now, |(_, work)| *work)
    }

    /// Forgets changes before a time.
    pub fn forget(&mut self, before: Instant) {
        while self
            .samples
            .front()
            .is_some_and(|(until, _)| *until <= before)
        {
            self.samples.pop_front();
        }
    }

    /// Keeps the work that held until now.
    fn record(&mut self, at: Instant) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((at, self.now));
    }
}

/// The work of other entries on one server, as of the last report.
#[derive(Clone, Copy, Debug, Default)]
pub struct OtherLoad {
    work: ServerWork,
}

impl OtherLoad {
    /// The part of a report that is not this entry's own work at the time of measurement.
    pub fn judge(report: &LoadReport, own: &OwnLoad, measured_at: Instant) -> Self {
        let work = ServerWork::reported(report).minus(own.at(measured_at));
        Self { work }
    }

    /// The work now: queues of prompts and transfers are taken to drain at half of the engine's rate,
    /// since others add to them meanwhile.
    pub fn now(&self, report: &LoadReport, age: Duration) -> ServerWork {
        let half_age_us = age.as_micros() as u64 / 2;
        let drained = |rate: u64| rate.saturating_mul(half_age_us) / 1_000_000;
        let tokens = u32::try_from(drained(u64::from(report.prefill_rate))).unwrap_or(u32::MAX);
        ServerWork {
            tokens: self.work.tokens.saturating_sub(tokens),
            bytes: self.work.bytes.saturating_sub(drained(report.link_rate)),
            ..self.work
        }
    }

    /// Counts one more stream of others: the server refused for lack of room.
    pub fn add_stream(&mut self) {
        self.work.streams = self.work.streams.saturating_add(1);
    }
}
