//! Holds plain requests back while all servers of their service are known to have long queues.
//!
//! A server with a long queue is slow for all of its requests, and one whose queue is full sheds what it
//! gets. A request therefore waits at the entry, for a part of its latency target at most, and is sent in
//! the order of `ranking.rs` when a queue becomes shorter. What is not expected to be sent in time is
//! refused at once.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use gs_protocol::ids::{ServerName, ServiceName};

use super::admission::{StartClass, TicketId, completion_time};
use super::ranking::{CallerTiming, RankedKey, RankedOrder, ServedFloors};
use super::ranks::CallerOrder;
use super::shares::DecayedSum;

/// Half-life of the count of answers, from which the rate of free slots is estimated.
const ANSWER_HALF_LIFE: Duration = Duration::from_secs(2);

/// Weight of the newest answer in the moving average of service times.
const NEWEST_WEIGHT: f64 = 0.05;

/// Factor by which the expected wait of a held request must exceed the time that it can still wait for it
/// to be refused. Service times vary as much.
const HOPELESS_FACTOR: f64 = 1.5;

/// Time limits of the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlainSettings {
    /// Part of the latency target for which a request is held.
    pub hold_fraction: f64,
    /// The shortest and the longest delay that a refused client is told, before it is spread.
    pub retry_after: (Duration, Duration),
    /// Maximum number of held requests.
    pub max_held: usize,
}

impl Default for PlainSettings {
    fn default() -> Self {
        Self {
            hold_fraction: 0.5,
            retry_after: (Duration::from_millis(300), Duration::from_millis(4_500)),
            max_held: 512,
        }
    }
}

/// A plain request that waits for a free slot.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldRequest {
    /// The service that runs it.
    pub service: ServiceName,
    /// Servers that it must not be sent to (again).
    pub excluded: Vec<ServerName>,
    /// Its place among others.
    pub order: CallerOrder,
    /// When its client sent the first attempt, which may be earlier than this one.
    pub requested_at: Instant,
    /// When this attempt arrived.
    pub arrived_at: Instant,
    /// Maximum time to the answer for it to count as on time.
    pub latency_target: Duration,
    /// When its final answer must be sent.
    pub answer_due: Instant,
}

impl HeldRequest {
    fn hold_until(&self, settings: &PlainSettings) -> Instant {
        let held_until = self.arrived_at + self.latency_target.mul_f64(settings.hold_fraction);
        held_until.min(self.answer_due)
    }

    fn timing(&self) -> CallerTiming {
        CallerTiming {
            requested_at: self.requested_at,
            arrived_at: self.arrived_at,
            latency_target: self.latency_target,
        }
    }
}

/// Capacity of a service, as far as an entry knows it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceCapacity {
    /// Slots of all servers that take requests.
    pub slots: u32,
    /// Entries that share them, including this one.
    pub entries: u32,
    /// Requests of this entry that servers run or queue.
    pub own_requests: u32,
}

/// Whether an offered request is held or refused.
#[derive(Clone, Debug, PartialEq)]
pub enum PlainDecision {
    /// The request waits in the queue.
    Held(TicketId),
    /// The request would have to wait too long.
    Refused {
        /// Time after which the client should retry.
        retry_after: Duration,
    },
}

/// Result of the search for a server of a held request.
#[derive(Clone, Debug, PartialEq)]
pub enum PlainPlacement<P> {
    /// A server with a free slot, which the request takes.
    Free(P),
    /// All servers are known to be at their slots.
    Full,
    /// No server takes requests, for example because all have reached their limits.
    NoServer,
}

/// An action that the queue requests for a held request.
#[derive(Clone, Debug, PartialEq)]
pub enum PlainEffect<P> {
    /// Send the request to a server.
    Send {
        /// The ticket of the request.
        ticket: TicketId,
        /// The server with the free slot.
        placement: P,
    },
    /// Send the request to the server with the lowest cost although all are known to be at their slots.
    SendAnyway {
        /// The ticket of the request.
        ticket: TicketId,
    },
    /// No server takes requests: decide as if the request had not been held.
    Release {
        /// The ticket of the request.
        ticket: TicketId,
    },
    /// Refuse the request.
    Refuse {
        /// The ticket of the request.
        ticket: TicketId,
        /// Time after which the client should retry.
        retry_after: Duration,
    },
}

/// The answers that an entry gets from the servers of one service.
#[derive(Clone, Copy, Debug)]
struct ServiceFlow {
    answers: DecayedSum,
    mean_seconds: f64,
}

/// The queue of plain requests that wait at this entry.
#[derive(Debug)]
pub struct PlainQueue {
    settings: PlainSettings,
    held: BTreeMap<TicketId, HeldRequest>,
    flows: BTreeMap<ServiceName, ServiceFlow>,
    ranked: RankedOrder,
    next_ticket: TicketId,
}

