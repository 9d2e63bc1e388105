//! Admission control of streams: which of them wait for memory of a decode engine, which start, and
//! which are refused.
//!
//! Bursts may need up to twice the engines' memory for some seconds. A stream that starts late is
//! worth little to its caller and takes the memory of one that would be on time. The queue
//! therefore orders streams by class, those that can still be on time first, and within a class by
//! the latest time to start. Streams that are retried after a refusal are usually late. A stream
//! that is not expected to start by its latest start time is refused on arrival.
//!
//! Where the configuration has workspaces, streams of a class go by rank and by what their workspaces were
//! served recently before they go by time (`ranking.rs`).

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use gs_protocol::ids::ServiceName;

use super::memory::StreamShape;
use super::origins::SoftwareNeed;
use super::ranking::RankedOrder;
use super::ranks::{CallerOrder, RankCounts, RankWaiting};

/// Identifies a queued stream.
pub type TicketId = u64;

/// Time limits and memory limits of admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Time from the start of a prefill to the first event under high load.
    pub prefill_lead: Duration,
    /// Maximum time in the queue for a stream that can no longer be on time.
    pub max_late_wait: Duration,
    /// Maximum fraction of an engine's memory that streams may be projected to need when one that
    /// can be on time is added.
    pub memory_fraction: f64,
    /// The same when a late stream is added; lower, so that memory is left for streams that can be
    /// on time.
    pub late_memory_fraction: f64,
    /// The shortest and the longest delay that a refused client is told to wait before it retries.
    pub retry_after: (Duration, Duration),
}

impl AdmissionSettings {
    /// Returns the maximum fraction of an engine's memory that may be projected to be needed when a
    /// stream of a class is added.
    pub fn memory_fraction(&self, class: StartClass) -> f64 {
        match class {
            StartClass::OnTime => self.memory_fraction,
            StartClass::Late => self.late_memory_fraction,
        }
    }
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            prefill_lead: Duration::from_millis(330),
            max_late_wait: Duration::from_millis(1_500),
            memory_fraction: 0.88,
            late_memory_fraction: 0.8,
            retry_after: (Duration::from_millis(1_200), Duration::from_millis(4_500)),
        }
    }
}

/// What a stream requires of the engines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamDemand {
    /// The service that generates the stream.
    pub service: ServiceName,
    /// The memory that it needs at a decode engine.
    pub shape: StreamShape,
    /// The software versions that may run it.
    pub software: SoftwareNeed,
}

/// A stream that requests admission.
#[derive(Clone, Debug)]
pub struct WaitingStream {
    /// What it requires of the engines.
    pub demand: StreamDemand,
    /// When its client sent the first attempt, which may be earlier than this one.
    pub requested_at: Instant,
    /// When this attempt arrived.
    pub arrived_at: Instant,
    /// Maximum time from the first attempt to the first event for the stream to count as on time.
    pub latency_target: Duration,
    /// Its place among others; none where the configuration has no workspaces.
    pub order: Option<CallerOrder>,
}

/// The queues of the other entries, and how fast memory becomes free in the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetBacklog {
    /// Streams that wait at other entries.
    pub peers_waiting: WaitingCounts,
    /// Streams that complete per second.
    pub completions_per_second: f64,
    /// How long no engine takes a stream, because of limits or pauses.
    pub engines_wait: Duration,
}

/// Whether an offered stream was queued or refused.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// The stream waits in the queue.
    Queued(TicketId),
    /// The stream would have to wait too long.
    Refused {
        /// Time after which the client should retry.
        retry_after: Duration,
    },
}

/// An action that the queue requests for a queued stream.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionEffect<P> {
    /// Start the stream.
    Start {
        /// The ticket of the stream.
        ticket: TicketId,
        /// The placement that was found for it.
        placement: P,
    },
    /// Refuse the stream: its latest start time has passed.
    Refuse {
        /// The ticket of the stream.
        ticket: TicketId,
        /// Time after which the client should retry.
        retry_after: Duration,
    },
}

