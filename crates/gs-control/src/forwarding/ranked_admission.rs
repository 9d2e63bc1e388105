//! The part of the admission queue for streams that have ranks, where the configuration has workspaces.

use std::time::{Duration, Instant};

use super::admission::{
    AdmissionEffect, AdmissionQueue, AdmissionSettings, FleetBacklog, QueuePosition, StartClass,
    WaitingStream, completion_time,
};
use super::ranking::{ArrivalMix, CallerTiming, RankedKey, ServedFloors};
use super::ranks::CallerOrder;

/// Factor by which the expected wait of a queued stream must exceed the time that it can still wait for it
/// to be refused. The times at which streams end are as uncertain.
const HOPELESS_FACTOR: f64 = 1.5;

impl AdmissionQueue {
    /// Replaces the shares of recent service that the order goes by.
    pub fn refresh_shares(&mut self, now: Instant, share_of: impl FnMut(&str) -> f64) {
        self.ranked.refresh_shares(now, share_of);
    }

    /// Takes a new stream that has a rank into account. Returns the time that its client has left until it
    /// should return, if it came back early and others wait.
    pub(super) fn record_arrival(
        &mut self,
        now: Instant,
        stream: &mut WaitingStream,
        backlog: FleetBacklog,
        draw: f64,
    ) -> Option<Duration> {
        let timing = CallerTiming {
            requested_at: stream.requested_at,
            arrived_at: stream.arrived_at,
            latency_target: stream.latency_target,
        };
        let order = stream.order.as_mut()?;
        self.last_backlog = backlog;
        self.ranked.record_offered(now, order);
        let shortest_return = self.settings.retry_after.0;
        let left = self
            .ranked
            .recognize_return(now, order, &timing, shortest_return, draw);
        let peers = backlog.peers_waiting;
        left.filter(|_| !self.waiting.is_empty() || peers.on_time + peers.late > 0)
    }

    /// Refuses queued streams that are not expected to start in time any more, because more urgent ones
    /// have come or streams complete more slowly than expected. Streams without ranks stay.
    pub fn refuse_hopeless<P>(
        &mut self,
        now: Instant,
        backlog: FleetBacklog,
        mut draw: impl FnMut() -> f64,
    ) -> Vec<AdmissionEffect<P>> {
        self.last_backlog = backlog;
        let mix = self.ranked.arrival_mix(now);
        let ordered = self.ranked_streams(now, None);
        let mut hopeless = Vec::new();
        let mut own_ahead = 0;
        for (key, stream) in ordered {
            let Some(order) = &stream.order else {
                continue;
            };
            let wait = self.wait_after(now, &key, order, own_ahead, &mix, backlog);
            let start_by = self.start_by(key.ticket()).unwrap_or(now);
            let left = start_by.saturating_duration_since(now);
            match wait > left.mul_f64(HOPELESS_FACTOR) {
                true => hopeless.push(key.ticket()),
                false => own_ahead += 1,
            }
        }
        let mut effects = Vec::new();
        for ticket in hopeless {
            if let Some(stream) = self.take(ticket) {
                let retry_after = self.refuse(now, &stream, draw());
                effects.push(AdmissionEffect::Refuse {
                    ticket,
                    retry_after,
                });
            }
        }
        effects
    }

    /// Returns the streams that have ranks in their order, and among them one that is not queued yet.
    pub(super) fn ranked_streams<'s>(
        &'s self,
        now: Instant,
        offered: Option<(&'s QueuePosition, &'s WaitingStream)>,
    ) -> Vec<(RankedKey, &'s WaitingStream)> {
        let floors = self.ranked.floors(now);
        let streams = self.waiting.iter().chain(offered);
        let keyed = streams.filter_map(|(position, stream)| {
            let order = stream.order.as_ref()?;
            Some((
                self.ranked_key(&floors, position, stream, order),
                order,
                stream,
            ))
        });
        self.ranked.sort(keyed.collect())
    }

    fn ranked_key(
        &self,
        floors: &ServedFloors<'_>,
        position: &QueuePosition,
        stream: &WaitingStream,
        order: &CallerOrder,
    ) -> RankedKey {
        let timing = CallerTiming {
            requested_at: stream.requested_at,
            arrived_at: stream.arrived_at,
            latency_target: stream.latency_target,
        };
        self.ranked
            .key(floors, position.class, order, &timing, position.ticket)
    }

    /// Estimates the time in the queue of a stream that is not queued yet. While any stream that can be
    /// on time waits, a late one cannot start.
    pub(super) fn ranked_wait(
        &self,
        now: Instant,
        position: &QueuePosition,
        stream: &WaitingStream,
        order: &CallerOrder,
        backlog: FleetBacklog,
    ) -> Duration {
        let first = self.waiting.keys().next();
        let is_on_time = |position: &QueuePosition| position.class == StartClass::OnTime;
        let has_on_time = backlog.peers_waiting.on_time > 0 || first.is_some_and(is_on_time);
        if position.class == StartClass::Late && has_on_time {
            return Duration::MAX;
        }
        let ordered = self.ranked_streams(now, Some((position, stream)));
        let mut places = ordered.iter().enumerate();
        let place = places.find(|(_, (key, _))| key.ticket() == position.ticket);
        let Some((own_ahead, (key, _))) = place else {
            return Duration::ZERO;
        };
        let mix = self.ranked.arrival_mix(now);
        self.wait_after(now, key, order, own_ahead, &mix, backlog)
    }

    /// Estimates the time in the queue of a stream with `own_ahead` streams ahead of it at this entry.
    fn wait_after(
        &self,
        now: Instant,
        key: &RankedKey,
        order: &CallerOrder,
        own_ahead: usize,
        mix: &ArrivalMix,
        backlog: FleetBacklog,
    ) -> Duration {
        let peers = backlog.peers_waiting;
        let mut ahead = own_ahead as f64;
        ahead += self
            .ranked
            .peers_ahead(now, key, order, mix, &peers.by_rank);
        if key.class() == StartClass::Late {
            ahead += f64::from(peers.on_time);
        }
        completion_time(ahead, backlog.completions_per_second)
    }

    /// Records a refusal and returns the time until there will be room for a stream of its rank.
    pub(super) fn refuse_ranked(
        &mut self,
        now: Instant,
        stream: &WaitingStream,
        order: &CallerOrder,
        draw: f64,
    ) -> Duration {
        self.ranked.record_refused(now, order);
        let backlog = self.last_backlog;
        let peers = backlog.peers_waiting;
        let own = self.waiting();
        let waiting =
            |class| own.up_to(class, Some(order.rank)) + peers.up_to(class, Some(order.rank));
        let waiting = waiting(StartClass::OnTime) + waiting(StartClass::Late);
        let backlog = completion_time(f64::from(waiting), backlog.completions_per_second);
        let AdmissionSettings {
            prefill_lead,
            retry_after,
            ..
        } = self.settings;
        let on_time_by = stream.requested_at + stream.latency_target.saturating_sub(prefill_lead);
        let on_time_left = on_time_by.saturating_duration_since(now);
        self.ranked
            .return_delay(now, order, backlog, on_time_left, retry_after, draw)
    }
}