impl PlainQueue {
    /// Creates an empty queue.
    pub fn new(settings: PlainSettings) -> Self {
        Self {
            settings,
            held: BTreeMap::new(),
            flows: BTreeMap::new(),
            ranked: RankedOrder::default(),
            next_ticket: 0,
        }
    }

    /// Returns the number of held requests.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether no request is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns whether a request of a service is held, which others must not overtake.
    pub fn holds_any(&self, service: &ServiceName) -> bool {
        self.held.values().any(|held| held.service == *service)
    }

    /// Returns the services that requests are held for.
    pub fn held_services(&self) -> BTreeSet<ServiceName> {
        let held = self.held.values();
        held.map(|held| held.service.clone()).collect()
    }

    /// Records an answer of a server of a service, and how long the server took.
    pub fn record_answer(&mut self, now: Instant, service: &ServiceName, took: Duration) {
        let seconds = took.as_secs_f64();
        let flow = self.flows.entry(service.clone());
        let flow = flow.or_insert_with(|| ServiceFlow {
            answers: DecayedSum::new(now, ANSWER_HALF_LIFE),
            mean_seconds: seconds,
        });
        flow.answers.add(now, 1.0);
        flow.mean_seconds += NEWEST_WEIGHT * (seconds - flow.mean_seconds);
    }

    /// Records a request that is sent without being held.
    pub fn record_passed(&mut self, now: Instant, order: &CallerOrder) {
        self.ranked.record_offered(now, order);
        self.ranked.record_served(now, order);
    }

    /// Replaces the shares of recent service that the order goes by.
    pub fn refresh_shares(&mut self, now: Instant, share_of: impl FnMut(&str) -> f64) {
        self.ranked.refresh_shares(now, share_of);
    }

    /// Holds a request, or refuses it if it is not expected to be sent in time. `draw`, a random number
    /// from 0 to 1, spreads the returns of refused clients.
    pub fn offer(
        &mut self,
        now: Instant,
        mut request: HeldRequest,
        capacity: ServiceCapacity,
        draw: f64,
    ) -> PlainDecision {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let timing = request.timing();
        let shortest_return = self.settings.retry_after.0;
        let early =
            self.ranked
                .recognize_return(now, &mut request.order, &timing, shortest_return, draw);
        if let Some(retry_after) = early {
            return PlainDecision::Refused { retry_after };
        }
        self.ranked.record_offered(now, &request.order);
        let ordered = self.ordered(now, Some((&ticket, &request)));
        let same_service = ordered
            .iter()
            .filter(|(_, held)| held.service == request.service);
        let ahead = same_service.take_while(|(key, _)| key.ticket() != ticket);
        let wait = self.expected_wait(now, &request.service, ahead.count(), capacity);
        let left = request.hold_until(&self.settings);
        let left = left.saturating_duration_since(now);
        if wait > left || left.is_zero() || self.held.len() >= self.settings.max_held {
            let retry_after = self.refuse(now, &request, capacity, draw);
            return PlainDecision::Refused { retry_after };
        }
        self.held.insert(ticket, request);
        PlainDecision::Held(ticket)
    }

    /// Removes a request from the queue, for example because its client has disconnected.
    pub fn withdraw(&mut self, ticket: TicketId) {
        self.held.remove(&ticket);
    }

    /// Sends held requests in their order while `find_server` returns servers for them, then refuses those
    /// that have been held for too long or are not expected to be sent in time.
    pub fn advance<P>(
        &mut self,
        now: Instant,
        mut capacity_of: impl FnMut(&ServiceName) -> ServiceCapacity,
        mut draw: impl FnMut() -> f64,
        mut find_server: impl FnMut(&HeldRequest) -> PlainPlacement<P>,
    ) -> Vec<PlainEffect<P>> {
        let mut effects = Vec::new();
        let mut full_services: BTreeSet<ServiceName> = BTreeSet::new();
        let mut anyway_services: BTreeSet<ServiceName> = BTreeSet::new();
        let ordered = self.ordered(now, None);
        let tickets: Vec<TicketId> = ordered.iter().map(|(key, _)| key.ticket()).collect();
        for ticket in tickets {
            let Some(request) = self.held.get(&ticket) else {
                continue;
            };
            if full_services.contains(&request.service) {
                continue;
            }
            match find_server(request) {
                // Others may be sent to the servers that this request has been sent to.
                PlainPlacement::Full if !request.excluded.is_empty() => {}
                PlainPlacement::Full => {
                    full_services.insert(request.service.clone());
                }
                PlainPlacement::NoServer => {
                    self.held.remove(&ticket);
                    effects.push(PlainEffect::Release { ticket });
                }
                PlainPlacement::Free(placement) => {
                    if let Some(request) = self.held.remove(&ticket) {
                        self.ranked.record_served(now, &request.order);
                    }
                    effects.push(PlainEffect::Send { ticket, placement });
                }
            }
        }
        for ticket in self.hopeless(now, &mut capacity_of) {
            if let Some(request) = self.held.remove(&ticket) {
                let capacity = capacity_of(&request.service);
                if self.may_send_anyway(now, &request, capacity, &mut anyway_services) {
                    self.ranked.record_served(now, &request.order);
                    effects.push(PlainEffect::SendAnyway { ticket });
                    continue;
                }
                effects.push(PlainEffect::Refuse {
                    ticket,
                    retry_after: self.refuse(now, &request, capacity, draw()),
                });
            }
        }
        effects
    }