/// Whether a stream can still be on time. The order of the variants is that of the queue.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum StartClass {
    /// The first event can be on time.
    OnTime,
    /// The first event will be late even if the stream starts now.
    Late,
}

/// Number of queued streams, by class.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WaitingCounts {
    /// Streams that can be on time.
    pub on_time: u32,
    /// Streams that will be late.
    pub late: u32,
    /// Those of them that have ranks.
    pub by_rank: RankCounts,
}

impl WaitingCounts {
    /// Returns the number of streams of a class.
    pub fn count(self, class: StartClass) -> u32 {
        match class {
            StartClass::OnTime => self.on_time,
            StartClass::Late => self.late,
        }
    }

    /// Returns the number of streams of a class at a rank and better ones; all of them without a rank.
    pub fn up_to(&self, class: StartClass, rank: Option<u8>) -> u32 {
        rank.map_or(self.count(class), |rank| {
            self.by_rank.before(class, rank) + self.by_rank.at(class, rank)
        })
    }
}

/// Sort key of the queue.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct QueuePosition {
    pub class: StartClass,
    pub start_by: Instant,
    pub ticket: TicketId,
}

/// The queue of streams that wait at this entry.
#[derive(Debug)]
pub struct AdmissionQueue {
    pub(super) settings: AdmissionSettings,
    pub(super) waiting: BTreeMap<QueuePosition, WaitingStream>,
    positions: BTreeMap<TicketId, QueuePosition>,
    next_ticket: TicketId,
    pub(super) ranked: RankedOrder,
    /// The latest backlog of the fleet; kept where streams have ranks only.
    pub(super) last_backlog: FleetBacklog,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            waiting: BTreeMap::new(),
            positions: BTreeMap::new(),
            next_ticket: 0,
            ranked: RankedOrder::default(),
            last_backlog: FleetBacklog::default(),
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &AdmissionSettings {
        &self.settings
    }

