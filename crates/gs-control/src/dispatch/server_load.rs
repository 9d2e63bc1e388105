//! Work of this entry and of its peers on a server, estimated from delayed load reports.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use gs_protocol::engine::LoadReport;

/// Maximum number of work samples kept for one server.
const MAX_SAMPLES: usize = 256;

/// Amount of work on one server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerWork {
    /// Number of streams and reservations.
    pub streams: u32,
    /// KV-cache blocks held by streams and reservations.
    pub kv_blocks: u32,
    /// Prompt tokens queued for or in prefill.
    pub prefill_tokens: u32,
    /// Urgent part of `prefill_tokens`; not known, and zero, for the work of peers.
    pub urgent_prefill_tokens: u32,
    /// Bytes queued for transfer on the link.
    pub transfer_bytes: u64,
}

impl ServerWork {
    /// Sum of both, saturating.
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

    /// Difference of both, saturating at zero.
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

    /// Total work shown by a load report.
    pub fn from_report(report: &LoadReport) -> Self {
        Self {
            streams: report.streams.saturating_add(report.reservations),
            kv_blocks: report.total_blocks.saturating_sub(report.free_blocks),
            prefill_tokens: report.prefill_tokens,
            urgent_prefill_tokens: 0,
            transfer_bytes: report.transfer_bytes,
        }
    }
}

/// Work of this entry on one server, with its history over the delay of load reports.
#[derive(Clone, Debug, Default)]
pub struct OwnLoad {
    current: ServerWork,
    /// Earlier values, each with the time until which it applied, oldest first.
    samples: VecDeque<(Instant, ServerWork)>,
}

impl OwnLoad {
    /// Work at present.
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

    /// Work at an earlier time.
    pub fn work_at(&self, instant: Instant) -> ServerWork {
        self.samples
            .iter()
            .find(|(until, _)| *until > instant)
            .map_or(self.current, |(_, work)| *work)
    }

    /// Removes the samples that applied only before a time.
    pub fn expire_samples(&mut self, before: Instant) {
        while self
            .samples
            .front()
            .is_some_and(|(until, _)| *until <= before)
        {
            self.samples.pop_front();
        }
    }

    /// Saves the present work as a sample that applied until now.
    fn push_sample(&mut self, changed_at: Instant) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((changed_at, self.current));
    }
}

/// Work of other entries on one server as of the latest report.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerLoad {
    work: ServerWork,
}

impl PeerLoad {
    /// Work of peers: the reported work without this entry's own work at the time of measurement.
    pub fn from_report(report: &LoadReport, own_load: &OwnLoad, measured_at: Instant) -> Self {
        let work = ServerWork::from_report(report).minus(own_load.work_at(measured_at));
        Self { work }
    }

    /// Estimated work of peers at present. Prefill and transfer queues are assumed to drain at half
    /// the server's rate, because other entries add to them meanwhile.
    pub fn estimate(&self, report: &LoadReport, report_age: Duration) -> ServerWork {
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

    /// Counts one more stream of peers, after the server refused for lack of capacity.
    pub fn add_stream(&mut self) {
        self.work.streams = self.work.streams.saturating_add(1);
    }
}