    /// Whether a request that has been held for its whole time is sent although all servers are known to be
    /// at their slots: the first one of a service that runs nothing of this entry. What is known of peers
    /// is as old as their reports, and an entry without answers of its own would not notice a free slot.
    fn may_send_anyway(
        &self,
        now: Instant,
        request: &HeldRequest,
        capacity: ServiceCapacity,
        services: &mut BTreeSet<ServiceName>,
    ) -> bool {
        capacity.own_requests == 0
            && request.excluded.is_empty()
            && request.hold_until(&self.settings) <= now
            && request.answer_due > now
            && services.insert(request.service.clone())
    }

    /// Returns the requests that have been held for too long or are not expected to be sent in time.
    fn hopeless(
        &self,
        now: Instant,
        mut capacity_of: impl FnMut(&ServiceName) -> ServiceCapacity,
    ) -> Vec<TicketId> {
        let ordered = self.ordered(now, None);
        let mut ahead: BTreeMap<&ServiceName, usize> = BTreeMap::new();
        let mut hopeless = Vec::new();
        for (key, held) in ordered {
            let ahead = ahead.entry(&held.service).or_default();
            let left = held.hold_until(&self.settings);
            let left = left.saturating_duration_since(now);
            let wait = self.expected_wait(now, &held.service, *ahead, capacity_of(&held.service));
            match left.is_zero() || wait > left.mul_f64(HOPELESS_FACTOR) {
                true => hopeless.push(key.ticket()),
                false => *ahead += 1,
            }
        }
        hopeless
    }

    /// Estimates the time until slots have become free for a number of requests that are ahead. Slots
    /// become free for this entry as fast as it gets answers, or at its equal part of the service's rate
    /// if that is more.
    fn expected_wait(
        &self,
        now: Instant,
        service: &ServiceName,
        ahead: usize,
        capacity: ServiceCapacity,
    ) -> Duration {
        let Some(flow) = self.flows.get(service) else {
            return Duration::ZERO;
        };
        let mean_seconds = flow.mean_seconds.max(1e-3);
        let equal_part =
            f64::from(capacity.slots) / (mean_seconds * f64::from(capacity.entries.max(1)));
        completion_time(ahead as f64, flow.answers.rate(now).max(equal_part))
    }

    /// Records that a request is refused and returns the time until there will be room for one of its rank.
    pub fn refuse(
        &mut self,
        now: Instant,
        request: &HeldRequest,
        capacity: ServiceCapacity,
        draw: f64,
    ) -> Duration {
        let order = &request.order;
        self.ranked.record_refused(now, order);
        let ahead = self
            .held
            .values()
            .filter(|held| held.service == request.service && held.order.rank <= order.rank);
        let backlog = self.expected_wait(now, &request.service, ahead.count(), capacity);
        let on_time_by = request.requested_at + request.latency_target;
        let on_time_left = on_time_by.saturating_duration_since(now);
        let bounds = self.settings.retry_after;
        self.ranked
            .return_delay(now, order, backlog, on_time_left, bounds, draw)
    }

    /// Returns the held requests in their order, and among them one that is not held yet.
    fn ordered<'q>(
        &'q self,
        now: Instant,
        offered: Option<(&'q TicketId, &'q HeldRequest)>,
    ) -> Vec<(RankedKey, &'q HeldRequest)> {
        let floors = self.ranked.floors(now);
        let requests = self.held.iter().chain(offered);
        let keyed = requests
            .map(|(ticket, held)| (self.key(now, &floors, *ticket, held), &held.order, held));
        self.ranked.sort(keyed.collect())
    }

    /// Returns the place of a request. Those that can be on time come first: if clients that came back
    /// late went first, nearly all answers would be late while twice as much as fits is requested.
    fn key(
        &self,
        now: Instant,
        floors: &ServedFloors<'_>,
        ticket: TicketId,
        held: &HeldRequest,
    ) -> RankedKey {
        let flow = self.flows.get(&held.service);
        let mean_seconds = flow.map_or(0.0, |flow| flow.mean_seconds);
        let answered_at = now + Duration::from_secs_f64(mean_seconds);
        let class = match held.requested_at + held.latency_target > answered_at {
            true => StartClass::OnTime,
            false => StartClass::Late,
        };
        let timing = held.timing();
        self.ranked.key(floors, class, &held.order, &timing, ticket)
    }
}