    /// Returns the number of queued streams.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of queued streams by class.
    pub fn waiting(&self) -> WaitingCounts {
        let classes = self.waiting.keys().map(|position| position.class);
        let on_time = classes.filter(|class| *class == StartClass::OnTime).count();
        let mut by_rank = RankCounts::NONE;
        for (position, stream) in &self.waiting {
            if let Some(order) = &stream.order {
                by_rank.add(order.rank, RankWaiting::one(position.class));
            }
        }
        WaitingCounts {
            on_time: on_time as u32,
            late: (self.waiting.len() - on_time) as u32,
            by_rank,
        }
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Queues a stream, or refuses it if its expected wait is too long. `draw`, a random number
    /// from 0 to 1, spreads the retries of refused clients.
    pub fn offer(
        &mut self,
        now: Instant,
        mut stream: WaitingStream,
        backlog: FleetBacklog,
        draw: f64,
    ) -> AdmissionDecision {
        if let Some(retry_after) = self.record_arrival(now, &mut stream, backlog, draw) {
            return AdmissionDecision::Refused { retry_after };
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let on_time_by = stream.requested_at
            + stream
                .latency_target
                .saturating_sub(self.settings.prefill_lead);
        let (class, start_by) = match on_time_by > now {
            true => (StartClass::OnTime, on_time_by),
            false => (
                StartClass::Late,
                stream.arrived_at + self.settings.max_late_wait,
            ),
        };
        let position = QueuePosition {
            class,
            start_by,
            ticket,
        };
        let expected_wait = match &stream.order {
            None => self.expected_wait(&position, backlog),
            Some(order) => self.ranked_wait(now, &position, &stream, order, backlog),
        };
        if expected_wait.max(backlog.engines_wait) > start_by.saturating_duration_since(now) {
            let retry_after = self.refuse(now, &stream, draw);
            let retry_after = retry_after.max(backlog.engines_wait);
            return AdmissionDecision::Refused { retry_after };
        }
        self.waiting.insert(position, stream);
        self.positions.insert(ticket, position);
        AdmissionDecision::Queued(ticket)
    }

    /// Removes a stream from the queue, for example because its client has disconnected.
    pub fn withdraw(&mut self, ticket: TicketId) {
        self.take(ticket);
    }

    pub(super) fn take(&mut self, ticket: TicketId) -> Option<WaitingStream> {
        let position = self.positions.remove(&ticket)?;
        self.waiting.remove(&position)
    }

    /// Refuses streams whose latest start time has passed, then starts streams in queue order until
    /// `find_placement` returns none. Among streams that have ranks, one without a placement holds up
    /// those of its own service only.
    pub fn advance<P>(
        &mut self,
        now: Instant,
        mut draw: impl FnMut() -> f64,
        mut find_placement: impl FnMut(&WaitingStream, StartClass) -> Option<P>,
    ) -> Vec<AdmissionEffect<P>> {
        let mut effects = Vec::new();
        let expired: Vec<QueuePosition> = self
            .waiting
            .keys()
            .filter(|position| position.start_by <= now)
            .copied()
            .collect();
        for position in expired {
            let Some(stream) = self.take(position.ticket) else {
                continue;
            };
            effects.push(AdmissionEffect::Refuse {
                ticket: position.ticket,
                retry_after: self.refuse(now, &stream, draw()),
            });
        }
        let mut blocked: BTreeSet<ServiceName> = BTreeSet::new();
        for position in self.start_order(now) {
            let Some(stream) = self.waiting.get(&position) else {
                continue;
            };
            if blocked.contains(&stream.demand.service) {
                continue;
            }
            let Some(placement) = find_placement(stream, position.class) else {
                if stream.order.is_none() {
                    break;
                }
                blocked.insert(stream.demand.service.clone());
                continue;
            };
            let ticket = position.ticket;
            let started = self.take(ticket).and_then(|stream| stream.order);
            if let Some(order) = started {
                self.ranked.record_served(now, &order);
            }
            effects.push(AdmissionEffect::Start { ticket, placement });
        }
        effects
    }

    /// Returns the waiting streams in the order in which they start. Those without ranks come first.
    fn start_order(&self, now: Instant) -> Vec<QueuePosition> {
        let unranked = self.waiting.iter();
        let unranked = unranked.filter(|(_, stream)| stream.order.is_none());
        let ranked = self.ranked_streams(now, None).into_iter();
        let ranked = ranked.filter_map(|(key, _)| self.positions.get(&key.ticket()));
        unranked
            .map(|(position, _)| position)
            .chain(ranked)
            .copied()
            .collect()
    }

    /// Returns the latest time at which a queued stream may start.
    pub(super) fn start_by(&self, ticket: TicketId) -> Option<Instant> {
        self.positions
            .get(&ticket)
            .map(|position| position.start_by)
    }

    /// Estimates the time in the queue for a position, from the number of streams ahead of it and
    /// the rate at which streams complete. Streams that wait at other entries count as ahead,
    /// because the engines are shared. While any stream that can be on time waits, a late one
    /// cannot start.
    fn expected_wait(&self, position: &QueuePosition, backlog: FleetBacklog) -> Duration {
        let peers = backlog.peers_waiting;
        let ahead = match position.class {
            StartClass::OnTime => peers.on_time,
            StartClass::Late if peers.on_time + self.waiting().on_time > 0 => {
                return Duration::MAX;
            }
            StartClass::Late => peers.late,
        };
        let ahead = f64::from(ahead) + self.waiting.range(..position).count() as f64;
        completion_time(ahead, backlog.completions_per_second)
    }

    /// Records a refusal and returns the delay before a retry, with jitter so that refused clients do not
    /// retry at once.
    pub(super) fn refuse(&mut self, now: Instant, stream: &WaitingStream, draw: f64) -> Duration {
        if let Some(order) = &stream.order {
            return self.refuse_ranked(now, stream, order, draw);
        }
        let (shortest, longest) = self.settings.retry_after;
        shortest + (longest - shortest).mul_f64(draw.clamp(0.0, 1.0))
    }
}

/// Returns the time in which a number of streams complete.
pub(super) fn completion_time(streams: f64, per_second: f64) -> Duration {
    match streams > 0.0 {
        true => Duration::try_from_secs_f64(streams / per_second).unwrap_or(Duration::MAX),
        false => Duration::ZERO,
    }
}
