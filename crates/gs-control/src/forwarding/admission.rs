//! Which generations wait for memory of a decode engine, which start, and which are refused.
//!
//! The load it answers: bursts that need up to twice the engines' memory for some seconds. A stream that
//! starts late is worth little to its caller and takes the memory of one that would be on time, so streams
//! that can still be on time go first, by the time at which their first event is due; those that come back
//! after a refusal go next. What would have to wait beyond its start time is refused at its arrival.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gs_protocol::ids::ServiceName;

use super::memory::StreamShape;

/// A waiting stream.
pub type TicketId = u64;

/// Times of admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Time from the start of a prefill to the first event on a busy day.
    pub start_lead: Duration,
    /// How long a stream that cannot be on time any more may wait.
    pub late_wait: Duration,
    /// Part of an engine's memory that streams which can be on time may be expected to need.
    pub memory_fraction: f64,
    /// The same for streams that come late anyhow, so that room is left for those that do not.
    pub late_memory_fraction: f64,
    /// The shortest and the longest advice when to come back.
    pub retry_after: (Duration, Duration),
}

impl AdmissionSettings {
    /// Part of an engine's memory that streams of a class may be expected to need.
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
            start_lead: Duration::from_millis(330),
            late_wait: Duration::from_millis(1_500),
            memory_fraction: 0.88,
            late_memory_fraction: 0.8,
            retry_after: (Duration::from_millis(1_200), Duration::from_millis(4_500)),
        }
    }
}

/// What a stream asks of the engines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamDemand {
    /// The service.
    pub service: ServiceName,
    /// Its memory at a decode engine.
    pub shape: StreamShape,
}

/// A stream that asks for its start.
#[derive(Clone, Debug)]
pub struct WaitingStream {
    /// What it needs.
    pub demand: StreamDemand,
    /// When its client began to ask, in an earlier try perhaps.
    pub requested_at: Instant,
    /// When this try came.
    pub arrived_at: Instant,
    /// Time to the first event that counts as on time.
    pub latency_target: Duration,
}

/// How fast room comes in the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetBacklog {
    /// Streams that wait at other entries.
    pub peers_waiting: WaitingCounts,
    /// Streams that end in a second.
    pub completions_per_second: f64,
}

/// What became of an offer.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionVerdict {
    /// It waits under the ticket.
    Queued(TicketId),
    /// It would wait too long.
    Refused {
        /// When room is expected.
        retry_after: Duration,
    },
}

/// What is to be done with a waiting stream.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionEffect<P> {
    /// Start it at the place.
    Start {
        /// The stream.
        ticket: TicketId,
        /// Where.
        placement: P,
    },
    /// Its time has passed.
    Refuse {
        /// The stream.
        ticket: TicketId,
        /// When room is expected.
        retry_after: Duration,
    },
}

/// Whether a stream can be on time; the order is that of the queue.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum StartClass {
    /// Its first event can come in time.
    OnTime,
    /// It comes late, whatever is done.
    Late,
}

/// Streams that wait, by class.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WaitingCounts {
    /// Streams that can be on time.
    pub on_time: u32,
    /// Streams that come late.
    pub late: u32,
}

impl WaitingCounts {
    /// The count of a class.
    pub fn count(self, class: StartClass) -> u32 {
        match class {
            StartClass::OnTime => self.on_time,
            StartClass::Late => self.late,
        }
    }
}

/// The place in the queue.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueuePlace {
    class: StartClass,
    start_by: Instant,
    ticket: TicketId,
}

/// The streams that wait at this entry.
#[derive(Debug)]
pub struct AdmissionQueue {
    settings: AdmissionSettings,
    waiting: BTreeMap<QueuePlace, WaitingStream>,
    places: BTreeMap<TicketId, QueuePlace>,
    next_ticket: TicketId,
}

impl AdmissionQueue {
    /// An empty queue.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            waiting: BTreeMap::new(),
            places: BTreeMap::new(),
            next_ticket: 0,
        }
    }

    /// The settings.
    pub fn settings(&self) -> &AdmissionSettings {
        &self.settings
    }

    /// Streams that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Streams that wait, by class.
    pub fn waiting(&self) -> WaitingCounts {
        let classes = self.waiting.keys().map(|place| place.class);
        let on_time = classes.filter(|class| *class == StartClass::OnTime).count();
        WaitingCounts {
            on_time: on_time as u32,
            late: (self.waiting.len() - on_time) as u32,
        }
    }

    /// Whether no stream waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes a stream into the queue, unless its turn is expected to come too late. `draw`, from 0 to 1,
    /// spreads the returns of refused clients.
    pub fn offer(
        &mut self,
        now: Instant,
        stream: WaitingStream,
        pace: FleetBacklog,
        draw: f64,
    ) -> AdmissionVerdict {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let on_time = stream.requested_at
            + stream
                .latency_target
                .saturating_sub(self.settings.start_lead);
        let (class, start_by) = match on_time > now {
            true => (StartClass::OnTime, on_time),
            false => (
                StartClass::Late,
                stream.arrived_at + self.settings.late_wait,
            ),
        };
        let place = QueuePlace {
            class,
            start_by,
            ticket,
        };
        if self.expected_wait(&place, pace) > start_by.saturating_duration_since(now) {
            let retry_after = self.retry_after(draw);
            return AdmissionVerdict::Refused { retry_after };
        }
        self.waiting.insert(place, stream);
        self.places.insert(ticket, place);
        AdmissionVerdict::Queued(ticket)
    }

    /// The client of a stream is gone.
    pub fn withdraw(&mut self, ticket: TicketId) {
        if let Some(place) = self.places.remove(&ticket) {
            self.waiting.remove(&place);
        }
    }

    /// Starts what `place_for` finds room for, in order, and refuses what has waited too long.
    pub fn advance<P>(
        &mut self,
        now: Instant,
        mut draw: impl FnMut() -> f64,
        mut place_for: impl FnMut(&StreamDemand, StartClass) -> Option<P>,
    ) -> Vec<AdmissionEffect<P>> {
        let mut effects = Vec::new();
        let expired: Vec<QueuePlace> = self
            .waiting
            .keys()
            .filter(|place| place.start_by <= now)
            .copied()
            .collect();
        for place in expired {
            self.withdraw(place.ticket);
            effects.push(AdmissionEffect::Refuse {
                ticket: place.ticket,
                retry_after: self.retry_after(draw()),
            });
        }
        while let Some((place, stream)) = self.waiting.first_key_value() {
            let Some(target) = place_for(&stream.demand, place.class) else {
                break;
            };
            let ticket = place.ticket;
            self.withdraw(ticket);
            effects.push(AdmissionEffect::Start {
                ticket,
                placement: target,
            });
        }
        effects
    }

    /// How long the streams before a place are expected to take. Those of other entries count as well, as
    /// the room is shared. While streams that can be on time wait, none that comes late gets room.
    fn expected_wait(&self, place: &QueuePlace, pace: FleetBacklog) -> Duration {
        let elsewhere = pace.peers_waiting;
        let ahead = match place.class {
            StartClass::OnTime => elsewhere.on_time,
            StartClass::Late if elsewhere.on_time + self.waiting().on_time > 0 => {
                return Duration::MAX;
            }
            StartClass::Late => elsewhere.late,
        };
        let ahead = f64::from(ahead) + self.waiting.range(..place).count() as f64;
        match ahead > 0.0 {
            true => Duration::try_from_secs_f64(ahead / pace.completions_per_second)
                .unwrap_or(Duration::MAX),
            false => Duration::ZERO,
        }
    }

    /// When room is expected, spread over time so that refused clients do not return together.
    fn retry_after(&self, draw: f64) -> Duration {
        let (shortest, longest) = self.settings.retry_after;
        shortest + (longest - shortest).mul_f64(draw.clamp(0.0, 1.0))
    }
}
